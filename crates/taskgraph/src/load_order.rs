//! Order of waiting steps while a service has too little capacity for them.
//!
//! Answers a full service: as long as what waits fits into the capacity that is free or about to be, the
//! order of [`crate::step_queue`] remains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;

use crate::capacity_forecast::CapacityForecast;
use crate::capacity_forecast::HeldCapacity;
use crate::capacity_forecast::WHOLE_CAPACITY;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_terms::URGENT_PRIORITY;
use crate::plan_round::PlannerInput;
use crate::remaining_work::ServiceLoad;
use crate::step_queue::Timeliness;
use crate::step_queue::WaitingStep;
use crate::task_key::StepKey;
use crate::team_shares::TeamDemand;
use crate::team_shares::TeamShare;
use crate::team_shares::TeamShares;
use crate::waiting_cost::CostClass;
use crate::waiting_cost::WaitingWork;
use crate::waiting_cost::waiting_costs;

/// Capacity counts as free if a run is expected to end within this time, in ms. It is the longest time
/// between two rounds while jobs wait.
const SOON_MS: u64 = 250;

/// A step that is put behind others of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayedStep {
    /// Key of the step.
    pub step: StepKey,
    /// Why the step is put behind others.
    pub reason: &'static str,
    /// What the decision follows from.
    pub inputs: DelayInputs,
}

/// Inputs of the decision to put a step behind others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayInputs {
    /// The cost of waiting.
    Cost {
        /// When the job misses its latency objective, in ms since the Unix epoch.
        objective_at_ms: u64,
        /// When the result is expected if it is placed first, in ms since the Unix epoch.
        earliest_ms: u64,
        /// Time that the whole service needs for the work left to place, in ms.
        work_ms: u64,
    },
    /// The team's share, and its use with what precedes in the order.
    Share(TeamShare),
}

impl fmt::Display for DelayInputs {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cost { objective_at_ms, earliest_ms, work_ms } => {
                write!(formatter, "objective_at_ms={objective_at_ms} ")?;
                write!(formatter, "earliest_ms={earliest_ms} work_ms={work_ms}")
            }
            Self::Share(TeamShare { share, used }) => {
                let permille = |capacity| u128::from(capacity) * 1_000 / u128::from(WHOLE_CAPACITY);
                let (used, share) = (permille(*used), permille(*share));
                write!(formatter, "used_permille={used} share_permille={share}")
            }
        }
    }
}

/// Position of a step among those of its priority, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadRank {
    /// Class: the timeliness, or the class by cost where capacity is short.
    pub(crate) class: u8,
    /// Whether the step's team is above its share.
    is_above_share: bool,
    /// Order within the class.
    key: u128,
}

impl LoadRank {
    /// Position while there is capacity for everything.
    pub fn without_load(timeliness: Timeliness, objective_at_ms: u64) -> Self {
        let key = u128::from(objective_at_ms);
        Self { class: timeliness as u8, is_above_share: false, key }
    }
}

/// Sets the ranks of the steps of each service in which capacity is short. Steps covered by a guarantee
/// and those that are too late keep their ranks. Returns the steps that are put behind others.
pub fn rank_under_load(
    state: &GraphState,
    input: &PlannerInput,
    waiting: &mut [WaitingStep<'_>],
) -> Vec<DelayedStep> {
    let mut delayed = Vec::new();
    let options = input.options;
    if !options.cost_order && !options.team_shares {
        return delayed;
    }
    let services: BTreeSet<SmolStr> =
        waiting.iter().map(|step| step.job.terms.service.clone()).collect();
    for service in services {
        let mut load = ServiceLoad::new(state, &service, input.now_ms);
        let mut steps: Vec<&mut WaitingStep<'_>> = waiting
            .iter_mut()
            .filter(|step| step.job.terms.service == service)
            .filter(|step| step.timeliness != Timeliness::TooLate)
            .collect();
        if !is_short(&mut load, &steps) {
            continue;
        }
        let shares = options.team_shares.then(|| team_shares(&mut load, &steps, input));
        if let Some(shares) = &shares {
            rank_by_share(&mut load, shares.clone(), &mut steps);
        }
        if options.cost_order {
            rank_by_cost(state, &mut load, &mut steps, input.now_ms, &mut delayed);
        }
        if let Some(shares) = shares {
            let by_share = rank_by_share(&mut load, shares, &mut steps);
            let known: BTreeSet<StepKey> = delayed.iter().map(|delayed| delayed.step).collect();
            delayed.extend(by_share.into_iter().filter(|other| !known.contains(&other.step)));
        }
    }
    delayed
}

/// Whether the waiting tasks need more capacity than is free or expected to be soon.
fn is_short(load: &mut ServiceLoad<'_>, steps: &[&mut WaitingStep<'_>]) -> bool {
    let needed = steps.iter().map(|step| load.needed_capacity(step)).fold(0, u64::saturating_add);
    let held = load.running.iter().map(|run| run.held).collect();
    needed > CapacityForecast::new(held).free_capacity(SOON_MS)
}

/// Shares of the teams that use the service or wait for it.
fn team_shares(
    load: &mut ServiceLoad<'_>,
    steps: &[&mut WaitingStep<'_>],
    input: &PlannerInput,
) -> TeamShares {
    let mut demands: BTreeMap<SmolStr, TeamDemand> = BTreeMap::new();
    for run in load.running.iter().filter(|run| !run.is_stopping) {
        let demand = demands.entry(run.team.clone()).or_default();
        demand.used = demand.used.saturating_add(run.held.size);
    }
    for step in steps {
        let demand = demands.entry(step.job.terms.team.clone()).or_default();
        demand.waiting = demand.waiting.saturating_add(load.needed_capacity(step));
    }
    TeamShares::new(&demands, &input.guarantees)
}

/// Marks the steps whose team is above its share when all that precedes them is placed. Returns those
/// that are so put behind steps of other teams.
fn rank_by_share(
    load: &mut ServiceLoad<'_>,
    mut shares: TeamShares,
    steps: &mut [&mut WaitingStep<'_>],
) -> Vec<DelayedStep> {
    steps.iter_mut().for_each(|step| step.rank.is_above_share = false);
    steps.sort_by_key(|step| step.position());
    let mut shares_before = Vec::with_capacity(steps.len());
    for step in steps.iter_mut() {
        let size = load.needed_capacity(step);
        let share = shares.take(&step.job.terms.team, size);
        step.rank.is_above_share = share.is_above(size) && !step.is_guaranteed;
        shares_before.push(share);
    }
    let mut delayed = Vec::new();
    let mut preferred: BTreeSet<(u8, u8)> = BTreeSet::new();
    for (step, share) in steps.iter().zip(shares_before).rev() {
        if !step.rank.is_above_share {
            preferred.insert(step.class());
        } else if preferred.contains(&step.class()) {
            let (reason, inputs) = ("its team is above its share", DelayInputs::Share(share));
            delayed.push(DelayedStep { step: step.key, reason, inputs });
        }
    }
    delayed
}

/// Ranks the steps of one service by the cost of waiting, from the most urgent priority on.
fn rank_by_cost(
    state: &GraphState,
    load: &mut ServiceLoad<'_>,
    steps: &mut [&mut WaitingStep<'_>],
    now_ms: u64,
    delayed: &mut Vec<DelayedStep>,
) {
    let mut work_ahead = 0;
    let mut results: BTreeMap<u8, BTreeMap<(JobId, u32), WaitingWork>> = BTreeMap::new();
    let mut guaranteed: BTreeSet<(JobId, u32)> = BTreeSet::new();
    for step in steps.iter() {
        let result = (step.key.job, step.key.occurrence);
        if step.is_guaranteed {
            if guaranteed.insert(result) {
                work_ahead += load.waiting_work(state, step).work;
            }
        } else if is_ranked(step) {
            let of_priority = results.entry(step.job.terms.priority).or_default();
            let known = of_priority.entry(result);
            let work = known.or_insert_with(|| load.waiting_work(state, step));
            work.is_above_share |= step.rank.is_above_share;
            work.first_size = work.first_size.min(load.first_size(step));
        }
    }
    for (priority, results) in results {
        let held = load.running.iter().filter(|run| is_held_against(priority, run.priority));
        let held: Vec<HeldCapacity> = held.map(|run| run.held).collect();
        let forecast = CapacityForecast::new(held);
        let works: Vec<WaitingWork> = results.values().copied().collect();
        let late = load.running.iter().filter(|run| run.is_late && run.priority == priority);
        let late_capacity = late.map(|run| run.held.size).fold(0, u64::saturating_add);
        let costs = waiting_costs(&forecast, work_ahead, late_capacity, &works, now_ms);
        work_ahead += works.iter().map(|work| work.work).sum::<u128>();
        let costs: BTreeMap<(JobId, u32), _> =
            results.keys().copied().zip(works.iter().zip(costs)).collect();
        for step in steps.iter_mut().filter(|step| is_ranked(step)) {
            let result = (step.key.job, step.key.occurrence);
            let Some((work, cost)) = costs.get(&result) else { continue };
            step.rank = LoadRank { class: cost.class as u8, key: cost.key, ..step.rank };
            if let Some(reason) = delay_reason(cost.class, cost.earliest_ms, work) {
                let inputs = DelayInputs::Cost {
                    objective_at_ms: work.objective_at_ms,
                    earliest_ms: cost.earliest_ms,
                    work_ms: work.whole_service_ms(),
                };
                delayed.push(DelayedStep { step: step.key, reason, inputs });
            }
        }
    }
}

/// Whether the cost of waiting decides on a step. Tasks that run until they are cancelled have no
/// end that could be late.
fn is_ranked(step: &WaitingStep<'_>) -> bool {
    !step.is_guaranteed && !step.spec.long_running
}

/// Whether a run holds its capacity against waiting work of this priority. Urgent work may preempt less
/// urgent work.
fn is_held_against(waiting_priority: u8, running_priority: u8) -> bool {
    waiting_priority != URGENT_PRIORITY || running_priority <= waiting_priority
}

/// Why a result of this class is put behind others.
fn delay_reason(class: CostClass, earliest_ms: u64, work: &WaitingWork) -> Option<&'static str> {
    match class {
        CostClass::Aged | CostClass::OnTime => None,
        CostClass::Late if earliest_ms > work.objective_at_ms => Some("can't be on time"),
        CostClass::Late => Some("others can be on time instead"),
        CostClass::Useless => Some("can't be useful"),
    }
}
