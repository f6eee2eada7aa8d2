//! Whom to stop so that an urgent step within its team's guarantee can begin.
//!
//! Only work that no guarantee covers is stopped, and of that what loses least: work done since
//! the last checkpoint, weighed by what it holds. A gang is stopped whole and counts whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::disruption_budget::StepBudget;
use crate::disruption_budget::limit_of;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Work that a checkpoint can lose at most, in ms: checkpoints are made about every second.
const CHECKPOINT_LOSS_MS: u64 = 1_000;

/// A place for a step, and whom to stop for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReclaimPlan {
    /// Places in the room map, with the tasks that each takes.
    pub places: Vec<(usize, u32)>,
    /// Runs to stop; none where room that is coming free is enough.
    pub victims: BTreeSet<RunKey>,
    /// Work that is lost, in core-ms.
    pub cost: u64,
}

/// Which runs work may stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// All that no guarantee covers.
    Everything,
    /// Of these, those of jobs less urgent than this priority.
    LessUrgentThan(u8),
}

/// Runs that may be stopped, with what that loses.
#[derive(Clone, Debug, Default)]
pub struct VictimTable {
    /// Work that is lost with a run and all that goes with it, in core-ms.
    cost: BTreeMap<RunKey, u64>,
    /// Priority of a run's job.
    priority: BTreeMap<RunKey, u8>,
    /// All runs that end with a run: itself, and for a gang all members.
    group: BTreeMap<RunKey, Vec<(RunKey, WorkerKey, ResourceAmounts)>>,
}

impl VictimTable {
    /// Runs of jobs that no guarantee covers and that are not being stopped already.
    pub fn new(state: &GraphState, covered: &BTreeMap<JobId, bool>, now_ms: u64) -> Self {
        let mut gangs: BTreeMap<StepKey, Vec<(RunKey, WorkerKey, ResourceAmounts)>> =
            BTreeMap::new();
        let mut limited: BTreeSet<StepKey> = BTreeSet::new();
        let mut table = Self::default();
        for (worker, entry) in &state.workers {
            for (run, held) in &entry.runs {
                let step = run.task.step;
                let is_covered = covered.get(&step.job).copied().unwrap_or(false);
                let Some(job) = state.jobs.get(&step.job) else { continue };
                if is_covered || held.stop_cause.is_some() || !job.is_active() {
                    continue;
                }
                let Some(spec) = job.step_spec(step.step) else { continue };
                if limit_of(spec).is_some() {
                    limited.insert(step);
                }
                let ran_ms = now_ms.saturating_sub(held.placed_ms);
                let lost_ms =
                    if spec.saves_progress { ran_ms.min(CHECKPOINT_LOSS_MS) } else { ran_ms };
                table.priority.insert(*run, job.terms.priority);
                table.cost.insert(*run, lost_ms.saturating_mul(held.resources.weight()) / 1_000);
                let member = (*run, *worker, held.resources);
                if spec.gang {
                    gangs.entry(step).or_default().push(member);
                } else {
                    table.group.insert(*run, vec![member]);
                }
            }
        }
        for members in gangs.into_values() {
            table.add_gang(members);
        }
        for step in limited {
            table.keep_within(StepBudget::of(state, step, now_ms));
        }
        table
    }

    /// Takes out what must not be stopped now: all runs of a step but the cheapest ones within its
    /// budget.
    fn keep_within(&mut self, budget: Option<StepBudget>) {
        let Some(StepBudget { runs, stoppable }) = budget else { return };
        let cost_of = |run: RunKey| self.cost.get(&run).map(|cost| (*cost, run));
        let mut runs: Vec<(u64, RunKey)> = runs.into_iter().filter_map(cost_of).collect();
        runs.sort_unstable();
        let is_beyond = runs.iter().any(|(_, run)| self.group(*run).len() > stoppable);
        let kept = if is_beyond { 0 } else { stoppable };
        let spared: Vec<RunKey> = runs.into_iter().skip(kept).map(|(_, run)| run).collect();
        self.remove(&spared);
    }

    fn add_gang(&mut self, members: Vec<(RunKey, WorkerKey, ResourceAmounts)>) {
        let cost: u64 = members.iter().filter_map(|(run, _, _)| self.cost.get(run)).sum();
        for (run, _, _) in &members {
            self.cost.insert(*run, cost);
            self.group.insert(*run, members.clone());
        }
    }

    /// Work that is lost with a run, where work of this priority may stop it. What a guarantee
    /// covers may stop everything else; other work only what is less urgent.
    fn cost_for(&self, run: &RunKey, reach: Reach) -> Option<u64> {
        let is_within = match reach {
            Reach::Everything => true,
            Reach::LessUrgentThan(priority) => self.priority.get(run)? > &priority,
        };
        self.cost.get(run).copied().filter(|_| is_within)
    }

    /// Takes out runs that are being stopped.
    pub fn remove(&mut self, runs: &[RunKey]) {
        for run in runs {
            self.cost.remove(run);
            self.group.remove(run);
        }
    }

    /// Runs that end with a run.
    pub fn group(&self, run: RunKey) -> &[(RunKey, WorkerKey, ResourceAmounts)] {
        self.group.get(&run).map(Vec::as_slice).unwrap_or_default()
    }
}

/// The cheapest place for a gang or for `count` tasks of a step, for fewer tasks where `reach` is
/// everything; nothing where even stopping everything that may be stopped gives no room.
pub fn plan_reclaim(
    map: &CapacityMap<'_>,
    table: &VictimTable,
    reach: Reach,
    request: &StepRequest<'_>,
    count: u32,
) -> Option<ReclaimPlan> {
    if request.spec.same_rack || request.spec.preferred_rack.is_some() {
        let near = request.spec.preferred_rack.as_ref();
        let racks = map.racks().into_iter().filter(|rack| near.is_none_or(|near| near == *rack));
        let plans = racks.filter_map(|rack| {
            let on_rack = |room: &WorkerCapacity<'_>| room.state.spec.rack == *rack;
            reclaim_among(map, table, reach, request, count, on_rack)
        });
        if let Some(plan) = plans.min_by_key(|plan| plan.cost) {
            return Some(plan);
        }
    }
    reclaim_among(map, table, reach, request, count, |_| true)
}

fn reclaim_among<F>(
    map: &CapacityMap<'_>,
    table: &VictimTable,
    reach: Reach,
    request: &StepRequest<'_>,
    count: u32,
    is_wanted: F,
) -> Option<ReclaimPlan>
where
    F: Fn(&WorkerCapacity<'_>) -> bool,
{
    let mut plan = ReclaimPlan::default();
    let mut stopped: BTreeSet<RunKey> = BTreeSet::new();
    let mut rooms: Vec<ResourceAmounts> =
        map.rooms.iter().map(|room| room.free.plus(&room.coming)).collect();
    let mut taken: Vec<u32> = vec![0; map.rooms.len()];
    for _ in 0..count {
        let options = map.rooms.iter().enumerate().filter(|(_, room)| is_wanted(room));
        let options = options.filter_map(|(place, room)| {
            let choice =
                cheapest_victims(room, *rooms.get(place)?, table, reach, &stopped, request)?;
            let left = room.state.spec.resources.minus(&room.state.used).accelerators;
            (*taken.get(place)? < per_worker_limit(room, request)).then_some((
                choice.cost,
                left,
                place,
                choice,
            ))
        });
        let cheapest = options.min_by_key(|(cost, left, place, _)| (*cost, *left, *place));
        let Some((_, _, place, choice)) = cheapest else { break };
        plan.cost += choice.cost;
        for victim in choice.victims {
            for (run, worker, room) in table.group(victim) {
                if stopped.insert(*run)
                    && let Some(index) = map.rooms.iter().position(|entry| entry.key == *worker)
                    && let Some(free) = rooms.get_mut(index)
                {
                    *free = free.plus(room);
                }
            }
        }
        let free = rooms.get_mut(place)?;
        *free = free.minus(&request.spec.held_resources());
        *taken.get_mut(place)? += 1;
    }
    let found: u32 = taken.iter().sum();
    // What a guarantee covers begins as far as it can; a gang begins whole.
    let is_partial_useful = reach == Reach::Everything && !request.spec.gang;
    plan.victims = stopped;
    plan.places = taken.into_iter().enumerate().filter(|(_, count)| *count > 0).collect();
    (found == count || (found > 0 && is_partial_useful)).then_some(plan)
}

fn per_worker_limit(room: &WorkerCapacity<'_>, request: &StepRequest<'_>) -> u32 {
    room.fit_into(room.state.spec.resources, request)
}

struct VictimChoice {
    victims: Vec<RunKey>,
    cost: u64,
}

/// Runs of one worker to stop so that one more task fits there.
fn cheapest_victims(
    room: &WorkerCapacity<'_>,
    mut free: ResourceAmounts,
    table: &VictimTable,
    reach: Reach,
    stopped: &BTreeSet<RunKey>,
    request: &StepRequest<'_>,
) -> Option<VictimChoice> {
    let needed = request.spec.held_resources();
    let mut choice = VictimChoice { victims: Vec::new(), cost: 0 };
    if room.fit_into(room.state.spec.resources, request) == 0 {
        return None;
    }
    let mut candidates: Vec<(u64, RunKey, ResourceAmounts)> = room
        .state
        .runs
        .iter()
        .filter(|(run, _)| !stopped.contains(run))
        .filter_map(|(run, held)| {
            table.cost_for(run, reach).map(|cost| (cost, *run, held.resources))
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
    drop_needless(&mut choice, free, &needed, room);
    Some(choice)
}

/// Spares victims without which the task fits as well, the costliest first.
fn drop_needless(
    choice: &mut VictimChoice,
    mut free: ResourceAmounts,
    needed: &ResourceAmounts,
    room: &WorkerCapacity<'_>,
) {
    let victims = std::mem::take(&mut choice.victims);
    for run in victims.into_iter().rev() {
        let held = room.state.runs.get(&run).map(|held| held.resources).unwrap_or_default();
        let without = free.minus(&held);
        if without.covers(needed) && free.covers(&held) {
            free = without;
        } else {
            choice.victims.push(run);
        }
    }
}
