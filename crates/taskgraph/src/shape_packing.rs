//! Choice of the workers for a step by what other shapes of tasks lose there.
//!
//! Answers the load of wide tasks among narrow ones, and of tasks that take most of a worker's memory and
//! few of its accelerators: filling the worker with the fewest free accelerators first leaves accelerators
//! without memory, and memory without accelerators. A task goes where the shapes that active jobs have
//! lose the least capacity.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use smol_str::SmolStr;

use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::resource_amounts::ResourceAmounts;
use crate::step_state::StepState;

/// Maximum number of shapes of a service that count, those with the most work first. It bounds the time
/// that each candidate worker takes.
const MAX_SHAPES: usize = 8;
/// Total of the weights of a service's shapes.
const TOTAL_WEIGHT: u128 = 1_000;

/// A shape of tasks, and what one place for such a task counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WeightedShape {
    resources: ResourceAmounts,
    /// Size of a place, in thousandths of a core, times the shape's part of the service's work, in
    /// thousandths.
    place_value: u64,
}

/// Shapes of the tasks that active jobs have not done, by service.
#[derive(Clone, Debug, Default)]
pub struct ShapeMix {
    services: BTreeMap<SmolStr, Vec<WeightedShape>>,
}

impl ShapeMix {
    /// Shapes according to the state, weighted by the work that is left of them at `now_ms`.
    pub fn new(state: &GraphState, now_ms: u64) -> Self {
        let mut works: BTreeMap<&SmolStr, BTreeMap<[u32; 3], u128>> = BTreeMap::new();
        let jobs = state.active.iter().filter_map(|id| state.jobs.get(id));
        for job in jobs {
            let Some(occurrence) = due_occurrence(job, now_ms) else { continue };
            let of_service = works.entry(&job.terms.service).or_default();
            for (step, spec) in (0..).zip(&job.spec.steps) {
                let count = remaining_count(job.steps.get(&(occurrence, step)), spec);
                let run_ms = state.typical_run_ms(job, spec).max(1);
                let resources = spec.held_resources();
                let work = u128::from(resources.weight()) * u128::from(count) * u128::from(run_ms);
                if work > 0 {
                    *of_service.entry(shape_key(&resources)).or_default() += work;
                }
            }
        }
        let services = works.into_iter().map(|(service, works)| (service.clone(), weighted(works)));
        Self { services: services.collect() }
    }

    /// Allocation of up to `count` tasks of a step to workers on which some fit, given with their indices
    /// and the numbers of tasks that fit. Slow workers come last and workers of suitable speed first;
    /// among equal ones the other shapes' loss decides, then the least free capacity.
    pub(crate) fn pack(
        &self,
        request: &StepRequest<'_>,
        count: u32,
        candidates: &[(usize, &WorkerCapacity<'_>, u32)],
    ) -> Vec<(usize, u32)> {
        let each = request.spec.held_resources();
        let shapes = self.services.get(&request.terms.service).map_or(&[][..], Vec::as_slice);
        let order = |worker: &WorkerCapacity<'_>, free: ResourceAmounts| {
            let loss = lost_capacity(shapes, free, &each);
            let rank = worker.speed_rank(request);
            let probation = worker.probation_rank(request);
            let is_doubtful = worker.is_doubtful(request);
            (probation, worker.is_slow, rank, loss, free.accelerators, free.cpu_millis, is_doubtful)
        };
        let ordered = candidates
            .iter()
            .enumerate()
            .map(|(position, (_, worker, _))| Reverse((order(worker, worker.free), position)));
        let mut queue: BinaryHeap<_> = ordered.collect();
        let mut taken: Vec<u32> = vec![0; candidates.len()];
        let mut positions = Vec::new();
        for _ in 0..count {
            let Some(Reverse((_, position))) = queue.pop() else { break };
            let Some((_, worker, fit_count)) = candidates.get(position) else { continue };
            let Some(taken) = taken.get_mut(position) else { continue };
            if *taken == 0 {
                positions.push(position);
            }
            *taken += 1;
            if *taken < *fit_count {
                let free = worker.free.minus(&each.scaled(*taken));
                queue.push(Reverse((order(worker, free), position)));
            }
        }
        let allocation = positions.into_iter().filter_map(|position| {
            let (worker_index, ..) = candidates.get(position)?;
            Some((*worker_index, *taken.get(position)?))
        });
        allocation.collect()
    }
}

/// Capacity that the shapes lose on a worker if a task takes `each` of what is free there.
fn lost_capacity(shapes: &[WeightedShape], free: ResourceAmounts, each: &ResourceAmounts) -> u64 {
    let rest = free.minus(each);
    let losses = shapes.iter().map(|shape| {
        let lost = free.fit_count(&shape.resources) - rest.fit_count(&shape.resources);
        shape.place_value.saturating_mul(u64::from(lost))
    });
    losses.fold(0, u64::saturating_add)
}

/// Earliest occurrence of a job that is not finished, if it is due.
fn due_occurrence(job: &JobState, now_ms: u64) -> Option<u32> {
    let mut occurrences = 0..job.spec.occurrences();
    let occurrence = occurrences.find(|occurrence| !job.finished.contains(occurrence))?;
    job.spec.due_ms(occurrence).is_none_or(|due_ms| due_ms <= now_ms).then_some(occurrence)
}

/// Number of a step's tasks that are not done. Tasks that never end need no place once they are placed.
fn remaining_count(state: Option<&StepState>, spec: &StepSpec) -> u32 {
    match state {
        None => spec.count,
        Some(state) if spec.runs_to_completion() => state.remaining_count(),
        Some(state) => state.waiting_count(),
    }
}

fn shape_key(resources: &ResourceAmounts) -> [u32; 3] {
    [resources.accelerators, resources.memory_mb, resources.cpu_millis]
}

/// The shapes with the most work, weighted by their parts of it.
fn weighted(works: BTreeMap<[u32; 3], u128>) -> Vec<WeightedShape> {
    let mut works: Vec<([u32; 3], u128)> = works.into_iter().collect();
    works.sort_by_key(|(shape, work)| (Reverse(*work), *shape));
    works.truncate(MAX_SHAPES);
    let total = works.iter().map(|(_, work)| *work).sum::<u128>().max(1);
    let weighted = works.into_iter().map(|([accelerators, memory_mb, cpu_millis], work)| {
        let resources = ResourceAmounts { cpu_millis, memory_mb, accelerators };
        // A shape with little work still decides between workers that are equal for the others.
        let weight = u64::try_from(work * TOTAL_WEIGHT / total).unwrap_or(u64::MAX).max(1);
        let place_value = resources.weight().saturating_mul(weight);
        WeightedShape { resources, place_value }
    });
    weighted.collect()
}
