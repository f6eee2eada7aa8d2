//! Previews of jobs that are not submitted, compared with what the planner does once they are.

use std::collections::BTreeMap;

use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_model::placement_preview::PreviewOutcome;
use cuminbarrow_taskgraph::admission_memory::AdmissionMemory;
use cuminbarrow_taskgraph::job_preview::AdmissionInput;
use cuminbarrow_taskgraph::job_preview::PreviewInput;
use cuminbarrow_taskgraph::job_preview::preview_job;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::WorkerStatus;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::START_MS;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;
use crate::graph_builder::worker_spec;

/// Preview of a job of one step, with admission control if there is a memory for it.
fn preview(
    graph: &GraphBuilder,
    priority: u8,
    step: StepSpec,
    memory: Option<&AdmissionMemory>,
) -> PlacementPreview {
    let (now_ms, guarantees, options) = (graph.now_ms, graph.guarantees.clone(), graph.options);
    let planner = PlannerInput { now_ms, guarantees, options };
    let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
    let admission = memory.map(|memory| AdmissionInput { memory, memory_now_ms: 0 });
    let input = PreviewInput { planner: &planner, admission, spec: &spec, terms: &terms(priority) };
    preview_job(graph.state.clone(), &input)
}

/// Reasons of the exclusions, by the workers that are their examples.
fn rules(preview: &PlacementPreview) -> BTreeMap<String, String> {
    let named = preview.exclusions.iter().flat_map(|rule| {
        rule.examples.iter().map(|worker| (worker.to_string(), rule.reason.to_string()))
    });
    named.collect()
}

/// Fails if a preview places a job elsewhere than the planner does.
#[test]
fn preview_names_the_workers_on_which_the_job_is_placed() {
    let mut graph = GraphBuilder::new(2, 2);
    graph.submit(1, 1, vec![tasks(5, 2)]);
    graph.plan();
    let previewed = preview(&graph, 1, gang(3, 4), None);
    let job = graph.submit(2, 1, vec![gang(3, 4)]);
    graph.plan();
    let mut placed: BTreeMap<_, u32> = BTreeMap::new();
    for (_, worker) in graph.runs_of(job) {
        *placed.entry(graph.state.workers[&worker].spec.name.clone()).or_default() += 1;
    }
    let shown = previewed.placements.into_iter().map(|placed| (placed.worker, placed.tasks));
    assert!(shown.eq(placed));
    assert_eq!((previewed.outcome, previewed.expected_wait_ms), (PreviewOutcome::Starts, Some(0)));
}

/// Fails if runs that are preempted for another job in any case are attributed to the previewed one.
#[test]
fn only_preemptions_for_the_job_itself_are_shown() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.guarantees.insert("team".into(), 16);
    graph.submit(1, 2, vec![tasks(16, 1)]);
    graph.plan();
    graph.submit(2, 0, vec![tasks(4, 1)]);
    let previewed = preview(&graph, 0, gang(3, 2), None);
    graph.submit(3, 0, vec![gang(3, 2)]);
    graph.plan();
    let runs = graph.state.workers.values().flat_map(|worker| worker.runs.values());
    let stopped = runs.filter(|run| run.stop_cause == Some(StopCause::Reclaimed)).count();
    let [preemption] = previewed.preemptions.as_slice() else { panic!("{previewed:?}") };
    assert_eq!(preemption.tasks as usize, stopped - 4, "without those for the other job");
    assert_eq!(preemption.job, "0000000000000001");
    assert_eq!((previewed.outcome, previewed.waiting_before), (PreviewOutcome::Waits, 1));
    assert!(previewed.expected_wait_ms.is_some_and(|wait_ms| wait_ms > 0), "{previewed:?}");
}

/// Fails if the wait for a full service is not that of its runs and of the steps before the job.
#[test]
fn wait_for_a_full_service_follows_its_runs_and_waiting_steps() {
    let mut graph = GraphBuilder::new(1, 1);
    graph.submit(1, 1, vec![tasks(8, 1)]);
    graph.plan();
    graph.renew_for(1_000);
    let alone = preview(&graph, 1, tasks(8, 1), None);
    assert_eq!((alone.outcome, alone.reason.as_str()), (PreviewOutcome::Waits, "no room"));
    let left_ms = 3_000;
    assert_eq!((alone.expected_wait_ms, alone.waiting_before), (Some(left_ms), 0));
    graph.submit(2, 1, vec![tasks(8, 1)]);
    let behind = preview(&graph, 1, tasks(8, 1), None);
    assert!(behind.expected_wait_ms > Some(left_ms + 4_000), "{behind:?}");
    assert_eq!(behind.waiting_before, 1);
}

/// Fails if a worker is excluded without the rule that excludes it, or by another rule.
#[test]
fn each_excluded_worker_has_the_rule_that_excludes_it() {
    let mut graph = GraphBuilder::new(0, 0);
    let base = |name: &str| worker_spec(name, "r0");
    let small = ResourceAmounts { memory_mb: 500, ..base("").resources };
    for spec in [
        WorkerSpec { service: "other".into(), ..base("elsewhere") },
        base("draining"),
        WorkerSpec { data_centre: "away".into(), ..base("evacuated") },
        base("failing"),
        base("silent"),
        WorkerSpec { labels: Vec::new(), ..base("plain") },
        WorkerSpec { resources: small, ..base("small") },
        base("full"),
        base("awaited"),
    ] {
        graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
    }
    for worker in graph.state.workers.values_mut() {
        match worker.spec.name.as_str() {
            "draining" => worker.status = WorkerStatus::Draining { until_ms: u64::MAX },
            "failing" => (worker.consecutive_failures, worker.last_failure_ms) = (2, START_MS),
            "full" => worker.used.accelerators = 8,
            "silent" => worker.status = WorkerStatus::Suspected { since_offset: 1 },
            _ => {}
        }
    }
    graph.state.evacuations.data_centres.insert("away".into());
    let labelled = StepSpec { required_label: Some("kind".into()), ..gang(1, 7) };
    graph.submit(1, 0, vec![labelled]);
    let step = StepSpec { required_label: Some("kind".into()), ..tasks(1, 2) };
    let expected = [
        ("awaited", "its free capacity is reserved for other steps"),
        ("draining", "it is draining"),
        ("elsewhere", "it belongs to another service"),
        ("evacuated", "its data centre is evacuated"),
        ("failing", "it is quarantined after failed runs"),
        ("full", "too little is free: accelerators"),
        ("plain", "it lacks the required label"),
        ("silent", "it is suspected to be lost"),
        ("small", "it is too small even when empty: memory"),
    ];
    let expected = expected.map(|(worker, rule)| (worker.to_owned(), rule.to_owned()));
    assert_eq!(rules(&preview(&graph, 1, step, None)), BTreeMap::from(expected));
}

/// Fails if background work that leaves capacity to urgent work is said to have no room.
#[test]
fn capacity_for_urgent_work_is_named_as_such() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.submit(1, 2, vec![tasks(16, 1)]);
    graph.plan();
    let urgent = graph.submit(2, 0, vec![gang(1, 6)]);
    graph.plan_across_stops();
    graph.end_all(urgent, EndKind::Done);
    let previewed = preview(&graph, 2, gang(1, 1), None);
    assert_eq!(previewed.outcome, PreviewOutcome::Waits);
    assert!(previewed.reason.starts_with("room is kept for urgent work"), "{previewed:?}");
    let reserved = "its free capacity is reserved for urgent work";
    assert!(rules(&previewed).values().any(|rule| rule == reserved), "{previewed:?}");
}

/// Fails if a job that no worker could ever hold is said to wait, or one that fits an evacuated worker
/// to be impossible.
#[test]
fn only_a_job_that_never_fits_is_impossible() {
    let mut graph = GraphBuilder::new(1, 2);
    let data_centres = ["dc".into()].into();
    graph.apply(GraphRecord::EvacuationsRead { as_of: 1, data_centres }).unwrap();
    for step in [tasks(1, 9), gang(3, 8)] {
        assert_eq!(preview(&graph, 1, step, None).outcome, PreviewOutcome::Impossible);
    }
    let waits = preview(&graph, 1, gang(2, 8), None);
    assert_eq!(waits.outcome, PreviewOutcome::Waits);
    assert_eq!(waits.reason, "all data centres are evacuated");
}

/// Fails if admission control is not asked, or asked where it is off.
#[test]
fn rejection_is_shown_only_with_admission_control() {
    let mut graph = GraphBuilder::new(1, 1);
    for id in 1..30 {
        graph.submit(id, 1, vec![tasks(8, 1)]);
    }
    graph.plan();
    let rejected = preview(&graph, 1, tasks(8, 1), Some(&AdmissionMemory::default()));
    assert_eq!(rejected.outcome, PreviewOutcome::Rejected, "{rejected:?}");
    assert!(rejected.retry_after_s.is_some_and(|delay_s| delay_s >= 1));
    assert_eq!((rejected.placements, rejected.expected_wait_ms), (Vec::new(), None));
    let waits = preview(&graph, 1, tasks(8, 1), None);
    assert_eq!((waits.outcome, waits.retry_after_s), (PreviewOutcome::Waits, None));
}
