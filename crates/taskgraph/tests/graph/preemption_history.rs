//! What callers get when urgent work preempts other work again and again.

use std::collections::BTreeMap;

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::plan_round::Plan;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::plan_round::plan_round;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::TaskKey;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

/// Time in which workers stop a run in these loads, in ms.
const STOP_MS: u64 = 900;
/// Time between two planning rounds while jobs wait, in ms.
const ROUND_MS: u64 = 250;

fn graph(racks: u32, workers: u32) -> GraphBuilder {
    let mut graph = GraphBuilder::new(racks, workers);
    graph.options.preemption_history = true;
    graph
}

fn saving(step: StepSpec) -> StepSpec {
    StepSpec { saves_progress: true, ..step }
}

/// Runs that a plan stops for other work.
fn reclaimed(plan: &Plan) -> Vec<RunKey> {
    let records = plan.records.iter();
    let runs = records.filter_map(|record| match record {
        GraphRecord::RunsStopped { cause: StopCause::Reclaimed, runs, .. } => Some(runs.clone()),
        _ => None,
    });
    runs.flatten().collect()
}

/// Plans rounds until a job begins, while each stop takes [`STOP_MS`]. Returns the time that this took, in
/// ms, and the runs that were stopped.
fn play_until_begun(graph: &mut GraphBuilder, job: JobId) -> (u64, Vec<RunKey>) {
    let from_ms = graph.now_ms;
    let mut stopped: BTreeMap<RunKey, u64> = BTreeMap::new();
    while graph.now_ms < from_ms + 20_000 {
        for run in reclaimed(&graph.plan()) {
            stopped.insert(run, graph.now_ms);
        }
        if !graph.runs_of(job).is_empty() {
            break;
        }
        graph.now_ms += ROUND_MS;
        for (run, worker) in graph.runs() {
            if stopped.get(&run).is_some_and(|at_ms| at_ms + STOP_MS <= graph.now_ms) {
                graph.end(run, worker, EndKind::Stopped).unwrap();
            }
        }
    }
    (graph.now_ms - from_ms, stopped.into_keys().collect())
}

/// A burst of urgent gangs comes three times over background work that saves checkpoints, so that all runs
/// lose the same. Guards against stopping the same tasks each time.
#[test]
fn repeated_bursts_stop_no_task_twice() {
    let mut graph = graph(2, 2);
    graph.submit(1, 2, vec![saving(tasks(32, 1))]);
    graph.plan();
    let mut stops: BTreeMap<TaskKey, u32> = BTreeMap::new();
    for id in 2..=4 {
        graph.now_ms += 6_000;
        let urgent = graph.submit(id, 0, vec![gang(2, 4)]);
        for run in reclaimed(&graph.plan()) {
            *stops.entry(run.task).or_default() += 1;
        }
        graph.obey_stops();
        graph.plan();
        assert_eq!(graph.runs_of(urgent).len(), 2, "the burst begins after one stop");
        graph.now_ms += 2_500;
        graph.end_all(urgent, EndKind::Done);
        graph.now_ms += 14_000;
        graph.plan();
    }
    assert_eq!((stops.len(), stops.values().max()), (24, Some(&1)));
}

/// Urgent work comes where one wide run and eight narrow ones lose the same. Guards against stopping many
/// runs where one is enough.
#[test]
fn one_wide_run_is_stopped_rather_than_many_narrow_ones() {
    let mut graph = graph(1, 2);
    graph.submit(1, 2, vec![saving(tasks(8, 1)), saving(tasks(1, 8))]);
    graph.plan();
    graph.now_ms += 2_000;
    let urgent = graph.submit(2, 0, vec![gang(2, 4)]);
    let stopped = reclaimed(&graph.plan());
    assert_eq!(stopped.len(), 1, "{stopped:?}");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(urgent).len(), 2);
}

/// A gang holds half of two workers beside background work that has run for longer. Guards against a
/// choice task by task, which stops background work for the first task and the gang for the next.
#[test]
fn gang_whose_stop_frees_several_workers_is_stopped_alone() {
    let mut graph = graph(1, 2);
    let spread = |step| StepSpec { max_per_worker: 1, ..step };
    graph.submit(1, 2, vec![spread(tasks(2, 4))]);
    graph.plan();
    graph.now_ms += 1_000;
    let members = graph.submit(2, 2, vec![spread(gang(2, 4))]);
    graph.plan();
    graph.now_ms += 2_000;
    let urgent = graph.submit(3, 0, vec![spread(gang(2, 4))]);
    let stopped = reclaimed(&graph.plan());
    assert!(stopped.iter().all(|run| run.task.step.job == members), "{stopped:?}");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(urgent).len(), 2);
}

/// A long gang of medium priority without checkpoints runs beside cheap background work, which urgent gangs
/// preempt several times. Guards against a gang that pays for what was stopped before, and against tasks
/// that are stopped each time.
#[test]
fn long_gang_is_not_stopped_while_background_work_is_cheap() {
    let mut graph = graph(2, 2);
    let medium = graph.submit(1, 1, vec![StepSpec { estimate_ms: 60_000, ..gang(2, 8) }]);
    graph.submit(2, 2, vec![saving(tasks(16, 1))]);
    graph.plan();
    let mut stops: BTreeMap<TaskKey, u32> = BTreeMap::new();
    for id in 3..=6 {
        graph.now_ms += 14_000;
        graph.plan();
        graph.now_ms += 500;
        let urgent = graph.submit(id, 0, vec![gang(2, 4)]);
        let (_, stopped) = play_until_begun(&mut graph, urgent);
        assert_eq!(stopped.len(), 8, "no more than the gang needs");
        stopped.iter().for_each(|run| *stops.entry(run.task).or_default() += 1);
        graph.end_all(urgent, EndKind::Done);
    }
    assert_eq!(graph.runs_of(medium).len(), 2);
    assert_eq!(stops.values().max(), Some(&2), "32 stops of 16 tasks");
}

/// Urgent work comes while background work is nearly done: it begins when that has ended, and nothing is
/// lost.
#[test]
fn run_that_is_nearly_done_is_not_stopped() {
    let mut graph = graph(1, 1);
    let sweep = graph.submit(1, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 3_500;
    let urgent = graph.submit(2, 0, vec![gang(2, 4)]);
    let plan = graph.plan();
    assert_eq!(plan.records, []);
    assert_eq!(plan.unplaced[0].reason, "room is about to be released");
    graph.now_ms += 500;
    graph.end_all(sweep, EndKind::Done);
    graph.plan();
    assert_eq!(graph.runs_of(urgent).len(), 2);
}

/// Runs that are nearly done, one after the other, go on for much longer. Guards against guaranteed work
/// that waits for them until it is too late to preempt.
#[test]
fn guaranteed_work_begins_in_time_although_no_run_ends() {
    let mut graph = graph(1, 2);
    graph.guarantees.insert("team".into(), 8);
    graph.submit(1, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 1_400;
    graph.submit(2, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 2_000;
    let urgent = graph.submit(3, 0, vec![gang(2, 4)]);
    let (waited_ms, stopped) = play_until_begun(&mut graph, urgent);
    assert_eq!(stopped.len(), 1);
    assert!((1_500..=2_700).contains(&waited_ms), "{waited_ms} ms");
}

/// Guards against urgent work that waits for others although its objective leaves no time for that.
#[test]
fn urgent_work_with_little_time_left_does_not_wait_for_runs_to_end() {
    let mut graph = graph(1, 1);
    graph.guarantees.insert("team".into(), 8);
    graph.submit(1, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 3_500;
    graph.submit(2, 0, vec![StepSpec { estimate_ms: 100, ..gang(1, 8) }]);
    assert_eq!(reclaimed(&graph.plan()).len(), 1);
}

/// A service of 32 accelerators after a burst of urgent gangs that preempted background work, which still
/// holds the rest. Returns the background work too.
fn service_after_a_burst(members: u32, sweep: StepSpec) -> (GraphBuilder, JobId) {
    service_after_a_burst_over(members, StepSpec { estimate_ms: 8_000, ..sweep })
}

/// Like [`service_after_a_burst`], over background work with an estimate of its own.
fn service_after_a_burst_over(members: u32, sweep: StepSpec) -> (GraphBuilder, JobId) {
    let mut graph = graph(2, 2);
    let sweep = graph.submit(1, 2, vec![sweep]);
    graph.plan();
    graph.now_ms += 2_000;
    let burst = graph.submit(2, 0, vec![gang(members, 4)]);
    assert_eq!(play_until_begun(&mut graph, burst).1.len(), members as usize * 4);
    graph.now_ms += 2_500;
    graph.end_all(burst, EndKind::Done);
    graph.plan();
    (graph, sweep)
}

/// A gang of medium priority comes between two bursts. Guards against one that takes the capacity of the next
/// burst, and against one that waits until it is at risk.
#[test]
fn medium_gang_leaves_the_capacity_of_a_burst_while_it_has_time() {
    let (mut graph, _) = service_after_a_burst(3, saving(tasks(32, 1)));
    let medium = graph.submit(3, 1, vec![StepSpec { estimate_ms: 6_000, ..gang(3, 4) }]);
    let plan = graph.plan();
    let reasons: Vec<_> = plan.unplaced.iter().filter(|step| step.job == medium).collect();
    assert_eq!(reasons[0].reason, "room is kept for urgent work: a stop would lose all work");
    graph.now_ms += 2_000;
    let second = graph.submit(4, 0, vec![gang(3, 4)]);
    assert_eq!(play_until_begun(&mut graph, second), (0, Vec::new()));
    graph.end_all(second, EndKind::Done);
    graph.now_ms += 2_000;
    graph.plan();
    assert_eq!(graph.runs_of(medium).len(), 3, "less than 80 % of its objective of 19 s is left");
}

/// Guards against a gang that waits for urgent work while most of the service is idle.
#[test]
fn medium_gang_does_not_wait_while_less_than_half_of_the_service_is_in_use() {
    let (mut graph, sweep) = service_after_a_burst(3, tasks(32, 1));
    for (run, worker) in graph.runs_of(sweep).into_iter().take(5) {
        graph.end(run, worker, EndKind::Done).unwrap();
    }
    let medium = graph.submit(3, 1, vec![gang(3, 4)]);
    graph.plan();
    assert_eq!(graph.runs_of(medium).len(), 3);
}

/// The next burst comes after 15 s and needs more than the capacity that may be kept, while background work can
/// wait for 30 s of its objective of 49 s. Guards against background work that takes the capacity in between or leaves it for good.
#[test]
fn burst_beyond_the_capacity_stops_only_what_is_missing() {
    let sweep = StepSpec { estimate_ms: 16_000, ..saving(tasks(32, 1)) };
    let (mut graph, sweep) = service_after_a_burst_over(6, sweep);
    graph.now_ms += 15_000;
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 20);
    let second = graph.submit(3, 0, vec![gang(6, 4)]);
    let (waited_ms, stopped) = play_until_begun(&mut graph, second);
    assert_eq!((stopped.len(), waited_ms <= STOP_MS + ROUND_MS), (12, true), "{waited_ms} ms");
    graph.end_all(second, EndKind::Done);
    graph.now_ms += 26_000;
    graph.plan();
    assert_eq!(graph.runs_of(sweep).len(), 32);
}

/// Bursts come every 10 s, so that capacity was always reclaimed recently. Guards against background work that
/// leaves the capacity between them until it is late and beyond, although nothing else uses it.
#[test]
fn recurring_bursts_do_not_starve_background_work() {
    let (mut graph, sweep) = service_after_a_burst(3, saving(tasks(32, 1)));
    let objective_ms = 25_000;
    for round in 1..=objective_ms / 2_500 {
        graph.now_ms += 2_500;
        graph.plan();
        if graph.runs_of(sweep).len() == 32 {
            return;
        }
        if round % 3 == 0 {
            let urgent = graph.submit(2 + round, 0, vec![gang(6, 4)]);
            play_until_begun(&mut graph, urgent);
            graph.now_ms += 2_500;
            graph.end_all(urgent, EndKind::Done);
        }
    }
    panic!("{} of 32 tasks were placed within the objective", graph.runs_of(sweep).len());
}

/// Guards against tasks that wait for a burst although they are to run again only since their worker was lost:
/// the steps after them wait too.
#[test]
fn tasks_of_a_lost_worker_do_not_wait_for_urgent_work() {
    let (mut graph, sweep) = service_after_a_burst(3, saving(tasks(32, 1)));
    graph.plan();
    let runs = graph.runs_of(sweep);
    let on = |worker: WorkerKey| runs.iter().filter(|(_, known)| *known == worker).count();
    let worker = (0..4).map(WorkerKey).max_by_key(|worker| on(*worker)).unwrap();
    let cause = RemovalCause::Lapsed;
    graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    let held = runs.len() - on(worker);
    graph.plan();
    let free = 3 * 8 - held;
    assert_eq!(graph.runs_of(sweep).len(), held + on(worker).min(free));
}

/// A job that was preempted after most of its time would be late, while others arrive. Guards against
/// putting it behind each of them.
#[test]
fn preempted_job_precedes_later_ones_although_it_has_lost_time() {
    let mut graph = graph(1, 1);
    let preempted = graph.submit(1, 2, vec![tasks(1, 8)]);
    graph.plan();
    graph.now_ms += 3_000;
    let urgent = graph.submit(2, 0, vec![gang(2, 4)]);
    play_until_begun(&mut graph, urgent);
    graph.now_ms += 7_000;
    graph.end_all(urgent, EndKind::Done);
    let later = graph.submit(3, 2, vec![tasks(1, 8)]);
    graph.state.reclaims.clear();
    graph.plan();
    assert_eq!((graph.runs_of(preempted).len(), graph.runs_of(later).len()), (1, 0));
}

/// Guards against a history that grows without bound, and against one that a snapshot loses.
#[test]
fn history_is_kept_by_snapshots_and_dropped_with_the_job() {
    let mut graph = graph(1, 2);
    let victims = graph.submit(1, 2, vec![gang(2, 8)]);
    graph.plan();
    graph.now_ms += 1_000;
    graph.submit(2, 0, vec![gang(2, 8)]);
    assert_eq!(reclaimed(&graph.plan()).len(), 2);
    let totals = graph.state.preemptions.job(victims).unwrap().totals;
    assert_eq!((totals.runs, totals.lost_core_ms), (2, 2 * 65_000));
    let restored: GraphState = codec::decode(&codec::encode(&graph.state).unwrap()).unwrap();
    assert_eq!(restored, graph.state);
    graph.apply(GraphRecord::JobCancelled { job: victims }).unwrap();
    assert_eq!(graph.state.preemptions.job(victims), None);
    let totals: Vec<_> = graph.state.preemptions.totals().map(|(.., totals)| totals.runs).collect();
    assert_eq!(totals, [2], "the totals stay");
}

/// Guards against replicated state that grows with each reclaim of capacity for urgent work.
#[test]
fn recorded_reclaims_are_dropped_after_their_retention() {
    // Longest time for which urgent work's needs are known, in ms.
    const RETENTION_MS: u64 = 40_000;
    let mut graph = GraphBuilder::new(1, 2);
    graph.submit(1, 2, vec![tasks(16, 1)]);
    for id in 2..12 {
        graph.plan();
        let urgent = graph.submit(id, 0, vec![gang(2, 4)]);
        assert!(!reclaimed(&graph.plan()).is_empty(), "job {id}");
        let reclaims = &graph.state.reclaims["service"];
        assert_eq!(reclaims.back(), Some(&(graph.now_ms, 8)));
        let oldest_ms = graph.now_ms - RETENTION_MS;
        assert!(reclaims.iter().all(|(at_ms, _)| *at_ms >= oldest_ms), "{reclaims:?}");
        graph.obey_stops();
        graph.plan();
        graph.end_all(urgent, EndKind::Done);
        graph.now_ms += 15_000;
    }
    assert_eq!(graph.state.reclaims["service"].len(), 3, "at most three within the retention");
}

/// Guards against plans that change where the switch is off.
#[test]
fn history_changes_no_plan_where_it_is_off() {
    let mut graph = GraphBuilder::new(2, 2);
    graph.submit(1, 2, vec![saving(tasks(40, 1)), gang(1, 8)]);
    for id in 2..=5 {
        graph.now_ms += 3_700;
        graph.plan();
        graph.submit(id, 0, vec![gang(3, 4)]);
        graph.plan_across_stops();
    }
    graph.submit(6, 0, vec![gang(2, 8)]);
    assert!(graph.state.preemptions.totals().any(|(.., totals)| totals.runs > 0));
    let input = PlannerInput { now_ms: graph.now_ms, ..PlannerInput::default() };
    let with = plan_round(&graph.state, &input);
    graph.state.preemptions = Default::default();
    let without = plan_round(&graph.state, &input);
    assert_eq!((with.records, with.unplaced), (without.records, without.unplaced));
}
