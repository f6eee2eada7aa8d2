//! Completion and waiting times of the jobs of a run.

use cuminbarrow_ledger::job_state::JobPhase;
use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_model::job::JobOutcome;

use crate::workload::LoadJob;

/// Least number of accelerators of a job that counts as large.
const LARGE_ACCELERATORS: u32 = 8;

/// Completion and waiting times of the jobs of a run.
#[derive(Default)]
pub(crate) struct JobTimes {
    /// Time from submission to completion, divided by the actual run time.
    pub(crate) ratios: Vec<f64>,
    pub(crate) completed: usize,
    pub(crate) with_deadline: usize,
    pub(crate) late: usize,
    /// Times that urgent jobs waited for their first start, in s.
    pub(crate) urgent_s: Vec<f64>,
    /// Longest time that a large job waited for its first start, in s.
    pub(crate) large_max_s: f64,
}

impl JobTimes {
    /// Adds a job. For a job that has not started or completed, the time until `now_ms` counts.
    pub(crate) fn record(
        &mut self,
        job: &JobState,
        load: &LoadJob,
        started_ms: Option<u64>,
        now_ms: u64,
    ) {
        let done_ms = completed_ms(job);
        self.completed += usize::from(done_ms.is_some());
        let until_ms = done_ms.unwrap_or(now_ms);
        self.ratios.push((until_ms - job.submitted_ms) as f64 / load.run_ms.max(1) as f64);
        if let Some(deadline_ms) = job.spec.deadline_ms {
            self.with_deadline += 1;
            self.late += usize::from(done_ms.is_none_or(|done_ms| done_ms > deadline_ms));
        }
        let started_ms = started_ms.unwrap_or(now_ms);
        let wait_s = started_ms.saturating_sub(job.submitted_ms) as f64 / 1_000.0;
        if job.spec.urgent {
            self.urgent_s.push(wait_s);
        }
        if job.spec.shape.accelerators() >= LARGE_ACCELERATORS {
            self.large_max_s = self.large_max_s.max(wait_s);
        }
    }
}

fn completed_ms(job: &JobState) -> Option<u64> {
    match &job.phase {
        JobPhase::Ended { outcome: JobOutcome::Completed { .. }, at_ms } => Some(*at_ms),
        JobPhase::Ended { .. } | JobPhase::Pending | JobPhase::Placed(_) => None,
    }
}
