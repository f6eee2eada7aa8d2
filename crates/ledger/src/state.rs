//! The replicated state and its lookups.

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

/// Maximum number of pending jobs.
pub const MAX_PENDING_JOBS: usize = 6_000;
/// Maximum number of ended jobs whose answers are retained.
pub const MAX_RETAINED_ANSWERS: usize = 1_000;
/// Maximum number of ended jobs that are retained at all.
pub const MAX_RETAINED_JOBS: usize = 20_000;
/// A writer is removed after this many batches without one of its own.
pub(crate) const WRITER_RETENTION_BATCHES: u64 = 100_000;

/// Last applied batch of a writer, which tells whether a further batch is a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterState {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Offset of the batch.
    pub offset: u64,
}

/// State of the planner role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerState {
    /// Current epoch; 0 before the first claim.
    pub epoch: u64,
    /// Entry instance that holds the role, if any.
    pub instance: Option<u64>,
}

/// A serving entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Region of the instance.
    pub region: SmolStr,
    /// Address at which agents and other entries connect to it.
    pub address: SocketAddr,
}

/// A team that the current or an earlier sheet names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamState {
    /// Specification in the last sheet that named it; without guarantees while it is inactive.
    pub spec: TeamSpec,
    /// Whether the current sheet names it.
    pub is_active: bool,
    /// Number of its pending jobs.
    pub pending: u32,
    /// Run time estimates for its jobs, by kind.
    pub estimates: [RunEstimate; JOB_KINDS],
    /// Accelerator time that it used, lent and borrowed, and counts of its jobs.
    pub usage: UsageAccount,
}

/// Identity of the current sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetState {
    /// Version; 0 before the first sheet.
    pub version: u64,
    /// Operator who applied it.
    pub author: SmolStr,
    /// Time at which it was applied, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Digest of its content.
    pub content_digest: Option<Digest>,
}

/// One change of the sheet, for the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that the change created.
    pub version: u64,
    /// Version that it was based on.
    pub base: u64,
    /// Operator who applied it.
    pub author: SmolStr,
    /// Time at which it was applied, in ms since the Unix epoch.
    pub at_ms: u64,
}

/// The state that results from all batches applied so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next batch.
    pub offset: u64,
    /// Latest wall clock in any applied batch, in ms since the Unix epoch.
    pub clock_ms: u64,
    /// State of the planner role.
    pub planner: PlannerState,
    /// The current sheet.
    pub sheet: SheetState,
    /// Changes of the sheet, oldest first.
    pub audit: VecDeque<AuditEntry>,
    /// Periodic samples of the free accelerators, oldest first.
    pub capacity_samples: VecDeque<CapacitySample>,
    /// Serving entries, by instance.
    pub entries: BTreeMap<u64, EntryState>,
    /// Teams, by key.
    pub teams: Vec<TeamState>,
    /// Workers, by key.
    pub workers: Vec<WorkerState>,
    /// Racks, by key.
    pub racks: Vec<RackState>,
    /// Jobs, including the ended ones that are retained.
    pub jobs: BTreeMap<JobKey, JobState>,
    /// Jobs that wait to be placed.
    pub pending: BTreeSet<JobKey>,
    /// Jobs that have a placement.
    pub placed: BTreeSet<JobKey>,
    /// Reservations of the guaranteed shapes.
    pub reservations: BTreeMap<ReservationKey, Reservation>,
    /// Last applied batch of each recent writer, by incarnation.
    pub(crate) writers: BTreeMap<u64, WriterState>,
    /// Ended jobs that are retained, oldest first.
    pub(crate) ended_jobs: VecDeque<JobKey>,
    /// Jobs by team and idempotency key.
    pub(crate) job_keys: BTreeMap<TeamKey, BTreeMap<SmolStr, JobKey>>,
    /// Workers by name.
    pub(crate) worker_keys: BTreeMap<SmolStr, WorkerKey>,
    /// Racks by location.
    pub(crate) rack_keys: BTreeMap<Location, RackKey>,
    /// Locations of the data centres, by key; the rack is empty.
    pub(crate) data_centres: Vec<Location>,
    /// Number of the last job key that was assigned.
    pub(crate) last_job: u32,
    /// Number of the last reservation key that was assigned.
    pub(crate) last_reservation: u16,
}

impl State {
    /// Looks up a worker.
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

    /// Looks up the key of a worker by name.
    pub fn worker_key(&self, name: &str) -> Option<WorkerKey> {
        self.worker_keys.get(name).copied()
    }

    /// Looks up a team.
    pub fn team(&self, key: TeamKey) -> Option<&TeamState> {
        self.teams.get(usize::from(key.0))
    }

    /// Name of a team; empty when the team is unknown.
    pub fn team_name(&self, key: TeamKey) -> SmolStr {
        self.team(key).map(|team| team.spec.name.clone()).unwrap_or_default()
    }

    /// Looks up the key of a team by name.
    pub fn team_key(&self, name: &str) -> Option<TeamKey> {
        let index = self.teams.iter().position(|team| team.spec.name == name)?;
        u16::try_from(index).ok().map(TeamKey)
    }

    /// Looks up the key of a job by its team and idempotency key.
    pub fn job_key(&self, team: TeamKey, idempotency_key: &str) -> Option<JobKey> {
        self.job_keys.get(&team)?.get(idempotency_key).copied()
    }

    /// Placement of an attempt, if it is the current attempt of its job.
    pub fn placement(&self, attempt: AttemptKey) -> Option<&Placement> {
        self.jobs.get(&attempt.job)?.placement_of(attempt)
    }

    /// Number of accelerators of all registered workers.
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
