//! Reports of other writers that an agent receives beside those of its worker. They may have the highest
//! start time and sequence number, and must not keep the worker from being used.

use std::time::Duration;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::WorkerStatus;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::tasks;
use crate::test_log::line_count;

/// Message of the line for an incarnation that the agent goes by from then on.
const ACCEPTED_LINE: &str = "accepted a worker";
/// Sequence number that the worker itself never reaches.
const HIGH_SEQUENCE: u64 = 1_000_000;
/// By how much another writer started later than the worker, in ms.
const START_DELAY_MS: u64 = 4_000;
/// Time in which a foreign report may take effect: several reports of the worker.
const REPORTS_TIME: Duration = Duration::from_secs(5);
/// Time in which a change that the worker reports is in the log: two reports, and the time after which a
/// report that is not repeated no longer holds.
const REPORTED_LIMIT: Duration = Duration::from_secs(7);

fn foreign_service() -> SmolStr {
    "no-such-service".into()
}

/// Checks that a job which needs the accelerators of all nodes at once runs, each task once.
async fn check_all_workers_are_used(fleet: &mut FakeFleet) {
    let nodes = u32::try_from(fleet.nodes.len()).unwrap();
    let job = fleet.submit(tasks(nodes, 8), Duration::from_secs(10)).await;
    tokio::time::sleep(Duration::from_secs(16)).await;
    assert!(!fleet.entries[0].replica.state().active.contains(&JobId(job)), "the job is not done");
    assert_eq!(fleet.start_count(job), fleet.nodes.len());
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a report of a writer that is no worker, started later than the worker, after which all
/// reports of the worker counted as outdated and nothing more ran there.
#[tokio::test(start_paused = true)]
async fn report_under_another_name_does_not_replace_the_worker() {
    for service in [foreign_service(), "service".into()] {
        let mut fleet = FakeFleet::start(1, 2).await;
        let own = fleet.nodes[0].worker_spec().unwrap();
        let started_ms = own.started_ms + START_DELAY_MS;
        let foreign = WorkerSpec { name: "x-9".into(), started_ms, service, ..own };
        fleet.nodes[0].send_foreign_report(foreign, 1);
        tokio::time::sleep(REPORTS_TIME).await;
        check_all_workers_are_used(&mut fleet).await;
    }
}

/// Guards against runs that are cut short after a foreign report: because the worker's lease isn't extended
/// any more, or because the worker is taken for the next incarnation, which knows nothing of them.
#[tokio::test(start_paused = true)]
async fn foreign_report_leaves_active_runs_alone() {
    for name in ["x-9", "i-side-0"] {
        let mut fleet = FakeFleet::start(1, 1).await;
        let job = fleet.submit(tasks(1, 8), Duration::from_secs(30)).await;
        fleet.wait_for("a run", |fleet| fleet.start_count(job) == 1).await;
        let own = fleet.nodes[0].worker_spec().unwrap();
        let started_ms = own.started_ms + START_DELAY_MS;
        let foreign = WorkerSpec { name: name.into(), started_ms, ..own };
        fleet.nodes[0].send_foreign_report(foreign, 1);
        tokio::time::sleep(Duration::from_secs(35)).await;
        let is_active = fleet.entries[0].replica.state().active.contains(&JobId(job));
        assert!(!is_active, "the job is not done after a report of {name}");
        assert_eq!(fleet.start_count(job), 1, "{name}");
        assert_eq!(fleet.violations(), Vec::<String>::new(), "{name}");
    }
}

/// Guards against a worker that isn't registered because another writer reports more often.
#[tokio::test(start_paused = true)]
async fn worker_is_registered_beside_frequent_foreign_reports() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes[0].host.crash();
    fleet.nodes[0].boot_renamed();
    let own = fleet.nodes[0].worker_spec().unwrap();
    let until = Instant::now() + REPORTS_TIME;
    while Instant::now() < until {
        let started_ms = own.started_ms + START_DELAY_MS;
        let foreign = WorkerSpec { name: "x-9".into(), started_ms, ..own.clone() };
        fleet.nodes[0].send_foreign_report(foreign, 1);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let instance = fleet.nodes[0].instance();
    let registered = fleet.entries[0].replica.state().worker_on(&instance).unwrap().1.spec.clone();
    assert_eq!(registered.name, own.name);
    check_all_workers_are_used(&mut fleet).await;
}

/// Guards against a worker that gets no work after its agent was restarted, because a report under its name
/// with a later start is accepted: the worker refuses the new agent's outdated token without saying when it
/// started.
#[tokio::test(start_paused = true)]
async fn worker_is_used_beside_foreign_reports_under_its_name_after_its_agent_restarted() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let own = fleet.nodes[0].worker_spec().unwrap();
    let started_ms = own.started_ms + START_DELAY_MS;
    let foreign = WorkerSpec { started_ms, service: foreign_service(), ..own };
    fleet.nodes[0].kill_agent();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.start_agent(0);
    let restarted = Instant::now();
    let mut job = None;
    let mut sequence = 0;
    while restarted.elapsed() < Duration::from_secs(20) {
        sequence += 1;
        fleet.nodes[0].send_foreign_report(foreign.clone(), sequence);
        tokio::time::sleep(Duration::from_millis(100)).await;
        if job.is_none() && restarted.elapsed() > REPORTS_TIME {
            job = Some(fleet.submit(tasks(2, 8), Duration::from_secs(10)).await);
        }
    }
    let job = job.unwrap();
    assert!(!fleet.entries[0].replica.state().active.contains(&JobId(job)), "the job is not done");
    assert_eq!(fleet.start_count(job), 2);
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a line that says again that a worker is accepted, for a report that only updates the
/// accepted one: two lines are two incarnations.
#[tokio::test(start_paused = true)]
async fn incarnation_that_reports_twice_before_it_answers_is_logged_as_accepted_once() {
    let fleet = FakeFleet::start(1, 1).await;
    fleet.nodes[0].set_reporting(false);
    fleet.nodes[0].host.crash();
    fleet.nodes[0].boot_renamed();
    let before = line_count(ACCEPTED_LINE);
    let own = fleet.nodes[0].worker_spec().unwrap();
    fleet.nodes[0].send_foreign_report(own.clone(), 1);
    tokio::time::sleep(Duration::from_millis(1)).await;
    fleet.nodes[0].send_foreign_report(own, 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(line_count(ACCEPTED_LINE) - before, 1);
}

/// Guards against a report with the worker's name and start time, but of another service, after which the
/// worker's notice that it drains was dropped as outdated.
#[tokio::test(start_paused = true)]
async fn report_of_another_service_does_not_hide_that_the_worker_drains() {
    let fleet = FakeFleet::start(1, 2).await;
    let foreign =
        WorkerSpec { service: foreign_service(), ..fleet.nodes[0].worker_spec().unwrap() };
    fleet.nodes[0].send_foreign_report(foreign, HIGH_SEQUENCE);
    fleet.nodes[0].drain();
    tokio::time::sleep(REPORTED_LIMIT).await;
    let instance = fleet.nodes[0].instance();
    let status = fleet.entries[0].replica.state().worker_on(&instance).unwrap().1.status;
    assert!(matches!(status, WorkerStatus::Draining { .. }), "{status:?}");
}

/// Guards against a worker that stays registered with a service that only another writer has named.
#[tokio::test(start_paused = true)]
async fn worker_gets_its_own_service_after_a_foreign_report_came_first() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes[0].set_reporting(false);
    fleet.nodes[0].host.crash();
    fleet.nodes[0].boot_renamed();
    let foreign =
        WorkerSpec { service: foreign_service(), ..fleet.nodes[0].worker_spec().unwrap() };
    fleet.nodes[0].send_foreign_report(foreign, HIGH_SEQUENCE);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.nodes[0].set_reporting(true);
    tokio::time::sleep(REPORTED_LIMIT).await;
    check_all_workers_are_used(&mut fleet).await;
}
