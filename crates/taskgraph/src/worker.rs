//! Workers as recorded in the log, and the runs placed on them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;

/// Key of one incarnation of a worker. Keys are assigned in log order and never reused.
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

/// Description of a worker, as reported by the worker itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub name: SmolStr,
    /// Start time of this incarnation, in ms since the Unix epoch.
    pub started_ms: u64,
    /// Instance that the worker runs on, as given by [`instance_at`].
    pub instance: SmolStr,
    /// Service that the worker belongs to.
    pub service: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Rack of the instance; empty if it has none.
    pub rack: SmolStr,
    /// Labels, including the name of the rack.
    pub labels: Vec<SmolStr>,
    /// Total resources that tasks may use.
    pub resources: ResourceAmounts,
}

/// Identifies the instance of this name whose worker is called at `address`.
///
/// One worker runs at a time on an instance, so the next one there shows what has become of the runs
/// of the one before. A name alone does not tell that: it may come back on another machine while the
/// first one still runs.
pub fn instance_at(name: &str, address: SocketAddr) -> SmolStr {
    format_smolstr!("{name}/{address}")
}

/// Whether `earlier` identifies an instance as earlier versions do, by the name in `instance`.
fn is_name_of(earlier: &str, instance: &str) -> bool {
    instance.split_once('/').is_some_and(|(name, _)| name == earlier)
}

impl WorkerSpec {
    /// Whether both describe the same incarnation of the same worker.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.has_same_start(other) && self.instance == other.instance
    }

    /// Whether both describe the same incarnation of the same worker, and this one was registered by
    /// an earlier version.
    pub fn is_earlier_form_of(&self, other: &Self) -> bool {
        self.has_same_start(other) && is_name_of(&self.instance, &other.instance)
    }

    fn has_same_start(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms == other.started_ms
    }
}

/// Why a run was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The job was cancelled.
    Cancelled,
    /// Another task of the job failed, and the job with it.
    JobFailed,
    /// Another member of the gang ended.
    GangBroken,
    /// Another copy of the task is done.
    Superseded,
    /// The resources are reclaimed for a job that takes precedence.
    Reclaimed,
    /// The worker is draining.
    Draining,
    /// The run makes no progress.
    Stalled,
    /// The worker is slow, and the task would finish sooner elsewhere.
    Slow,
    /// A later incarnation replaced the run's worker.
    WorkerReplaced,
}

/// A run that holds resources on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRun {
    /// Resources that the run holds.
    pub resources: ResourceAmounts,
    /// When the run was placed, in ms since the Unix epoch.
    pub placed_ms: u64,
    /// Why the run was asked to stop, once it was.
    pub stop_cause: Option<StopCause>,
}

/// Whether a worker can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerStatus {
    /// The worker accepts tasks.
    #[default]
    Ready,
    /// The worker accepts no new tasks and is about to leave.
    Draining {
        /// Time from which the worker may be gone, in ms since the Unix epoch.
        until_ms: u64,
    },
    /// The worker's agent has not been heard from. Leases may still be running.
    Suspected {
        /// Offset of the record that suspected the worker.
        since_offset: u64,
    },
}

/// State of one worker incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Latest description of the worker.
    pub spec: WorkerSpec,
    /// Incarnation of the worker's agent.
    pub agent: u64,
    /// Fencing token of that agent; it increases with each registration.
    pub fencing_token: u64,
    /// Whether the worker can be used.
    pub status: WorkerStatus,
    /// Runs that hold resources on the worker.
    pub runs: BTreeMap<RunKey, HeldRun>,
    /// Sum of the resources that runs hold.
    pub used: ResourceAmounts,
    /// Number of failed and stalled runs since the last run that finished.
    pub consecutive_failures: u32,
    /// When a run last failed or stalled, in ms since the Unix epoch.
    pub last_failure_ms: u64,
}

impl WorkerState {
    /// Resources that no run holds.
    pub fn free(&self) -> ResourceAmounts {
        self.spec.resources.minus(&self.used)
    }

    /// Whether new tasks may be placed on the worker.
    pub fn is_ready(&self) -> bool {
        self.status == WorkerStatus::Ready
    }

    /// Whether the worker's agent has not been heard from.
    pub fn is_suspected(&self) -> bool {
        matches!(self.status, WorkerStatus::Suspected { .. })
    }

    /// Whether the worker has `label`; true if no label is required.
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

    /// Takes over the runs of the previous incarnation and requests all of them to stop.
    pub(crate) fn inherit(&mut self, earlier: Self) {
        self.used = self.used.plus(&earlier.used);
        for (run, held) in earlier.runs {
            let stop_cause = held.stop_cause.or(Some(StopCause::WorkerReplaced));
            self.runs.insert(run, HeldRun { stop_cause, ..held });
        }
    }

    /// Requests a run to stop. If it was already requested to stop, the first cause is kept.
    pub(crate) fn request_stop(&mut self, run: RunKey, cause: StopCause) {
        if let Some(held) = self.runs.get_mut(&run) {
            held.stop_cause.get_or_insert(cause);
        }
    }
}
