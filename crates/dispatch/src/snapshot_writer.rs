//! Writes snapshots of the state, because the log drops old records.
//!
//! The log retains a few seconds of history and may drop all of it at once. The planner writes a
//! snapshot every few seconds while there are new records, and immediately when records have expired
//! that the last snapshot does not cover. The other processes step in after a delay in which the
//! planner has written none, agents last, so that some live replica always writes snapshots.

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
    let mut schedule = SnapshotSchedule { latest_offset: 0, latest_since: Instant::now() };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let standby_delay = if is_planner() { Duration::ZERO } else { standby_delay };
        if schedule.is_due(&replica, standby_delay) {
            write(&replica).await;
        }
    }
}

struct SnapshotSchedule {
    /// Offset of the latest snapshot recorded in the log.
    latest_offset: u64,
    /// When this process saw that it is the latest.
    latest_since: Instant,
}

impl SnapshotSchedule {
    fn is_due(&mut self, replica: &Replica, standby_delay: Duration) -> bool {
        let (offset, covered) = {
            let state = replica.state();
            (state.offset, state.snapshot_offset)
        };
        if covered != self.latest_offset {
            self.latest_offset = covered;
            self.latest_since = Instant::now();
        }
        // The record of a snapshot is itself one batch and needs no further snapshot.
        let is_new = offset > covered + 1;
        let wait = if replica.oldest() > covered {
            standby_delay
        } else {
            SNAPSHOT_INTERVAL + standby_delay
        };
        is_new && replica.is_fresh() && self.latest_since.elapsed() >= wait
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
