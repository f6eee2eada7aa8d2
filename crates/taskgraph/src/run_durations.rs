//! Run times of queues' tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;

/// Number of runs after which a queue's mean run time is used in place of estimates.
pub(crate) const MIN_DURATION_SAMPLES: u32 = 3;

/// Run time of a queue's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunDuration {
    /// Number of runs measured.
    pub count: u32,
    /// Moving average, in ms.
    pub mean_ms: u32,
}

impl RunDuration {
    /// Inverse weight of a new value in the moving average.
    const SMOOTHING_DIVISOR: i64 = 8;

    pub(crate) fn record(&mut self, run_ms: u64) {
        let run_ms = i64::try_from(run_ms).unwrap_or(i64::MAX).min(i64::from(u32::MAX));
        let mean_ms = i64::from(self.mean_ms);
        let weight = Self::SMOOTHING_DIVISOR.min(i64::from(self.count) + 1);
        self.mean_ms = u32::try_from(mean_ms + (run_ms - mean_ms) / weight).unwrap_or(u32::MAX);
        self.count = self.count.saturating_add(1);
    }
}

impl GraphState {
    /// Expected run time of one of a step's tasks, in ms: the mean of the queue once enough runs
    /// have been measured, otherwise the estimate.
    pub fn typical_run_ms(&self, job: &JobState, spec: &StepSpec) -> u64 {
        let mean_ms = self.measured_run_ms(&job.terms.queue);
        mean_ms.unwrap_or_else(|| u64::from(spec.estimate_ms))
    }

    /// Mean run time of a queue's tasks, in ms; `None` until enough runs have been measured.
    pub(crate) fn measured_run_ms(&self, queue: &str) -> Option<u64> {
        let known = self.durations.get(queue);
        let known = known.filter(|known| known.count >= MIN_DURATION_SAMPLES);
        known.map(|known| u64::from(known.mean_ms))
    }
}
