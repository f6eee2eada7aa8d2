//! Workers with more unacknowledged ends than one answer lists.

use std::time::Duration;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::tasks;
use crate::fake_worker::PortFault;

/// Number of tasks; a worker lists at most 500 ends in one answer.
const TASK_COUNT: usize = 700;

/// Submits jobs of one small task each, all at once. The planner places fewer tasks of one job on a
/// worker.
fn submit_small_jobs(fleet: &mut FakeFleet) -> Vec<u64> {
    let resources = ResourceAmounts { cpu_millis: 10, memory_mb: 10, accelerators: 0 };
    let step = StepSpec { resources, ..tasks(1, 0) };
    let mut jobs = Vec::new();
    for _ in 0..TASK_COUNT {
        let (job, record) = fleet.new_job(step.clone(), Duration::from_secs(4), EndKind::Done);
        fleet.spawn_write(record);
        jobs.push(job);
    }
    jobs
}

fn are_over(fleet: &FakeFleet, jobs: &[u64]) -> bool {
    let state = fleet.entries[0].replica.state();
    !jobs.iter().any(|job| state.active.contains(&JobId(*job)))
}

fn start_count(fleet: &FakeFleet, jobs: &[u64]) -> usize {
    jobs.iter().map(|job| fleet.start_count(*job)).sum()
}

/// Guards against a second run of tasks that were done, but whose ends the worker's answer had no
/// room for: they counted as gone, were placed again, and the next agent acknowledged their ends.
#[tokio::test(start_paused = true)]
async fn a_done_run_whose_end_is_not_listed_yet_is_not_placed_again() {
    let mut fleet = FakeFleet::start(1, 1).await;
    // Keeps the worker's lease from lapsing.
    let other_job = fleet.submit(tasks(1, 1), Duration::from_secs(60)).await;
    fleet.wait_for("the other run", |fleet| fleet.node_of(other_job).is_some()).await;
    let jobs = submit_small_jobs(&mut fleet);
    fleet.wait_for("all runs", |fleet| fleet.nodes[0].host.running().len() > TASK_COUNT).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // All runs end before the agent hears of the first end.
    fleet.nodes[0].set_fault(PortFault::RequestsLost);
    fleet.wait_for("all ends", |fleet| fleet.nodes[0].host.running().len() == 1).await;
    fleet.nodes[0].set_fault(PortFault::SlowRoundTrip(Duration::from_millis(150)));
    fleet.wait_for("the end of the jobs", |fleet| are_over(fleet, &jobs)).await;
    fleet.start_agent(0);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fleet.violations(), Vec::<String>::new());
    assert_eq!(start_count(&fleet, &jobs), TASK_COUNT);
}

/// Guards against a superseded end that is never acknowledged: once 500 ends waited behind it, each
/// task that was done on the worker counted as gone and was run again.
#[tokio::test(start_paused = true)]
async fn a_superseded_end_does_not_hide_later_ends_for_good() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let first_job = fleet.submit(tasks(1, 8), Duration::from_secs(3)).await;
    fleet.wait_for("a run", |fleet| fleet.node_of(first_job).is_some()).await;
    let node = fleet.node_of(first_job).unwrap();
    fleet.nodes[node].set_fault(PortFault::RequestsLost);
    fleet.nodes[node].set_reporting(false);
    fleet.wait_for("a second run", |fleet| fleet.node_of(first_job) == Some(1 - node)).await;
    fleet.nodes[node].set_fault(PortFault::None);
    fleet.nodes[node].set_reporting(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.nodes[1 - node].host.crash();
    let jobs = submit_small_jobs(&mut fleet);
    fleet.wait_for("all runs", |fleet| start_count(fleet, &jobs) >= TASK_COUNT).await;
    fleet.wait_for("the end of the jobs", |fleet| are_over(fleet, &jobs)).await;
    let repeated = start_count(&fleet, &jobs) - TASK_COUNT;
    assert_eq!(repeated, 0, "tasks that were done ran again");
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
