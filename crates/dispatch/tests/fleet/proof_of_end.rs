//! A run's room is freed, and its task started anew, only once nothing of it can run.

use std::time::Duration;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::record::GraphRecord;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::gang;
use crate::fake_fleet::tasks;
use crate::fake_log::DoorFault;
use crate::fake_worker::PathFault;

/// Guards against a second run while the first goes on behind a cut that refuses connections.
#[tokio::test(start_paused = true)]
async fn a_worker_that_refuses_connections_keeps_its_runs_until_their_lease_is_over() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(gang(1, 8), Duration::from_secs(20)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    fleet.nodes[first].set_path(PathFault::Refused);
    fleet.nodes[first].set_reporting(false);
    fleet.wait_for("a second run", |fleet| fleet.place_of(job) == Some(1 - first)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a second run while the first goes on at a worker that says that it ends, and takes
/// its time.
#[tokio::test(start_paused = true)]
async fn a_worker_that_leaves_keeps_its_runs_until_they_are_over() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    fleet.nodes[first].set_path(PathFault::Silent);
    fleet.nodes[first].set_reporting(false);
    fleet.nodes[first].say_left().await;
    fleet.wait_for("a second run", |fleet| fleet.place_of(job) == Some(1 - first)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a loss that reaches the log when the worker has been back for long.
#[tokio::test(start_paused = true)]
async fn a_worker_that_is_back_before_its_loss_is_written_runs_nothing_that_the_loss_gives_up() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(60)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    let node = &fleet.nodes[first];
    node.place.crash();
    node.set_reporting(false);
    // The loss is on its way to the log when the log falls silent, and gets there late.
    node.set_log(DoorFault::AppendsLate(Duration::from_secs(5)));
    tokio::time::sleep(Duration::from_secs(7)).await;
    node.boot();
    node.set_reporting(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    node.set_log(DoorFault::None);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a start meant for one incarnation that the next one of the same name carries out
/// after its task was placed anew.
#[tokio::test(start_paused = true)]
async fn a_late_start_at_the_next_incarnation_is_stopped_before_its_task_is_placed_anew() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let delay = Duration::from_millis(1_200);
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Late(delay)));
    let job = fleet.submit(gang(2, 8), Duration::from_secs(20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // It is back within moments, and reports itself before the start gets there.
    fleet.nodes[0].place.crash();
    fleet.nodes[0].boot();
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    fleet.wait_for("the gang", |fleet| fleet.place_of(job).is_some()).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against orders to an incarnation that has ended and whose successor has not reported yet.
#[tokio::test(start_paused = true)]
async fn a_start_at_an_incarnation_that_has_not_reported_yet_is_known_before_it_is_placed_anew() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes.iter().for_each(|node| node.set_reporting(false));
    fleet.nodes[0].place.crash();
    fleet.nodes[0].boot();
    let job = fleet.submit(tasks(2, 8), Duration::from_secs(20)).await;
    fleet.wait_for("a run at the new incarnation", |fleet| fleet.place_of(job) == Some(0)).await;
    fleet.nodes.iter().for_each(|node| node.set_reporting(true));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a refused second try that ends a run whose first try is carried out late.
#[tokio::test(start_paused = true)]
async fn a_refusal_does_not_end_a_run_whose_earlier_start_is_unanswered() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let delay = Duration::from_secs(3);
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Late(delay)));
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Overloaded));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a second run while the agent of the first is cut off and the planner is replaced.
#[tokio::test(start_paused = true)]
async fn an_agent_cut_off_from_the_log_loses_its_runs_only_after_their_lease() {
    let mut fleet = FakeFleet::start(2, 2).await;
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(40)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    fleet.nodes[first].set_log(DoorFault::Silent);
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.entries[0].kill();
    fleet.wait_for("a second run", |fleet| fleet.place_of(job) == Some(1 - first)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a run that is placed anew though its start was carried out.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_carried_out_without_an_answer_is_found_by_the_next_look() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::AnswersLost));
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(fleet.runs_begun(job), 1);
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against placements that are made twice while the log takes them and does not answer, or
/// turns the planner away.
#[tokio::test(start_paused = true)]
async fn a_planner_without_answers_places_a_task_once() {
    for fault in [DoorFault::AnswersLost, DoorFault::Refused] {
        let mut fleet = FakeFleet::start(2, 2).await;
        let job = fleet.submit(tasks(1, 8), Duration::from_secs(5)).await;
        fleet.entries[0].door.set_fault(fault);
        tokio::time::sleep(Duration::from_secs(4)).await;
        fleet.entries[0].door.set_fault(DoorFault::None);
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.runs_begun(job), 1);
        assert_eq!(fleet.faults(), Vec::<String>::new());
    }
}

/// Guards against work that is cut off, or begun anew, when its worker drains.
#[tokio::test(start_paused = true)]
async fn a_worker_that_drains_finishes_what_it_runs() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(4)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    fleet.nodes[first].drain();
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.runs_begun(job), 1);
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a worker that is given up for the last words of the one before it, told late.
#[tokio::test(start_paused = true)]
async fn the_end_of_another_worker_leaves_the_one_here_at_work() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(10)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    // Its own reports are late too.
    fleet.nodes[first].set_reporting(false);
    fleet.nodes[first].say_left_as("i-earlier").await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    fleet.nodes[first].set_reporting(true);
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(fleet.runs_begun(job), 1);
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a gang that waits for good since one of the workers that it needs refused it once.
#[tokio::test(start_paused = true)]
async fn a_gang_that_needs_a_worker_that_refused_it_once_runs_when_the_worker_is_well() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes[0].set_path(PathFault::Overloaded);
    let job = fleet.submit(gang(2, 8), Duration::from_secs(2)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.nodes[0].set_path(PathFault::None);
    fleet.wait_for("the gang", |fleet| fleet.nodes[0].place.running().len() == 1).await;
    assert_eq!(fleet.place_of(job), Some(0));
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against an acknowledgement, meant for one incarnation, of what the next one of the same name
/// finished, which is lost with it.
#[tokio::test(start_paused = true)]
async fn an_end_at_the_next_incarnation_is_not_acknowledged_before_it_is_read() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let earlier = fleet.submit(tasks(2, 8), Duration::from_millis(300)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.runs_begun(earlier), 2);
    let node = &fleet.nodes[0];
    node.set_reporting(false);
    node.place.crash();
    node.boot();
    fleet.submit(tasks(2, 8), Duration::from_millis(300)).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.nodes[0].set_reporting(true);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a worker over its room: what a late start began there is being stopped when the next
/// task is started.
#[tokio::test(start_paused = true)]
async fn a_late_start_at_the_next_incarnation_is_over_before_its_room_is_used() {
    let mut fleet = FakeFleet::start(1, 2).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Late(Duration::from_secs(2))));
    let cancelled = fleet.submit(tasks(2, 8), Duration::from_secs(20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes[0].set_reporting(false);
    fleet.nodes[0].place.crash();
    fleet.nodes[0].boot();
    // Nothing stops it before the new incarnation is registered.
    fleet.nodes[0].set_path(PathFault::Silent);
    fleet.write_soon(GraphRecord::JobCancelled { job: JobId(cancelled) });
    fleet.submit(tasks(2, 8), Duration::from_secs(2)).await;
    fleet.wait_for("the late start", |fleet| fleet.place_of(cancelled) == Some(0)).await;
    fleet.nodes[0].set_reporting(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a loss that a dead agent sent, and that frees what the next agent runs there.
#[tokio::test(start_paused = true)]
async fn a_loss_written_by_an_agent_that_was_replaced_ends_nothing() {
    let mut fleet = FakeFleet::start(1, 2).await;
    let job = fleet.submit(tasks(2, 8), Duration::from_secs(12)).await;
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let node = &fleet.nodes[0];
    node.set_path(PathFault::Silent);
    node.set_reporting(false);
    node.set_log(DoorFault::AppendsLate(Duration::from_secs(6)));
    tokio::time::sleep(Duration::from_millis(9_500)).await;
    // The loss is on its way. The agent restarts, and all is well again.
    fleet.start_agent(0);
    fleet.nodes[0].set_path(PathFault::None);
    fleet.nodes[0].set_log(DoorFault::None);
    node.set_reporting(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a refusal that a dead agent reported, and that frees a run which the next one began.
#[tokio::test(start_paused = true)]
async fn a_refusal_written_by_an_agent_that_was_replaced_ends_nothing() {
    let mut fleet = FakeFleet::start(1, 2).await;
    for node in &fleet.nodes {
        node.set_path(PathFault::Overloaded);
        node.set_log(DoorFault::AppendsLate(Duration::from_secs(5)));
    }
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(60)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.start_agent(0);
    fleet.nodes[0].set_path(PathFault::None);
    fleet.nodes[0].set_log(DoorFault::None);
    fleet.start_agent(1);
    fleet.nodes[1].set_path(PathFault::None);
    fleet.nodes[1].set_log(DoorFault::None);
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a late start at an incarnation that its agent never heard of, after the worker was
/// given up.
#[tokio::test(start_paused = true)]
async fn a_late_start_at_an_incarnation_that_nobody_knows_begins_nothing() {
    let mut fleet = FakeFleet::start(1, 2).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Late(Duration::from_secs(7))));
    fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let held = |fleet: &FakeFleet| {
        let state = fleet.entries[0].replica.state();
        state.workers.values().find(|w| !w.runs.is_empty()).map(|w| w.spec.instance.clone())
    };
    let first = usize::from(held(&fleet).unwrap() == "side-1");
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    fleet.nodes[first].set_path(PathFault::Refused);
    fleet.nodes[first].set_reporting(false);
    fleet.nodes[first].place.crash();
    fleet.nodes[first].boot();
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a late start by an agent that is gone, at the next incarnation, after the planner
/// gave the worker up.
#[tokio::test(start_paused = true)]
async fn a_late_start_of_a_dead_agent_at_the_next_incarnation_begins_nothing() {
    let mut fleet = FakeFleet::start(1, 2).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::Late(Duration::from_secs(10))));
    fleet.submit(tasks(1, 8), Duration::from_secs(30)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let first = {
        let state = fleet.entries[0].replica.state();
        let held = state.workers.values().find(|w| !w.runs.is_empty()).unwrap();
        usize::from(held.spec.instance == "side-1")
    };
    fleet.nodes[1 - first].set_path(PathFault::None);
    fleet.nodes[first].place.crash();
    fleet.nodes[first].boot();
    fleet.nodes[first].kill_agent();
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}

/// Guards against a worker that is lost for good to the last words of the incarnation before, told late.
#[tokio::test(start_paused = true)]
async fn a_worker_is_used_again_after_late_words_of_the_incarnation_before() {
    let fleet = FakeFleet::start(1, 2).await;
    let node = &fleet.nodes[0];
    node.place.crash();
    node.boot();
    tokio::time::sleep(Duration::from_secs(4)).await;
    node.say_left_as("i-side-0").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.entries[0].replica.state().workers.len(), 2);
}

/// Guards against a worker that is registered again by a late report, after it said twice that it ends.
#[tokio::test(start_paused = true)]
async fn a_worker_that_says_twice_that_it_ends_is_not_registered_again() {
    let fleet = FakeFleet::start(1, 2).await;
    let node = &fleet.nodes[0];
    node.delay_reports(Duration::from_secs(2));
    tokio::time::sleep(Duration::from_secs(4)).await;
    node.say_left().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    node.say_left().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let state = fleet.entries[0].replica.state();
    let names: Vec<_> =
        state.workers.values().map(|worker| worker.spec.instance.to_string()).collect();
    assert_eq!(names, vec!["side-1".to_owned()]);
}

/// Guards against a lease that an incarnation which has not reported yet takes, and that ends after
/// its worker was given up.
#[tokio::test(start_paused = true)]
async fn a_lease_of_an_incarnation_that_has_not_reported_yet_is_waited_for() {
    let mut fleet = FakeFleet::start(1, 2).await;
    tokio::time::sleep(Duration::from_millis(20_000)).await;
    for node in &fleet.nodes {
        node.set_reporting(false);
        node.place.crash();
        node.boot();
        node.set_path(PathFault::Silent);
    }
    let job = fleet.submit(tasks(1, 8), Duration::from_secs(20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes.iter().for_each(|node| node.set_log(DoorFault::Silent));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    fleet.nodes.iter().for_each(|node| node.set_path(PathFault::None));
    fleet.wait_for("a run", |fleet| fleet.place_of(job).is_some()).await;
    let first = fleet.place_of(job).unwrap();
    fleet.nodes[first].set_path(PathFault::Refused);
    fleet.nodes[1 - first].set_reporting(true);
    fleet.nodes.iter().for_each(|node| node.set_log(DoorFault::None));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.faults(), Vec::<String>::new());
}
