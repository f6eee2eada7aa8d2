//! Test deployment: the replicated state and the guaranteed policy in one process, on a simulated
//! clock.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_ledger::worker_state::WorkerState;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_model::topology::Location;
use cuminbarrow_model::worker::WorkerSpec;
use cuminbarrow_policy::guaranteed::Guaranteed;
use cuminbarrow_policy::placement_policy::Decision;
use cuminbarrow_policy::placement_policy::PlacementPolicy;
use cuminbarrow_policy::placement_policy::Plan;
use cuminbarrow_policy::policy_weights::PolicyWeights;
use smol_str::SmolStr;
use smol_str::format_smolstr;

pub(crate) const OWNER: &str = "owner";
pub(crate) const BORROWER: &str = "borrower";
/// Run time that jobs declare, in ms.
pub(crate) const RUN_MS: u64 = 60_000;

pub(crate) struct TestDeployment {
    pub(crate) state: State,
    pub(crate) now_ms: u64,
    pub(crate) epoch: u64,
    policy: Guaranteed,
    sequence: u64,
    submitted: u32,
}

impl TestDeployment {
    /// Creates racks of three workers with eight accelerators each, and guarantees the owner a gang
    /// of `guaranteed` whole workers in one rack; 0 for no guarantee.
    pub(crate) fn new(racks: u16, guaranteed: u8) -> Self {
        let mut deployment = Self {
            state: State::default(),
            now_ms: 1_000_000,
            epoch: 1,
            policy: Guaranteed::new(PolicyWeights::COMPLETION),
            sequence: 0,
            submitted: 0,
        };
        let mut records: Vec<Record> = (0..racks * 3).map(|index| join(index, 1)).collect();
        records.push(Record::PlannerClaimed { epoch: 1, instance: 1 });
        let shape = shape(guaranteed, 8, Span::Rack);
        let guarantee = Guarantee { name: SmolStr::new("g"), shape, count: 1 };
        let guarantees = if guaranteed > 0 { vec![guarantee] } else { Vec::new() };
        let team = |name, guarantees| TeamSpec {
            name: SmolStr::new(name),
            guarantees,
            max_pending: 5_000,
        };
        let teams = vec![team(OWNER, guarantees), team(BORROWER, Vec::new())];
        records.push(Record::SheetApplied {
            author: SmolStr::new("o"),
            sheet: Sheet { base: 0, teams, jobs: Vec::new() },
            max_removed_permille: 1_000,
        });
        let report = deployment.apply(records);
        assert!(report.results.iter().all(Result::is_ok), "{:?}", report.results);
        deployment
    }

    pub(crate) fn apply(&mut self, records: Vec<Record>) -> BatchReport {
        self.sequence += 1;
        let batch = Batch { writer: 1, sequence: self.sequence, at_ms: self.now_ms, records };
        let report = self.state.apply(self.sequence - 1, &batch);
        assert_eq!(self.state.invariant_violations(), [], "an invariant is violated");
        report
    }

    pub(crate) fn submit(&mut self, team: &str, spec: JobSpec) -> JobKey {
        self.submitted += 1;
        let idempotency_key = format_smolstr!("job-{}", self.submitted);
        let record = Record::JobSubmitted { team: SmolStr::new(team), idempotency_key, spec };
        match &self.apply(vec![record]).results[0] {
            Ok(Effect::Job { job }) => *job,
            other => panic!("{other:?}"),
        }
    }

    /// Plans a round without applying it.
    pub(crate) fn plan(&mut self) -> Plan {
        self.policy.plan(&self.state, self.now_ms)
    }

    /// Plans a round, applies it and returns the decisions.
    pub(crate) fn round(&mut self) -> Vec<Decision> {
        let decisions = self.plan().decisions;
        let records = decisions.iter().cloned().map(|d| d.into_record(self.epoch)).collect();
        let report = self.apply(records);
        assert!(report.results.iter().all(Result::is_ok), "{:?}", report.results);
        decisions
    }

    /// Plans and applies a round and starts all placed attempts.
    pub(crate) fn run(&mut self) {
        self.round();
        let started = self.state.placed.iter().filter_map(|key| self.attempt(*key));
        let starts: Vec<Record> =
            started.map(|attempt| Record::JobStarted { attempt, lead_incarnation: 1 }).collect();
        self.apply(starts);
    }

    /// Replaces the planner by one that knows only the replicated state.
    pub(crate) fn replace_planner(&mut self) {
        self.epoch += 1;
        let record = Record::PlannerClaimed { epoch: self.epoch, instance: self.epoch };
        self.apply(vec![record]);
        self.policy = Guaranteed::new(PolicyWeights::COMPLETION);
    }

    pub(crate) fn end(&mut self, key: JobKey, end: AttemptEnd) {
        let attempt = self.attempt(key).expect("the job is placed");
        self.apply(vec![Record::JobEnded { attempt, lead_incarnation: 1, end }]);
    }

    pub(crate) fn complete(&mut self, key: JobKey) {
        let answer = Answer::new(b"done".to_vec());
        self.end(key, AttemptEnd::Completed { answer });
    }

    /// Ends the attempt with a failure on the lead's worker.
    pub(crate) fn fail(&mut self, key: JobKey) {
        let worker = self.lead(key);
        self.end(key, AttemptEnd::Failed { worker, reason: SmolStr::new("exit code 1") });
    }

    /// Ends the attempt as stopped on request.
    pub(crate) fn stop(&mut self, key: JobKey) {
        self.end(key, AttemptEnd::Stopped { progress_permille: 0 });
    }

    pub(crate) fn lose(&mut self, workers: &[u16]) {
        let lost = |index: &u16| Record::WorkerLost {
            worker: WorkerKey(*index),
            incarnation: 1,
            session: 1,
        };
        self.apply(workers.iter().map(lost).collect());
    }

    pub(crate) fn job(&self, key: JobKey) -> &JobState {
        &self.state.jobs[&key]
    }

    pub(crate) fn worker(&self, index: u16) -> &WorkerState {
        self.state.worker(WorkerKey(index)).expect("the worker joined")
    }

    pub(crate) fn lead(&self, key: JobKey) -> WorkerKey {
        self.job(key).placement().expect("the job is placed").lead()
    }

    pub(crate) fn attempt(&self, key: JobKey) -> Option<AttemptKey> {
        let placement = self.job(key).placement()?;
        Some(AttemptKey { job: key, attempt: placement.attempt })
    }

    /// Placed jobs that are asked to stop.
    pub(crate) fn stopping(&self) -> Vec<JobKey> {
        let placed = self.state.placed.iter().copied();
        placed.filter(|key| self.job(*key).placement().is_some_and(|p| p.stop.is_some())).collect()
    }
}

pub(crate) fn shape(members: u8, accelerators: u8, span: Span) -> Shape {
    let per_member = Resources { cores: 1, memory_gib: 1, accelerators, slots: 1, connections: 1 };
    Shape { members, per_member, span }
}

/// Specification of a repeatable job.
pub(crate) fn spec(members: u8, accelerators: u8) -> JobSpec {
    JobSpec {
        shape: shape(members, accelerators, Span::Rack),
        repeatable: true,
        checkpointable: false,
        urgent: false,
        deadline_ms: None,
        declared_run_ms: RUN_MS,
        payload: SmolStr::default(),
    }
}

pub(crate) fn join(index: u16, session: u32) -> Record {
    let location = Location {
        region: SmolStr::new("r"),
        data_centre: SmolStr::new("d"),
        rack: format_smolstr!("r{}", index / 3),
    };
    let capacity =
        Resources { cores: 32, memory_gib: 64, accelerators: 8, slots: 8, connections: 60 };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let spec = WorkerSpec { name: format_smolstr!("w{index}"), location, capacity, address };
    Record::WorkerJoined { spec, incarnation: 1, session, entry: 1 }
}
