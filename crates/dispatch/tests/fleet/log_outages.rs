//! Outages of the log: who plans afterwards, and what callers are told.

use std::time::Duration;

use cuminbarrow_dispatch::job_service::JobService;
use cuminbarrow_dispatch::job_service::JobServiceError;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::configuration_of;
use crate::fake_fleet::scope_of;
use crate::fake_fleet::tasks;
use crate::fake_log::LogFault;

/// Time for which the log retains records.
const LOG_RETENTION: Duration = Duration::from_secs(20);

/// Guards against claims by all entries while the log answers nobody. They took effect once it was
/// back, and until then held up the records of callers.
#[tokio::test(start_paused = true)]
async fn planner_keeps_its_role_across_an_outage_of_the_log() {
    for outage_ms in [1_000, 1_800, 2_300, 4_200, 8_000] {
        let fleet = FakeFleet::start(3, 1).await;
        let planner = fleet.entries[0].replica.state().planner;
        let set_fault = |fault| {
            fleet.entries.iter().for_each(|entry| entry.log_client.set_fault(fault));
            fleet.nodes.iter().for_each(|node| node.set_log_fault(fault));
        };
        set_fault(LogFault::RequestsLost);
        tokio::time::sleep(Duration::from_millis(outage_ms)).await;
        set_fault(LogFault::None);
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(fleet.entries[0].replica.state().planner, planner, "{outage_ms} ms");
    }
}

/// Guards against a planner that is not replaced while the log answers.
#[tokio::test(start_paused = true)]
async fn planner_without_a_path_to_the_log_is_replaced() {
    let fleet = FakeFleet::start(2, 1).await;
    let planner = fleet.entries[1].replica.state().planner;
    let index = fleet
        .entries
        .iter()
        .position(|entry| planner.instance == Some(entry.replica.incarnation))
        .unwrap();
    fleet.entries[index].log_client.set_fault(LogFault::RequestsLost);
    let other = &fleet.entries[1 - index];
    let began = Instant::now();
    fleet
        .wait_for("another planner", |_| {
            other.replica.state().planner.instance == Some(other.replica.incarnation)
        })
        .await;
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// Guards against an answer that comes when its caller has no time left for a second attempt.
#[tokio::test(start_paused = true)]
async fn submission_without_an_outcome_is_answered_in_time_for_another_attempt() {
    for patience_ms in [1_200, 3_000, 60_000] {
        let patience = Duration::from_millis(patience_ms);
        let fleet = FakeFleet::start(1, 1).await;
        let service = JobService::new(fleet.entries[0].replica.clone());
        fleet.entries[0].log_client.set_fault(LogFault::RequestsLost);
        let steps = vec![tasks(1, 1)];
        let spec = JobSpec { steps, ..JobSpec::default() };
        let began = Instant::now();
        let configuration = configuration_of("queue");
        let scope = scope_of(&configuration);
        let team = SmolStr::default();
        let submission = service.submit(scope, &team, JobId(1), spec, patience);
        assert_eq!(submission.await, Err(JobServiceError::Unknown));
        let took = began.elapsed();
        let limit = patience.min(Duration::from_secs(3)) * 2 / 3;
        assert!(took <= limit + Duration::from_millis(20), "{took:?} of {patience:?}");
    }
}

/// Load pattern: urgent jobs arrive while the planner is cut off from the list of live processes. No
/// job waits for that list.
#[tokio::test(start_paused = true)]
async fn planner_places_jobs_while_the_list_of_live_processes_does_not_answer() {
    let mut fleet = FakeFleet::start(1, 2).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.entries[0].log_client.set_fault(LogFault::MembersLost);
    for _ in 0..20 {
        let submitted = Instant::now();
        let job = fleet.submit(tasks(1, 1), Duration::from_millis(100)).await;
        fleet.wait_for("a run", |fleet| fleet.start_count(job) > 0).await;
        assert!(submitted.elapsed() < Duration::from_millis(500), "{:?}", submitted.elapsed());
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
}

/// Guards against a second run of a task whose placement the log has dropped before a snapshot covered
/// it, with all processes gone: a replica must not go on from the older state of the snapshot.
#[tokio::test(start_paused = true)]
async fn a_lost_placement_does_not_let_a_task_be_placed_again() {
    for is_entry_first in [false, true] {
        let mut fleet = FakeFleet::start(2, 2).await;
        // Snapshots are written every 4 s.
        let covered = fleet.entries[0].replica.state().snapshot_offset;
        fleet
            .wait_for("a snapshot", |fleet| {
                fleet.entries[0].replica.state().snapshot_offset > covered
            })
            .await;
        let job = fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
        fleet.wait_for("a run", |fleet| fleet.node_of(job).is_some()).await;
        assert!(fleet.entries[0].replica.oldest() == 0);
        fleet.kill_all();
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.drop_history();
        if is_entry_first {
            (0..2).for_each(|entry| fleet.restart_entry(entry));
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        (0..2).for_each(|node| fleet.start_agent(node));
        tokio::time::sleep(Duration::from_secs(1)).await;
        if !is_entry_first {
            (0..2).for_each(|entry| fleet.restart_entry(entry));
        }
        tokio::time::sleep(Duration::from_secs(40)).await;
        assert_eq!(fleet.start_count(job), 1);
        assert_eq!(fleet.violations(), Vec::<String>::new());
    }
}

/// Guards against a state that is lost for good because the processes between two power cuts did not live
/// long enough to write a snapshot, and the log has dropped what the one before does not cover.
#[tokio::test(start_paused = true)]
async fn second_power_cut_soon_after_the_first_loses_no_job() {
    for uptime in [Duration::from_millis(2_700), Duration::from_millis(3_900)] {
        let mut fleet = FakeFleet::start(2, 2).await;
        let job = fleet.submit(tasks(1, 8), Duration::from_secs(120)).await;
        fleet.wait_for("a run", |fleet| fleet.node_of(job).is_some()).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        for uptime in [uptime, Duration::from_secs(15)] {
            fleet.kill_all();
            tokio::time::sleep(Duration::from_millis(9_500)).await;
            fleet.drop_older_than(LOG_RETENTION);
            (0..2).for_each(|entry| fleet.restart_entry(entry));
            (0..2).for_each(|node| fleet.start_agent(node));
            tokio::time::sleep(uptime).await;
        }
        for entry in &fleet.entries {
            assert!(entry.replica.is_fresh(), "{uptime:?}");
            assert!(entry.replica.state().jobs.contains_key(&JobId(job)), "{uptime:?}");
        }
        assert_eq!(fleet.violations(), Vec::<String>::new());
    }
}
