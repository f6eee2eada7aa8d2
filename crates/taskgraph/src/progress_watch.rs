//! Finds runs that stand still while their worker calls itself healthy.

use std::collections::BTreeMap;

use crate::run_table::ReportedRun;
use crate::task_key::RunKey;

/// Least time without progress after which a run stands still, in ms: two looks at the worker, and
/// some.
const STALL_TIMEOUT_MS: u64 = 2_500;
/// Part of a run's estimate for which it may show no progress: percents are whole.
const ESTIMATE_DIVISOR: u64 = 4;
/// Added for a gang that has made none yet, in ms. Its members wait up to 4 s for each other.
const GANG_START_TIMEOUT_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct RunProgress {
    percent: u32,
    since_ms: u64,
}

/// What is expected of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunExpectation {
    /// Estimate of its duration, in ms.
    pub estimate_ms: u32,
    /// Whether it is a gang's.
    pub is_gang: bool,
    /// Whether it runs until its job is cancelled, or may be told to stand still.
    pub is_open_ended: bool,
}

/// Progress of the runs of one worker.
#[derive(Clone, Debug, Default)]
pub struct ProgressWatch {
    runs: BTreeMap<RunKey, RunProgress>,
}

impl ProgressWatch {
    /// Takes what the worker lists at `now_ms`, and gives the runs that stand still.
    pub fn observe<F>(
        &mut self,
        running: &[ReportedRun],
        now_ms: u64,
        expectation: F,
    ) -> Vec<RunKey>
    where
        F: Fn(RunKey) -> Option<RunExpectation>,
    {
        self.runs.retain(|run, _| running.iter().any(|entry| entry.run == *run));
        let mut stalled = Vec::new();
        for entry in running {
            let fresh = RunProgress { percent: entry.percent, since_ms: now_ms };
            let known = self.runs.entry(entry.run).or_insert(fresh);
            if known.percent != entry.percent {
                *known = fresh;
            }
            let Some(expectation) =
                expectation(entry.run).filter(|expectation| !expectation.is_open_ended)
            else {
                continue;
            };
            // A member that has done its part waits for the others of its gang.
            if entry.is_done() {
                known.since_ms = now_ms;
                continue;
            }
            let mut timeout_ms =
                STALL_TIMEOUT_MS.max(u64::from(expectation.estimate_ms) / ESTIMATE_DIVISOR);
            if expectation.is_gang && known.percent == 0 {
                timeout_ms += GANG_START_TIMEOUT_MS;
            }
            if now_ms >= known.since_ms + timeout_ms {
                known.since_ms = now_ms;
                stalled.push(entry.run);
            }
        }
        stalled
    }
}
