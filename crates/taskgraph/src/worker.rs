//! Workers as the log knows them.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;

/// Key of one incarnation of a worker, handed out in log order and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerKey(pub u32);

impl fmt::Display for WorkerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "w{}", self.0)
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub name: SmolStr,
    /// Start of this incarnation, in ms since the Unix epoch.
    pub started_ms: u64,
    /// Instance on which it stands.
    pub instance: SmolStr,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Rack; empty where it has none.
    pub rack: SmolStr,
    /// Labels, the rack among them.
    pub labels: Vec<SmolStr>,
    /// What it has for tasks.
    pub resources: ResourceAmounts,
}

impl WorkerSpec {
    /// Whether both are the same incarnation of the same worker.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.name == other.name
            && self.started_ms == other.started_ms
            && self.instance == other.instance
    }
}

/// Why a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// Its job was cancelled.
    Cancelled,
    /// Its job failed by another task.
    JobFailed,
    /// Another member of its gang ended.
    GangBroken,
    /// Another copy of the task is done.
    Superseded,
    /// Its place is wanted for a job that goes before it.
    Reclaimed,
    /// Its worker is leaving.
    Draining,
    /// It makes no progress.
    Stalled,
    /// Its worker is slow, and it ends sooner elsewhere.
    Slow,
    /// Its worker began anew.
    WorkerReplaced,
}

/// A run that holds room on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRun {
    /// Room held.
    pub resources: ResourceAmounts,
    /// When it was placed, in ms since the Unix epoch.
    pub placed_ms: u64,
    /// Set while it is to be stopped.
    pub stop_cause: Option<StopCause>,
}

/// Whether a worker can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerStatus {
    /// It takes tasks.
    #[default]
    Ready,
    /// It takes no new tasks and leaves.
    Draining {
        /// When it may be gone, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// Its agent is not heard from. Its leases may still run.
    Suspected {
        /// Offset of the suspicion.
        since_offset: u64,
    },
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// What it said of itself.
    pub spec: WorkerSpec,
    /// Incarnation of its agent.
    pub agent: u64,
    /// Fencing token of that agent; rises with each registration.
    pub fencing_token: u64,
    /// Whether it can be used.
    pub status: WorkerStatus,
    /// Runs that hold room.
    pub runs: BTreeMap<RunKey, HeldRun>,
    /// Sum of the room held.
    pub used: ResourceAmounts,
    /// Failed runs in a row, with none done between them.
    pub consecutive_failures: u32,
    /// When a run failed last, in ms since the Unix epoch.
    pub last_failure_ms: u64,
}

impl WorkerState {
    /// Room that no run holds.
    pub fn free(&self) -> ResourceAmounts {
        self.spec.resources.minus(&self.used)
    }

    /// Whether new tasks may be placed on it.
    pub fn is_ready(&self) -> bool {
        self.status == WorkerStatus::Ready
    }

    /// Whether its agent is not heard from.
    pub fn is_suspected(&self) -> bool {
        matches!(self.status, WorkerStatus::Suspected { .. })
    }

    /// Whether it has a label; an empty one is had by all.
    pub fn has_label(&self, label: Option<&SmolStr>) -> bool {
        label.is_none_or(|label| self.spec.labels.contains(label))
    }

    pub(crate) fn hold(&mut self, run: RunKey, held: HeldRun) {
        self.used = self.used.plus(&held.resources);
        self.runs.insert(run, held);
    }

    pub(crate) fn release(&mut self, run: RunKey) -> Option<HeldRun> {
        let held = self.runs.remove(&run)?;
        self.used = self.used.minus(&held.resources);
        Some(held)
    }

    /// Takes over the runs of the incarnation before this one, all of which are to stop.
    pub(crate) fn inherit(&mut self, earlier: Self) {
        self.used = self.used.plus(&earlier.used);
        for (run, held) in earlier.runs {
            let stop_cause = held.stop_cause.or(Some(StopCause::WorkerReplaced));
            self.runs.insert(run, HeldRun { stop_cause, ..held });
        }
    }

    /// Asks a run to stop; the first cause stands.
    pub(crate) fn request_stop(&mut self, run: RunKey, cause: StopCause) {
        if let Some(held) = self.runs.get_mut(&run) {
            held.stop_cause.get_or_insert(cause);
        }
    }
}
