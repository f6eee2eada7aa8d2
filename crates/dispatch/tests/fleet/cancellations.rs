//! Cancellations at an entry that does not have the job yet.

use std::time::Duration;

use cuminbarrow_dispatch::job_service::JobService;
use cuminbarrow_dispatch::job_service::JobServiceError;
use cuminbarrow_dispatch::job_service::JobStatus;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use smol_str::SmolStr;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::configuration_of;
use crate::fake_fleet::scope_of;
use crate::fake_fleet::tasks;
use crate::fake_log::LogFault;

/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
const QUEUE: &str = "queue";
static TEAM: SmolStr = SmolStr::new_static("team");

/// Guards against answering that there is no such job, at an entry that the log has not answered since
/// the job was accepted: the caller takes the job for cancelled, but it runs on.
#[tokio::test(start_paused = true)]
async fn cancellation_at_an_entry_behind_the_log_is_not_answered_as_done() {
    let configuration = configuration_of(QUEUE);
    let scope = scope_of(&configuration);
    for lead_ms in [0, 300, 900] {
        let mut fleet = FakeFleet::start(2, 2).await;
        let [first, second] =
            [0, 1].map(|entry| JobService::new(fleet.entries[entry].replica.clone()));
        fleet.entries[1].log_client.set_fault(LogFault::RequestsLost);
        tokio::time::sleep(Duration::from_millis(lead_ms)).await;
        let (job, record) = fleet.new_job(tasks(1, 8), Duration::from_secs(20), EndKind::Done);
        let GraphRecord::JobAccepted { spec, .. } = record else { unreachable!() };
        first.submit(scope, &TEAM, JobId(job), spec, PATIENCE).await.unwrap();
        let answer = second.cancel(scope, &TEAM, JobId(job), PATIENCE).await;
        let is_open =
            matches!(answer, Err(JobServiceError::NotDone { .. } | JobServiceError::Unknown));
        assert!(is_open, "{lead_ms}: {answer:?}");
        fleet.entries[1].log_client.set_fault(LogFault::None);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(second.cancel(scope, &TEAM, JobId(job), PATIENCE).await, Ok(()));
        assert_eq!(first.status(scope, JobId(job)).await, Ok(JobStatus::Cancelled));
    }
}

/// Guards against a cancellation of a job that was never accepted which is not answered.
#[tokio::test(start_paused = true)]
async fn cancellation_of_an_unknown_job_is_answered() {
    let configuration = configuration_of(QUEUE);
    let scope = scope_of(&configuration);
    let fleet = FakeFleet::start(2, 2).await;
    for entry in &fleet.entries {
        let service = JobService::new(entry.replica.clone());
        let answer = service.cancel(scope, &TEAM, JobId(7), PATIENCE).await;
        assert_eq!(answer, Err(JobServiceError::NoJob));
    }
}

/// Guards against a job that runs although its caller was told that there is no such job: its
/// submission was repeated, or carried out late, after the cancellation at another entry.
#[tokio::test(start_paused = true)]
async fn submission_on_its_way_starts_nothing_after_the_job_was_cancelled() {
    let configuration = configuration_of(QUEUE);
    let scope = scope_of(&configuration);
    for delay_ms in [1_000, 5_500] {
        let mut fleet = FakeFleet::start(2, 2).await;
        let [first, second] =
            [0, 1].map(|entry| JobService::new(fleet.entries[entry].replica.clone()));
        let delay = Duration::from_millis(delay_ms);
        fleet.entries[0].log_client.set_fault(LogFault::AppendsDelayed(delay));
        let (job, record) = fleet.new_job(tasks(1, 8), Duration::from_secs(5), EndKind::Done);
        let GraphRecord::JobAccepted { spec, .. } = record else { unreachable!() };
        let submission = first.submit(scope, &TEAM, JobId(job), spec.clone(), PATIENCE);
        let result = tokio::time::timeout(Duration::from_millis(600), submission).await;
        assert!(result.is_err(), "the caller leaves without an answer");
        let answer = second.cancel(scope, &TEAM, JobId(job), PATIENCE).await;
        let is_final = matches!(answer, Ok(()) | Err(JobServiceError::NoJob));
        assert!(is_final, "{delay_ms}: {answer:?}");
        fleet.entries[0].log_client.set_fault(LogFault::None);
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert_eq!(fleet.start_count(job), 0, "{delay_ms}");
        assert_eq!(second.status(scope, JobId(job)).await, Ok(JobStatus::Cancelled));
        assert_eq!(
            first.submit(scope, &TEAM, JobId(job), spec, PATIENCE).await,
            Ok(()),
            "once more"
        );
        assert_eq!(second.cancel(scope, &TEAM, JobId(job), PATIENCE).await, Ok(()));
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.start_count(job), 0, "{delay_ms}");
    }
}

/// Guards against cancelling the job of another team or queue in advance.
#[tokio::test(start_paused = true)]
async fn job_of_another_team_or_queue_is_not_cancelled_in_advance() {
    let configuration = configuration_of(QUEUE);
    let scope = scope_of(&configuration);
    let mut fleet = FakeFleet::start(1, 2).await;
    let service = JobService::new(fleet.entries[0].replica.clone());
    let (job, record) = fleet.new_job(tasks(1, 8), Duration::from_secs(1), EndKind::Done);
    let GraphRecord::JobAccepted { spec, .. } = record else { unreachable!() };
    let other = SmolStr::new_static("another-team");
    let other_configuration = configuration_of("another-queue");
    for (scope, team) in [(scope, &other), (scope_of(&other_configuration), &TEAM)] {
        let answer = service.cancel(scope, team, JobId(job), PATIENCE).await;
        assert_eq!(answer, Err(JobServiceError::NoJob));
    }
    service.submit(scope, &TEAM, JobId(job), spec, PATIENCE).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(service.status(scope, JobId(job)).await, Ok(JobStatus::Completed));
}
