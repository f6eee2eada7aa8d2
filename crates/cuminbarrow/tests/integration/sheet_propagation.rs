//! A sheet becomes active on all entries or on none, and is never reverted: under concurrent
//! operators, lost answers, log outages and replacement of every entry.

use cuminbarrow::api_client::ApiClient;
use cuminbarrow::client_error::ClientError;
use cuminbarrow_entry::api_error::ErrorOutcome;
use cuminbarrow_entry::api_types::InstanceView;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::SheetView;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::sheet::SheetJob;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_standin::log_service::LogFaults;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::eventually;
use crate::cluster_builder::job_body;
use crate::cluster_builder::wait_for_end;

/// Number of operators that apply a sheet concurrently.
const OPERATORS: usize = 20;

/// A sheet with [`TEAM`] and a team named after its author.
fn sheet_by(author: usize, base: u64) -> SheetBody {
    let team = |name| TeamSpec { name, guarantees: Vec::new(), max_pending: 5_000 };
    let teams = vec![team(SmolStr::new(TEAM)), team(format_smolstr!("author-{author}"))];
    SheetBody { sheet: Sheet { base, teams, jobs: Vec::new() }, allow_removals: true }
}

/// Applies a sheet, and retries until the application is confirmed.
async fn apply_with_retries(client: &ApiClient, body: &SheetBody) -> SheetView {
    eventually("the sheet's outcome is known", async || client.apply_sheet(body).await.ok()).await
}

/// The active sheet of each entry.
async fn sheets(cluster: &Cluster) -> Vec<SheetView> {
    let mut views = Vec::new();
    for index in 0..cluster.entries.len() {
        views.push(cluster.client_of(index, "operator").get("/v1/sheet").await.unwrap());
    }
    views
}

async fn wait_for_version(cluster: &Cluster, version: u64) {
    eventually("every entry has the version", async || {
        let instances: Vec<InstanceView> = cluster.operator().get("/v1/instances").await.ok()?;
        let has = |view: &InstanceView| view.sheet_version == Some(version);
        let count = instances.iter().filter(|view| has(view)).count();
        (count == cluster.entries.len()).then_some(())
    })
    .await;
}

async fn replace_every_entry(cluster: &mut Cluster) {
    for index in 0..cluster.entries.len() {
        cluster.entries[index].kill();
    }
    for index in 0..cluster.entries.len() {
        cluster.restart_entry(index);
    }
    cluster.wait_for_workers(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_concurrent_sheets_is_applied() {
    let mut cluster = ClusterBuilder::new().start().await;
    let mut applications = Vec::new();
    for author in 0..OPERATORS {
        let client = cluster.client_of(author % 2, "operator");
        let body = sheet_by(author, 1);
        applications.push(tokio::spawn(async move { (author, client.apply_sheet(&body).await) }));
    }
    let mut applied = Vec::new();
    for application in applications {
        match application.await.unwrap() {
            (author, Ok(view)) => applied.push((author, view.version)),
            (_, Err(ClientError::Refused { error })) => {
                assert_eq!((error.status, error.outcome), (409, ErrorOutcome::NotRun), "{error:?}");
                let names_both = error.detail.contains("version 1") && error.detail.contains('2');
                assert!(names_both, "{}", error.detail);
            }
            (author, Err(error)) => panic!("{author}: {error}"),
        }
    }
    let [(applied_author, 2)] = applied[..] else {
        panic!("exactly one sheet must be applied, as version 2: {applied:?}")
    };
    wait_for_version(&cluster, 2).await;
    let expected = sheet_by(applied_author, 1).sheet.teams;
    for view in sheets(&cluster).await {
        assert_eq!(view.teams, expected);
    }
    replace_every_entry(&mut cluster).await;
    for view in sheets(&cluster).await {
        assert_eq!((view.version, &view.teams), (2, &expected), "the active sheet was reverted");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_is_applied_once_despite_lost_answers() {
    let cluster = ClusterBuilder::new().start().await;
    let client = cluster.operator();
    for version in 2..6 {
        let faults = LogFaults { lose_answers: 2, ..LogFaults::default() };
        cluster.set_log_faults(faults).await;
        let body = sheet_by(version, version as u64 - 1);
        let view = apply_with_retries(&client, &body).await;
        assert_eq!(view.version, version as u64, "the sheet must be applied exactly once");
        let again = apply_with_retries(&client, &body).await;
        assert_eq!(again.version, version as u64, "the same sheet again changes nothing");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_has_one_outcome_across_outage_and_restarts() {
    let mut cluster = ClusterBuilder::new().start().await;
    let client = cluster.operator();
    cluster.set_log_faults(LogFaults { is_down: true, ..LogFaults::default() }).await;
    let error = client.apply_sheet(&sheet_by(1, 1)).await.unwrap_err();
    let ClientError::Refused { error } = error else { panic!("{error}") };
    assert_eq!(error.outcome, ErrorOutcome::NotRun, "{error:?}");
    for view in sheets(&cluster).await {
        assert_eq!(view.version, 1, "the previous sheet must stay active");
    }
    let concurrent = sheet_by(2, 1);
    let pending = spawn_apply(cluster.operator(), concurrent.clone());
    cluster.entries[0].kill();
    cluster.restart_entry(0);
    cluster.set_log_faults(LogFaults::default()).await;
    let _ = pending.await;
    cluster.entries[1].kill();
    cluster.restart_entry(1);
    cluster.wait_for_workers(6).await;
    let view = apply_with_retries(&client, &concurrent).await;
    assert_eq!(view.version, 2, "the sheet must be applied exactly once");
    wait_for_version(&cluster, 2).await;
    for view in sheets(&cluster).await {
        assert_eq!(view.teams, concurrent.sheet.teams);
    }
}

fn spawn_apply(client: ApiClient, body: SheetBody) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let _ = client.apply_sheet(&body).await;
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_started_during_log_outage_fetches_state_from_peer() {
    let mut cluster = ClusterBuilder::new().start().await;
    cluster.operator().apply_sheet(&sheet_by(1, 1)).await.unwrap();
    wait_for_version(&cluster, 2).await;
    cluster.set_log_faults(LogFaults { is_down: true, ..LogFaults::default() }).await;
    cluster.start_entry().await;
    let new_entry = cluster.client_of(2, "operator");
    let status = eventually("the new entry has the state", async || {
        let status: StatusView = new_entry.get("/v1/status").await.ok()?;
        (status.sheet_version == 2).then_some(status)
    })
    .await;
    assert!(!status.is_current, "the entry must report that it is not current: {status:?}");
    assert_eq!((status.workers, status.entries), (6, 2));
    let refused = new_entry.apply_sheet(&sheet_by(2, 2)).await.unwrap_err();
    let ClientError::Refused { error } = refused else { panic!("{refused}") };
    assert_eq!(error.outcome, ErrorOutcome::NotRun, "{error:?}");
    cluster.set_log_faults(LogFaults::default()).await;
    let view = apply_with_retries(&new_entry, &sheet_by(3, 2)).await;
    assert_eq!(view.version, 3);
    wait_for_version(&cluster, 3).await;
}

/// The log retains so few records that a restarted entry must start from a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn entries_restart_from_snapshots_after_log_expiry() {
    let mut cluster = ClusterBuilder::new().start().await;
    let client = cluster.operator();
    cluster.set_log_faults(LogFaults { retained_entries: 60, ..LogFaults::default() }).await;
    for version in 2..122 {
        let view = apply_with_retries(&client, &sheet_by(version, version as u64 - 1)).await;
        assert_eq!(view.version, version as u64);
    }
    replace_every_entry(&mut cluster).await;
    for view in sheets(&cluster).await {
        assert_eq!(view.version, 121, "the active sheet was reverted");
    }
}

/// A sheet with two standing jobs for a day, one short and one long.
fn sheet_of_day(day: &str, base: u64, max_pending: u32) -> SheetBody {
    let team = TeamSpec { name: SmolStr::new(TEAM), guarantees: Vec::new(), max_pending };
    let job = |name: &str, payload: String| SheetJob {
        team: SmolStr::new(TEAM),
        key: format_smolstr!("{name}@{day}"),
        spec: job_body(1, 4, &payload).job,
    };
    let jobs = vec![
        job("short", format!("run_ms=50,short-{day}")),
        job("long", format!("run_ms=4000,long-{day}")),
    ];
    SheetBody { sheet: Sheet { base, teams: vec![team], jobs }, allow_removals: false }
}

#[tokio::test(flavor = "multi_thread")]
async fn standing_jobs_run_once_per_service_day() {
    let cluster = ClusterBuilder::new().start().await;
    let (client, caller) = (cluster.operator(), cluster.caller());
    client.apply_sheet(&sheet_of_day("2026-12-04", 1, 5_000)).await.unwrap();
    wait_for_end(&caller, "short@2026-12-04").await;
    cluster.wait_for_phase("long@2026-12-04", PhaseName::Running).await;
    let again = client.apply_sheet(&sheet_of_day("2026-12-04", 2, 5_000)).await.unwrap();
    assert_eq!(again.version, 2, "applying the same sheet again must change nothing");
    let changed = client.apply_sheet(&sheet_of_day("2026-12-04", 2, 4_000)).await.unwrap();
    assert_eq!(changed.version, 3, "a change of the team must be applied beside running jobs");
    let next = client.apply_sheet(&sheet_of_day("2026-12-05", 3, 4_000)).await.unwrap();
    assert_eq!(next.version, 4);
    for day in ["2026-12-04", "2026-12-05"] {
        for name in ["short", "long"] {
            let view = wait_for_end(&caller, &format!("{name}@{day}")).await;
            assert_eq!((view.phase, view.attempts), (PhaseName::Completed, 1), "{view:?}");
        }
    }
    let mut payloads: Vec<_> = cluster.spans().await.into_iter().map(|span| span.payload).collect();
    payloads.sort();
    let expected = [
        "run_ms=4000,long-2026-12-04",
        "run_ms=4000,long-2026-12-05",
        "run_ms=50,short-2026-12-04",
        "run_ms=50,short-2026-12-05",
    ];
    assert_eq!(payloads, expected, "each job must run once per day");
}
