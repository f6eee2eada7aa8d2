//! Detects runs that make no progress although their worker reports itself as healthy.

use std::collections::BTreeMap;

use crate::run_table::ReportedRun;
use crate::task_key::RunKey;

/// Minimum time without progress after which a run is stalled, in ms: two poll intervals and a
/// margin.
const STALL_TIMEOUT_MS: u64 = 2_500;
/// A run may also go without progress for its estimate divided by this. Progress is reported in
/// whole percent, so long runs show none for a while.
const ESTIMATE_DIVISOR: u64 = 4;
/// Additional time for a gang without any progress, in ms. Its members wait up to 4 s for each
/// other.
const GANG_START_TIMEOUT_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct RunProgress {
    percent: u32,
    since_ms: u64,
}

/// Expectations on the progress of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunExpectation {
    /// Estimated duration, in ms.
    pub estimate_ms: u32,
    /// Whether the run is a member of a gang.
    pub is_gang: bool,
    /// Whether the run may legitimately make no progress: it is long-running, or may be throttled
    /// to a standstill.
    pub is_open_ended: bool,
}

/// Progress of the runs of one worker.
#[derive(Clone, Debug, Default)]
pub struct ProgressWatch {
    runs: BTreeMap<RunKey, RunProgress>,
}

impl ProgressWatch {
    /// Takes the runs that the worker lists at `now_ms`. Returns those that are stalled.
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
            // A gang member that has finished its work waits for the other members.
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
