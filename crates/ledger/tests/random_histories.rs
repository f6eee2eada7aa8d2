//! Properties of the state over random histories: the invariants hold at every offset, replicas are
//! equal, and duplicates change nothing.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::codec;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::job::JobOutcome;
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
use cuminbarrow_policy::first_fit::FirstFit;
use cuminbarrow_policy::guaranteed::Guaranteed;
use cuminbarrow_policy::placement_policy::PlacementPolicy;
use cuminbarrow_policy::policy_weights::PolicyWeights;
use proptest::collection::vec;
use proptest::prelude::*;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const WORKERS: u16 = 9;
const TEAMS: [&str; 3] = ["a", "b", "c"];

/// One event of a history.
#[derive(Clone, Debug)]
enum Step {
    Cancel(u8),
    Drain(u8),
    End { job: u8, how: u8 },
    Lose(u8),
    Plan,
    Rejoin(u8),
    Sheet(u8),
    Start(u8),
    Submit { team: u8, members: u8, accelerators: u8, flags: u8 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_u8, 1..5_u8, 0..9_u8, any::<u8>()).prop_map(
            |(team, members, accelerators, flags)| Step::Submit {
                team,
                members,
                accelerators,
                flags
            }
        ),
        4 => Just(Step::Plan),
        3 => any::<u8>().prop_map(Step::Start),
        3 => (any::<u8>(), 0..4_u8).prop_map(|(job, how)| Step::End { job, how }),
        1 => any::<u8>().prop_map(Step::Cancel),
        1 => any::<u8>().prop_map(Step::Lose),
        1 => any::<u8>().prop_map(Step::Rejoin),
        1 => any::<u8>().prop_map(Step::Drain),
        1 => any::<u8>().prop_map(Step::Sheet),
    ];
    vec(step, 1..60)
}

fn per_member(accelerators: u8) -> Resources {
    Resources { cores: 4, memory_gib: 4, accelerators, slots: 1, connections: 1 }
}

fn worker_joined(index: u16, incarnation: u64) -> Record {
    let spec = WorkerSpec {
        name: format_smolstr!("w{index}"),
        location: Location {
            region: SmolStr::new("r"),
            data_centre: format_smolstr!("d{}", index / 6),
            rack: format_smolstr!("r{}", index / 3),
        },
        capacity: Resources {
            cores: 32,
            memory_gib: 64,
            accelerators: 8,
            slots: 8,
            connections: 60,
        },
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    Record::WorkerJoined { spec, incarnation, session: 1, entry: 1 }
}

fn sheet_applied(base: u64, variant: u8) -> Record {
    let shapes = [(2, 8, Span::Rack), (1, 4, Span::Worker), (2, 4, Span::DataCentre)];
    let teams = TEAMS.iter().enumerate().map(|(index, name)| {
        let (members, accelerators, span) = shapes[(index + usize::from(variant)) % 3];
        let shape = Shape { members, per_member: per_member(accelerators), span };
        let guarantee = Guarantee { name: SmolStr::new("g"), shape, count: 1 };
        TeamSpec { name: SmolStr::new(name), guarantees: vec![guarantee], max_pending: 20 }
    });
    let sheet = Sheet { base, teams: teams.collect(), jobs: Vec::new() };
    Record::SheetApplied { author: SmolStr::new("o"), sheet, max_removed_permille: 1_000 }
}

/// A state and the batches that led to it.
struct History {
    state: State,
    batches: Vec<Batch>,
    submitted: u32,
    started: BTreeMap<JobKey, u32>,
    policy: Box<dyn PlacementPolicy>,
}

impl History {
    fn new(policy: Box<dyn PlacementPolicy>) -> Self {
        let mut history = Self {
            state: State::default(),
            batches: Vec::new(),
            submitted: 0,
            started: BTreeMap::new(),
            policy,
        };
        let mut records: Vec<Record> = (0..WORKERS).map(|index| worker_joined(index, 1)).collect();
        records.push(Record::PlannerClaimed { epoch: 1, instance: 1 });
        records.push(sheet_applied(0, 0));
        history.apply(records);
        history
    }

    fn apply(&mut self, records: Vec<Record>) {
        let sequence = self.batches.len() as u64 + 1;
        let batch = Batch { writer: 1, sequence, at_ms: sequence * 700_000, records };
        let report = self.state.apply(sequence - 1, &batch);
        for (record, result) in batch.records.iter().zip(&report.results) {
            if let (Record::JobStarted { attempt, .. }, Ok(_)) = (record, result) {
                *self.started.entry(attempt.job).or_default() += 1;
            }
        }
        self.batches.push(batch);
    }

    fn placed(&self, pick: u8) -> Option<AttemptKey> {
        let count = self.state.placed.len().max(1);
        let job = *self.state.placed.iter().nth(usize::from(pick) % count)?;
        let attempt = self.state.jobs[&job].placement()?.attempt;
        Some(AttemptKey { job, attempt })
    }

    fn lead_incarnation(&self, attempt: AttemptKey) -> u64 {
        let lead = self.state.placement(attempt).unwrap().lead();
        self.state.worker(lead).unwrap().incarnation
    }

    fn step(&mut self, step: &Step) {
        let records = self.records(step);
        if !records.is_empty() {
            self.apply(records);
        }
    }

    fn records(&mut self, step: &Step) -> Vec<Record> {
        match step {
            Step::Cancel(pick) => {
                vec![Record::JobCancelled { job: JobKey(u32::from(*pick) % 40) }]
            }
            Step::Drain(pick) => {
                vec![Record::WorkerDrained { worker: WorkerKey(u16::from(*pick) % WORKERS) }]
            }
            Step::End { job, how } => self.job_ended(*job, *how),
            Step::Lose(pick) => {
                let worker = WorkerKey(u16::from(*pick) % WORKERS);
                let known = self.state.worker(worker).unwrap();
                let (incarnation, session) = (known.incarnation, known.session);
                vec![Record::WorkerLost { worker, incarnation, session }]
            }
            Step::Plan => {
                let now_ms = self.state.clock_ms + 1;
                let plan = self.policy.plan(&self.state, now_ms);
                plan.decisions.into_iter().map(|decision| decision.into_record(1)).collect()
            }
            Step::Rejoin(pick) => {
                let worker = WorkerKey(u16::from(*pick) % WORKERS);
                let incarnation = self.state.worker(worker).unwrap().incarnation + 1;
                vec![worker_joined(worker.0, incarnation), Record::WorkerResumed { worker }]
            }
            Step::Sheet(variant) => vec![sheet_applied(self.state.sheet.version, *variant)],
            Step::Start(pick) => {
                let Some(attempt) = self.placed(*pick) else { return Vec::new() };
                let lead_incarnation = self.lead_incarnation(attempt);
                vec![Record::JobStarted { attempt, lead_incarnation }]
            }
            Step::Submit { team, members, accelerators, flags } => {
                self.submitted += 1;
                let span =
                    [Span::Worker, Span::Rack, Span::DataCentre][usize::from(flags >> 4) % 3];
                let spec = JobSpec {
                    shape: Shape { members: *members, per_member: per_member(*accelerators), span },
                    repeatable: flags & 1 == 0,
                    checkpointable: flags & 2 == 0,
                    urgent: flags & 4 == 0,
                    deadline_ms: None,
                    declared_run_ms: 1_000_000,
                    payload: SmolStr::default(),
                };
                let team = SmolStr::new(TEAMS[usize::from(*team)]);
                vec![Record::JobSubmitted {
                    team,
                    idempotency_key: format_smolstr!("{}", self.submitted),
                    spec,
                }]
            }
        }
    }

    fn job_ended(&self, pick: u8, how: u8) -> Vec<Record> {
        let Some(attempt) = self.placed(pick) else { return Vec::new() };
        let lead_incarnation = self.lead_incarnation(attempt);
        let worker = self.state.placement(attempt).unwrap().lead();
        let end = match how {
            0 => AttemptEnd::Completed { answer: Answer::new(vec![1]) },
            1 => AttemptEnd::Failed { worker, reason: SmolStr::new("broken") },
            2 => AttemptEnd::Lapsed { worker },
            _ => AttemptEnd::Stopped { progress_permille: 500 },
        };
        vec![Record::JobEnded { attempt, lead_incarnation, end }]
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.state.invariant_violations(), Vec::new());
        for (key, job) in &self.state.jobs {
            let starts = self.started.get(key).copied().unwrap_or_default();
            if !job.spec.repeatable {
                prop_assert!(starts <= 1, "job {key} started {starts} times");
            }
            if matches!(job.outcome(), Some(JobOutcome::NotRun { .. })) && !job.spec.repeatable {
                prop_assert_eq!(starts, 0, "job {} is reported as not run", key);
            }
        }
        let known = self.state.pending.len() + self.state.placed.len();
        let ended = self.state.jobs.values().filter(|job| job.outcome().is_some()).count();
        prop_assert_eq!(known + ended, self.state.jobs.len(), "no accepted job is lost");
        Ok(())
    }
}

fn check_history(steps: &[Step], policy: Box<dyn PlacementPolicy>) -> Result<(), TestCaseError> {
    let mut history = History::new(policy);
    history.check()?;
    for step in steps {
        history.step(step);
        history.check()?;
    }
    check_replicas(&history)
}

/// A replica that is restored from a snapshot half-way, and one that gets duplicates of batches,
/// agree with the first.
fn check_replicas(history: &History) -> Result<(), TestCaseError> {
    let digest = history.state.digest().unwrap();
    let half = history.batches.len() / 2;
    let mut restored = State::default();
    let mut repeated = State::default();
    for (offset, batch) in (0..).zip(&history.batches) {
        if offset == half as u64 {
            restored = codec::decode(&codec::encode(&restored).unwrap()).unwrap();
        }
        restored.apply(offset, batch);
        repeated.apply(offset, batch);
        repeated.apply(offset, &history.batches[offset as usize / 2]);
    }
    prop_assert_eq!(restored.digest().unwrap(), digest);
    prop_assert_eq!(repeated.digest().unwrap(), digest);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_the_guaranteed_policy(steps in steps()) {
        check_history(&steps, Box::new(Guaranteed::new(PolicyWeights::COMPLETION)))?;
    }

    #[test]
    fn invariants_hold_under_first_fit(steps in steps()) {
        check_history(&steps, Box::new(FirstFit))?;
    }
}
