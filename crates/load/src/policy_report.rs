//! Figures of one policy on one workload, as table row and JSON.

use serde::Serialize;

/// Figures of one policy on one workload.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PolicyReport {
    pub(crate) policy: &'static str,
    pub(crate) deployment: &'static str,
    pub(crate) seed: u64,
    /// Time from submission to completion, or to the end of the simulation, divided by the actual
    /// run time.
    pub(crate) completion_p50_ratio: f64,
    pub(crate) completion_p95_ratio: f64,
    pub(crate) completion_p99_ratio: f64,
    /// Share of jobs with a deadline that completed after it or not at all.
    pub(crate) late_share: f64,
    /// Accelerator-hours that stayed free after planning although a waiting job needed no more
    /// accelerators than were free.
    pub(crate) fragmentation: f64,
    /// Time from the decision to reclaim resources to the start of the job they are for, in s.
    pub(crate) reclaim_p50_s: f64,
    pub(crate) reclaim_p99_s: f64,
    /// Longest time that a job with 8 or more accelerators waited for its first start, in s.
    pub(crate) large_gang_wait_max_s: f64,
    /// Time that urgent jobs waited for their first start, in s.
    pub(crate) urgent_start_p99_s: f64,
    /// Accelerator-hours of stopped runs of jobs without checkpoints.
    pub(crate) work_lost_accelerator_hours: f64,
    /// Invariant violations of the state, and second starts of jobs that are not repeatable.
    pub(crate) promises_broken: u64,
    /// Planning time per decision, over rounds with decisions.
    pub(crate) decision_cpu_us: f64,
    /// Number of jobs that completed.
    pub(crate) completed: usize,
    /// Number of preempted attempts.
    pub(crate) preemptions: usize,
    /// Number of reclaims that ended because their reservation lost its members.
    pub(crate) reclaims_voided: u64,
    /// Share of the accelerators that were in use while jobs arrived.
    pub(crate) utilization: f64,
    /// Mean planning time of a round without decisions.
    pub(crate) idle_round_cpu_us: f64,
    /// Longest planning round.
    pub(crate) round_cpu_max_us: f64,
}

impl PolicyReport {
    pub(crate) fn header() -> String {
        "policy      p50    p95    p99    late%  frag ah  recl50 recl99 large_s  urg99_s  lost ah \
         broken cpu_us  idle_us max_us  done preempt void util%"
            .to_owned()
    }

    pub(crate) fn row(&self) -> String {
        format!(
            "{:<11} {:<6.2} {:<6.2} {:<6.2} {:<6.1} {:<8.1} {:<6.1} {:<6.1} {:<8.0} {:<8.2} \
             {:<7.1} {:<6} {:<7.0} {:<7.0} {:<7.0} {:<4} {:<7} {:<4} {:.0}",
            self.policy,
            self.completion_p50_ratio,
            self.completion_p95_ratio,
            self.completion_p99_ratio,
            self.late_share * 100.0,
            self.fragmentation,
            self.reclaim_p50_s,
            self.reclaim_p99_s,
            self.large_gang_wait_max_s,
            self.urgent_start_p99_s,
            self.work_lost_accelerator_hours,
            self.promises_broken,
            self.decision_cpu_us,
            self.idle_round_cpu_us,
            self.round_cpu_max_us,
            self.completed,
            self.preemptions,
            self.reclaims_voided,
            self.utilization * 100.0,
        )
    }

    pub(crate) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Quantile of the values by the nearest-rank method, for a `share` from 0 to 1. Returns 0 if there
/// are no values.
pub(crate) fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or_default()
}
