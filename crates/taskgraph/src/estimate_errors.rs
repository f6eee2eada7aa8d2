//! How far estimates of run times have been off, and the run times that follow from it.
//!
//! Answers a load whose estimates are off by half: neither the estimate nor the mean run time of the
//! queue is always the better prediction. Estimates are corrected by the measured ratio of the team in
//! the queue, and the prediction with the smaller error so far is used.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::job_terms::JobTerms;
use crate::run_durations::MIN_DURATION_SAMPLES;

/// Maximum number of teams and queues for which errors are kept.
const MAX_ENTRIES: usize = 1_024;
/// Inverse weight of a new value in a moving average.
const SMOOTHING_DIVISOR: i64 = 8;
/// Limits of the measured ratio, in thousandths. A single run that hangs says little about others.
const MIN_RATIO_PERMILLE: u64 = 100;
const MAX_RATIO_PERMILLE: u64 = 10_000;

/// Errors of the predicted run times of one team in one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EstimateError {
    /// Number of runs measured.
    pub count: u32,
    /// Mean ratio of run time to estimate, in thousandths.
    pub ratio_permille: u32,
    /// Mean error of estimates corrected by the ratio, in thousandths of the larger value.
    pub estimate_error_permille: u32,
    /// Mean error of the queue's mean run time, in thousandths of the larger value.
    pub mean_error_permille: u32,
}

impl EstimateError {
    /// Whether enough runs were measured.
    fn is_known(&self) -> bool {
        self.count >= MIN_DURATION_SAMPLES
    }

    /// Estimate corrected by the measured ratio, in ms.
    fn corrected_ms(&self, estimate_ms: u64) -> u64 {
        estimate_ms.saturating_mul(u64::from(self.ratio_permille)) / 1_000
    }

    fn record(&mut self, estimate_ms: u64, mean_ms: u64, run_ms: u64) {
        let ratio = run_ms.saturating_mul(1_000) / estimate_ms.max(1);
        let ratio = ratio.clamp(MIN_RATIO_PERMILLE, MAX_RATIO_PERMILLE);
        if self.count > 0 {
            let error = error_permille(self.corrected_ms(estimate_ms), run_ms);
            average(&mut self.estimate_error_permille, error, self.count);
            average(&mut self.mean_error_permille, error_permille(mean_ms, run_ms), self.count);
        }
        average(&mut self.ratio_permille, ratio, self.count + 1);
        self.count = self.count.saturating_add(1).min(u32::MAX - 1);
    }
}

/// Errors of all queues and teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EstimateErrors {
    /// Errors by queue and team; those of a whole queue are kept with an empty team.
    entries: BTreeMap<(SmolStr, SmolStr), EstimateError>,
}

impl EstimateErrors {
    /// Records a run; `mean_ms` is the mean run time of the queue before it.
    pub fn record(
        &mut self,
        queue: &SmolStr,
        team: &SmolStr,
        estimate_ms: u32,
        mean_ms: u32,
        run_ms: u64,
    ) {
        for team in [team.clone(), SmolStr::default()] {
            let key = (queue.clone(), team);
            if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&key) {
                continue;
            }
            let entry = self.entries.entry(key).or_default();
            entry.record(u64::from(estimate_ms), u64::from(mean_ms), run_ms);
        }
    }

    /// Predicted run time in ms, by the errors of the team, or of the queue while those of the team
    /// are not known; `None` if neither is.
    pub fn predicted_ms(
        &self,
        queue: &SmolStr,
        team: &SmolStr,
        estimate_ms: u32,
        mean_ms: u32,
    ) -> Option<u64> {
        let of = |team: SmolStr| self.entries.get(&(queue.clone(), team));
        let known = of(team.clone()).filter(|entry| entry.is_known());
        let known = known.or_else(|| of(SmolStr::default()).filter(|entry| entry.is_known()))?;
        let is_estimate_better = known.estimate_error_permille < known.mean_error_permille;
        Some(if is_estimate_better && estimate_ms > 0 {
            known.corrected_ms(u64::from(estimate_ms))
        } else {
            u64::from(mean_ms)
        })
    }
}

impl GraphState {
    /// Expected run time of one of a step's tasks, in ms, by the prediction that has been closer for the
    /// team and queue: the queue's mean or the estimate, corrected for its measured error.
    pub fn expected_run_ms(&self, job: &JobState, spec: &StepSpec) -> u64 {
        let typical_ms = self.typical_run_ms(job, spec);
        let mean_ms = u32::try_from(typical_ms).unwrap_or(u32::MAX);
        let JobTerms { queue, team, .. } = job.terms.as_ref();
        let predicted_ms =
            self.estimate_errors.predicted_ms(queue, team, spec.estimate_ms, mean_ms);
        predicted_ms.unwrap_or(typical_ms)
    }
}

/// Error of a prediction, in thousandths of the larger value.
fn error_permille(predicted_ms: u64, run_ms: u64) -> u64 {
    let difference = predicted_ms.abs_diff(run_ms);
    difference.saturating_mul(1_000) / predicted_ms.max(run_ms).max(1)
}

/// Adds a value to the moving average of `count` values, the new one included.
fn average(mean: &mut u32, value: u64, count: u32) {
    let old = i64::from(*mean);
    let value = i64::try_from(value).unwrap_or(i64::MAX).min(i64::from(u32::MAX));
    let weight = SMOOTHING_DIVISOR.min(i64::from(count)).max(1);
    *mean = u32::try_from(old + (value - old) / weight).unwrap_or(u32::MAX);
}
