//! What callers get from the choice of workers where tasks of different shapes share a service.

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::plan_round::Plan;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;

fn graph(racks: u32, workers: u32, shape_packing: bool) -> GraphBuilder {
    let mut graph = GraphBuilder::new(racks, workers);
    graph.options.shape_packing = shape_packing;
    graph
}

fn on_rack(rack: &str, step: StepSpec) -> StepSpec {
    StepSpec { required_label: Some(rack.into()), ..step }
}

fn placed_count(graph: &GraphBuilder, job: JobId) -> usize {
    graph.runs_of(job).len()
}

/// Fills two racks of one worker each with these steps, places narrow tasks on either, and submits a
/// job of the wide step. Returns how many of its tasks are placed at once.
fn placed_beside(
    shape_packing: bool,
    fill: &[StepSpec; 2],
    narrow: StepSpec,
    wide: &StepSpec,
) -> usize {
    let mut graph = graph(2, 1, shape_packing);
    graph.submit(1, 1, vec![on_rack("r0", fill[0].clone())]);
    graph.submit(2, 1, vec![on_rack("r1", fill[1].clone())]);
    // A job of the wide shape is active, but waits for another step.
    let later = StepSpec { depends_on: vec![0], ..wide.clone() };
    graph.submit(3, 1, vec![on_rack("r1", tasks(1, 0)), later]);
    graph.plan();
    let narrow = graph.submit(4, 2, vec![narrow]);
    graph.plan();
    assert!(placed_count(&graph, narrow) > 0);
    let wide = graph.submit(5, 1, vec![wide.clone()]);
    graph.plan();
    placed_count(&graph, wide)
}

/// Guards against narrow tasks that take the accelerators of the only worker with enough memory for
/// half-memory tasks, while accelerators without memory stay idle elsewhere.
#[test]
fn narrow_tasks_leave_accelerators_beside_free_memory() {
    let with = |count, memory_mb, cpu_millis| {
        let resources = ResourceAmounts { cpu_millis, memory_mb, accelerators: 1 };
        StepSpec { resources, ..tasks(count, 1) }
    };
    for wide in [with(1, 30_000, 1_000), with(1, 1_000, 30_000)] {
        let fill = [tasks(5, 1), StepSpec { count: 2, ..wide.clone() }];
        let narrow = with(3, 500, 500);
        let [off, on] =
            [false, true].map(|is_on| placed_beside(is_on, &fill, narrow.clone(), &wide));
        assert_eq!((off, on), (0, 1), "{wide:?}");
    }
}

/// Guards against a narrow task that takes one of four free accelerators, which a task of four needs, while
/// another worker has a fifth that no such task can use.
#[test]
fn narrow_task_takes_the_odd_accelerator() {
    let fill = [tasks(4, 1), tasks(3, 1)];
    let wide = tasks(2, 4);
    let [off, on] = [false, true].map(|is_on| placed_beside(is_on, &fill, tasks(1, 1), &wide));
    assert_eq!((off, on), (1, 2));
}

/// Records of some rounds of a stream of jobs of equal tasks.
fn records_of_stream(is_on: bool) -> Vec<GraphRecord> {
    let mut graph = graph(2, 4, is_on);
    graph.options.wide_reserve = is_on;
    let mut records = Vec::new();
    for id in 0..20 {
        let (count, priority) = (1 + u32::try_from(id * 7 % 13).unwrap(), (id % 3) as u8);
        let step = if id % 4 == 0 { gang(count, 1) } else { tasks(count, 1) };
        graph.submit(id, priority, vec![step]);
        let Plan { records: planned, .. } = graph.plan();
        records.extend(planned);
        graph.obey_stops();
        graph.now_ms += 500;
        if let Some(ended) = id.checked_sub(5) {
            graph.end_all(JobId(ended), EndKind::Done);
        }
    }
    records
}

/// Guards against a change of plans where all tasks have one shape and nothing wide waits.
#[test]
fn equal_tasks_are_placed_as_without_shapes() {
    assert_eq!(records_of_stream(true), records_of_stream(false));
}

/// Guards against shapes that override the order by speed: a slow worker comes last, whatever it has free.
#[test]
fn slow_workers_still_come_last() {
    let mut graph = graph(2, 1, true);
    graph.submit(1, 1, vec![on_rack("r0", tasks(4, 1))]);
    graph.submit(
        2,
        1,
        vec![on_rack("r1", tasks(3, 1)), StepSpec { depends_on: vec![0], ..tasks(9, 4) }],
    );
    graph.plan();
    let (_, worker) = graph.runs_of(JobId(2))[0];
    let report = GraphRecord::WorkerSpeedReported { worker, is_slow: true, progress: Vec::new() };
    graph.apply(report).unwrap();
    let narrow = graph.submit(3, 2, vec![tasks(1, 1)]);
    graph.plan();
    assert_ne!(graph.runs_of(narrow)[0].1, worker);
}
