//! Builds graph states record by record, and simulates the planner and workers that obey it.

use std::collections::BTreeMap;

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_taskgraph::graph_state::GraphOutcome;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::plan_round::Plan;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::plan_round::plan_round;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use smol_str::SmolStr;

/// Wall-clock time at which each history starts, in ms since the Unix epoch.
pub(crate) const START_MS: u64 = 1_000_000;
/// Time between two records of an idle planner, in ms.
const RENEWAL_INTERVAL_MS: u64 = 500;

pub(crate) struct GraphBuilder {
    pub(crate) state: GraphState,
    pub(crate) now_ms: u64,
    pub(crate) guarantees: BTreeMap<SmolStr, u32>,
    pub(crate) options: PlanningOptions,
    sequence: u64,
}

impl GraphBuilder {
    /// A state with a planner in epoch 1, and racks of workers with 8 accelerators each.
    pub(crate) fn new(racks: u32, workers_per_rack: u32) -> Self {
        let mut builder = Self {
            state: GraphState::default(),
            now_ms: START_MS,
            guarantees: BTreeMap::new(),
            options: PlanningOptions::default(),
            sequence: 0,
        };
        builder.apply(GraphRecord::PlannerClaimed { epoch: 1, instance: 1 }).unwrap();
        for rack in 0..racks {
            for worker in 0..workers_per_rack {
                let spec = worker_spec(&format!("r{rack}w{worker}"), &format!("r{rack}"));
                builder.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap();
            }
        }
        builder
    }

    /// Applies a record as written by the process that is entitled to write it.
    pub(crate) fn apply(&mut self, record: GraphRecord) -> GraphOutcome {
        let worker = match &record {
            GraphRecord::RunsEnded { worker, .. } | GraphRecord::HealthChanged { worker, .. } => {
                Some(worker)
            }
            GraphRecord::WorkerRemoved { worker, suspicion_offset: 0, .. } => Some(worker),
            _ => None,
        };
        let known = worker.and_then(|worker| self.state.workers.get(worker));
        let writer = known.map_or(1, |known| known.agent);
        self.apply_from(writer, record)
    }

    /// Applies a record as written by `writer`.
    pub(crate) fn apply_from(&mut self, writer: u64, record: GraphRecord) -> GraphOutcome {
        self.sequence += 1;
        let batch =
            Batch { writer, sequence: self.sequence, at_ms: self.now_ms, records: vec![record] };
        self.state.apply(self.state.offset, &batch).remove(0)
    }

    pub(crate) fn submit(&mut self, id: u64, priority: u8, steps: Vec<StepSpec>) -> JobId {
        let spec = JobSpec { steps, ..JobSpec::default() };
        self.submit_spec(id, priority, spec)
    }

    /// Submits a job to a queue whose placements need the advice of an external service.
    pub(crate) fn submit_advised(&mut self, id: u64, priority: u8, steps: Vec<StepSpec>) -> JobId {
        let spec = JobSpec { steps, ..JobSpec::default() };
        let terms = JobTerms { is_advised: true, ..terms(priority) };
        self.submit_on(id, spec, terms)
    }

    pub(crate) fn submit_spec(&mut self, id: u64, priority: u8, spec: JobSpec) -> JobId {
        self.submit_on(id, spec, terms(priority))
    }

    pub(crate) fn submit_on(&mut self, id: u64, spec: JobSpec, terms: JobTerms) -> JobId {
        let job = JobId(id);
        self.apply(GraphRecord::JobAccepted { job, spec, terms }).unwrap();
        job
    }

    /// Submits a job of one task at the address of a queue, in a version of the configuration.
    pub(crate) fn submit_at(
        &mut self,
        address: &str,
        version: u64,
        id: u64,
        terms: JobTerms,
    ) -> JobId {
        let spec = JobSpec { steps: vec![tasks(1, 8)], ..JobSpec::default() };
        self.submit_spec_at(address, version, id, spec, terms).unwrap();
        JobId(id)
    }

    /// Like [`Self::submit_at`], for a job of any specification.
    pub(crate) fn submit_spec_at(
        &mut self,
        address: &str,
        version: u64,
        id: u64,
        spec: JobSpec,
        terms: JobTerms,
    ) -> GraphOutcome {
        let (job, address) = (JobId(id), address.into());
        self.apply(GraphRecord::JobSubmitted { job, spec, terms, address, version })
    }

    /// Plans a round and applies its records, all of which must be accepted.
    pub(crate) fn plan(&mut self) -> Plan {
        let input = PlannerInput {
            now_ms: self.now_ms,
            guarantees: self.guarantees.clone(),
            options: self.options,
        };
        let plan = plan_round(&self.state, &input);
        for record in plan.records.clone() {
            self.apply(record.clone()).unwrap_or_else(|refusal| panic!("{record:?}: {refusal}"));
        }
        plan
    }

    /// Lets time pass, in which the planner renews its role as often as it does while it is idle.
    pub(crate) fn renew_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += RENEWAL_INTERVAL_MS.min(until_ms - self.now_ms);
            self.apply(GraphRecord::PlannerRenewed { epoch: 1 }).unwrap();
        }
    }

    /// All placed runs with their workers.
    pub(crate) fn runs(&self) -> Vec<(RunKey, WorkerKey)> {
        let workers = self.state.workers.iter();
        workers.flat_map(|(key, worker)| worker.runs.keys().map(|run| (*run, *key))).collect()
    }

    pub(crate) fn runs_of(&self, job: JobId) -> Vec<(RunKey, WorkerKey)> {
        self.runs().into_iter().filter(|(run, _)| run.task.step.job == job).collect()
    }

    pub(crate) fn end(&mut self, run: RunKey, worker: WorkerKey, kind: EndKind) -> GraphOutcome {
        let ends = vec![RunEnd { run, kind, checkpoint: SmolStr::default() }];
        self.apply(GraphRecord::RunsEnded { worker, ends })
    }

    pub(crate) fn end_all(&mut self, job: JobId, kind: EndKind) {
        for (run, worker) in self.runs_of(job) {
            self.end(run, worker, kind).unwrap();
        }
    }

    /// Ends all runs that were requested to stop, as their workers would.
    pub(crate) fn obey_stops(&mut self) {
        for (run, worker) in self.runs() {
            let stop = self.state.workers[&worker].runs[&run].stop_cause;
            if stop.is_some() {
                self.end(run, worker, EndKind::Stopped).unwrap();
            }
        }
    }

    /// Plans a round, lets the workers stop the runs as requested, and plans another round.
    pub(crate) fn plan_across_stops(&mut self) {
        self.plan();
        self.obey_stops();
        self.plan();
    }

    pub(crate) fn rack_of(&self, worker: WorkerKey) -> SmolStr {
        self.state.workers[&worker].spec.rack.clone()
    }
}

pub(crate) fn worker_spec(name: &str, rack: &str) -> WorkerSpec {
    WorkerSpec {
        name: name.into(),
        started_ms: 1,
        instance: format!("instance-{name}").into(),
        service: "service".into(),
        data_centre: "dc".into(),
        rack: rack.into(),
        labels: vec!["kind".into(), rack.into()],
        resources: ResourceAmounts { cpu_millis: 64_000, memory_mb: 64_000, accelerators: 8 },
    }
}

/// A step of independent tasks with `accelerators` each.
pub(crate) fn tasks(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        count,
        resources: ResourceAmounts { cpu_millis: 1_000, memory_mb: 1_000, accelerators },
        estimate_ms: 4_000,
        ..StepSpec::default()
    }
}

/// A gang whose members have `accelerators` each.
pub(crate) fn gang(count: u32, accelerators: u32) -> StepSpec {
    StepSpec { gang: true, ..tasks(count, accelerators) }
}

pub(crate) fn terms(priority: u8) -> JobTerms {
    JobTerms {
        queue: "queue".into(),
        service: "service".into(),
        team: "team".into(),
        priority,
        max_attempts: 2,
        stretch_permille: 3_000,
        target_latency_ms: 1_000,
        is_advised: false,
    }
}
