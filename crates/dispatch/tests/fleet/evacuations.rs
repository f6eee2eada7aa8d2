//! Agents that learn of an evacuation late, or while their orders are not answered.

use std::time::Duration;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::GraphRecord;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::gang;
use crate::fake_fleet::tasks;
use crate::fake_log::LogFault;
use crate::fake_worker::PortFault;

/// Time after which the log no longer permits an agent that is cut off to start anything: a lease.
const CUT_TIME: Duration = Duration::from_secs(7);
/// Time in which everything that was held back would have started.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// A fleet with a worker in each of two data centres, the second of which is in use. Returns the job there.
async fn half_used_fleet() -> (FakeFleet, u64, usize) {
    let mut fleet = FakeFleet::start(2, 2).await;
    let filler = fleet.submit(tasks(1, 8), Duration::from_secs(600)).await;
    fleet.wait_for("a run", |fleet| fleet.node_of(filler).is_some()).await;
    let used = fleet.node_of(filler).unwrap();
    (fleet, filler, 1 - used)
}

/// Guards against an agent that was cut off from the log while the evacuation was recorded, and starts what
/// was placed before as soon as it reaches its worker again.
#[tokio::test(start_paused = true)]
async fn agent_that_was_cut_off_starts_nothing_afterwards() {
    for reads_first in [true, false] {
        let (mut fleet, _, free) = half_used_fleet().await;
        fleet.nodes[free].set_fault(PortFault::Refused);
        let job = fleet.submit(tasks(2, 4), Duration::from_secs(1)).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.nodes[free].set_log_fault(LogFault::RequestsLost);
        fleet.set_evacuated(free, true);
        fleet.wait_evacuated(1).await;
        tokio::time::sleep(CUT_TIME).await;
        if reads_first {
            fleet.nodes[free].set_log_fault(LogFault::None);
            fleet.nodes[free].set_fault(PortFault::None);
        } else {
            fleet.nodes[free].set_fault(PortFault::None);
            tokio::time::sleep(Duration::from_millis(500)).await;
            fleet.nodes[free].set_log_fault(LogFault::None);
        }
        tokio::time::sleep(WATCH_TIME).await;
        assert_eq!(fleet.start_count(job), 0);
        fleet.set_evacuated(free, false);
        fleet.wait_for("its start", |fleet| fleet.start_count(job) == 2).await;
        assert_eq!(fleet.violations(), Vec::<String>::new());
    }
}

/// Guards against a second run of a task whose start was carried out, but not answered, when the evacuation
/// was requested, and against a late start after its stop.
#[tokio::test(start_paused = true)]
async fn unanswered_starts_run_once_beside_an_evacuation() {
    let faults = [
        PortFault::AnswersLost,
        PortFault::Delayed(Duration::from_millis(700)),
        PortFault::AllDelayed(Duration::from_secs(3)),
    ];
    for fault in faults {
        let (mut fleet, filler, free) = half_used_fleet().await;
        fleet.nodes[free].set_fault(fault);
        let step = gang(2, 4);
        let job = fleet.submit(step, Duration::from_secs(2)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.set_evacuated(free, true);
        fleet.wait_evacuated(1).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.nodes[free].set_fault(PortFault::None);
        fleet.spawn_write(GraphRecord::JobCancelled { job: JobId(filler) });
        fleet.wait_for("its end", |fleet| fleet.entries[0].replica.state().active.is_empty()).await;
        assert!(fleet.start_count(job) >= 1);
        assert_eq!(fleet.violations(), Vec::<String>::new(), "{fault:?}");
    }
}

/// Guards against an evacuation that the planner alone can record: it is cut off from the log at that
/// moment.
#[tokio::test(start_paused = true)]
async fn evacuation_is_recorded_while_an_entry_is_cut_off() {
    for cut in 0..2 {
        let (mut fleet, _, free) = half_used_fleet().await;
        fleet.entries[cut].log_client.set_fault(LogFault::RequestsLost);
        fleet.set_evacuated(free, true);
        fleet
            .wait_for("its record", |fleet| {
                let state = fleet.entries[1 - cut].replica.state();
                state.evacuations.data_centres.len() == 1
            })
            .await;
        fleet.entries[cut].log_client.set_fault(LogFault::None);
        let job = fleet.submit(tasks(1, 8), Duration::from_secs(1)).await;
        tokio::time::sleep(WATCH_TIME).await;
        assert_eq!(fleet.start_count(job), 0);
    }
}
