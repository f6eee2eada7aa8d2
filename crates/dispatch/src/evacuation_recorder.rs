//! Records the operator's evacuation requests in the log.

use std::collections::BTreeSet;
use std::sync::Arc;

use cuminbarrow_taskgraph::evacuations::Evacuations;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::worker::WorkerState;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::evacuation_view::EvacuationView;
use crate::operator_recorder;
use crate::replica::Replica;

/// Records what `views` publishes, until the sender is gone.
pub async fn run(replica: Arc<Replica>, views: watch::Receiver<EvacuationView>) {
    let mut known = BTreeSet::new();
    let next_record = |replica: &Replica, view: &EvacuationView| {
        log_change(&mut known, &replica.state());
        next_record(replica, view)
    };
    operator_recorder::run(&replica, views, "an evacuation", next_record).await;
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
