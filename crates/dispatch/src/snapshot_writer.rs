//! Writes snapshots, so that the log may forget.
//!
//! The log keeps seconds of history and may drop all of it at once. The planner writes a snapshot
//! every few seconds while there is something new, and at once when it sees records expire that the
//! last snapshot does not cover. The other processes do so after a while in which the planner did
//! not, agents last, so that one of the living replicas always does.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::snapshot;
use cuminbarrow_taskgraph::record::GraphRecord;
use tokio::time::Instant;

use crate::replica::Replica;

/// Time between snapshots while records come in. The log keeps 20 s of them.
const EVERY: Duration = Duration::from_secs(4);
/// Time between looks.
const LOOK: Duration = Duration::from_millis(500);

/// Keeps snapshots for as long as the process runs. `patience` is how much longer than the planner
/// this process waits.
pub async fn run<P>(replica: Arc<Replica>, is_planner: P, patience: Duration)
where
    P: Fn() -> bool,
{
    let mut keeper = Keeper { known: 0, since: Instant::now() };
    loop {
        tokio::time::sleep(LOOK).await;
        let patience = if is_planner() { Duration::ZERO } else { patience };
        if keeper.is_due(&replica, patience) {
            write(&replica).await;
        }
    }
}

struct Keeper {
    /// Newest snapshot that the log tells of.
    known: u64,
    /// Since when it is the newest.
    since: Instant,
}

impl Keeper {
    fn is_due(&mut self, replica: &Replica, patience: Duration) -> bool {
        let (offset, covered) = {
            let state = replica.state();
            (state.offset, state.snapshot_offset)
        };
        if covered != self.known {
            self.known = covered;
            self.since = Instant::now();
        }
        // The note of a snapshot is itself a batch, and nothing that a snapshot is needed for.
        let is_new = offset > covered + 1;
        let wait = if replica.oldest() > covered { patience } else { EVERY + patience };
        is_new && replica.is_fresh() && self.since.elapsed() >= wait
    }
}

async fn write(replica: &Replica) {
    let state = replica.state().clone();
    let offset = state.offset;
    match snapshot::write_snapshot(&*replica.log, replica.incarnation, &state).await {
        Err(error) => log::warn!(offset; "no snapshot: {error}"),
        Ok(bytes) => {
            log::info!(offset, bytes, oldest = replica.oldest(); "wrote a snapshot");
            let record = GraphRecord::SnapshotTaken { offset };
            if let Err(error) = replica.write(record).await {
                log::warn!(offset; "the snapshot is not noted: {error}");
            }
        }
    }
}
