//! A planner or a gang's lead dies or pauses in the middle of a decision, and others complete it.

use std::time::Duration;

use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_standin::log_service::LogFaults;
use nix::sys::signal::Signal;
use smol_str::SmolStr;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::LEASE_MS;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::eventually;
use crate::cluster_builder::job_body;
use crate::cluster_builder::not_repeatable;
use crate::cluster_builder::wait_for_end;
use crate::cluster_builder::worker_index;

const BORROWER_TEAM: &str = "borrower";

/// Guarantees all six workers to [`TEAM`].
async fn guarantee_everything(cluster: &Cluster) {
    let shape = job_body(6, 8, "").job.shape;
    let guarantee = Guarantee { name: SmolStr::new("all"), shape, count: 1 };
    let team =
        |name, guarantees| TeamSpec { name: SmolStr::new(name), guarantees, max_pending: 100 };
    let teams = vec![team(TEAM, vec![guarantee]), team(BORROWER_TEAM, Vec::new())];
    let sheet = Sheet { base: 1, teams, jobs: Vec::new() };
    let body = SheetBody { sheet, allow_removals: false };
    let view = cluster.operator().apply_sheet(&body).await.unwrap();
    assert_eq!(view.version, 2);
}

/// Index of the entry that holds the planner role.
async fn planner_index(cluster: &Cluster) -> usize {
    eventually("an entry plans", async || {
        for index in 0..cluster.entries.len() {
            let client = cluster.client_of(index, "operator");
            let status: StatusView = client.get("/v1/status").await.ok()?;
            if status.planner == Some(status.instance) {
                return Some(index);
            }
        }
        None
    })
    .await
}

async fn borrower_jobs(cluster: &Cluster) -> Vec<JobView> {
    let path = format!("/v1/jobs?team={BORROWER_TEAM}");
    cluster.operator().get(&path).await.unwrap()
}

/// Kills the planner while it waits for borrowed workers to be released, one of which belongs to a
/// paused agent. The next planner must finish the reclaim, and the job must not start before all
/// borrowers have stopped.
#[tokio::test(flavor = "multi_thread")]
async fn planner_killed_during_reclaim() {
    let mut cluster = ClusterBuilder::new().start().await;
    guarantee_everything(&cluster).await;
    let operator = cluster.operator();
    for index in 0..6 {
        let mut borrowed = job_body(1, 8, &format!("run_ms=60000,borrowed={index}"));
        borrowed.team = SmolStr::new(BORROWER_TEAM);
        borrowed.job.shape.span = Span::Worker;
        operator.submit(&format!("borrowed-{index}"), &borrowed).await.unwrap();
    }
    eventually("all borrowers run", async || (cluster.spans().await.len() == 6).then_some(()))
        .await;
    let paused = worker_index(&borrower_jobs(&cluster).await[0].members[0].worker);
    cluster.agents[paused].signal(Signal::SIGSTOP);
    cluster.caller().submit("wanted", &job_body(6, 8, "run_ms=50,wanted")).await.unwrap();
    eventually("the reclaim is under way", async || {
        let jobs = borrower_jobs(&cluster).await;
        jobs.iter().all(|job| job.phase != PhaseName::Running).then_some(())
    })
    .await;
    let index = planner_index(&cluster).await;
    cluster.entries[index].kill();
    tokio::time::sleep(Duration::from_millis(LEASE_MS)).await;
    cluster.agents[paused].signal(Signal::SIGCONT);
    let view = wait_for_end(&cluster.caller(), "wanted").await;
    assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    let spans = cluster.spans().await;
    let starts = spans.iter().filter(|span| span.payload.ends_with("wanted"));
    let start_ms = starts.map(|span| span.from_ms).min().unwrap();
    let borrowed = spans.iter().filter(|span| span.payload.contains("borrowed")).take(6);
    for span in borrowed {
        assert!(span.until_ms.is_some_and(|until_ms| until_ms <= start_ms), "{span:?}");
    }
}

/// Kills the lead while the record of its start is in flight to the log, and in other rounds just
/// after it was appended. A job is reported as "not run" only if no task of it ran, and no job runs
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn lead_killed_while_its_start_is_recorded() {
    let mut cluster = ClusterBuilder::new().start().await;
    for round in 0..6 {
        let payload = format!("run_ms=300,start={round}");
        let key = format!("job-{round}");
        cluster.set_log_faults(LogFaults { delay_ms: 150, ..LogFaults::default() }).await;
        cluster.caller().submit(&key, &not_repeatable(job_body(3, 8, &payload))).await.unwrap();
        let phases = [PhaseName::Placed, PhaseName::Running];
        let wanted_phase = phases[round % 2];
        let path = cuminbarrow::api_client::job_path(TEAM, &key);
        let view = eventually("the job is placed or runs", async || {
            let view: JobView = cluster.caller().get(&path).await.ok()?;
            let is_reached = view.phase == wanted_phase || view.is_ended();
            is_reached.then_some(view)
        })
        .await;
        if !view.is_ended() {
            let lead = Cluster::lead_index(&view);
            cluster.agents[lead].kill();
            cluster.restart_agent(lead);
        }
        cluster.set_log_faults(LogFaults::default()).await;
        let view = wait_for_end(&cluster.caller(), &key).await;
        let spans = eventually("every task ended", async || {
            let spans = cluster.spans().await;
            let job_spans: Vec<_> =
                spans.into_iter().filter(|span| span.payload == payload).collect();
            job_spans.iter().all(|span| span.until_ms.is_some()).then_some(job_spans)
        })
        .await;
        assert!(spans.len() <= 3, "no member ran twice: {spans:?}");
        match view.phase {
            PhaseName::Completed => assert_eq!(spans.len(), 3),
            PhaseName::MayHaveRun => {}
            PhaseName::NotRun => assert_eq!(spans.len(), 0, "{spans:?}"),
            phase => panic!("{phase:?}: {view:?}"),
        }
        cluster.wait_for_workers(6).await;
    }
}

/// Pauses the planner until its timeout has passed and another entry has taken over. What the old
/// planner writes after it resumes must have no effect, and agents that moved to the other entry
/// must be served there.
#[tokio::test(flavor = "multi_thread")]
async fn planner_paused_beyond_its_timeout() {
    let cluster = ClusterBuilder::new().start().await;
    let index = planner_index(&cluster).await;
    let other = cluster.client_of(1 - index, TEAM);
    let submit = async |key: String| {
        let payload = format!("run_ms=200,{key}");
        other.submit(&key, &not_repeatable(job_body(2, 4, &payload))).await.unwrap();
    };
    for job in 0..10 {
        submit(format!("before-{job}")).await;
    }
    cluster.entries[index].signal(Signal::SIGSTOP);
    for job in 0..10 {
        submit(format!("during-{job}")).await;
    }
    for job in 0..10 {
        let view = wait_for_end(&other, &format!("during-{job}")).await;
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    }
    cluster.entries[index].signal(Signal::SIGCONT);
    for job in 0..10 {
        submit(format!("after-{job}")).await;
    }
    for stage in ["before", "after"] {
        for job in 0..10 {
            let view = wait_for_end(&other, &format!("{stage}-{job}")).await;
            let has_valid_outcome =
                matches!(view.phase, PhaseName::Completed | PhaseName::MayHaveRun);
            assert!(has_valid_outcome, "{view:?}");
        }
    }
    cluster.wait_for_workers(6).await;
    let spans = cluster.spans().await;
    for stage in ["before", "during", "after"] {
        for job in 0..10 {
            let payload = format!("run_ms=200,{stage}-{job}");
            let span_count = spans.iter().filter(|span| span.payload == payload).count();
            assert!(span_count <= 2, "{payload}: no member ran twice");
        }
    }
    let status: Vec<StatusView> = vec![
        cluster.client_of(0, "operator").get("/v1/status").await.unwrap(),
        cluster.client_of(1, "operator").get("/v1/status").await.unwrap(),
    ];
    assert_eq!(status[0].planner_epoch, status[1].planner_epoch);
    assert!(status[0].planner_epoch >= 2, "the other entry took over");
}
