//! A backend server that is being drained receives no new work.

use std::time::Duration;

use cuminbarrow_entry::api_types::PhaseName;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

/// Time after the drain request from which on the worker must receive no new work, in ms.
const DRAIN_EFFECT_LIMIT_MS: u64 = 3_000;
/// Period after the drain request in which jobs are submitted.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn drained_worker_receives_no_new_work() {
    let cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    let mut index = 0;
    let mut submit = async || {
        index += 1;
        let key = format!("job-{index}");
        caller.submit(&key, &job_body(1, 2, "run_ms=100")).await.unwrap();
        key
    };
    let mut keys = Vec::new();
    for _ in 0..40 {
        keys.push(submit().await);
    }
    let started_ms = latest_start_ms(&cluster, "w0").await;
    cluster.operator().post_action("/v1/workers/w0/drain").await.unwrap();
    // The latest start of any task stands for the time of the drain on the stand-in's clock.
    let drained_ms = cluster.spans().await.iter().map(|span| span.from_ms).max().unwrap_or(0);
    let until = tokio::time::Instant::now() + ARRIVAL_PERIOD;
    while tokio::time::Instant::now() < until {
        keys.push(submit().await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for key in keys {
        let view = wait_for_end(&caller, &key).await;
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    }
    let last_ms = latest_start_ms(&cluster, "w0").await;
    assert!(
        last_ms <= drained_ms.max(started_ms) + DRAIN_EFFECT_LIMIT_MS,
        "w0 was drained at {drained_ms} ms and started work at {last_ms} ms"
    );
}

/// Start of the task that started last on a worker, in ms since the stand-in's start.
async fn latest_start_ms(cluster: &crate::cluster_builder::Cluster, worker: &str) -> u64 {
    let spans = cluster.spans().await;
    let starts = spans.iter().filter(|span| span.worker == worker).map(|span| span.from_ms);
    starts.max().unwrap_or(0)
}
