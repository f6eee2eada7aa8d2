//! A worker that was wrongly declared lost joins again and takes work.

use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_resources::http_log::HttpLog;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

/// Timeout of requests to the log service.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn worker_declared_lost_by_mistake_joins_again() {
    let cluster = ClusterBuilder::new().start().await;
    declare_all_lost(&cluster).await;
    cluster.wait_for_workers(6).await;
    let caller = cluster.caller();
    caller.submit("after", &job_body(6, 8, "run_ms=50")).await.unwrap();
    let view = wait_for_end(&caller, "after").await;
    assert_eq!((view.phase, view.attempts), (PhaseName::Completed, 1), "{view:?}");
}

/// Appends records that declare every worker's current session lost, as a faulty entry would.
async fn declare_all_lost(cluster: &Cluster) {
    let store = HttpLog::new(&cluster.platform_url(), LOG_TIMEOUT);
    let page = store.read(LogStream::Records, 0, 1_000, 0).await.unwrap();
    let mut records = Vec::new();
    let joins = page.entries.iter().flat_map(|body| codec::decode::<Batch>(body).unwrap().records);
    for record in joins {
        if let Record::WorkerJoined { incarnation, session, .. } = record {
            let worker = WorkerKey(u16::try_from(records.len()).unwrap());
            records.push(Record::WorkerLost { worker, incarnation, session });
        }
    }
    assert_eq!(records.len(), 6, "each worker joined once");
    let batch = Batch { writer: 1, sequence: 1, at_ms: 1, records };
    let body = Bytes::from(codec::encode(&batch).unwrap());
    store.append(LogStream::Records, body).await.unwrap();
}
