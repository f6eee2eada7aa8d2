//! Memory that one round of the planner takes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::plan_round::plan_round;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;

const NOW_MS: u64 = 100_000_000;
/// Memory that a node may spend for control, in KB.
const MEMORY_LIMIT_KB: u64 = 64 * 1024;

/// A job that has been due every ten seconds for a day, and that no worker can run.
fn hopeless_spec() -> JobSpec {
    let step = StepSpec {
        count: 500,
        resources: ResourceAmounts { cpu_millis: 1_000, memory_mb: 0, accelerators: 1 },
        required_label: Some("none".into()),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    JobSpec {
        steps: vec![step],
        occurrence_count: 8_640,
        start_at_ms: NOW_MS - 86_400_000,
        interval_ms: 10_000,
        ..JobSpec::default()
    }
}

fn terms() -> JobTerms {
    JobTerms {
        queue: "queue".into(),
        service: "service".into(),
        team: "team".into(),
        priority: 1,
        max_attempts: 3,
        stretch_permille: 3_000,
        target_latency_ms: 1_000,
        is_advised: false,
    }
}

/// Largest amount of memory that this process has used, in KB.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against listing all waiting tasks of all due occurrences. Each process that planned exceeded
/// its memory and was killed, one after the other, and no job was started any more.
#[test]
fn round_with_many_waiting_tasks_takes_little_memory() {
    let mut state = GraphState::default();
    let accepted =
        |id| GraphRecord::JobAccepted { job: JobId(id), spec: hopeless_spec(), terms: terms() };
    let records = (1..=16).map(accepted).collect();
    state.apply(0, &Batch { writer: 1, sequence: 1, at_ms: NOW_MS, records });
    let before_kb = peak_memory_kb();
    plan_round(&state, &PlannerInput { now_ms: NOW_MS, ..PlannerInput::default() });
    let used_kb = peak_memory_kb() - before_kb;
    assert!(used_kb < MEMORY_LIMIT_KB, "{used_kb} KB for one round");
}
