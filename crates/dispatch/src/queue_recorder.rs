//! Records in the log that the operator has given a queue another name or another service, while it has
//! jobs that have not ended.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::queue_table::QueueVersion;
use cuminbarrow_taskgraph::record::GraphRecord;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::operator_recorder;
use crate::replica::Replica;

/// Records what `configurations` publishes, until the sender is gone.
pub async fn run(
    replica: Arc<Replica>,
    configurations: watch::Receiver<Option<Arc<Configuration>>>,
) {
    let mut services = BTreeMap::new();
    let next_record = |replica: &Replica, configuration: &Option<Arc<Configuration>>| {
        let state = replica.state();
        log_moves(&mut services, &state);
        due_change(&state, configuration.as_ref()?)
    };
    operator_recorder::run(&replica, configurations, "the change of a queue", next_record).await;
}

/// The record of the first queue that differs in the configuration from what the log has, if any.
fn due_change(state: &GraphState, configuration: &Configuration) -> Option<GraphRecord> {
    state.queues.iter().find_map(|(address, queue)| {
        let QueueVersion { version, name, service } = &queue.latest;
        let next = configuration.queue_of_jobs_at(address, name)?;
        let is_due = configuration.version > *version
            && (next.name != *name || next.terms.service != *service)
            && !queue.jobs.is_disjoint(&state.active);
        let latest = QueueVersion {
            version: configuration.version,
            name: next.name.clone(),
            service: next.terms.service.clone(),
        };
        is_due.then(|| GraphRecord::QueueChanged { address: address.clone(), latest })
    })
}

/// Logs each queue whose jobs follow it to another service.
fn log_moves(services: &mut BTreeMap<SmolStr, SmolStr>, state: &GraphState) {
    services.retain(|address, _| state.queues.get(address).is_some());
    for (address, queue) in state.queues.iter() {
        let QueueVersion { version, service, .. } = &queue.latest;
        let Some(known) = services.get_mut(address) else {
            services.insert(address.clone(), service.clone());
            continue;
        };
        if known != service {
            let jobs = queue.jobs.intersection(&state.active).count();
            log::info!(queue = address.as_str(), from = known.as_str(), to = service.as_str(), version = *version, jobs; "queue has moved to another service");
            known.clone_from(service);
        }
    }
}
