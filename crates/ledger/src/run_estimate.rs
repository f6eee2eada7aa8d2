//! Estimates of run times: the smoothed ratio of actual to declared run time and its mean
//! deviation, as TCP computes them for its retransmission timer (RFC 6298).

use cuminbarrow_model::job::JobSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::job_state::JobState;
use crate::state::State;

/// Number of kinds of jobs that have separate estimates.
pub const JOB_KINDS: usize = 4;
/// Limit to which observed ratios are capped, in thousandths; declarations are off by up to ten
/// times.
const MAX_RATIO_PERMILLE: u64 = 10_000;

/// Kind of a job, as an index: with or without accelerators, single member or gang.
pub fn job_kind(spec: &JobSpec) -> usize {
    let has_accelerators = usize::from(spec.shape.per_member.accelerators > 0);
    let is_gang = usize::from(spec.shape.members > 1);
    has_accelerators * 2 + is_gang
}

/// Estimated ratio of actual to declared run time, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEstimate {
    mean_permille: u32,
    deviation_permille: u32,
}

impl Default for RunEstimate {
    fn default() -> Self {
        Self { mean_permille: 1_000, deviation_permille: 500 }
    }
}

impl RunEstimate {
    /// Updates the estimate with an actual run time; the gains of 1/8 for the mean and 1/4 for the
    /// deviation are those of RFC 6298.
    pub(crate) fn observe(&mut self, run_ms: u64, declared_ms: u64) {
        let ratio = (run_ms * 1_000 / declared_ms.max(1)).min(MAX_RATIO_PERMILLE);
        let ratio = u32::try_from(ratio).unwrap_or(u32::MAX);
        let error = self.mean_permille.abs_diff(ratio);
        self.deviation_permille = (self.deviation_permille * 3 + error) / 4;
        self.mean_permille = (self.mean_permille * 7 + ratio) / 8;
    }

    /// Expected run time for a declared run time, in ms.
    pub fn expected_ms(&self, declared_ms: u64) -> u64 {
        (declared_ms.saturating_mul(u64::from(self.mean_permille)) / 1_000).max(1)
    }

    /// Run time that is rarely exceeded, in ms: the mean ratio plus two deviations.
    pub fn upper_estimate_ms(&self, declared_ms: u64) -> u64 {
        let ratio = u64::from(self.mean_permille + 2 * self.deviation_permille);
        (declared_ms.saturating_mul(ratio) / 1_000).max(1)
    }
}

impl State {
    /// Run time estimate for a job, by its team and kind.
    pub fn estimate(&self, job: &JobState) -> RunEstimate {
        let team = self.team(job.team);
        team.map(|team| team.estimates[job_kind(&job.spec)]).unwrap_or_default()
    }

    /// Declared run time of the work that no checkpoint has saved, in ms.
    pub fn remaining_declared_ms(&self, job: &JobState) -> u64 {
        let remaining_permille = u64::from(1_000 - job.progress_permille.min(1_000));
        job.spec.declared_run_ms * remaining_permille / 1_000
    }

    /// Expected end of a placed job, in ms since the Unix epoch.
    pub fn expected_end_ms(&self, job: &JobState) -> Option<u64> {
        let placement = job.placement()?;
        let start_ms = placement.started_ms.unwrap_or(placement.placed_ms);
        Some(start_ms + self.estimate(job).expected_ms(self.remaining_declared_ms(job)))
    }
}
