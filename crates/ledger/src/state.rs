//! The replicated state and what can be asked of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::RackKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_model::topology::Location;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::capacity_sample::CapacitySample;
use crate::codec;
use crate::codec::CodecError;
use crate::job_state::JobState;
use crate::job_state::Placement;
use crate::pack::RackState;
use crate::reservation::Reservation;
use crate::run_estimate::JOB_KINDS;
use crate::run_estimate::RunEstimate;
use crate::usage_account::UsageAccount;
use crate::worker_state::WorkerState;

/// Most jobs that may wait at once.
pub const MAX_PENDING_JOBS: usize = 6_000;
/// Most ended jobs whose answers are kept.
pub const MAX_KEPT_ANSWERS: usize = 1_000;
/// Most ended jobs that are kept at all.
pub const MAX_KEPT_JOBS: usize = 20_000;
/// Writers are forgotten after this many batches without one of theirs.
pub(crate) const WRITER_KEPT_BATCHES: u64 = 100_000;

/// Last batch seen of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterState {
    /// Number of the batch.
    pub sequence: u64,
    /// Its offset.
    pub offset: u64,
}

/// Who plans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerState {
    /// Current epoch; 0 before the first.
    pub epoch: u64,
    /// Instance that holds the role.
    pub instance: Option<u64>,
}

/// An entry instance that serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Region that it stands in.
    pub region: SmolStr,
    /// Where agents and other entries reach it.
    pub address: SocketAddr,
}

/// A team as in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamState {
    /// What the sheet in force says of it.
    pub spec: TeamSpec,
    /// Whether the sheet in force names it.
    pub is_active: bool,
    /// Its jobs that wait.
    pub pending: u32,
    /// How long its jobs of each kind really run.
    pub estimates: [RunEstimate; JOB_KINDS],
    /// What it used, lent and borrowed.
    pub usage: UsageAccount,
}

/// The sheet in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetState {
    /// Version; 0 before the first.
    pub version: u64,
    /// Who applied it.
    pub author: SmolStr,
    /// When, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Digest of its content.
    pub content: Option<Digest>,
}

/// One change of the sheet, for the audit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version put in force.
    pub version: u64,
    /// Version that it was based on.
    pub base: u64,
    /// Who applied it.
    pub author: SmolStr,
    /// When, in ms since the Unix epoch.
    pub at_ms: u64,
}

/// Everything that the log has decided so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next batch.
    pub offset: u64,
    /// Latest wall clock of any writer, in ms since the Unix epoch.
    pub clock_ms: u64,
    /// Who plans.
    pub planner: PlannerState,
    /// The sheet in force.
    pub sheet: SheetState,
    /// Changes of the sheet, oldest first.
    pub audit: VecDeque<AuditEntry>,
    /// Free accelerators over time, oldest first.
    pub capacity_samples: VecDeque<CapacitySample>,
    /// Entries that serve.
    pub entries: BTreeMap<u64, EntryState>,
    /// Teams, by key.
    pub teams: Vec<TeamState>,
    /// Workers, by key.
    pub workers: Vec<WorkerState>,
    /// Racks, by key.
    pub racks: Vec<RackState>,
    /// Jobs.
    pub jobs: BTreeMap<JobKey, JobState>,
    /// Jobs that wait.
    pub pending: BTreeSet<JobKey>,
    /// Jobs that are placed.
    pub placed: BTreeSet<JobKey>,
    /// Guaranteed shapes.
    pub reservations: BTreeMap<ReservationKey, Reservation>,
    pub(crate) writers: BTreeMap<u64, WriterState>,
    pub(crate) ended_jobs: VecDeque<JobKey>,
    pub(crate) job_names: BTreeMap<TeamKey, BTreeMap<SmolStr, JobKey>>,
    pub(crate) worker_names: BTreeMap<SmolStr, WorkerKey>,
    pub(crate) rack_names: BTreeMap<Location, RackKey>,
    pub(crate) data_centre_names: Vec<Location>,
    pub(crate) next_job: u32,
    pub(crate) next_reservation: u16,
}

impl State {
    /// A worker.
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.workers.get(usize::from(key.0))
    }

    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut WorkerState> {
        self.workers.get_mut(usize::from(key.0))
    }

    /// Workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerState)> {
        self.workers
            .iter()
            .enumerate()
            .map(|(index, worker)| (WorkerKey(u16::try_from(index).unwrap_or(u16::MAX)), worker))
    }

    /// Key of a worker by name.
    pub fn worker_key(&self, name: &str) -> Option<WorkerKey> {
        self.worker_names.get(name).copied()
    }

    /// A team.
    pub fn team(&self, key: TeamKey) -> Option<&TeamState> {
        self.teams.get(usize::from(key.0))
    }

    /// Name of a team.
    pub fn team_name(&self, key: TeamKey) -> SmolStr {
        self.team(key).map(|team| team.spec.name.clone()).unwrap_or_default()
    }

    /// Key of a team by name.
    pub fn team_key(&self, name: &str) -> Option<TeamKey> {
        let index = self.teams.iter().position(|team| team.spec.name == name)?;
        u16::try_from(index).ok().map(TeamKey)
    }

    /// Key of a job by its team and idempotency key.
    pub fn job_key(&self, team: TeamKey, idempotency_key: &str) -> Option<JobKey> {
        self.job_names.get(&team)?.get(idempotency_key).copied()
    }

    /// The placement of an attempt, when it is its job's current one.
    pub fn placement(&self, attempt: AttemptKey) -> Option<&Placement> {
        self.jobs.get(&attempt.job)?.placement_of(attempt)
    }

    /// Accelerators of all workers that have not left.
    pub fn registered_accelerators(&self) -> u32 {
        self.workers
            .iter()
            .filter(|worker| worker.is_registered())
            .map(|worker| u32::from(worker.spec.capacity.accelerators))
            .sum()
    }

    /// Digest of the whole state; equal on every replica that applied the same batches.
    ///
    /// # Errors
    /// [`CodecError`] when the state can't be encoded.
    pub fn digest(&self) -> Result<Digest, CodecError> {
        Ok(Digest::of(&codec::encode(self)?))
    }
}
