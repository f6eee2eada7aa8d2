//! Memory that the specifications of active jobs take.

use cuminbarrow_ledger::codec;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::refusal::GraphRefusal;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;

/// What each replica may hold of the specifications of active jobs, in bytes.
const LIMIT_BYTES: usize = 16 << 20;

/// A job of legal size: 900 steps that each depend on up to 56 earlier ones.
fn large_spec() -> JobSpec {
    let step = |number: u16| StepSpec {
        depends_on: (number.saturating_sub(56)..number).collect(),
        ..tasks(1, 1)
    };
    JobSpec { steps: (0..900).map(step).collect(), ..JobSpec::default() }
}

fn submit(graph: &mut GraphBuilder, id: u64, spec: &JobSpec) -> GraphOutcome {
    graph.submit_spec_at("host/queue/", 1, id, spec.clone(), terms(1))
}

/// Guards against a state that grows with the bytes of all accepted jobs: 400 of them ended every process
/// by its memory, again after each restart.
#[test]
fn large_jobs_are_refused_while_the_state_has_no_room() {
    let mut graph = GraphBuilder::new(1, 1);
    let spec = large_spec();
    let accepted: Vec<u64> = (0..400).filter(|id| submit(&mut graph, *id, &spec).is_ok()).collect();
    assert!(accepted.len() >= 20, "only {} jobs are accepted", accepted.len());
    let bytes = codec::encode(&graph.state).unwrap().len();
    assert!(bytes <= LIMIT_BYTES, "{bytes} bytes");
    let small = JobSpec { steps: vec![tasks(1, 1); 10], ..JobSpec::default() };
    for id in 1_000..2_000 {
        assert!(submit(&mut graph, id, &small).is_ok(), "room is kept for small jobs");
    }
    let first = accepted[0];
    assert!(submit(&mut graph, first, &spec).is_ok(), "a repeated submission is answered");
    let refused = submit(&mut graph, 3_000, &spec);
    assert!(matches!(refused, Err(GraphRefusal::StateFull { .. })), "{refused:?}");
    assert!(!graph.state.jobs.contains_key(&JobId(3_000)));
}

/// Guards against room that is not released when jobs end, in whichever way, or is counted otherwise by a
/// replica that was restored.
#[test]
fn room_is_released_when_jobs_end() {
    let mut graph = GraphBuilder::new(1, 1);
    let spec = large_spec();
    for round in 0..4_u64 {
        let first = round * 1_000;
        let count = (0..400).filter(|id| submit(&mut graph, first + id, &spec).is_ok()).count();
        assert!(count >= 20, "round {round}: {count} jobs are accepted");
        let restored: GraphState = codec::decode(&codec::encode(&graph.state).unwrap()).unwrap();
        assert_eq!(restored, graph.state);
        for job in graph.state.active.clone() {
            graph.apply(GraphRecord::JobCancelled { job }).unwrap();
        }
        assert_eq!(graph.state.spec_budget.held_bytes(), 0, "round {round}");
    }
}

/// Guards against room that stays taken by a job that was cancelled before its submission arrived.
#[test]
fn job_that_was_cancelled_early_takes_no_room() {
    let mut graph = GraphBuilder::new(1, 1);
    let (job, queue, team) = (JobId(1), "host/queue/".into(), terms(1).team);
    graph.apply(GraphRecord::UnknownJobCancelled { job, queue, team }).unwrap();
    submit(&mut graph, 1, &large_spec()).unwrap();
    assert!(!graph.state.jobs[&job].is_active());
    assert_eq!(graph.state.spec_budget.held_bytes(), 0);
}
