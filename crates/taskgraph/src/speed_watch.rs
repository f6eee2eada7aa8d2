//! Detects workers that run everything at a fraction of the normal speed although they report
//! themselves as healthy.
//!
//! The speed of a run is derived from its progress. A drop relative to the run's own earlier speed
//! is conclusive. A low speed relative to the typical duration of the queue's tasks may just mean a
//! long task, and all tasks of a job may be long, so that requires runs of two jobs. A single run
//! at normal speed clears the worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job_id::JobId;
use crate::run_table::ReportedRun;
use crate::task_key::RunKey;

/// Minimum length of a measuring window, in ms. Workers are polled about once a second.
const MIN_WINDOW_MS: u64 = 800;
/// Minimum part of a run that a window must cover at the typical speed, in percent. Progress is
/// reported in whole percent, so shorter windows are too coarse.
const MIN_WINDOW_PERCENT: u64 = 8;
/// Factor by which a run's speed must differ between two windows to count as changed, in tenths.
/// Other tasks on the same worker do not affect it that much.
const MIN_CHANGE_TENTHS: u64 = 25;
/// Speed below which a run counts as slow, in thousandths of the typical speed. Tasks of one queue
/// take up to three times the typical duration.
const SLOW_PERMILLE: u64 = 280;
/// Speed from which a run counts as normal, in thousandths of the typical speed.
const NORMAL_PERMILLE: u64 = 500;
/// Minimum number of jobs with slow runs for a worker to count as slow. Tasks of one job are alike
/// and may all be long.
const MIN_SLOW_JOBS: usize = 2;
/// Interval at which a worker that remains slow is reported again, in ms.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// Range of a run's expected duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypicalDuration {
    /// The lower of the queue's typical duration and the run's own estimate, in ms.
    pub shorter_ms: u64,
    /// The higher of the two, in ms.
    pub longer_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RunSpeed {
    /// Progress at the start of the current window, in percent.
    percent: u32,
    /// Start of the current window, in ms.
    since_ms: u64,
    /// Percent gained per 1,000 s in the previous window; `None` during the first window.
    rate: Option<u64>,
    /// Verdict of the previous window.
    verdict: Option<SpeedVerdict>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpeedVerdict {
    /// The run became slower.
    Slowed,
    /// The run is slow, or its task is long.
    Slow,
    /// The run has its normal speed.
    Normal,
}

/// Speeds of the runs of one worker.
#[derive(Clone, Debug, Default)]
pub struct SpeedWatch {
    runs: BTreeMap<RunKey, RunSpeed>,
    /// When the worker was last reported as slow; `None` while it is not.
    reported_ms: Option<u64>,
}

impl SpeedWatch {
    /// Takes the runs that the worker lists at `now_ms`. Returns whether the worker is slow, or
    /// `None` if there is nothing to report. `typical` returns the expected duration of a run, or
    /// `None` for runs that don't end by themselves.
    pub fn observe<F>(&mut self, running: &[ReportedRun], now_ms: u64, typical: F) -> Option<bool>
    where
        F: Fn(RunKey) -> Option<TypicalDuration>,
    {
        self.runs.retain(|run, _| running.iter().any(|entry| entry.run == *run));
        let mut is_normal = false;
        let mut has_slowed = false;
        for entry in running {
            let Some(typical) = typical(entry.run) else { continue };
            let verdict = self.verdict(entry, now_ms, typical);
            is_normal |= verdict == Some(SpeedVerdict::Normal);
            has_slowed |= verdict == Some(SpeedVerdict::Slowed);
        }
        if is_normal {
            return self.reported_ms.take().map(|_| false);
        }
        if has_slowed || self.has_slow_jobs() {
            return self.report_slow(now_ms);
        }
        None
    }

    /// Whether runs of several jobs were slow in their previous windows.
    fn has_slow_jobs(&self) -> bool {
        let slow = self.runs.iter().filter(|(_, speed)| speed.verdict == Some(SpeedVerdict::Slow));
        let jobs: BTreeSet<JobId> = slow.map(|(run, _)| run.task.step.job).collect();
        jobs.len() >= MIN_SLOW_JOBS
    }

    fn report_slow(&mut self, now_ms: u64) -> Option<bool> {
        if self.reported_ms.is_some_and(|reported_ms| now_ms < reported_ms + REPEAT_INTERVAL_MS) {
            return None;
        }
        self.reported_ms = Some(now_ms);
        Some(true)
    }

    /// Verdict on a run at the end of a window.
    fn verdict(
        &mut self,
        entry: &ReportedRun,
        now_ms: u64,
        typical: TypicalDuration,
    ) -> Option<SpeedVerdict> {
        // Before its first percent and after its last, a gang member waits for the others.
        if entry.percent == 0 || entry.is_done() {
            self.runs.remove(&entry.run);
            return None;
        }
        let fresh =
            RunSpeed { percent: entry.percent, since_ms: now_ms, rate: None, verdict: None };
        let known = self.runs.entry(entry.run).or_insert(fresh);
        let window_ms = now_ms.saturating_sub(known.since_ms);
        if window_ms < MIN_WINDOW_MS.max(typical.longer_ms * MIN_WINDOW_PERCENT / 100) {
            return None;
        }
        let gained = u64::from(entry.percent.saturating_sub(known.percent));
        let rate = gained * 1_000_000 / window_ms;
        let previous_rate = known.rate.replace(rate);
        (known.percent, known.since_ms) = (entry.percent, now_ms);
        let verdict = classify(rate, previous_rate, typical);
        // A run that became slower remains so until it reaches its normal speed again.
        if known.verdict != Some(SpeedVerdict::Slowed) || verdict == Some(SpeedVerdict::Normal) {
            known.verdict = verdict;
        }
        known.verdict
    }
}

fn classify(
    rate: u64,
    previous_rate: Option<u64>,
    typical: TypicalDuration,
) -> Option<SpeedVerdict> {
    if let Some(previous_rate) = previous_rate {
        if rate * MIN_CHANGE_TENTHS < previous_rate * 10 {
            return Some(SpeedVerdict::Slowed);
        }
        if rate * 10 > previous_rate * MIN_CHANGE_TENTHS {
            return Some(SpeedVerdict::Normal);
        }
    }
    // At the typical speed a run gains 100 percent in its typical duration.
    let permille_of = |typical_ms: u64| rate * typical_ms / 100_000;
    if permille_of(typical.shorter_ms) >= NORMAL_PERMILLE {
        Some(SpeedVerdict::Normal)
    } else if permille_of(typical.longer_ms) < SLOW_PERMILLE {
        Some(SpeedVerdict::Slow)
    } else {
        None
    }
}
