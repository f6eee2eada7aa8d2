//! Each of many concurrent clients gets the complete answer of its own job.

use std::sync::Arc;

use cuminbarrow::api_client::job_path;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_model::digest::Digest;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

/// Number of concurrent clients.
const CALLERS: usize = 1_000;

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer() {
    let cluster = ClusterBuilder::new().connections(CALLERS).start().await;
    let clients: Vec<_> = (0..2).map(|entry| Arc::new(cluster.client_of(entry, TEAM))).collect();
    let mut calls = Vec::new();
    for index in 0..CALLERS {
        let (submitter, reader) =
            (Arc::clone(&clients[index % 2]), Arc::clone(&clients[(index + 1) % 2]));
        calls.push(tokio::spawn(async move {
            let run_ms = 20 + (index * 7_919) % 180;
            let payload = format!("run_ms={run_ms},bytes={},caller={index}", 100 + index);
            let key = format!("call-{index}");
            submitter.submit(&key, &job_body(1, 0, &payload)).await.unwrap();
            let view = wait_for_end(&submitter, &key).await;
            assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
            let reader = if index % 3 == 0 { reader } else { submitter };
            let path = job_path(TEAM, &key);
            wait_for_end(&reader, &key).await;
            let answer = reader.get_bytes(&format!("{path}/answer")).await.unwrap();
            let expected: Vec<u8> =
                format!("{payload};").bytes().cycle().take(100 + index).collect();
            assert_eq!(answer, expected);
            assert_eq!(view.answer_sha256, Some(Digest::of(&expected).to_string()));
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
}
