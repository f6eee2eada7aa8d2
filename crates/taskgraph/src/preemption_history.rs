//! Which active jobs were preempted, how often and at what loss.
//!
//! Answers the load of a burst of urgent jobs that comes again and again over a full service: work that
//! has just begun loses least and is chosen each time, so without a history the same tasks are stopped
//! over and over. Each job's entry is dropped with the job. Totals by queue and team are kept for
//! operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_terms::JobTerms;
use crate::step_state::StepState;
use crate::task_key::RunKey;
use crate::task_key::TaskKey;
use crate::victim_table::lost_time;
use crate::victim_table::lost_work;

/// Maximum number of tasks of a job whose preemptions are counted. Urgent work stops fewer tasks of one
/// job than that; beyond it, a task counts as never preempted.
const MAX_TASKS_PER_JOB: usize = 1_000;
/// Maximum number of queues and teams with totals of their own. The configuration names fewer.
const MAX_TOTALS: usize = 256;
/// Queue and team under which the totals of all others are kept.
const OTHER: SmolStr = SmolStr::new_static("other");

/// Preempted runs and the work lost with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreemptionTotals {
    /// Number of preempted runs; each member of a gang counts.
    pub runs: u64,
    /// Work since the last checkpoints, in core-ms.
    pub lost_core_ms: u64,
}

impl PreemptionTotals {
    fn add(&mut self, other: Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.lost_core_ms = self.lost_core_ms.saturating_add(other.lost_core_ms);
    }
}

/// Preemptions of one active job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPreemptions {
    /// Preempted runs and lost work of all tasks.
    pub totals: PreemptionTotals,
    /// Time of the last preemption, in ms since the Unix epoch.
    pub last_ms: u64,
    /// Time by which preemptions have delayed the job, in ms: the longest work that was lost at each time.
    pub delay_ms: u64,
    /// Part of the delay that is due to the last preemption, in ms.
    last_delay_ms: u64,
    /// Number of preemptions by occurrence, step and task. A gang's are counted on its first task.
    tasks: BTreeMap<(u32, u16, u32), u16>,
}

impl JobPreemptions {
    /// Adds the delay by the loss of a run. Runs that are lost at the same time delay the job together.
    fn add_delay(&mut self, lost_ms: u64, at_ms: u64) {
        if self.last_ms != at_ms {
            self.last_ms = at_ms;
            self.last_delay_ms = 0;
        }
        let added_ms = lost_ms.saturating_sub(self.last_delay_ms);
        self.last_delay_ms += added_ms;
        self.delay_ms = self.delay_ms.saturating_add(added_ms);
    }
}

/// What is lost with a run or a gang.
struct LostRun {
    totals: PreemptionTotals,
    /// Run time since the last checkpoint, in ms.
    lost_ms: u64,
}

/// Preemptions of all active jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreemptionHistory {
    jobs: BTreeMap<JobId, JobPreemptions>,
    /// Totals since the log began, by queue and team.
    totals: BTreeMap<(SmolStr, SmolStr), PreemptionTotals>,
}

impl PreemptionHistory {
    /// Number of times that a task was preempted; for a gang, of its first task.
    pub fn count(&self, task: TaskKey) -> u64 {
        let key = (task.step.occurrence, task.step.step, task.index);
        let job = self.jobs.get(&task.step.job);
        job.and_then(|job| job.tasks.get(&key)).copied().map_or(0, u64::from)
    }

    /// Preemptions of a job; `None` if it was never preempted.
    pub fn job(&self, job: JobId) -> Option<&JobPreemptions> {
        self.jobs.get(&job)
    }

    /// Totals of each queue and team.
    pub fn totals(&self) -> impl Iterator<Item = (&SmolStr, &SmolStr, PreemptionTotals)> {
        self.totals.iter().map(|((queue, team), totals)| (queue, team, *totals))
    }

    fn record(&mut self, task: TaskKey, terms: &JobTerms, lost: LostRun, at_ms: u64) {
        let job = self.jobs.entry(task.step.job).or_default();
        job.add_delay(lost.lost_ms, at_ms);
        let lost = lost.totals;
        job.totals.add(lost);
        let key = (task.step.occurrence, task.step.step, task.index);
        if job.tasks.len() < MAX_TASKS_PER_JOB || job.tasks.contains_key(&key) {
            let count = job.tasks.entry(key).or_default();
            *count = count.saturating_add(1);
        }
        let key = (terms.queue.clone(), terms.team.clone());
        let has_entry = self.totals.len() < MAX_TOTALS || self.totals.contains_key(&key);
        let key = if has_entry { key } else { (OTHER, OTHER) };
        self.totals.entry(key).or_default().add(lost);
    }

    /// Drops the entry of a job that has ended.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Drops the counts of an occurrence that has finished.
    pub(crate) fn forget_occurrence(&mut self, job: JobId, occurrence: u32) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.tasks.retain(|(other, _, _), _| *other != occurrence);
        }
    }
}

impl GraphState {
    /// Records that a run, or the gang that it is a member of, is about to be stopped for other work.
    /// One that is being stopped already is not counted again.
    pub(crate) fn record_preemption(&mut self, run: RunKey) {
        let step = run.task.step;
        let Some(job) = self.jobs.get(&step.job).filter(|job| job.is_active()) else { return };
        let Some(spec) = job.step_spec(step.step) else { return };
        let lost_with = |run: RunKey| {
            let held = self.worker_of(run).and_then(|worker| self.workers.get(&worker));
            let held = held.and_then(|worker| worker.runs.get(&run));
            let held = held.filter(|held| held.stop_cause.is_none())?;
            Some((lost_time(spec, held, self.clock_ms), lost_work(spec, held, self.clock_ms)))
        };
        let Some((lost_ms, lost_core_ms)) = lost_with(run) else { return };
        let mut lost = PreemptionTotals { runs: 1, lost_core_ms };
        let state = job.steps.get(&(step.occurrence, step.step)).filter(|_| spec.gang);
        for (index, task) in state.into_iter().flat_map(StepState::tasks) {
            let members = task.current.iter();
            let members = members.map(|placed| RunKey { task: step.task(index), run: placed.run });
            for (_, lost_core_ms) in members.filter(|member| *member != run).filter_map(lost_with) {
                lost.add(PreemptionTotals { runs: 1, lost_core_ms });
            }
        }
        let counted = if spec.gang { step.task(0) } else { run.task };
        let terms = Arc::clone(&job.terms);
        let lost = LostRun { totals: lost, lost_ms };
        self.preemptions.record(counted, &terms, lost, self.clock_ms);
    }
}
