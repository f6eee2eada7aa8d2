//! In a region without the log, one entry reads the log for all entries of the region. Entries
//! report when they are disconnected from the log.

use std::time::Duration;

use cuminbarrow_entry::api_error::ApiError;
use cuminbarrow_entry::api_types::InstanceView;
use cuminbarrow_entry::api_types::SheetView;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_entry::offset_gate::MIN_OFFSET_HEADER;
use cuminbarrow_resources::http_client::CallRequest;
use cuminbarrow_resources::http_client::HttpClient;
use cuminbarrow_standin::fault_proxy::ProxyFaults;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::eventually;
use crate::cluster_builder::plain_sheet;

/// Index of the first entry of the other region.
const FIRST_REMOTE: usize = 1;

async fn apply(cluster: &Cluster, base: u64) {
    let body = plain_sheet(base, 5_000 + u32::try_from(base).unwrap());
    let view = cluster.client_of(0, "operator").apply_sheet(&body).await.unwrap();
    assert_eq!(view.version, base + 1);
}

async fn wait_for_version(cluster: &Cluster, entry: usize, version: u64) {
    let client = cluster.client_of(entry, "operator");
    eventually(&format!("entry {entry} has version {version}"), async || {
        let status: StatusView = client.get("/v1/status").await.ok()?;
        (status.sheet_version == version).then_some(())
    })
    .await;
}

/// Indexes of the remote entry that reads the log for its region, which is the one with the lowest
/// instance, and of the other remote entry.
async fn reader_and_follower(cluster: &Cluster) -> (usize, usize) {
    let mut instances = Vec::new();
    for index in [FIRST_REMOTE, FIRST_REMOTE + 1] {
        let status: StatusView =
            cluster.client_of(index, "operator").get("/v1/status").await.unwrap();
        instances.push((status.instance, index));
    }
    instances.sort_unstable();
    (instances[0].1, instances[1].1)
}

#[tokio::test(flavor = "multi_thread")]
async fn region_reader_is_replaced_when_it_dies() {
    let mut cluster = ClusterBuilder::new().entries(1).remote_entries(2).start().await;
    let (reader, follower) = reader_and_follower(&cluster).await;
    apply(&cluster, 1).await;
    wait_for_version(&cluster, reader, 2).await;
    wait_for_version(&cluster, follower, 2).await;
    cluster.entries[reader].kill();
    apply(&cluster, 2).await;
    wait_for_version(&cluster, follower, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_region_keeps_its_last_sheet_and_is_reported() {
    let cluster = ClusterBuilder::new().entries(1).remote_entries(2).start().await;
    apply(&cluster, 1).await;
    wait_for_version(&cluster, FIRST_REMOTE, 2).await;
    wait_for_version(&cluster, FIRST_REMOTE + 1, 2).await;
    cluster.region_link.set_faults(ProxyFaults::HALF_OPEN);
    tokio::time::sleep(Duration::from_secs(1)).await;
    apply(&cluster, 2).await;
    let local = cluster.client_of(0, "operator");
    eventually("both remote entries are shown as not current", async || {
        let views: Vec<InstanceView> = local.get("/v1/instances").await.ok()?;
        let disconnected = views.iter().filter(|view| !view.is_current).collect::<Vec<_>>();
        let have_last_sheet =
            disconnected.iter().all(|view| view.sheet_version == Some(2) && view.behind > Some(0));
        (disconnected.len() == 2 && have_last_sheet).then_some(())
    })
    .await;
    cluster.region_link.set_faults(ProxyFaults::default());
    wait_for_version(&cluster, FIRST_REMOTE, 3).await;
    wait_for_version(&cluster, FIRST_REMOTE + 1, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failover_to_a_lagging_entry_shows_no_older_sheet() {
    let mut cluster = ClusterBuilder::new().entries(1).remote_entries(1).start().await;
    apply(&cluster, 1).await;
    wait_for_version(&cluster, FIRST_REMOTE, 2).await;
    cluster.region_link.set_faults(ProxyFaults::HALF_OPEN);
    apply(&cluster, 2).await;
    let operator = cluster.operator();
    let view: SheetView = operator.get("/v1/sheet").await.unwrap();
    assert_eq!(view.version, 3);
    cluster.entries[0].kill();
    let shown = operator.get::<SheetView>("/v1/sheet").await;
    assert!(shown.is_err(), "an older sheet was shown: {shown:?}");
    let remote = HttpClient::new(&cluster.urls()[FIRST_REMOTE]);
    let request = CallRequest::get("/v1/sheet")
        .with_header("authorization", "Bearer operator")
        .with_header(MIN_OFFSET_HEADER, "1000000");
    let refused = remote.call(request, Duration::from_secs(10)).await.unwrap();
    let error: ApiError = serde_json::from_slice(&refused.body).unwrap();
    assert_eq!((error.kind.as_str(), error.status), ("behind", 503), "{error:?}");
    let unauthenticated = CallRequest::get("/v1/sheet").with_header(MIN_OFFSET_HEADER, "1000000");
    let refused = remote.call(unauthenticated, Duration::from_secs(10)).await.unwrap();
    assert_eq!(refused.status.as_u16(), 401, "an unauthenticated request is refused at once");
    cluster.region_link.set_faults(ProxyFaults::default());
    let view = eventually("the remote entry has caught up", async || {
        operator.get::<SheetView>("/v1/sheet").await.ok()
    })
    .await;
    assert_eq!(view.version, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_region_reader_halves_region_link_traffic() {
    let shared = region_link_bytes(ClusterBuilder::new().entries(1).remote_entries(4)).await;
    let separate = ClusterBuilder::new().entries(1).remote_entries(4).without_region_reader();
    let separate = region_link_bytes(separate).await;
    assert!(shared < separate / 2, "{shared} bytes with one reader, {separate} with four");
}

/// Bytes transferred over the region link while 40 sheets are applied.
async fn region_link_bytes(builder: ClusterBuilder) -> u64 {
    let cluster = builder.start().await;
    let before = cluster.region_link.transferred_bytes();
    for base in 1..=40 {
        apply(&cluster, base).await;
    }
    for entry in FIRST_REMOTE..FIRST_REMOTE + 4 {
        wait_for_version(&cluster, entry, 41).await;
    }
    cluster.region_link.transferred_bytes() - before
}
