//! Writes snapshots of the state, because the log drops old records.
//!
//! The log retains a few seconds of history and may drop all of it at once. The planner writes a
//! snapshot every few seconds while there are new records, and immediately when records have expired
//! that the last snapshot does not cover. It also does so when it has just started: the snapshot that
//! it found may be old, and another power cut would let the log drop what follows that one. The other
//! processes step in after a delay in which the planner has written none, agents last, so that some
//! live replica always writes snapshots.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::snapshot;
use cuminbarrow_taskgraph::record::GraphRecord;
use tokio::time::Instant;

use crate::replica::Replica;

/// Time between snapshots while records are appended. The log retains records for 20 s.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(4);
/// Time between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Writes snapshots whenever they are due; never returns. `standby_delay` is how much longer than the
/// planner this process waits before it writes one.
pub async fn run<P>(replica: Arc<Replica>, is_planner: P, standby_delay: Duration)
where
    P: Fn() -> bool,
{
    let mut schedule = SnapshotSchedule::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let standby_delay = (!is_planner()).then_some(standby_delay);
        if schedule.is_due(&replica, standby_delay) {
            write(&replica).await;
        }
    }
}

struct SnapshotSchedule {
    /// Offset of the latest snapshot recorded in the log; `None` before this process has read the log.
    latest_offset: Option<u64>,
    /// When this process saw that it is the latest.
    latest_since: Instant,
    /// Whether this process found it when it started, so that its age is unknown.
    is_age_unknown: bool,
}

impl SnapshotSchedule {
    fn new() -> Self {
        Self { latest_offset: None, latest_since: Instant::now(), is_age_unknown: false }
    }

    /// Whether to write a snapshot now; `standby_delay` is `None` for the planner.
    fn is_due(&mut self, replica: &Replica, standby_delay: Option<Duration>) -> bool {
        let is_restored = self.latest_offset.is_some() || replica.confirmed_ms().is_some();
        if !is_restored || !replica.is_fresh() {
            return false;
        }
        let (offset, covered) = {
            let state = replica.state();
            (state.offset, state.snapshot_offset)
        };
        if self.latest_offset != Some(covered) {
            self.is_age_unknown = self.latest_offset.is_none() && covered > 0;
            self.latest_offset = Some(covered);
            self.latest_since = Instant::now();
        }
        // The record of a snapshot is itself one batch and needs no further snapshot.
        let is_new = offset > covered + 1;
        let is_urgent =
            replica.oldest() > covered || (self.is_age_unknown && standby_delay.is_none());
        let interval = if is_urgent { Duration::ZERO } else { SNAPSHOT_INTERVAL };
        is_new && self.latest_since.elapsed() >= interval + standby_delay.unwrap_or_default()
    }
}

async fn write(replica: &Replica) {
    let state = replica.state().clone();
    let offset = state.offset;
    match snapshot::write_snapshot(&*replica.log, replica.incarnation, &state).await {
        Err(error) => log::warn!(offset; "failed to write a snapshot: {error}"),
        Ok(bytes) => {
            log::info!(offset, bytes, oldest = replica.oldest(); "wrote a snapshot");
            let record = GraphRecord::SnapshotTaken { offset };
            if let Err(error) = replica.write(record).await {
                log::warn!(offset; "failed to record the snapshot in the log: {error}");
            }
        }
    }
}
