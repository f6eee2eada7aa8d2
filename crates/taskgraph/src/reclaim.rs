//! Selects the runs to preempt so that a step can be placed.
//!
//! Only runs that no guarantee covers are preempted, and among them those that lose the least work.
//! The cost of a run is its work since the last checkpoint, weighted by its resources. A gang is
//! preempted as a whole, at the total cost of its members. Where earlier preemptions count,
//! [`crate::reclaim_search`] chooses in place of the greedy choice below.
//! Where learned speeds of instances are used, urgent work takes the faster of workers where it destroys
//! about as much work.

use std::collections::BTreeSet;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::reclaim_search::ReclaimSearch;
use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;
use crate::victim_table::VictimTable;

/// Work that an urgent task may destroy in addition so that it runs on a worker of the next faster class,
/// in ms of its own work: less than the time by which it runs longer on a slower one.
const SPEED_VALUE_MS: u64 = 500;

/// An allocation for a step, and the runs to preempt for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// Worker indices in the capacity map, with their numbers of tasks.
    pub allocation: Vec<(usize, u32)>,
    /// Runs to stop; none if capacity that is already being released suffices.
    pub victims: BTreeSet<RunKey>,
    /// Runs to wait for, because they are about to end.
    pub awaited: BTreeSet<RunKey>,
    /// Work that is lost, in core-ms.
    pub cost: u64,
}

/// Which runs a step may preempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreemptionScope {
    /// All runs that no guarantee covers. Applies to steps that a guarantee covers.
    AllUnguaranteed,
    /// Only runs that no guarantee covers and whose jobs are less urgent than this priority.
    /// Applies to all other steps.
    LessUrgentThan(u8),
}

/// What a step may preempt, and how long it can wait for runs that are about to end.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimTerms {
    /// Runs that the step may preempt.
    pub scope: PreemptionScope,
    /// Maximum work that may be lost, in core-ms.
    pub max_loss: u64,
    /// Until when the step can wait, in ms since the Unix epoch.
    pub latest_wait_ms: u64,
}

/// Cheapest plan for a gang or for `count` tasks of a step. With
/// [`PreemptionScope::AllUnguaranteed`], a step that is not a gang may get a plan for fewer tasks.
/// `None` if even preempting every eligible run does not free enough capacity, or if more work would be
/// lost than the terms permit.
pub fn plan_reclaim(
    map: &CapacityMap<'_>,
    table: &VictimTable,
    terms: ReclaimTerms,
    request: &StepRequest<'_>,
    count: u32,
) -> Option<ReclaimPlan> {
    let plan = if table.counts_preemptions() {
        let search = ReclaimSearch::new(map, table, terms, request, count);
        cheapest_plan(map, request, |is_eligible| search.cheapest(is_eligible))
    } else {
        cheapest_plan(map, request, |is_eligible| {
            let plan = reclaim_among(map, table, terms.scope, request, count, is_eligible)?;
            Some((plan.cost, plan))
        })
    };
    plan.filter(|plan| plan.cost <= terms.max_loss)
}

/// Cheapest plan on the racks that a step asks for; if there is none, the plan on all workers. `plan_among`
/// yields a plan for the eligible workers, preceded by its rank.
fn cheapest_plan<P>(
    map: &CapacityMap<'_>,
    request: &StepRequest<'_>,
    plan_among: P,
) -> Option<ReclaimPlan>
where
    P: Fn(&dyn Fn(&WorkerCapacity<'_>) -> bool) -> Option<(u64, ReclaimPlan)>,
{
    if request.spec.same_rack || request.spec.preferred_rack.is_some() {
        let preferred = request.spec.preferred_rack.as_ref();
        let racks = map
            .racks()
            .into_iter()
            .filter(|rack| preferred.is_none_or(|preferred| preferred == *rack));
        let plans = racks.filter_map(|rack| {
            let on_rack = |worker: &WorkerCapacity<'_>| worker.state.spec.rack == *rack;
            plan_among(&on_rack)
        });
        let cheapest =
            plans.min_by_key(|(rank, plan)| weighted_cost(map, request, *rank, &plan.allocation));
        if let Some((_, plan)) = cheapest {
            return Some(plan);
        }
    }
    plan_among(&|_| true).map(|(_, plan)| plan)
}

fn reclaim_among(
    map: &CapacityMap<'_>,
    table: &VictimTable,
    scope: PreemptionScope,
    request: &StepRequest<'_>,
    count: u32,
    is_eligible: &dyn Fn(&WorkerCapacity<'_>) -> bool,
) -> Option<ReclaimPlan> {
    let mut plan = ReclaimPlan::default();
    let mut stopped: BTreeSet<RunKey> = BTreeSet::new();
    let mut available: Vec<ResourceAmounts> =
        map.workers.iter().map(|worker| worker.free.plus(&worker.releasing)).collect();
    let mut taken: Vec<u32> = vec![0; map.workers.len()];
    for _ in 0..count {
        let options = map.workers.iter().enumerate().filter(|(_, worker)| is_eligible(worker));
        let options = options.filter_map(|(worker_index, worker)| {
            let choice = cheapest_victims(
                worker,
                *available.get(worker_index)?,
                table,
                scope,
                &stopped,
                request,
            )?;
            let unused_accelerators =
                worker.state.spec.resources.minus(&worker.state.used).accelerators;
            (*taken.get(worker_index)? < per_worker_limit(worker, request)).then_some((
                choice.cost,
                unused_accelerators,
                worker_index,
                choice,
            ))
        });
        let cheapest = options.min_by_key(|(cost, unused_accelerators, worker_index, _)| {
            let weighted_cost = weighted_cost(map, request, *cost, &[(*worker_index, 1)]);
            (weighted_cost, *unused_accelerators, *worker_index)
        });
        let Some((_, _, worker_index, choice)) = cheapest else { break };
        plan.cost += choice.cost;
        for victim in choice.victims {
            for (run, worker, resources) in table.group(victim) {
                if stopped.insert(*run)
                    && let Some(victim_worker_index) =
                        map.workers.iter().position(|entry| entry.key == *worker)
                    && let Some(free) = available.get_mut(victim_worker_index)
                {
                    *free = free.plus(resources);
                }
            }
        }
        let free = available.get_mut(worker_index)?;
        *free = free.minus(&request.spec.held_resources());
        *taken.get_mut(worker_index)? += 1;
    }
    let found: u32 = taken.iter().sum();
    // A guaranteed step starts as many tasks as it can, but a gang only starts as a whole.
    let allows_partial = scope == PreemptionScope::AllUnguaranteed && !request.spec.gang;
    plan.victims = stopped;
    plan.allocation = taken.into_iter().enumerate().filter(|(_, count)| *count > 0).collect();
    (found == count || (found > 0 && allows_partial)).then_some(plan)
}

/// Cost of an allocation for an urgent step, with the value of the speed that it lacks; only the loss for
/// other steps.
fn weighted_cost(
    map: &CapacityMap<'_>,
    request: &StepRequest<'_>,
    cost: u64,
    allocation: &[(usize, u32)],
) -> u64 {
    let count: u32 = allocation.iter().map(|(_, count)| count).sum();
    let own_weight = request.spec.held_resources().weight().saturating_mul(u64::from(count));
    let rank = u64::from(map.slowest_rank(request, allocation));
    cost.saturating_add(own_weight.saturating_mul(rank * SPEED_VALUE_MS) / 1_000)
}

pub(crate) fn per_worker_limit(worker: &WorkerCapacity<'_>, request: &StepRequest<'_>) -> u32 {
    worker.fit_count_in(worker.state.spec.resources, request)
}

struct VictimChoice {
    victims: Vec<RunKey>,
    cost: u64,
}

/// Cheapest runs on one worker to preempt so that one more task fits there.
fn cheapest_victims(
    worker: &WorkerCapacity<'_>,
    mut free: ResourceAmounts,
    table: &VictimTable,
    scope: PreemptionScope,
    stopped: &BTreeSet<RunKey>,
    request: &StepRequest<'_>,
) -> Option<VictimChoice> {
    let needed = request.spec.held_resources();
    let mut choice = VictimChoice { victims: Vec::new(), cost: 0 };
    if worker.fit_count_in(worker.state.spec.resources, request) == 0 {
        return None;
    }
    let mut candidates: Vec<(u64, RunKey, ResourceAmounts)> = worker
        .state
        .runs
        .iter()
        .filter(|(run, _)| !stopped.contains(run))
        .filter_map(|(run, held)| {
            table.preemption_cost(run, scope).map(|cost| (cost, *run, held.resources))
        })
        .collect();
    candidates.sort_by_key(|(cost, run, _)| (*cost, *run));
    let mut candidates = candidates.into_iter();
    while !free.covers(&needed) {
        let (cost, run, held) = candidates.next()?;
        free = free.plus(&held);
        choice.cost += cost;
        choice.victims.push(run);
    }
    remove_unneeded_victims(&mut choice, free, &needed, worker);
    Some(choice)
}

/// Removes victims that the task does not need to fit, the most expensive first.
fn remove_unneeded_victims(
    choice: &mut VictimChoice,
    mut free: ResourceAmounts,
    needed: &ResourceAmounts,
    worker: &WorkerCapacity<'_>,
) {
    let victims = std::mem::take(&mut choice.victims);
    for run in victims.into_iter().rev() {
        let held = worker.state.runs.get(&run).map(|held| held.resources).unwrap_or_default();
        let without = free.minus(&held);
        if without.covers(needed) && free.covers(&held) {
            free = without;
        } else {
            choice.victims.push(run);
        }
    }
}
