//! What operators learn of a full service: counters of ended jobs and delayed steps, and log lines.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_outcomes::OutcomeTracker;
use cuminbarrow_taskgraph::load_order::DelayedStep;
use cuminbarrow_taskgraph::task_key::StepKey;
use smol_str::SmolStr;

/// Maximum number of combinations of queue and team that are counted apart, for each outcome. The
/// names come from the configuration, which may change while the process lives.
const MAX_QUEUES_AND_TEAMS: usize = 256;
/// Queue and team under which the others are counted.
const OTHER: SmolStr = SmolStr::new_static("other");
/// Maximum number of log lines about delayed steps that one round writes.
const MAX_LINES_PER_ROUND: usize = 16;

#[derive(Debug, Default)]
struct LoadCounts {
    ended_jobs: BTreeMap<(JobOutcome, SmolStr, SmolStr), u64>,
    delayed_steps: BTreeMap<&'static str, u64>,
}

/// Counters of the entry that plans. Clients read them at any time.
#[derive(Debug, Default)]
pub struct LoadCounters {
    counts: Mutex<LoadCounts>,
}

impl LoadCounters {
    /// Ended jobs by outcome, queue and team.
    pub fn ended_jobs(&self) -> Vec<((JobOutcome, SmolStr, SmolStr), u64)> {
        self.counts().ended_jobs.iter().map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Steps that were put behind others, by reason.
    pub fn delayed_steps(&self) -> Vec<(&'static str, u64)> {
        self.counts().delayed_steps.iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    /// Counts an ended job.
    pub fn count_ended(&self, outcome: JobOutcome, queue: &SmolStr, team: &SmolStr) {
        let mut counts = self.counts();
        let key = (outcome, queue.clone(), team.clone());
        let same = counts.ended_jobs.keys().filter(|(known, ..)| *known == outcome).count();
        let is_counted = same < MAX_QUEUES_AND_TEAMS || counts.ended_jobs.contains_key(&key);
        let key = if is_counted { key } else { (outcome, OTHER, OTHER) };
        *counts.ended_jobs.entry(key).or_default() += 1;
    }

    fn count_delayed(&self, reason: &'static str) {
        *self.counts().delayed_steps.entry(reason).or_default() += 1;
    }

    fn counts(&self) -> MutexGuard<'_, LoadCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the planner has seen of the load.
#[derive(Debug, Default)]
pub(crate) struct LoadReport {
    outcomes: OutcomeTracker,
    /// Reasons of the delayed steps, as of the previous round.
    delays: BTreeMap<StepKey, &'static str>,
}

impl LoadReport {
    /// Counts the jobs that ended since the previous round.
    pub(crate) fn count_ended_jobs(&mut self, state: &GraphState, counters: &LoadCounters) {
        for job in self.outcomes.observe(state) {
            counters.count_ended(job.outcome, &job.terms.queue, &job.terms.team);
        }
    }

    /// Counts and logs each step that is put behind others, or for another reason than before.
    pub(crate) fn log_delayed_steps(&mut self, delayed: &[DelayedStep], counters: &LoadCounters) {
        let is_new = |step: &&DelayedStep| self.delays.get(&step.step) != Some(&step.reason);
        let new: Vec<&DelayedStep> = delayed.iter().filter(is_new).collect();
        for step in &new {
            counters.count_delayed(step.reason);
        }
        for step in new.iter().take(MAX_LINES_PER_ROUND) {
            log::info!(step:% = step.step, reason = step.reason, inputs:% = step.inputs; "step is put behind others");
        }
        if new.len() > MAX_LINES_PER_ROUND {
            let more = new.len() - MAX_LINES_PER_ROUND;
            log::info!(more; "more steps are put behind others");
        }
        self.delays = delayed.iter().map(|step| (step.step, step.reason)).collect();
    }
}
