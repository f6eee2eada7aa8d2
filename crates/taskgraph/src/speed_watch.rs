//! Finds workers that run everything at a fraction of the usual speed while they call themselves
//! healthy.
//!
//! A run tells by its progress. Compared with its own earlier progress a change is certain. Compared
//! with what tasks of its queue usually take it may also be a long task, and all tasks of a job may
//! be long, so that takes runs of two jobs. A single run that goes on as usual clears the worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job_id::JobId;
use crate::run_table::ReportedRun;
use crate::task_key::RunKey;

/// Least time over which progress is measured, in ms. Workers are looked at about once a second.
const MIN_WINDOW_MS: u64 = 800;
/// Percent of a run expected within that time at least: percents are whole.
const MIN_WINDOW_PERCENT: u64 = 8;
/// A run this many times slower or faster than before has changed its speed, in tenths. Neighbours
/// on the same worker do not change it that much.
const CHANGE_TENTHS: u64 = 25;
/// Speed below which a run is slow, in thousandths of the usual. Tasks of one queue take up to three
/// times as long as usual.
const SLOW_PERMILLE: u64 = 280;
/// Speed from which on a run goes on as usual.
const NORMAL_PERMILLE: u64 = 500;
/// Jobs whose runs must all be slow before a worker is: tasks of one job are alike, and may be long.
const MIN_SLOW_JOBS: usize = 2;
/// Time after which a worker that still is slow is told again, in ms.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// What a run may be expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypicalDuration {
    /// The shorter of what tasks of its queue take and of its own estimate, in ms.
    pub shorter_ms: u64,
    /// The longer of them, in ms.
    pub longer_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RunSpeed {
    percent: u32,
    since_ms: u64,
    /// Percent gained a 1,000 s in the window before; nothing in the first.
    rate: Option<u64>,
    /// What that window told.
    verdict: Option<SpeedVerdict>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpeedVerdict {
    /// The run slowed down.
    Slowed,
    /// The run is slow, or long.
    Slow,
    /// The run goes on as usual.
    Normal,
}

/// Speed of the runs of one worker.
#[derive(Clone, Debug, Default)]
pub struct SpeedWatch {
    runs: BTreeMap<RunKey, RunSpeed>,
    /// When the worker was last told to be slow, while it is.
    reported_ms: Option<u64>,
}

impl SpeedWatch {
    /// Takes what the worker lists at `now_ms`, and tells whether it is slow where that is news.
    /// `usual` gives what a run usually takes, and nothing for one that has no end.
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

    /// Whether runs of several jobs were slow when they were measured last.
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

    /// What a run tells once its window is over.
    fn verdict(
        &mut self,
        entry: &ReportedRun,
        now_ms: u64,
        typical: TypicalDuration,
    ) -> Option<SpeedVerdict> {
        // Before its first percent a member waits for its gang, and after its last one too.
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
        // A run that slowed down stays slow until it goes on as usual.
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
        if rate * CHANGE_TENTHS < previous_rate * 10 {
            return Some(SpeedVerdict::Slowed);
        }
        if rate * 10 > previous_rate * CHANGE_TENTHS {
            return Some(SpeedVerdict::Normal);
        }
    }
    // At the usual speed a run gains 100 percent in its usual time.
    let permille_of = |typical_ms: u64| rate * typical_ms / 100_000;
    if permille_of(typical.shorter_ms) >= NORMAL_PERMILLE {
        Some(SpeedVerdict::Normal)
    } else if permille_of(typical.longer_ms) < SLOW_PERMILLE {
        Some(SpeedVerdict::Slow)
    } else {
        None
    }
}
