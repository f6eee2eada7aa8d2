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

/// Two racks of one worker each that hold these steps, and a job whose tasks of other shapes wait for an
/// earlier step on the second rack.
fn fleet(shape_packing: bool, fill: [StepSpec; 2], shapes: &[StepSpec]) -> GraphBuilder {
    let mut graph = graph(2, 1, shape_packing);
    let on_rack = |rack: &str, step| StepSpec { required_label: Some(rack.into()), ..step };
    let [first, second] = fill;
    graph.submit(1, 1, vec![on_rack("r0", first)]);
    let second = graph.submit(2, 1, vec![on_rack("r1", second)]);
    let later = shapes.iter().map(|shape| StepSpec { depends_on: vec![0], ..shape.clone() });
    graph.submit(3, 1, [on_rack("r1", tasks(1, 0))].into_iter().chain(later).collect());
    graph.plan();
    assert!(!graph.runs_of(second).is_empty());
    graph
}

/// Places narrow tasks in a fleet and then submits a job of the wide step, whose shape was awaited. Returns
/// how many of its tasks are placed at once.
fn placed_beside(is_on: bool, fill: [StepSpec; 2], narrow: StepSpec, wide: &StepSpec) -> usize {
    let mut graph = fleet(is_on, fill, std::slice::from_ref(wide));
    let narrow = graph.submit(4, 2, vec![narrow]);
    graph.plan();
    assert!(!graph.runs_of(narrow).is_empty());
    let wide = graph.submit(5, 1, vec![wide.clone()]);
    graph.plan();
    graph.runs_of(wide).len()
}

/// Step of tasks with one accelerator and this much memory and processor time.
fn with(count: u32, memory_mb: u32, cpu_millis: u32) -> StepSpec {
    let resources = ResourceAmounts { cpu_millis, memory_mb, accelerators: 1 };
    StepSpec { resources, ..tasks(count, 1) }
}

/// Guards against narrow tasks that take the accelerators of the only worker with enough memory for
/// half-memory tasks, while accelerators without memory stay idle elsewhere.
#[test]
fn narrow_tasks_leave_accelerators_beside_free_memory() {
    for wide in [with(1, 30_000, 1_000), with(1, 1_000, 30_000)] {
        let fill = [tasks(5, 1), StepSpec { count: 2, ..wide.clone() }];
        let narrow = with(3, 500, 500);
        let [off, on] =
            [false, true].map(|is_on| placed_beside(is_on, fill.clone(), narrow.clone(), &wide));
        assert_eq!((off, on), (0, 1), "{wide:?}");
    }
}

/// Guards against a narrow task that takes one of four free accelerators, which a task of four needs, while
/// another worker has a fifth that no such task can use.
#[test]
fn narrow_task_takes_the_odd_accelerator() {
    let fill = [tasks(4, 1), tasks(3, 1)];
    let wide = tasks(2, 4);
    let [off, on] =
        [false, true].map(|is_on| placed_beside(is_on, fill.clone(), tasks(1, 1), &wide));
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

/// Guards against weights that don't follow the work: a narrow task takes either the place of a task of four
/// accelerators on the first rack, or that of a task with much memory on the second.
#[test]
fn shape_with_less_work_loses_its_place() {
    let narrow_rack = |heavy_count| {
        let fill = [with(4, 500, 1_000), with(3, 11_000, 1_000)];
        let mut graph = fleet(true, fill, &[tasks(1, 4), with(heavy_count, 30_000, 1_000)]);
        let narrow = graph.submit(4, 2, vec![tasks(1, 1)]);
        graph.plan();
        graph.rack_of(graph.runs_of(narrow)[0].1)
    };
    assert_eq!([1, 100].map(narrow_rack), ["r1", "r0"]);
}

/// Guards against shapes that override the order by speed: a slow worker comes last, whatever it has free.
#[test]
fn slow_workers_still_come_last() {
    let mut graph = fleet(true, [tasks(4, 1), tasks(3, 1)], &[tasks(9, 4)]);
    let (_, worker) = graph.runs_of(JobId(2))[0];
    let report = GraphRecord::WorkerSpeedReported { worker, is_slow: true, progress: Vec::new() };
    graph.apply(report).unwrap();
    let narrow = graph.submit(4, 2, vec![tasks(1, 1)]);
    graph.plan();
    assert_ne!(graph.runs_of(narrow)[0].1, worker);
}
