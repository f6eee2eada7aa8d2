//! What callers and operators send and get, in JSON.

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
                (Some(answer.digest.to_string()), answer.is_whole())
            }
            None | Some(_) => (None, false),
        };
        Self {
            job: key,
            team: state.team_name(job.team),
            key: job.name.clone(),
            phase: phase_name(job),
            attempts: job.attempts,
            progress_permille: job.progress_permille,
            members: member_views(state, job),
            reason: reason(job),
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

fn reason(job: &JobState) -> Option<SmolStr> {
    match job.outcome()? {
        JobOutcome::Completed { .. } => None,
        JobOutcome::Failed { reason }
        | JobOutcome::MayHaveRun { reason }
        | JobOutcome::NotRun { reason } => Some(reason.clone()),
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
