//! Gangs under killed and paused processes, link faults and lost answers. A gang ends as a whole,
//! and a job that is not repeatable runs at most once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_standin::fault_proxy::ProxyFaults;
use cuminbarrow_standin::log_service::LogFaults;
use cuminbarrow_standin::worker_fleet::TaskSpan;
use cuminbarrow_standin::worker_fleet::WorkerFaults;
use nix::sys::signal::Signal;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::LEASE_MS;
use crate::cluster_builder::eventually;
use crate::cluster_builder::job_body;
use crate::cluster_builder::not_repeatable;
use crate::cluster_builder::wait_for_end;
use crate::cluster_builder::worker_index;

/// Tolerance for the stand-in's lease checks and for messages between agents, in ms.
const SLACK_MS: u64 = 500;

/// Asserts that the tasks of each attempt ended within one lease of each other.
fn assert_tasks_end_together(spans: &[TaskSpan], payload: &str) {
    let mut attempts: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for span in spans.iter().filter(|span| span.payload == payload) {
        let attempt = span.task.rsplit_once('.').unwrap().0;
        attempts.entry(attempt).or_default().push(span.until_ms.expect("the task ended"));
    }
    for (attempt, ends) in attempts {
        let apart_ms = ends.iter().max().unwrap() - ends.iter().min().unwrap();
        assert!(apart_ms <= LEASE_MS + SLACK_MS, "attempt {attempt} ended {apart_ms} ms apart");
    }
}

/// Number of attempts of which any task ran.
fn started_attempts(spans: &[TaskSpan], payload: &str) -> usize {
    let spans = spans.iter().filter(|span| span.payload == payload);
    spans.map(|span| span.task.rsplit_once('.').unwrap().0).collect::<BTreeSet<_>>().len()
}

/// Waits until all tasks with this payload have ended and returns the spans of all tasks.
async fn wait_for_task_ends(cluster: &Cluster, payload: &str) -> Vec<TaskSpan> {
    eventually("every task ended", async || {
        let spans = cluster.spans().await;
        let mut own = spans.iter().filter(|span| span.payload == payload);
        own.all(|span| span.until_ms.is_some()).then_some(spans)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_agent_ends_the_gang_within_a_lease() {
    let cluster = ClusterBuilder::new().start().await;
    let payload = "run_ms=20000,paused";
    cluster.caller().submit("gang", &not_repeatable(job_body(3, 8, payload))).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    eventually("three tasks run", async || (cluster.spans().await.len() == 3).then_some(())).await;
    let member = worker_index(&view.members[2].worker);
    cluster.agents[member].signal(Signal::SIGSTOP);
    let view = wait_for_end(&cluster.caller(), "gang").await;
    cluster.agents[member].signal(Signal::SIGCONT);
    assert_eq!(view.phase, PhaseName::MayHaveRun, "{view:?}");
    let spans = wait_for_task_ends(&cluster, payload).await;
    assert_tasks_end_together(&spans, payload);
    assert_eq!(started_attempts(&spans, payload), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_worker_ends_the_gang_within_a_lease() {
    let cluster = ClusterBuilder::new().start().await;
    let payload = "run_ms=20000,worker-paused";
    cluster.caller().submit("gang", &not_repeatable(job_body(3, 8, payload))).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    eventually("three tasks run", async || (cluster.spans().await.len() == 3).then_some(())).await;
    let worker = view.members[2].worker.clone();
    let paused = WorkerFaults { is_paused: true, ..WorkerFaults::default() };
    cluster.set_worker_faults(&worker, paused).await;
    let view = wait_for_end(&cluster.caller(), "gang").await;
    assert_eq!(view.phase, PhaseName::MayHaveRun, "{view:?}");
    cluster.set_worker_faults(&worker, WorkerFaults::default()).await;
    let spans = wait_for_task_ends(&cluster, payload).await;
    assert_tasks_end_together(&spans, payload);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_worker_ends_each_of_its_gangs() {
    let cluster = ClusterBuilder::new().start().await;
    let mut workers = Vec::new();
    for key in ["one", "two"] {
        let payload = format!("run_ms=20000,{key}");
        cluster.caller().submit(key, &not_repeatable(job_body(1, 4, &payload))).await.unwrap();
        let view = cluster.wait_for_phase(key, PhaseName::Running).await;
        workers.push(view.members[0].worker.clone());
    }
    assert_eq!(workers[0], workers[1], "both run on one worker");
    eventually("two tasks run", async || (cluster.spans().await.len() == 2).then_some(())).await;
    let paused = WorkerFaults { is_paused: true, ..WorkerFaults::default() };
    cluster.set_worker_faults(&workers[0], paused).await;
    for key in ["one", "two"] {
        let view = wait_for_end(&cluster.caller(), key).await;
        assert_eq!(view.phase, PhaseName::MayHaveRun, "{view:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_lead_ends_the_gang_within_a_lease() {
    let mut cluster = ClusterBuilder::new().start().await;
    let payload = "run_ms=20000,killed";
    cluster.caller().submit("gang", &not_repeatable(job_body(3, 8, payload))).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    eventually("three tasks run", async || (cluster.spans().await.len() == 3).then_some(())).await;
    let lead = Cluster::lead_index(&view);
    cluster.agents[lead].kill();
    let view = wait_for_end(&cluster.caller(), "gang").await;
    assert_eq!(view.phase, PhaseName::MayHaveRun, "{view:?}");
    let spans = wait_for_task_ends(&cluster, payload).await;
    assert_tasks_end_together(&spans, payload);
    assert_eq!(started_attempts(&spans, payload), 1);
}

/// Stalls the link to one member in one direction or in both, or resets it. The gang must end on
/// all members within one lease of each other.
#[tokio::test(flavor = "multi_thread")]
async fn link_fault_between_members_ends_the_gang_within_a_lease() {
    let cluster = ClusterBuilder::new().start().await;
    let faults = [
        ProxyFaults { stall_forward: true, ..ProxyFaults::default() },
        ProxyFaults::HALF_OPEN,
        ProxyFaults { reset: true, ..ProxyFaults::default() },
    ];
    for (index, faults) in faults.into_iter().enumerate() {
        let payload = format!("run_ms=20000,cut={index}");
        let key = format!("cut-{index}");
        cluster.caller().submit(&key, &not_repeatable(job_body(3, 8, &payload))).await.unwrap();
        let view = cluster.wait_for_phase(&key, PhaseName::Running).await;
        let member = worker_index(&view.members[2].worker);
        cluster.agent_proxies[member].set_faults(faults);
        let view = wait_for_end(&cluster.caller(), &key).await;
        cluster.agent_proxies[member].set_faults(ProxyFaults::default());
        assert_eq!(view.phase, PhaseName::MayHaveRun, "under {faults:?}: {view:?}");
        let spans = wait_for_task_ends(&cluster, &payload).await;
        assert_tasks_end_together(&spans, &payload);
        assert!(started_attempts(&spans, &payload) <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_gang_runs_again_after_its_lead_restarts() {
    let mut cluster = ClusterBuilder::new().start().await;
    let payload = "run_ms=1500,again";
    cluster.caller().submit("gang", &job_body(3, 8, payload)).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    let lead = Cluster::lead_index(&view);
    cluster.agents[lead].kill();
    cluster.restart_agent(lead);
    let view = wait_for_end(&cluster.caller(), "gang").await;
    assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
    assert!(view.attempts >= 2, "{view:?}");
    assert_tasks_end_together(&wait_for_task_ends(&cluster, payload).await, payload);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answers_start_no_gang_twice() {
    let cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    for index in 0..8 {
        let payload = format!("run_ms=50,lost={index}");
        let key = format!("lost-{index}");
        cluster.set_log_faults(LogFaults { lose_answers: 3, ..LogFaults::default() }).await;
        caller.submit(&key, &not_repeatable(job_body(2, 4, &payload))).await.unwrap();
        cluster.set_log_faults(LogFaults { lose_answers: 2, ..LogFaults::default() }).await;
        let view = wait_for_end(&caller, &key).await;
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
        let spans = wait_for_task_ends(&cluster, &payload).await;
        assert_eq!(started_attempts(&spans, &payload), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_rejects_new_jobs_and_keeps_running_gangs() {
    let cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    caller.submit("before", &job_body(2, 8, "run_ms=3000,before")).await.unwrap();
    cluster.wait_for_phase("before", PhaseName::Running).await;
    cluster.set_log_faults(LogFaults { is_down: true, ..LogFaults::default() }).await;
    let refused = caller.submit("during", &job_body(1, 1, "x")).await.unwrap_err();
    let text = refused.to_string();
    assert!(text.contains("outcome: NotRun"), "{text}");
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.set_log_faults(LogFaults::default()).await;
    let view = wait_for_end(&caller, "before").await;
    assert_eq!((view.phase, view.attempts), (PhaseName::Completed, 1), "{view:?}");
    let jobs: Vec<serde_json::Value> = cluster.operator().get("/v1/jobs").await.unwrap();
    assert_eq!(jobs.len(), 1, "a job refused as not run must not exist");
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_once_when_an_entry_is_killed_during_submission() {
    let mut cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    for index in 0..60 {
        let payload = format!("run_ms=100,planner={index}");
        caller
            .submit(&format!("job-{index}"), &not_repeatable(job_body(2, 4, &payload)))
            .await
            .unwrap();
        if index == 30 {
            cluster.entries[0].kill();
        }
    }
    for index in 0..60 {
        let key = format!("job-{index}");
        let view = wait_for_end(&caller, &key).await;
        let payload = format!("run_ms=100,planner={index}");
        assert_eq!(view.phase, PhaseName::Completed, "{view:?}");
        assert_eq!(started_attempts(&wait_for_task_ends(&cluster, &payload).await, &payload), 1);
    }
}
