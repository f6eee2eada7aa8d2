//! Records in the log what entries read of the operator's requests.
//!
//! Load patterns that it answers: a planner that fails, or loses its contact with the store, when the
//! operator asks for something. Each entry reads the requests itself. The planner's entry records them at
//! once, the others a moment later if the log still lacks them.

use std::time::Duration;

use cuminbarrow_taskgraph::record::GraphRecord;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::replica::Replica;
use crate::replica::WRITE_RETRY_DELAY;

/// Time that an entry which is not the planner's leaves the record to that one. An append takes a few
/// ms, and a quarter of a second while the store is slow.
const STANDBY_DELAY: Duration = Duration::from_millis(500);

/// Records, until the sender is gone, what `next_record` yields: the record that is due, by the state and
/// by what `requests` publishes. It is called after each change of either. `subject` names what is
/// recorded in log lines.
pub(crate) async fn run<V, F>(
    replica: &Replica,
    mut requests: watch::Receiver<V>,
    subject: &str,
    mut next_record: F,
) where
    F: FnMut(&Replica, &V) -> Option<GraphRecord>,
{
    let mut applied = replica.applied();
    let mut due_since = None;
    // Before this process has read the log, it does not know what is recorded.
    let mut is_restored = false;
    loop {
        requests.mark_unchanged();
        applied.mark_unchanged();
        is_restored |= replica.confirmed_ms().is_some();
        let record = next_record(replica, &requests.borrow()).filter(|_| is_restored);
        let remaining = record.as_ref().map(|_| {
            let since = *due_since.get_or_insert_with(Instant::now);
            let delay = if replica.is_planner() { Duration::ZERO } else { STANDBY_DELAY };
            delay.saturating_sub(since.elapsed())
        });
        match (record, remaining) {
            (Some(record), Some(Duration::ZERO)) => write(replica, record, subject).await,
            (_, remaining) => {
                if remaining.is_none() {
                    due_since = None;
                }
                let wait = async {
                    match remaining {
                        Some(remaining) => tokio::time::sleep(remaining).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    result = requests.changed() => if result.is_err() { return },
                    _ = applied.changed() => {}
                    () = wait => {}
                }
            }
        }
    }
}

/// Appends a record. A failure is tried again with what is due then. A refusal means that another entry
/// has recorded as much.
async fn write(replica: &Replica, record: GraphRecord, subject: &str) {
    match replica.write_report(record).await {
        Ok(Ok(_)) => {}
        Ok(Err(refusal)) => {
            log::info!("{subject} was not recorded: {refusal}");
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
        Err(error) => {
            log::warn!("failed to record {subject}: {error}");
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}
