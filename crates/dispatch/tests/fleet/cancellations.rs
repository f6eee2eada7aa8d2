//! Cancellations at an entry that does not have the job yet.

use std::time::Duration;

use cuminbarrow_dispatch::job_service::JobService;
use cuminbarrow_dispatch::job_service::JobServiceError;
use cuminbarrow_dispatch::job_service::JobStatus;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::tasks;
use crate::fake_log::LogFault;

/// Time that callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
const QUEUE: &str = "queue";

/// Guards against answering that there is no such job, at an entry that the log has not answered since
/// the job was accepted: the caller takes the job for cancelled, but it runs on.
#[tokio::test(start_paused = true)]
async fn cancellation_at_an_entry_behind_the_log_is_not_answered_as_done() {
    for lead_ms in [0, 300, 900] {
        let mut fleet = FakeFleet::start(2, 2).await;
        let [first, second] =
            [0, 1].map(|entry| JobService::new(fleet.entries[entry].replica.clone()));
        fleet.entries[1].log_client.set_fault(LogFault::RequestsLost);
        tokio::time::sleep(Duration::from_millis(lead_ms)).await;
        let (job, record) = fleet.new_job(tasks(1, 8), Duration::from_secs(20), EndKind::Done);
        let GraphRecord::JobAccepted { spec, terms, .. } = record else { unreachable!() };
        first.submit(JobId(job), spec, terms, PATIENCE).await.unwrap();
        let answer = second.cancel(QUEUE, JobId(job), PATIENCE).await;
        assert!(matches!(answer, Err(JobServiceError::NotDone { .. })), "{lead_ms}: {answer:?}");
        fleet.entries[1].log_client.set_fault(LogFault::None);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(second.cancel(QUEUE, JobId(job), PATIENCE).await, Ok(()));
        assert_eq!(first.status(QUEUE, JobId(job)).await, Ok(JobStatus::Cancelled));
    }
}

/// Guards against a cancellation of a job that was never accepted which is not answered.
#[tokio::test(start_paused = true)]
async fn cancellation_of_an_unknown_job_is_answered() {
    let fleet = FakeFleet::start(2, 2).await;
    for entry in &fleet.entries {
        let service = JobService::new(entry.replica.clone());
        let answer = service.cancel(QUEUE, JobId(7), PATIENCE).await;
        assert_eq!(answer, Err(JobServiceError::NoJob));
    }
}
