//! What callers get when tasks that need a whole worker wait behind a stream of narrow ones.

use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use smol_str::SmolStr;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::played_load::Arrival;
use crate::played_load::count;
use crate::played_load::play;

/// Guards against wide jobs that are never on time because each narrow task that ends is followed by
/// another, and against narrow jobs that are of no use any more because of the wide ones.
#[test]
fn wide_jobs_behind_a_stream_of_narrow_ones_are_on_time() {
    let narrow = (0..200).map(|index| Arrival {
        priority: 2,
        run_percent: 60 + index * 37 % 80,
        ..Arrival::new(index / 2 * 200, vec![tasks(5 + (index % 2) as u32, 1)])
    });
    let wide = StepSpec { estimate_ms: 2_000, ..gang(2, 8) };
    let wide = (5_000..20_000).step_by(2_000).map(|at_ms| Arrival::new(at_ms, vec![wide.clone()]));
    let load: Vec<Arrival> = narrow.chain(wide).collect();
    let [off, on] = [false, true].map(|wide_reserve| {
        let options = PlanningOptions { wide_reserve, ..PlanningOptions::default() };
        play(20, options, &load, 40_000)
    });
    let on_time = |served: &[JobOutcome]| count(&served[200..], JobOutcome::OnTime);
    assert_eq!((on_time(&off), on_time(&on)), (0, 8));
    assert_eq!(count(&on[..200], JobOutcome::TooLate), 0);
    assert!(count(&on[..200], JobOutcome::OnTime) >= 180, "{on:?}");
}

/// Two racks of ten workers, each with `filled` narrow tasks, of which those on the first worker of the
/// second rack are the first to end, 1,500 ms from now. Lets a job of wide steps wait and narrow tasks with
/// a priority take the free accelerators. Returns the racks of the workers that they leave free.
fn racks_kept(filled: u32, wide: (u8, &[StepSpec]), narrow_priority: u8) -> Vec<SmolStr> {
    let mut graph = GraphBuilder::new(2, 10);
    graph.options.wide_reserve = true;
    let resources = ResourceAmounts { memory_mb: 63_000 / filled, ..tasks(1, 1).resources };
    let first = StepSpec { resources, required_label: Some("r1".into()), ..tasks(filled, 1) };
    graph.submit(1, 2, vec![first]);
    graph.plan();
    graph.now_ms += 500;
    graph.submit(2, 2, vec![StepSpec { resources, ..tasks(19 * filled, 1) }]);
    graph.plan();
    assert_eq!(graph.runs().len(), 20 * filled as usize);
    graph.now_ms += 2_000;
    graph.submit(3, wide.0, wide.1.to_vec());
    let resources = ResourceAmounts { memory_mb: 100, ..resources };
    graph.submit(4, narrow_priority, vec![StepSpec { resources, ..tasks(160, 1) }]);
    graph.plan();
    let workers = graph.state.workers.values();
    let kept = workers.filter(|worker| worker.free().accelerators > 0);
    kept.map(|worker| worker.spec.rack.clone()).collect()
}

/// Guards against a reservation for work that is not more urgent or can't start in time, of another worker
/// than the first to be empty, for a part of a gang, or of more than a tenth of the workers.
#[test]
fn reservation_is_bounded() {
    let short = |estimate_ms| StepSpec { estimate_ms, ..tasks(1, 8) };
    let kept = |priority, wide: StepSpec, narrow| racks_kept(7, (priority, &[wide]), narrow);
    assert_eq!(kept(1, tasks(1, 8), 2), ["r1"], "the first to be empty");
    assert_eq!(kept(1, tasks(1, 8), 1), [""; 0], "medium work against medium work");
    assert_eq!(kept(2, tasks(1, 8), 3), [""; 0], "background work");
    assert_eq!(kept(0, short(500), 1), ["r1"], "urgent work against medium work");
    assert_eq!(kept(1, short(250), 2), ["r1"], "just in time: 1,500 ms are left");
    assert_eq!(kept(1, short(240), 2), [""; 0], "too late: 1,480 ms are left");
    assert_eq!(kept(1, tasks(1, 4), 2), [""; 0], "half a worker");
    assert_eq!(kept(1, tasks(6, 8), 2), ["r0", "r1"], "a tenth of the workers");
    assert_eq!(kept(1, gang(2, 8), 2), ["r0", "r1"], "a whole gang");
    assert_eq!(kept(1, gang(3, 8), 2), [""; 0], "a part of a gang");
    let short_gang = StepSpec { estimate_ms: 300, ..gang(2, 8) };
    assert_eq!(kept(1, short_gang, 2), [""; 0], "a gang of which one could start in time");
    assert_eq!(kept(1, StepSpec { same_rack: true, ..gang(2, 8) }, 2), ["r0", "r0"], "one rack");
}

/// Guards against two steps that reserve the same worker, and against a reservation of one on which a run has
/// just been placed.
#[test]
fn other_workers_are_reserved_than_those_already_taken() {
    assert_eq!(racks_kept(7, (1, &[tasks(1, 8), tasks(1, 8)]), 2), ["r0", "r1"]);
    let narrow = StepSpec { required_label: Some("r1".into()), ..tasks(1, 1) };
    assert_eq!(racks_kept(7, (1, &[narrow, tasks(1, 8)]), 2), ["r0"]);
}

/// Guards against work that waits while less than half of the service is in use.
#[test]
fn nothing_is_reserved_while_half_of_the_service_is_free() {
    assert_eq!(racks_kept(3, (1, &[tasks(1, 8)]), 2), [""; 0]);
    assert_eq!(racks_kept(4, (1, &[tasks(1, 8)]), 2), ["r1"]);
}
