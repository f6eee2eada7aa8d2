//! A gang completes with the results of all its members, also over slow, stalled and broken links.

use std::time::Duration;

use cuminbarrow::api_client::job_path;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_model::digest::Digest;
use cuminbarrow_standin::fault_proxy::ProxyFaults;

use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

#[tokio::test(flavor = "multi_thread")]
async fn gang_answer_contains_the_results_of_all_members() {
    let cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    caller.submit("gang", &job_body(3, 8, "run_ms=100,part")).await.unwrap();
    let view = wait_for_end(&caller, "gang").await;
    assert_eq!(view.phase, PhaseName::Completed);
    let answer = caller.get_bytes(&format!("{}/answer", job_path(TEAM, "gang"))).await.unwrap();
    assert_eq!(answer, b"run_ms=100,part;run_ms=100,part;run_ms=100,part;");
    assert_eq!(view.answer_sha256, Some(Digest::of(&answer).to_string()));
}

#[tokio::test(flavor = "multi_thread")]
async fn gang_completes_despite_entry_link_faults() {
    let cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    let faults = [
        ProxyFaults { delay: Duration::from_millis(30), ..ProxyFaults::default() },
        ProxyFaults { bytes_per_s: 20_000, ..ProxyFaults::default() },
        ProxyFaults { reset: true, ..ProxyFaults::default() },
        ProxyFaults { stall_forward: true, ..ProxyFaults::default() },
        ProxyFaults { stall_backward: true, ..ProxyFaults::default() },
        ProxyFaults::HALF_OPEN,
    ];
    for (index, faults) in faults.into_iter().enumerate() {
        cluster.entry_proxies[0].set_faults(faults);
        let key = format!("gang-{index}");
        caller.submit(&key, &job_body(2, 8, "run_ms=50")).await.unwrap();
        let view = wait_for_end(&caller, &key).await;
        assert_eq!(view.phase, PhaseName::Completed, "under {faults:?}: {view:?}");
        cluster.entry_proxies[0].set_faults(ProxyFaults::default());
    }
}
