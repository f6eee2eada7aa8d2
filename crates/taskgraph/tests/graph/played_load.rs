//! Plays a load against the planner and tells what each caller got.

use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_outcomes::OutcomeTracker;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::START_MS;
use crate::graph_builder::terms;

/// Time between two rounds, in ms.
const ROUND_MS: u64 = 200;

/// A job that a caller submits.
#[derive(Clone)]
pub(crate) struct Arrival {
    /// Time from the start of the play, in ms; a multiple of [`ROUND_MS`].
    pub(crate) at_ms: u64,
    pub(crate) team: &'static str,
    pub(crate) priority: u8,
    pub(crate) steps: Vec<StepSpec>,
    /// True run time of each task, in percent of its estimate.
    pub(crate) run_percent: u64,
}

impl Arrival {
    pub(crate) fn new(at_ms: u64, steps: Vec<StepSpec>) -> Self {
        Self { at_ms, team: "team", priority: 1, steps, run_percent: 100 }
    }
}

/// Plays the arrivals on a service of whole workers; returns what each caller got, by arrival. Results
/// that there are not until the end count as too late.
pub(crate) fn play(
    workers: u32,
    options: PlanningOptions,
    arrivals: &[Arrival],
    until_ms: u64,
) -> Vec<JobOutcome> {
    let mut graph = GraphBuilder::new(1, workers);
    graph.options = options;
    let mut served = vec![JobOutcome::TooLate; arrivals.len()];
    let mut tracker = OutcomeTracker::default();
    for now_ms in (0..until_ms).step_by(ROUND_MS as usize) {
        graph.now_ms = START_MS + now_ms;
        for (id, arrival) in (0..).zip(arrivals).filter(|(_, arrival)| arrival.at_ms == now_ms) {
            let spec = JobSpec { steps: arrival.steps.clone(), ..JobSpec::default() };
            let terms = JobTerms { team: arrival.team.into(), ..terms(arrival.priority) };
            graph.submit_on(id, spec, terms);
        }
        graph.obey_stops();
        for (run, worker) in graph.runs() {
            let step = run.task.step;
            let arrival = &arrivals[step.job.0 as usize];
            let Some(held) = graph.state.workers[&worker].runs.get(&run) else { continue };
            let estimate_ms = u64::from(arrival.steps[usize::from(step.step)].estimate_ms);
            if graph.now_ms >= held.placed_ms + estimate_ms * arrival.run_percent / 100 {
                graph.end(run, worker, EndKind::Done).unwrap();
            }
        }
        for ended in tracker.observe(&graph.state) {
            served[ended.job.0 as usize] = ended.outcome;
        }
        graph.plan();
    }
    served
}

/// How many callers were served in this way.
pub(crate) fn count(served: &[JobOutcome], wanted: JobOutcome) -> usize {
    served.iter().filter(|served| **served == wanted).count()
}
