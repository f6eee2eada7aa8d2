//! Plays a load against the planner and tells what each caller got.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::START_MS;
use crate::graph_builder::terms;

/// Time between two rounds, in ms.
const ROUND_MS: u64 = 200;

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Served {
    OnTime,
    Late,
    /// After the result was of any use, or not at all.
    No,
}

/// A job that a caller submits.
#[derive(Clone)]
pub(crate) struct Arrival {
    /// Time from the start of the play, in ms.
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

/// Plays the arrivals on a service of whole workers; returns what each caller got, by arrival.
pub(crate) fn play(
    workers: u32,
    guarantees: &[(&str, u32)],
    options: PlanningOptions,
    arrivals: &[Arrival],
    until_ms: u64,
) -> Vec<Served> {
    let mut graph = GraphBuilder::new(1, workers);
    graph.options = options;
    graph.guarantees = guarantees.iter().map(|(team, count)| ((*team).into(), *count)).collect();
    let mut useful: BTreeMap<JobId, (u64, u64)> = BTreeMap::new();
    while graph.now_ms < START_MS + until_ms {
        let next_ms = graph.now_ms - START_MS;
        for (id, arrival) in (0..).zip(arrivals) {
            if useful.contains_key(&JobId(id)) || arrival.at_ms > next_ms {
                continue;
            }
            let spec = JobSpec { steps: arrival.steps.clone(), ..JobSpec::default() };
            let terms = JobTerms { team: arrival.team.into(), ..terms(arrival.priority) };
            let objective_ms = terms.objective_ms(spec.critical_path_ms());
            graph.submit_on(id, spec, terms);
            let from_ms = graph.now_ms;
            useful.insert(JobId(id), (from_ms + objective_ms, from_ms + 3 * objective_ms));
        }
        graph.obey_stops();
        for (run, worker) in graph.runs() {
            let step = run.task.step;
            let Some(arrival) = arrivals.get(step.job.0 as usize) else { continue };
            let Some(held) = graph.state.workers[&worker].runs.get(&run) else { continue };
            let estimate_ms = u64::from(arrival.steps[usize::from(step.step)].estimate_ms);
            if graph.now_ms >= held.placed_ms + estimate_ms * arrival.run_percent / 100 {
                graph.end(run, worker, EndKind::Done).unwrap();
            }
        }
        graph.plan();
        graph.now_ms += ROUND_MS;
    }
    useful
        .iter()
        .map(|(id, (objective_at_ms, useless_at_ms))| match graph.state.jobs[id].phase {
            JobPhase::Completed { at_ms } if at_ms <= *objective_at_ms => Served::OnTime,
            JobPhase::Completed { at_ms } if at_ms <= *useless_at_ms => Served::Late,
            _ => Served::No,
        })
        .collect()
}

/// How many callers were served in this way.
pub(crate) fn count(served: &[Served], wanted: Served) -> usize {
    served.iter().filter(|served| **served == wanted).count()
}
