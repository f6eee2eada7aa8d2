//! JSON types of request and response bodies of the HTTP API.

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

/// Body of a job submission. Its key is in the header `Idempotency-Key`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Team that owns the job.
    pub team: SmolStr,
    /// Specification of the job.
    pub job: JobSpec,
}

/// Body of a request to apply or preview a sheet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBody {
    /// The sheet.
    pub sheet: Sheet,
    /// Whether the sheet may remove more teams and guarantees than `max_removed_permille` allows.
    #[serde(default)]
    pub allow_removals: bool,
}

/// The active sheet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetView {
    /// Version of the sheet.
    pub version: u64,
    /// Name of the token that applied it.
    pub author: SmolStr,
    /// Teams that the sheet defines.
    pub teams: Vec<TeamSpec>,
}

impl SheetView {
    /// Builds the view from the state.
    pub fn new(state: &State) -> Self {
        let teams = state.teams.iter().filter(|team| team.is_active);
        Self {
            version: state.sheet.version,
            author: state.sheet.author.clone(),
            teams: teams.map(|team| team.spec.clone()).collect(),
        }
    }
}

/// Phase in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseName {
    /// The job ended successfully, with an answer.
    Completed,
    /// The job ended with a failure.
    Failed,
    /// The job ended without a result after it had started, so it may have had effects.
    MayHaveRun,
    /// The job ended before it started.
    NotRun,
    /// The job waits for placement.
    Pending,
    /// The job is placed but has not started.
    Placed,
    /// The job is running.
    Running,
    /// The job was asked to stop.
    Stopping,
}

/// One member of a placed job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Worker's name.
    pub worker: SmolStr,
    /// Indices of the accelerators that the member uses.
    pub accelerators: Vec<u8>,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    /// Key of the job in the log.
    pub job: JobKey,
    /// Team that owns the job.
    pub team: SmolStr,
    /// Idempotency key.
    pub key: SmolStr,
    /// Current phase.
    pub phase: PhaseName,
    /// Number of attempts so far.
    pub attempts: u16,
    /// Share of the work saved by the latest checkpoint, in thousandths.
    pub progress_permille: u16,
    /// Members of the gang; empty unless the job is placed.
    pub members: Vec<MemberView>,
    /// Why the job ended, if it did not complete.
    pub reason: Option<SmolStr>,
    /// SHA-256 digest of the answer, in hexadecimal digits.
    pub answer_sha256: Option<String>,
    /// Whether the answer is still stored.
    pub has_answer: bool,
    /// Time of submission, in ms since the Unix epoch.
    pub submitted_ms: u64,
}

impl JobView {
    /// Builds the view of a job from the state.
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

    /// Whether the job has ended.
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

/// State of a worker.
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
    /// Whether the worker accepts work.
    pub status: WorkerStatus,
    /// Whether it is quarantined after failures of several jobs.
    pub is_quarantined: bool,
    /// Total resources.
    pub capacity: Resources,
    /// Resources used by placed attempts.
    pub used: Resources,
}

/// Reservation for a guaranteed shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationView {
    /// Name of the guarantee in the sheet.
    pub guarantee: SmolStr,
    /// Guaranteed shape.
    pub shape: Shape,
    /// Whether resources on specific workers are reserved for it.
    pub is_held: bool,
    /// Whether a job of the team currently uses it.
    pub is_used: bool,
}

/// State of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamView {
    /// Name.
    pub name: SmolStr,
    /// Whether the active sheet contains the team.
    pub is_active: bool,
    /// Number of its jobs that wait for placement.
    pub pending: u32,
    /// Reservations for its guarantees.
    pub reservations: Vec<ReservationView>,
}

/// State of the deployment, as the responding entry has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusView {
    /// Instance of the responding entry.
    pub instance: u64,
    /// Offset of the next log batch that it will apply.
    pub offset: u64,
    /// Whether the log is available and the entry has applied all of it.
    pub is_current: bool,
    /// Version of the active sheet.
    pub sheet_version: u64,
    /// Current planner epoch.
    pub planner_epoch: u64,
    /// Instance that holds the planner role.
    pub planner: Option<u64>,
    /// Number of registered entries.
    pub entries: usize,
    /// Number of workers that accept work.
    pub workers_up: usize,
    /// Number of workers, including lost ones and those that left.
    pub workers: usize,
    /// Number of jobs that wait for placement.
    pub pending: usize,
    /// Number of placed jobs.
    pub placed: usize,
    /// Guarantees without reserved resources on specific workers, as `team/guarantee`.
    pub unheld_guarantees: Vec<SmolStr>,
}

/// Log progress of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceView {
    /// Instance of the entry.
    pub instance: u64,
    /// Region of the entry.
    pub region: SmolStr,
    /// Address for links from agents and other entries.
    pub address: SocketAddr,
    /// Whether the log is available and the entry has applied all of it.
    pub is_current: bool,
    /// Offset of the next batch to apply; `None` if the entry did not respond.
    pub offset: Option<u64>,
    /// Number of batches by which it lags behind the most advanced entry.
    pub behind: Option<u64>,
    /// Version of the sheet that is active in its state.
    pub sheet_version: Option<u64>,
}

/// A team's accelerator use since a sheet first contained the team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamReport {
    /// Name of the team.
    pub team: SmolStr,
    /// Accelerators in its guaranteed shapes.
    pub promised: u32,
    /// Accelerators that its placed jobs hold now.
    pub holding: u32,
    /// Accelerator-hours that its jobs used, including current placements.
    pub used_hours: f64,
    /// Part of `used_hours` on other teams' reservations, counting finished attempts only.
    pub borrowed_hours: f64,
    /// Accelerator-hours that other teams' finished attempts used on its reservations.
    pub lent_hours: f64,
    /// Number of times that one of its reservations was reclaimed.
    pub reclaims: u32,
    /// Number of its attempts that were preempted by other jobs.
    pub preempted: u32,
    /// Number of completed jobs.
    pub completed: u32,
    /// Number of jobs that completed after their deadline.
    pub late: u32,
    /// Number of jobs that ended without completing.
    pub not_completed: u32,
}

/// Accelerator use by team, and utilization and fragmentation over time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportView {
    /// Latest time in the log, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Teams in the active sheet.
    pub teams: Vec<TeamReport>,
    /// Used, free and fragmented accelerators over time, oldest sample first.
    pub samples: Vec<CapacitySample>,
}

/// A finished attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PastAttemptView {
    /// Attempt number.
    pub attempt: u16,
    /// Worker whose agent led the gang.
    pub lead: SmolStr,
    /// Whether the attempt had started.
    pub was_started: bool,
    /// How the attempt ended.
    pub reason: SmolStr,
    /// When it ended, in ms since the Unix epoch.
    pub at_ms: u64,
}

/// Whether a worker could run a member of a waiting job now, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CandidateView {
    /// Name of the worker.
    pub worker: SmolStr,
    /// Why it can't run a member; starts with "has room" if it can.
    pub reason: SmolStr,
}

/// Explanation of a job's scheduling state.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainView {
    /// State of the job.
    pub job: JobView,
    /// Position among the waiting jobs, counted from 1.
    pub queue_position: Option<usize>,
    /// Why it waits, or what the next planning round would do with it.
    pub explanation: String,
    /// Shape of the gang.
    pub shape: SmolStr,
    /// Guarantee whose reservation the job uses.
    pub reservation: Option<SmolStr>,
    /// Workers on which the job failed.
    pub failed_workers: Vec<SmolStr>,
    /// Most recent finished attempts.
    pub past: Vec<PastAttemptView>,
    /// For a waiting job, whether each worker could run one member.
    pub candidates: Vec<CandidateView>,
}
