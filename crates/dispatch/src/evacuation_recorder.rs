//! Records the operator's evacuation requests in the log.
//!
//! Load patterns that it answers: a planner that fails, or loses its contact with the store, when the
//! operator asks for an evacuation. Each entry reads the requests itself. The planner's entry records
//! them at once, the others a moment later if the log still lacks them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_taskgraph::evacuations::Evacuations;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::worker::WorkerState;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::evacuation_view::EvacuationView;
use crate::replica::Replica;
use crate::replica::WRITE_RETRY_DELAY;

/// Time that an entry which is not the planner's leaves the record to that one. An append takes a few
/// ms, and a quarter of a second while the store is slow.
const STANDBY_DELAY: Duration = Duration::from_millis(500);

/// Records what `views` publishes, until the sender is gone.
pub async fn run(replica: Arc<Replica>, mut views: watch::Receiver<EvacuationView>) {
    let mut applied = replica.applied();
    let mut due_since = None;
    let mut known = BTreeSet::new();
    // Before this process has read the log, it does not know what is recorded.
    let mut is_restored = false;
    loop {
        views.mark_unchanged();
        applied.mark_unchanged();
        log_change(&mut known, &replica.state());
        is_restored |= replica.confirmed_ms().is_some();
        let record = if is_restored { next_record(&replica, &views.borrow()) } else { None };
        let remaining = record.as_ref().map(|_| {
            let since = *due_since.get_or_insert_with(Instant::now);
            let delay = if is_planner(&replica) { Duration::ZERO } else { STANDBY_DELAY };
            delay.saturating_sub(since.elapsed())
        });
        match (record, remaining) {
            (Some(record), Some(Duration::ZERO)) => write(&replica, record).await,
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
                    result = views.changed() => if result.is_err() { return },
                    _ = applied.changed() => {}
                    () = wait => {}
                }
            }
        }
    }
}

fn is_planner(replica: &Replica) -> bool {
    replica.state().planner.instance == Some(replica.incarnation)
}

/// The record that is due, if any.
fn next_record(replica: &Replica, view: &EvacuationView) -> Option<GraphRecord> {
    let state = replica.state();
    let known: BTreeSet<&SmolStr> = if view.has_requests() {
        state.workers.values().map(|worker: &WorkerState| &worker.spec.data_centre).collect()
    } else {
        BTreeSet::new()
    };
    let Evacuations { as_of, data_centres } = view.update_of(&state.evacuations, &known)?;
    Some(GraphRecord::EvacuationsRead { as_of, data_centres })
}

/// Appends a record. A failure is tried again with what is due then. A refusal means that another entry
/// has recorded as much.
async fn write(replica: &Replica, record: GraphRecord) {
    match replica.write_report(record).await {
        Ok(Ok(_)) => {}
        Ok(Err(refusal)) => {
            log::info!("an evacuation was not recorded: {refusal}");
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
        Err(error) => {
            log::warn!("failed to record an evacuation: {error}");
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// Logs each change of the recorded evacuations.
fn log_change(known: &mut BTreeSet<SmolStr>, state: &GraphState) {
    let recorded = &state.evacuations;
    for data_centre in recorded.data_centres.difference(known) {
        log::info!(data_centre = data_centre.as_str(), as_of = recorded.as_of; "evacuation is recorded");
    }
    for data_centre in known.difference(&recorded.data_centres) {
        log::info!(data_centre = data_centre.as_str(), as_of = recorded.as_of; "evacuation is withdrawn");
    }
    if *known != recorded.data_centres {
        known.clone_from(&recorded.data_centres);
    }
}
