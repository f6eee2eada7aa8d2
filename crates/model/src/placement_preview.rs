//! Explanation of where a job would go that has not been submitted.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Outcome of a submission, as far as it can be told now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PreviewOutcome {
    /// Its first tasks would start at once.
    Starts,
    /// It would be accepted and wait.
    Waits,
    /// It would be rejected.
    Rejected,
    /// It is invalid, or no worker could ever run it.
    Impossible,
}

/// Where tasks of the job would be placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviewPlacement {
    /// Name of the worker.
    pub worker: SmolStr,
    /// Number of tasks.
    pub tasks: u32,
}

/// Workers that can't take a task of the job now, for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviewExclusion {
    /// The rule, such as `it is draining`.
    pub reason: SmolStr,
    /// Number of workers that it excludes.
    pub workers: u32,
    /// Names of some of them, in order.
    pub examples: Vec<SmolStr>,
}

/// A running task that would be stopped for the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviewPreemption {
    /// The job that loses it.
    pub job: SmolStr,
    /// Number of its tasks that would be stopped.
    pub tasks: u32,
}

/// Explanation of where a job would go, made from the state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPreview {
    /// Process that was asked.
    pub instance: SmolStr,
    /// Age of its state, in ms; absent if it has not read the log yet.
    pub state_age_ms: Option<u64>,
    /// What would become of the job.
    pub outcome: PreviewOutcome,
    /// Why.
    pub reason: SmolStr,
    /// Placements of the job's first tasks.
    pub placements: Vec<PreviewPlacement>,
    /// Running tasks that would be stopped for it.
    pub preemptions: Vec<PreviewPreemption>,
    /// Workers that can't take a task of it now.
    pub exclusions: Vec<PreviewExclusion>,
    /// Steps or jobs for the same workers that wait and would be looked at before it.
    pub waiting_before: u32,
    /// Expected time until its first task starts, in ms; absent where no forecast exists.
    pub expected_wait_ms: Option<u64>,
    /// `Retry-After` of a rejection, in s.
    pub retry_after_s: Option<u64>,
}
