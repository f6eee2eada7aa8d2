//! When an entry dies, another one takes over its clients, its agents and the planner role.

use cuminbarrow_entry::api_types::PhaseName;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

#[tokio::test(flavor = "multi_thread")]
async fn client_fails_over_to_another_entry() {
    let mut cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    caller.submit("long", &job_body(2, 8, "run_ms=3000")).await.unwrap();
    cluster.wait_for_phase("long", PhaseName::Running).await;
    let waiting = tokio::spawn(async move { wait_for_end(&caller, "long").await });
    cluster.entries[0].kill();
    let view = waiting.await.unwrap();
    assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    assert_eq!(view.attempts, 1);

    let caller = cluster.caller();
    caller.submit("after", &job_body(2, 8, "run_ms=50")).await.unwrap();
    let view = wait_for_end(&caller, "after").await;
    assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
}
