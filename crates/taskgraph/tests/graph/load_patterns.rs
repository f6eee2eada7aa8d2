//! Placement under the load patterns of busy days, on the pure state without a network.

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::plan_round::AcceleratorUsage;
use cuminbarrow_taskgraph::plan_round::WaitInputs;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::step_queue::Timeliness;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

/// Low-priority work fills the fleet before urgent gangs arrive that exceed any guarantee.
#[test]
fn urgent_gang_preempts_sweeps_that_fill_the_fleet() {
    let mut graph = GraphBuilder::new(2, 2);
    let mut sweep_step = tasks(32, 1);
    sweep_step.saves_progress = true;
    sweep_step.estimate_ms = 6_000;
    let sweep = graph.submit(1, 2, vec![sweep_step]);
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 32);
    graph.now_ms += 3_000;
    let urgent = graph.submit(2, 0, vec![gang(3, 4)]);
    graph.plan_across_stops();
    assert_eq!(graph.runs_of(urgent).len(), 3);
    assert!(graph.runs_of(sweep).len() >= 16, "no more is stopped than the gang needs");
}

/// Work without checkpoints fills the fleet, and some seconds later urgent gangs arrive that exceed
/// any guarantee. Callers of urgent work wait only for seconds, whereas preempted work has time to
/// run again.
#[test]
fn urgent_gang_preempts_recently_started_work() {
    let mut graph = GraphBuilder::new(1, 2);
    let sweep = graph.submit(1, 2, vec![tasks(16, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 16);
    graph.now_ms += 3_000;
    let urgent = graph.submit(2, 0, vec![gang(3, 4)]);
    graph.plan_across_stops();
    assert_eq!(graph.runs_of(urgent).len(), 3);
    assert_eq!(graph.runs_of(sweep).len(), 4, "no more is stopped than the gang needs");
}

/// Urgent gangs wait for capacity if preempting would destroy more work than they contribute.
#[test]
fn urgent_work_does_not_destroy_more_work_than_it_contributes() {
    let mut graph = GraphBuilder::new(1, 1);
    let mut long = tasks(1, 8);
    long.estimate_ms = 60_000;
    long.resources.cpu_millis = 50_000;
    let long = graph.submit(1, 2, vec![long]);
    graph.plan();
    graph.now_ms += 30_000;
    graph.submit(2, 0, vec![gang(1, 1)]);
    assert_eq!(graph.plan().records, []);
    assert_eq!(graph.runs_of(long).len(), 1);
}

/// Urgent work never preempts urgent work, however much work it would contribute.
#[test]
fn urgent_work_does_not_preempt_urgent_work() {
    let mut graph = GraphBuilder::new(1, 1);
    let first = graph.submit(1, 0, vec![gang(2, 4)]);
    graph.plan();
    graph.submit(2, 0, vec![gang(2, 4)]);
    assert_eq!(graph.plan().records, []);
    assert_eq!(graph.runs_of(first).len(), 2);
}

/// Jobs that can meet their latency objective precede a late job, even if that job was accepted
/// earlier.
#[test]
fn late_job_waits_behind_jobs_that_can_be_on_time() {
    let mut graph = GraphBuilder::new(1, 1);
    let blocker = graph.submit(1, 1, vec![tasks(1, 8)]);
    graph.plan();
    let late = graph.submit(2, 1, vec![tasks(1, 8)]);
    graph.now_ms += 12_000;
    let fresh = graph.submit(3, 1, vec![tasks(1, 8)]);
    graph.end_all(blocker, EndKind::Done);
    graph.plan();
    assert_eq!((graph.runs_of(late).len(), graph.runs_of(fresh).len()), (0, 1));
}

/// Urgent work goes first even when it is late, because it still contributes more for the capacity
/// it uses.
#[test]
fn late_urgent_job_precedes_sweeps_that_can_be_on_time() {
    let mut graph = GraphBuilder::new(1, 1);
    let blocker = graph.submit(1, 1, vec![tasks(1, 8)]);
    graph.plan();
    let urgent = graph.submit(2, 0, vec![gang(1, 8)]);
    graph.now_ms += 12_000;
    let sweep = graph.submit(3, 2, vec![tasks(1, 8)]);
    graph.end_all(blocker, EndKind::Done);
    graph.plan();
    assert_eq!((graph.runs_of(urgent).len(), graph.runs_of(sweep).len()), (1, 0));
}

/// Tasks that need whole workers wait while small sweeps fill the fleet. Once more than a third of
/// their latency objective has passed, they preempt sweeps that lose little work.
#[test]
fn whole_worker_task_at_risk_preempts_small_sweeps() {
    let mut graph = GraphBuilder::new(1, 2);
    let mut sweep_step = tasks(16, 1);
    sweep_step.saves_progress = true;
    let sweep = graph.submit(1, 2, vec![sweep_step]);
    graph.plan();
    let mut whole_step = tasks(1, 8);
    whole_step.estimate_ms = 6_000;
    let whole = graph.submit(2, 1, vec![whole_step]);
    assert_eq!(graph.plan().records, [], "the job is not at risk yet");
    graph.now_ms += 9_000;
    graph.plan_across_stops();
    assert_eq!(graph.runs_of(whole).len(), 1);
    assert_eq!(graph.runs_of(sweep).len(), 8, "one worker is enough");
}

/// Urgent gangs arrive in bursts, a few seconds apart, while a sweep wider than the fleet runs.
/// Returns the state after the first burst has ended.
fn fleet_after_a_burst(members: u32) -> (GraphBuilder, JobId) {
    let mut graph = GraphBuilder::new(2, 2);
    let mut sweep_step = tasks(48, 1);
    sweep_step.saves_progress = true;
    sweep_step.estimate_ms = 8_000;
    let sweep = graph.submit(1, 2, vec![sweep_step]);
    graph.plan();
    graph.now_ms += 2_000;
    let first = graph.submit(2, 0, vec![gang(members, 4)]);
    graph.plan_across_stops();
    assert_eq!(graph.runs_of(first).len(), members as usize);
    graph.now_ms += 2_500;
    graph.end_all(first, EndKind::Done);
    graph.plan();
    (graph, sweep)
}

/// Guards against a log from which capacity that is in use can't be told from capacity that is kept free.
#[test]
fn step_that_leaves_capacity_to_urgent_work_tells_how_much() {
    let (mut graph, _) = fleet_after_a_burst(3);
    let waiting = graph.submit(3, 2, vec![tasks(4, 1)]);
    let plan = graph.plan();
    let step = plan.unplaced.iter().find(|step| step.job == waiting).unwrap();
    let inputs = WaitInputs {
        priority: 2,
        timeliness: Timeliness::OnTime,
        tasks: 4,
        accelerators: 1,
        reserved: 12,
        service: "service".into(),
    };
    assert_eq!(step.inputs, inputs);
    assert_eq!(plan.accelerators["service"], AcceleratorUsage { total: 32, free: 12 });
}

/// Sweeps leave the capacity that one burst used to the next burst.
#[test]
fn second_burst_starts_without_preempting() {
    let (mut graph, sweep) = fleet_after_a_burst(3);
    graph.now_ms += 4_000;
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 20, "the sweep leaves the capacity of the burst");
    let second = graph.submit(3, 0, vec![gang(3, 4)]);
    graph.plan();
    assert_eq!(graph.runs_of(second).len(), 3);
    assert_eq!(graph.runs_of(sweep).len(), 20);
}

/// If no further burst arrives, the capacity goes back to the sweep.
#[test]
fn reserved_capacity_is_released_without_another_burst() {
    let (mut graph, sweep) = fleet_after_a_burst(3);
    graph.now_ms += 10_000;
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 32);
}

/// However large the burst was, less than half of the fleet is reserved while other work waits.
#[test]
fn less_than_half_of_the_fleet_is_reserved_after_a_large_burst() {
    let (graph, sweep) = fleet_after_a_burst(6);
    assert_eq!(graph.runs_of(sweep).len(), 20);
}

/// A full fleet of four workers with one task each, and the job of the task that loses least work.
fn fleet_of_whole_worker_tasks() -> (GraphBuilder, JobId, JobId) {
    let mut graph = GraphBuilder::new(2, 2);
    let older = graph.submit(1, 1, vec![tasks(3, 8)]);
    graph.plan();
    graph.now_ms += 3_000;
    let newer = graph.submit(2, 1, vec![tasks(1, 8)]);
    graph.plan();
    (graph, older, newer)
}

/// Guards against sweeps that wait while capacity is free, because capacity was reserved beside that
/// which the urgent work had reclaimed and was still using.
#[test]
fn urgent_work_that_runs_in_reclaimed_capacity_reserves_no_more() {
    let (mut graph, older, _) = fleet_of_whole_worker_tasks();
    let urgent = graph.submit(3, 0, vec![gang(1, 8)]);
    graph.plan_across_stops();
    assert_eq!(graph.runs_of(urgent).len(), 1);
    graph.submit(4, 2, vec![tasks(8, 1)]);
    let (run, worker) = graph.runs_of(older)[0];
    graph.end(run, worker, EndKind::Done).unwrap();
    graph.apply(GraphRecord::JobCancelled { job: JobId(2) }).unwrap();
    graph.plan();
    assert_eq!(graph.runs_of(JobId(4)).len(), 8);
}

/// Guards against a reservation that grows each time when urgent jobs, one after the other, reclaim the
/// same capacity from work that took it in between.
#[test]
fn capacity_that_is_reclaimed_repeatedly_is_reserved_once() {
    let (mut graph, older, newer) = fleet_of_whole_worker_tasks();
    for id in 3..=5 {
        let urgent = graph.submit(id, 0, vec![gang(1, 8)]);
        graph.plan_across_stops();
        assert_eq!(graph.runs_of(urgent).len(), 1);
        graph.now_ms += 1_500;
        graph.end_all(urgent, EndKind::Done);
        graph.plan();
        assert_eq!(graph.runs_of(newer).len(), 1);
        graph.now_ms += 500;
    }
    let sweep = graph.submit(6, 2, vec![tasks(16, 1)]);
    for (run, worker) in graph.runs_of(older).into_iter().take(2) {
        graph.end(run, worker, EndKind::Done).unwrap();
    }
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 8, "8 of 16 free accelerators are left to urgent work");
}

/// A sweep that fills two workers, and a step that needs one of them and is at risk of missing its
/// objective, with these priorities, as planned.
fn sweep_beside_a_step_at_risk(
    sweep_priority: u8,
    step_priority: u8,
) -> (GraphBuilder, JobId, JobId) {
    let mut graph = GraphBuilder::new(1, 2);
    let mut sweep_step = tasks(16, 1);
    sweep_step.saves_progress = true;
    let sweep = graph.submit(1, sweep_priority, vec![sweep_step]);
    graph.plan();
    let mut whole_step = tasks(1, 8);
    whole_step.estimate_ms = 6_000;
    let whole = graph.submit(2, step_priority, vec![whole_step]);
    graph.now_ms += 9_000;
    graph.plan_across_stops();
    (graph, sweep, whole)
}

/// Guards against a reservation for urgent work after normal work has reclaimed capacity.
#[test]
fn normal_work_that_reclaims_capacity_reserves_none() {
    let (mut graph, sweep, whole) = sweep_beside_a_step_at_risk(2, 1);
    assert_eq!(graph.runs_of(whole).len(), 1);
    graph.end_all(whole, EndKind::Done);
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 16);
}

/// Guards against a reservation of most of the usable capacity while many workers are suspected.
#[test]
fn less_than_half_of_the_usable_workers_is_reserved() {
    let mut graph = GraphBuilder::new(2, 2);
    let sweep = graph.submit(1, 2, vec![tasks(48, 1)]);
    graph.plan();
    graph.now_ms += 2_000;
    let urgent = graph.submit(2, 0, vec![gang(6, 4)]);
    graph.plan_across_stops();
    graph.now_ms += 1_000;
    graph.end_all(urgent, EndKind::Done);
    graph.apply(GraphRecord::JobCancelled { job: sweep }).unwrap();
    graph.obey_stops();
    graph.submit(3, 1, vec![tasks(2, 8)]);
    graph.plan();
    for (_, worker) in graph.runs_of(JobId(3)) {
        graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent: 7 }).unwrap();
    }
    let sweep = graph.submit(4, 2, vec![tasks(16, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 10, "6 of 16 usable accelerators are reserved");
}

/// Guards against a log that gives a reservation as the reason where all capacity is in use.
#[test]
fn sweep_on_a_full_fleet_does_not_wait_for_a_reservation() {
    let (mut graph, ..) = fleet_of_whole_worker_tasks();
    let sweep = graph.submit(3, 2, vec![tasks(1, 1)]);
    let reasons: Vec<_> = graph.plan().unplaced.into_iter().map(|step| step.reason).collect();
    assert_eq!(reasons, ["no room"]);
    assert_eq!(graph.runs_of(sweep), []);
}

/// Guards against background work that stops other background work on a full fleet where nothing is
/// reserved.
#[test]
fn background_work_stops_no_other_background_work() {
    let (graph, sweep, whole) = sweep_beside_a_step_at_risk(3, 2);
    assert_eq!(graph.runs_of(whole), []);
    assert_eq!(graph.runs_of(sweep).len(), 16);
}
