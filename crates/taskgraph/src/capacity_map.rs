//! Free capacity of all workers during one planning round, after the round's own allocations.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_terms::JobTerms;
use crate::job_terms::URGENT_PRIORITY;
use crate::resource_amounts::ResourceAmounts;
use crate::shape_packing::ShapeMix;
use crate::speed_profile::SpeedClass;
use crate::step_advice::StepAdvice;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;
use crate::worker_health::HealthReport;

/// Number of consecutive failed or stalled runs after which a worker is quarantined. A single
/// failure may be the task's own fault.
pub(crate) const QUARANTINE_FAILURES: u32 = 2;
/// Duration of a quarantine, in ms. The next task placed afterwards tests the worker.
pub(crate) const QUARANTINE_DURATION_MS: u64 = 8_000;
/// At most one in this many workers may be quarantined at once, so that failing jobs can't take the
/// whole fleet out of use.
pub(crate) const MAX_QUARANTINED_DIVISOR: usize = 3;

/// Number of runs on a worker beyond which tasks are placed there only if their job has no run at all.
/// An agent starts and lists each run by itself, on a small share of a processor; workers that are full
/// of ordinary tasks have far fewer.
const MAX_RUNS_PER_WORKER: usize = 256;

/// Requirements that a step has of workers.
#[derive(Clone, Copy, Debug)]
pub struct StepRequest<'a> {
    /// Key of the step.
    pub step: StepKey,
    /// Specification of the step.
    pub spec: &'a StepSpec,
    /// Terms under which the step's job was accepted.
    pub terms: &'a JobTerms,
    /// Workers to avoid because tasks of the step failed on them.
    pub failed_workers: &'a [WorkerKey],
    /// Whether slow workers are excluded.
    pub avoids_slow_workers: bool,
    /// Whether no task of the step's job is placed.
    pub is_first: bool,
    /// Whether workers on probation count as others.
    pub uses_probation: bool,
    /// Advice on the workers that may run the step; `None` if all may.
    pub advice: Option<AdviceView<'a>>,
}

/// Advice on an advised step, evaluated at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct AdviceView<'a> {
    /// Advice received so far; `None` before the first answer.
    pub advice: Option<&'a StepAdvice>,
    /// Wall clock, in ms since the Unix epoch.
    pub now_ms: u64,
}

impl AdviceView<'_> {
    /// Whether a task may be placed on a worker now.
    pub fn is_usable(&self, worker: WorkerKey) -> bool {
        self.advice.is_some_and(|advice| advice.is_usable(worker, self.now_ms))
    }

    /// Whether the advising service need not be asked about a worker now.
    pub fn is_known(&self, worker: WorkerKey) -> bool {
        let is_forbidden = self.advice.is_some_and(|advice| advice.is_forbidden(worker));
        is_forbidden || self.is_usable(worker)
    }
}

/// Capacity of one worker.
#[derive(Clone, Debug)]
pub struct WorkerCapacity<'a> {
    /// Key of the worker.
    pub key: WorkerKey,
    /// State of the worker at the start of the round.
    pub state: &'a WorkerState,
    /// Resources that neither a run nor this round holds.
    pub free: ResourceAmounts,
    /// Resources of runs that are being stopped, as far as this round has not allocated them.
    pub releasing: ResourceAmounts,
    /// Whether the worker failed too many runs recently.
    pub is_quarantined: bool,
    /// Whether the worker is on probation after a quarantine; never unless probation is used.
    pub is_on_probation: bool,
    /// Latest response of the worker to a health check; `None` unless health is used.
    pub health: Option<HealthReport>,
    /// Whether the worker counts as unhealthy; never unless health is used.
    pub is_unhealthy: bool,
    /// Whether the worker was recently reported as slow.
    pub is_slow: bool,
    /// Whether the worker's data centre is evacuated.
    pub is_evacuated: bool,
    /// Learned speed of the worker's instance; typical unless speed profiles are used.
    pub speed: SpeedClass,
    /// Accelerators that urgent work holds, or that this round has allocated to it.
    pub urgent_accelerators: u32,
    /// Priority of the waiting work that the worker is reserved for by this round.
    pub reserved_for: Option<u8>,
    /// Tasks that this round has placed on the worker, by step.
    pub(crate) placed: Vec<(StepKey, u32)>,
}

impl WorkerCapacity<'_> {
    /// Whether new tasks may be placed on the worker as far as the log is concerned.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready() && !self.is_evacuated
    }

    /// Whether new tasks may be placed on the worker.
    pub fn is_usable(&self) -> bool {
        self.is_ready() && !self.is_quarantined
    }

    /// Whether the worker may run the step at all, however much of it is in use.
    pub fn is_feasible(&self, request: &StepRequest<'_>) -> bool {
        self.is_usable()
            && self.is_suitable(request)
            && request.advice.is_none_or(|advice| advice.is_usable(self.key))
    }

    /// Whether the worker has what the step requires, whether it takes tasks now or not.
    fn is_suitable(&self, request: &StepRequest<'_>) -> bool {
        self.state.spec.service == request.terms.service
            && self.state.has_label(request.spec.required_label.as_ref())
            && self.state.spec.resources.covers(&request.spec.held_resources())
    }

    /// Whether this round has placed tasks on the worker.
    pub(crate) fn has_new_tasks(&self) -> bool {
        !self.placed.is_empty()
    }

    /// How many of the step's tasks would fit if the worker were empty and not reserved.
    pub(crate) fn empty_fit_count(&self, request: &StepRequest<'_>) -> u32 {
        self.unreserved_fit_count(self.state.spec.resources, request)
    }

    /// How many of the step's tasks fit into `available` on this worker.
    pub fn fit_count_in(&self, available: ResourceAmounts, request: &StepRequest<'_>) -> u32 {
        if self.is_reserved_against(request) {
            return 0;
        }
        self.unreserved_fit_count(available, request)
    }

    fn unreserved_fit_count(&self, available: ResourceAmounts, request: &StepRequest<'_>) -> u32 {
        let is_avoided = request.avoids_slow_workers && self.is_slow;
        if is_avoided || !self.is_feasible(request) || request.failed_workers.contains(&self.key) {
            return 0;
        }
        let count = available.fit_count(&request.spec.held_resources());
        let count = count.min(self.probation_limit(request));
        let limit = request.spec.max_per_worker;
        if limit == 0 {
            count
        } else {
            count.min(limit.saturating_sub(self.tasks_of(request.step)))
        }
    }

    /// How many of the step's tasks fit into the free capacity.
    pub fn fit_count(&self, request: &StepRequest<'_>) -> u32 {
        let count = self.fit_count_in(self.free, request);
        let StepSpec { gang, long_running, resources, .. } = request.spec;
        // Accelerators limit the number of tasks that use them.
        if *gang || *long_running || resources.accelerators > 0 {
            return count;
        }
        let placed: u32 = self.placed.iter().map(|(_, count)| count).sum();
        let runs = self.state.runs.len().saturating_add(placed as usize);
        let remaining = MAX_RUNS_PER_WORKER.saturating_sub(runs).max(usize::from(request.is_first));
        count.min(u32::try_from(remaining).unwrap_or(u32::MAX))
    }

    /// Rank of the worker by its learned speed, the most suitable first: urgent work prefers faster
    /// workers, and other work leaves them to it.
    pub(crate) fn speed_rank(&self, request: &StepRequest<'_>) -> u8 {
        let rank = self.speed as u8;
        if request.terms.priority == URGENT_PRIORITY {
            rank
        } else {
            SpeedClass::Slower as u8 - rank
        }
    }

    fn tasks_of(&self, step: StepKey) -> u32 {
        let held = self.state.runs.keys().filter(|run| run.task.step == step).count();
        let placed = self.placed.iter().filter(|(other, _)| *other == step);
        let placed: u32 = placed.map(|(_, count)| count).sum();
        u32::try_from(held).unwrap_or(u32::MAX).saturating_add(placed)
    }
}

/// Capacity of all workers.
#[derive(Clone, Debug)]
pub struct CapacityMap<'a> {
    /// Workers, ordered by key.
    pub workers: Vec<WorkerCapacity<'a>>,
    /// Jobs with a placed task.
    placed_jobs: BTreeSet<JobId>,
    /// Shapes of active work, if they count in the choice of workers.
    shapes: Option<ShapeMix>,
}

impl<'a> CapacityMap<'a> {
    /// Capacity according to the state, with quarantine and slowness evaluated at `now_ms`.
    pub fn new(state: &'a GraphState, now_ms: u64) -> Self {
        let mut workers: Vec<WorkerCapacity<'a>> =
            state.workers.iter().map(|(key, worker)| capacity_of(*key, worker)).collect();
        workers
            .iter_mut()
            .for_each(|worker| worker.is_evacuated = state.is_evacuated(worker.state));
        let remaining = workers.iter().filter(|worker| !worker.is_evacuated).count();
        let mut quarantine_budget = remaining / MAX_QUARANTINED_DIVISOR;
        for worker in &mut workers {
            let runs = worker.state.runs.iter();
            let urgent = runs.filter(|(run, _)| state.is_urgent(run.task.step.job));
            worker.urgent_accelerators = urgent.map(|(_, held)| held.resources.accelerators).sum();
            worker.is_slow = state.is_slow(worker.key, now_ms);
            let has_failed_recently = worker.state.consecutive_failures >= QUARANTINE_FAILURES
                && now_ms < worker.state.last_failure_ms + QUARANTINE_DURATION_MS;
            if has_failed_recently && !worker.is_evacuated && quarantine_budget > 0 {
                worker.is_quarantined = true;
                quarantine_budget -= 1;
            }
        }
        let runs = state.workers.values().flat_map(|worker| worker.runs.keys());
        let placed_jobs = runs.map(|run| run.task.step.job).collect();
        Self { workers, placed_jobs, shapes: None }
    }

    /// Takes the learned speeds of instances into account.
    pub fn use_speed_profiles(&mut self, state: &GraphState) {
        let classes = state.speed_classes();
        for worker in &mut self.workers {
            worker.speed = classes.get(&worker.key).copied().unwrap_or_default();
        }
    }

    /// Lets the shapes of active work decide between workers.
    pub fn use_shapes(&mut self, shapes: ShapeMix) {
        self.shapes = Some(shapes);
    }

    /// Whether no task of a job is placed, not even by this round.
    pub fn is_unplaced(&self, job: JobId) -> bool {
        !self.placed_jobs.contains(&job)
    }

    /// Why no worker can run a step.
    pub fn unfit_reason(&self, request: &StepRequest<'_>) -> &'static str {
        let service = &request.terms.service;
        let of_service = self.workers.iter().filter(|worker| worker.state.spec.service == *service);
        let (evacuated, others): (Vec<_>, Vec<_>) =
            of_service.partition(|worker| worker.is_evacuated);
        if others.is_empty() && !evacuated.is_empty() {
            "all data centres are evacuated"
        } else if evacuated.iter().any(|worker| worker.is_suitable(request))
            && !others.iter().any(|worker| worker.is_suitable(request))
        {
            "the fitting workers are in an evacuated data centre"
        } else {
            "no fitting worker"
        }
    }

    /// Names of all racks, sorted and without duplicates.
    pub fn racks(&self) -> Vec<&'a SmolStr> {
        let mut racks: Vec<&'a SmolStr> = self
            .workers
            .iter()
            .map(|worker| &worker.state.spec.rack)
            .filter(|rack| !rack.is_empty())
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Best-fit allocation of up to `count` tasks of a step to the workers that satisfy
    /// `is_eligible`, as worker indices with their numbers of tasks. Workers of suitable speed and
    /// with the least free capacity are filled first, and slow ones last. Where shapes count, the least
    /// loss to them precedes the least free capacity.
    pub fn pack<F>(
        &self,
        request: &StepRequest<'_>,
        count: u32,
        is_eligible: F,
    ) -> Vec<(usize, u32)>
    where
        F: Fn(&WorkerCapacity<'_>) -> bool,
    {
        let eligible = self.workers.iter().enumerate().filter(|(_, worker)| is_eligible(worker));
        let fitting = eligible
            .map(|(worker_index, worker)| (worker_index, worker, worker.fit_count(request)))
            .filter(|(.., fit_count)| *fit_count > 0);
        if let Some(shapes) = &self.shapes {
            return shapes.pack(request, count, &fitting.collect::<Vec<_>>());
        }
        let mut candidates: Vec<(PackRank, usize, u32)> = fitting
            .map(|(worker_index, worker, fit_count)| {
                let rank = PackRank {
                    probation: worker.probation_rank(request),
                    is_slow: worker.is_slow,
                    speed: worker.speed_rank(request),
                    accelerators: worker.free.accelerators,
                    cpu_millis: worker.free.cpu_millis,
                    is_doubtful: worker.is_doubtful(request),
                };
                (rank, worker_index, fit_count)
            })
            .collect();
        candidates.sort_unstable();
        let mut remaining = count;
        let mut allocation = Vec::new();
        for (.., worker_index, fit_count) in candidates {
            let taken = fit_count.min(remaining);
            if taken > 0 {
                allocation.push((worker_index, taken));
                remaining -= taken;
            }
        }
        allocation
    }

    /// Allocation on the rack that holds all tasks and has the fewest free accelerators. An urgent gang
    /// prefers a rack on which its slowest member is faster.
    pub fn tightest_rack(
        &self,
        request: &StepRequest<'_>,
        count: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let racks = self.racks().into_iter().filter_map(|rack| {
            let on_rack = |worker: &WorkerCapacity<'_>| worker.state.spec.rack == *rack;
            let allocation = self.pack(request, count, on_rack);
            let workers = self.workers.iter().filter(|worker| on_rack(worker));
            let free: u32 = workers.map(|worker| worker.free.accelerators).sum();
            is_complete(&allocation, count)
                .then(|| ((self.slowest_rank(request, &allocation), free), allocation))
        });
        racks.min_by_key(|(order, _)| *order).map(|(_, allocation)| allocation)
    }

    /// Highest rank by speed of the workers that an urgent step is allocated to; 0 for other steps.
    pub(crate) fn slowest_rank(
        &self,
        request: &StepRequest<'_>,
        allocation: &[(usize, u32)],
    ) -> u8 {
        if request.terms.priority != URGENT_PRIORITY {
            return 0;
        }
        let workers = allocation.iter().filter_map(|(index, _)| self.workers.get(*index));
        workers.map(|worker| worker.speed_rank(request)).max().unwrap_or(0)
    }

    /// Whether any worker was recently reported as slow.
    pub fn has_slow_workers(&self) -> bool {
        self.workers.iter().any(|worker| worker.is_slow)
    }

    /// Allocates capacity of a worker to tasks of a step: free capacity first, then capacity that
    /// is being released.
    pub fn allocate(&mut self, worker_index: usize, request: &StepRequest<'_>, count: u32) {
        let Some(worker) = self.workers.get_mut(worker_index) else { return };
        let taken = request.spec.held_resources().scaled(count);
        let shortfall = taken.minus(&worker.free);
        worker.free = worker.free.minus(&taken);
        worker.releasing = worker.releasing.minus(&shortfall);
        if request.terms.priority == URGENT_PRIORITY {
            worker.urgent_accelerators += taken.accelerators;
        }
        worker.placed.push((request.step, count));
        self.placed_jobs.insert(request.step.job);
    }

    /// Counts the resources of a run as releasing, because this round stops the run.
    pub fn mark_releasing(&mut self, worker: WorkerKey, resources: &ResourceAmounts) {
        if let Some(entry) = self.workers.iter_mut().find(|entry| entry.key == worker) {
            entry.releasing = entry.releasing.plus(resources);
        }
    }
}

/// Order in which a step's tasks fill workers; compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PackRank {
    probation: u8,
    is_slow: bool,
    speed: u8,
    /// Free accelerators.
    accelerators: u32,
    /// Free processor time.
    cpu_millis: u32,
    is_doubtful: bool,
}

fn capacity_of(key: WorkerKey, worker: &WorkerState) -> WorkerCapacity<'_> {
    let stopping = worker.runs.values().filter(|run| run.stop_cause.is_some());
    let releasing = stopping.fold(ResourceAmounts::default(), |sum, run| sum.plus(&run.resources));
    WorkerCapacity {
        key,
        state: worker,
        free: worker.free(),
        releasing,
        is_quarantined: false,
        is_on_probation: false,
        health: None,
        is_unhealthy: false,
        is_slow: false,
        is_evacuated: false,
        speed: SpeedClass::default(),
        urgent_accelerators: 0,
        reserved_for: None,
        placed: Vec::new(),
    }
}

/// Whether an allocation covers all of `count` tasks.
pub(crate) fn is_complete(allocation: &[(usize, u32)], count: u32) -> bool {
    allocation.iter().map(|(_, count)| count).sum::<u32>() == count
}
