//! What callers and operators send and get, in JSON.

use std::net::SocketAddr;

use cuminbarrow_ledger::capacity_sample::CapacitySample;
use cuminbarrow_ledger::job_state::JobPhase;
use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State;
use cuminbarrow_ledger::worker_state::WorkerStatus;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::TeamSpec;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A submission. The header `Idempotency-Key` carries its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Owner.
    pub team: SmolStr,
    /// What to run.
    pub job: JobSpec,
}

/// A sheet to apply.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBody {
    /// The sheet.
    pub sheet: Sheet,
    /// Whether it may remove any share of teams and guarantees.
    #[serde(default)]
    pub allow_removals: bool,
}

/// A sheet in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetView {
    /// Version in force.
    pub version: u64,
    /// Who applied it.
    pub author: SmolStr,
    /// Its teams.
    pub teams: Vec<TeamSpec>,
}

impl SheetView {
    /// The sheet in force.
    pub fn new(state: &State) -> Self {
        let teams = state.teams.iter().filter(|team| team.is_active);
        Self {
            version: state.sheet.version,
            author: state.sheet.author.clone(),
            teams: teams.map(|team| team.spec.clone()).collect(),
        }
    }
}

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseName {
    /// It ended and its answer is whole.
    Completed,
    /// It ended as failing.
    Failed,
    /// It ended after its start and may have had effects.
    MayHaveRun,
    /// It ended before its start.
    NotRun,
    /// It waits to be placed.
    Pending,
    /// It is placed and has not started.
    Placed,
    /// It runs.
    Running,
    /// It was asked to stop.
    Stopping,
}

/// One member of a placed job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Worker's name.
    pub worker: SmolStr,
    /// Accelerator indices.
    pub accelerators: Vec<u8>,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    /// Key in the log.
    pub job: JobKey,
    /// Owner.
    pub team: SmolStr,
    /// Idempotency key.
    pub key: SmolStr,
    /// Where it is.
    pub phase: PhaseName,
    /// Attempts so far.
    pub attempts: u16,
    /// Share of the work that a checkpoint keeps, in thousandths.
    pub progress_permille: u16,
    /// Its members while placed.
    pub members: Vec<MemberView>,
    /// Why it ended, where it did not complete.
    pub reason: Option<SmolStr>,
    /// Digest of the answer, in hexadecimal digits.
    pub answer_sha256: Option<String>,
    /// Whether the answer is kept still.
    pub has_answer: bool,
    /// When it was accepted, in ms since the Unix epoch.
    pub submitted_ms: u64,
}

impl JobView {
    /// The view of a job.
    pub fn new(state: &State, key: JobKey, job: &JobState) -> Self {
        let (answer_sha256, has_answer) = match job.outcome() {
            Some(JobOutcome::Completed { answer }) => {
                (Some(answer.digest.to_string()), answer.matches_digest())
            }
            None | Some(_) => (None, false),
        };
        Self {
            job: key,
            team: state.team_name(job.team),
            key: job.idempotency_key.clone(),
            phase: phase_name(job),
            attempts: job.attempts,
            progress_permille: job.progress_permille,
            members: member_views(state, job),
            reason: job.outcome().and_then(JobOutcome::reason).cloned(),
            answer_sha256,
            has_answer,
            submitted_ms: job.submitted_ms,
        }
    }

    /// Whether the job ended.
    pub fn is_ended(&self) -> bool {
        match self.phase {
            PhaseName::Completed
            | PhaseName::Failed
            | PhaseName::MayHaveRun
            | PhaseName::NotRun => true,
            PhaseName::Pending | PhaseName::Placed | PhaseName::Running | PhaseName::Stopping => {
                false
            }
        }
    }
}

fn phase_name(job: &JobState) -> PhaseName {
    match &job.phase {
        JobPhase::Ended { outcome, .. } => match outcome {
            JobOutcome::Completed { .. } => PhaseName::Completed,
            JobOutcome::Failed { .. } => PhaseName::Failed,
            JobOutcome::MayHaveRun { .. } => PhaseName::MayHaveRun,
            JobOutcome::NotRun { .. } => PhaseName::NotRun,
        },
        JobPhase::Pending => PhaseName::Pending,
        JobPhase::Placed(placement) if placement.stop.is_some() => PhaseName::Stopping,
        JobPhase::Placed(placement) if placement.is_started() => PhaseName::Running,
        JobPhase::Placed(_) => PhaseName::Placed,
    }
}

fn member_views(state: &State, job: &JobState) -> Vec<MemberView> {
    let members = job.placement().map(|placement| placement.members.as_slice());
    let members = members.unwrap_or_default().iter();
    members
        .map(|member| MemberView {
            worker: state
                .worker(member.worker)
                .map(|worker| worker.spec.name.clone())
                .unwrap_or_default(),
            accelerators: (0..32).filter(|bit| member.accelerators.0 >> bit & 1 == 1).collect(),
        })
        .collect()
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerView {
    /// Name.
    pub name: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Rack.
    pub rack: SmolStr,
    /// Whether it takes work.
    pub status: WorkerStatus,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// What it has.
    pub capacity: Resources,
    /// What is in use.
    pub used: Resources,
}

/// A guaranteed shape as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationView {
    /// Name in the sheet.
    pub guarantee: SmolStr,
    /// The shape.
    pub shape: Shape,
    /// Whether a place is held for it.
    pub is_held: bool,
    /// Whether a job of the team uses it.
    pub is_used: bool,
}

/// A team as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamView {
    /// Name.
    pub name: SmolStr,
    /// Whether the sheet in force names it.
    pub is_active: bool,
    /// Its jobs that wait.
    pub pending: u32,
    /// Its guaranteed shapes.
    pub reservations: Vec<ReservationView>,
}

/// An entry as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusView {
    /// Instance that answers.
    pub instance: u64,
    /// Offset that it has applied.
    pub offset: u64,
    /// Whether it has reached the end of a log that answers.
    pub is_current: bool,
    /// Version of the sheet in force.
    pub sheet_version: u64,
    /// Epoch of the planner.
    pub planner_epoch: u64,
    /// Instance that plans.
    pub planner: Option<u64>,
    /// Entries known.
    pub entries: usize,
    /// Workers that take work.
    pub workers_up: usize,
    /// Workers known.
    pub workers: usize,
    /// Jobs that wait.
    pub pending: usize,
    /// Jobs that are placed.
    pub placed: usize,
    /// Guaranteed shapes for which no place is held, by team and name.
    pub unheld_guarantees: Vec<SmolStr>,
}

/// How far an entry has followed the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceView {
    /// Instance.
    pub instance: u64,
    /// Region that it stands in.
    pub region: SmolStr,
    /// Where agents and other entries reach it.
    pub address: SocketAddr,
    /// Whether it has reached the end of a log that answers.
    pub is_current: bool,
    /// Offset of the next batch to apply; nothing when it did not answer.
    pub offset: Option<u64>,
    /// Batches that it is behind the entry that is furthest.
    pub behind: Option<u64>,
    /// Version of the sheet in force there.
    pub sheet_version: Option<u64>,
}

/// A team's use of accelerators since it was first named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamReport {
    /// Team.
    pub team: SmolStr,
    /// Accelerators of its guaranteed shapes.
    pub promised: u32,
    /// Accelerators that its jobs hold now.
    pub holding: u32,
    /// Accelerator-hours that its jobs held, the running ones included.
    pub used_hours: f64,
    /// Of these, on other teams' reservations, in attempts that are over.
    pub borrowed_hours: f64,
    /// Accelerator-hours that other teams' attempts held on its reservations.
    pub lent_hours: f64,
    /// Times that one of its reservations was reclaimed.
    pub reclaims: u32,
    /// Attempts of its jobs that were stopped for other jobs.
    pub preempted: u32,
    /// Jobs that completed.
    pub completed: u32,
    /// Completed jobs that were late.
    pub late: u32,
    /// Jobs that ended otherwise.
    pub not_completed: u32,
}

/// Use and fragmentation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportView {
    /// Latest clock of the log, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Active teams.
    pub teams: Vec<TeamReport>,
    /// Free accelerators over time, oldest first.
    pub samples: Vec<CapacitySample>,
}

/// A past attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastAttemptView {
    /// Number of the attempt.
    pub attempt: u16,
    /// Worker that led the gang.
    pub lead: SmolStr,
    /// Whether it had started.
    pub was_started: bool,
    /// How it ended.
    pub reason: SmolStr,
    /// When it ended, in ms since the Unix epoch.
    pub at_ms: u64,
}

/// Why a worker can't take a member of a waiting job now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateView {
    /// Worker.
    pub worker: SmolStr,
    /// What stands in the way; "has room" where nothing does.
    pub reason: SmolStr,
}

/// Why a job waits, or runs where it does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainView {
    /// The job.
    pub job: JobView,
    /// Its place among the jobs that wait, from 1.
    pub queue_position: Option<usize>,
    /// Why it waits, or what the next round would do with it.
    pub explanation: String,
    /// Its shape.
    pub shape: SmolStr,
    /// Guarantee whose reservation it uses.
    pub reservation: Option<SmolStr>,
    /// Workers on which it failed.
    pub failed_workers: Vec<SmolStr>,
    /// Attempts that are over, the latest ones.
    pub past: Vec<PastAttemptView>,
    /// For a job that waits, what each worker lacks for one member.
    pub candidates: Vec<CandidateView>,
}
