//! Runs that may be preempted, and what is lost with each.
//!
//! The cost of a run is its work since the last checkpoint, weighted by its resources. Members of a gang
//! end together, at their total cost. Where earlier preemptions count, a run weighs more with each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::disruption_budget::StepBudget;
use crate::disruption_budget::unavailability_limit;
use crate::ending_runs::ending_ms;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::planning_options::PlanningOptions;
use crate::reclaim::PreemptionScope;
use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::HeldRun;
use crate::worker::WorkerKey;

/// Maximum work that is lost with a run that saves checkpoints, in ms; checkpoints are made about
/// once a second.
const CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Time for which the resources of a preempted run do no work, in ms: until it has stopped and the next
/// run has started. Without it, tasks that have just started would cost nothing however often they were
/// preempted.
const IDLE_TIME_MS: u64 = 500;

/// Runs that may be preempted, with the cost of doing so.
#[derive(Clone, Debug, Default)]
pub struct VictimTable {
    /// Work that is lost with a run and its group, in core-ms.
    cost: BTreeMap<RunKey, u64>,
    /// Priority of a run's job.
    priority: BTreeMap<RunKey, u8>,
    /// Runs that end together with a run: all members of its gang, otherwise only the run itself.
    group: BTreeMap<RunKey, Vec<(RunKey, WorkerKey, ResourceAmounts)>>,
    /// What else counts in the choice of victims, where earlier preemptions do; otherwise `None`.
    weights: Option<BTreeMap<RunKey, VictimWeight>>,
}

/// What counts in the choice of a victim besides its loss.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VictimWeight {
    /// Work that is lost or not done, multiplied by one more than the number of earlier preemptions, in
    /// core-ms.
    pub(crate) rank: u64,
    /// Whether the run saves checkpoints.
    pub(crate) saves_progress: bool,
    /// When the run is expected to end, in ms since the Unix epoch, if that is about to happen.
    pub(crate) ending_ms: Option<u64>,
}

impl VictimTable {
    /// Collects the runs that no guarantee covers and that are not already being stopped.
    pub fn new(
        state: &GraphState,
        guaranteed: &BTreeMap<JobId, bool>,
        options: PlanningOptions,
        now_ms: u64,
    ) -> Self {
        let mut gangs: BTreeMap<StepKey, Vec<(RunKey, WorkerKey, ResourceAmounts)>> =
            BTreeMap::new();
        let mut limited: BTreeSet<StepKey> = BTreeSet::new();
        let weights = options.preemption_history.then(BTreeMap::new);
        let mut table = Self { weights, ..Self::default() };
        for (worker, entry) in &state.workers {
            for (run, held) in &entry.runs {
                let step = run.task.step;
                let is_guaranteed = guaranteed.get(&step.job).copied().unwrap_or(false);
                let Some(job) = state.jobs.get(&step.job) else { continue };
                if is_guaranteed || held.stop_cause.is_some() || !job.is_active() {
                    continue;
                }
                let Some(spec) = job.step_spec(step.step) else { continue };
                if unavailability_limit(spec).is_some() {
                    limited.insert(step);
                }
                table.priority.insert(*run, job.terms.priority);
                table.cost.insert(*run, lost_work(spec, held, now_ms));
                if let Some(weights) = &mut table.weights {
                    let task = step.task(if spec.gang { 0 } else { run.task.index });
                    let lost = lost_work(spec, held, now_ms)
                        .saturating_add(held.resources.weight() * IDLE_TIME_MS / 1_000);
                    let rank = lost.saturating_mul(state.preemptions.count(task) + 1);
                    let ending_ms = ending_ms(state, job, spec, *worker, held, now_ms);
                    let saves_progress = spec.saves_progress;
                    weights.insert(*run, VictimWeight { rank, saves_progress, ending_ms });
                }
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
            table.apply_disruption_budget(StepBudget::of(state, step, now_ms));
        }
        table
    }

    /// Removes runs that a step's disruption budget protects: all but the cheapest ones within the
    /// budget, or all of them if a gang exceeds it.
    fn apply_disruption_budget(&mut self, budget: Option<StepBudget>) {
        let Some(StepBudget { runs, stoppable }) = budget else { return };
        let cost_of = |run: RunKey| self.cost.get(&run).map(|cost| (*cost, run));
        let mut runs: Vec<(u64, RunKey)> = runs.into_iter().filter_map(cost_of).collect();
        runs.sort_unstable();
        let exceeds_budget = runs.iter().any(|(_, run)| self.group(*run).len() > stoppable);
        let stoppable_count = if exceeds_budget { 0 } else { stoppable };
        let excluded: Vec<RunKey> =
            runs.into_iter().skip(stoppable_count).map(|(_, run)| run).collect();
        self.remove(&excluded);
    }

    fn add_gang(&mut self, members: Vec<(RunKey, WorkerKey, ResourceAmounts)>) {
        let cost: u64 = members.iter().filter_map(|(run, _, _)| self.cost.get(run)).sum();
        for (run, _, _) in &members {
            self.cost.insert(*run, cost);
            self.group.insert(*run, members.clone());
        }
    }

    /// Cost of preempting a run; `None` if the scope does not include it.
    pub(crate) fn preemption_cost(&self, run: &RunKey, scope: PreemptionScope) -> Option<u64> {
        let is_in_scope = match scope {
            PreemptionScope::AllUnguaranteed => true,
            PreemptionScope::LessUrgentThan(priority) => self.priority.get(run)? > &priority,
        };
        self.cost.get(run).copied().filter(|_| is_in_scope)
    }

    /// Whether earlier preemptions count in the choice of victims.
    pub(crate) fn counts_preemptions(&self) -> bool {
        self.weights.is_some()
    }

    /// What else counts in the choice of a run, which it does only where earlier preemptions do.
    pub(crate) fn weight(&self, run: &RunKey) -> Option<VictimWeight> {
        self.weights.as_ref()?.get(run).copied()
    }

    /// Removes runs that may no longer be preempted, such as those that are being stopped.
    pub fn remove(&mut self, runs: &[RunKey]) {
        for run in runs {
            self.cost.remove(run);
            self.group.remove(run);
        }
    }

    /// Runs that end together with a run, with their workers and resources.
    pub fn group(&self, run: RunKey) -> &[(RunKey, WorkerKey, ResourceAmounts)] {
        self.group.get(&run).map(Vec::as_slice).unwrap_or_default()
    }
}

/// Run time that is lost if a run is stopped, in ms: that since its last checkpoint.
pub(crate) fn lost_time(spec: &StepSpec, held: &HeldRun, now_ms: u64) -> u64 {
    let ran_ms = now_ms.saturating_sub(held.placed_ms);
    if spec.saves_progress { ran_ms.min(CHECKPOINT_LOSS_MS) } else { ran_ms }
}

/// Work that is lost if a run is stopped, in core-ms.
pub(crate) fn lost_work(spec: &StepSpec, held: &HeldRun, now_ms: u64) -> u64 {
    lost_time(spec, held, now_ms).saturating_mul(held.resources.weight()) / 1_000
}
