//! Switches of the planner's decisions under load. Each is off by default.

use serde::Deserialize;
use serde::Serialize;

/// Which decisions under load a deployment uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlanningOptions {
    /// Whether earlier preemptions count in the choice of runs to preempt.
    pub preemption_history: bool,
    /// Whether waiting steps of one priority are ordered by what their waiting costs callers.
    pub cost_order: bool,
    /// Whether teams below their share of a service precede those above it.
    pub team_shares: bool,
    /// Whether learned speeds of instances count in the choice of workers.
    pub speed_profiles: bool,
    /// Whether jobs that can't be done in useful time are rejected on submission.
    pub admission: bool,
    /// Whether workers are on probation after a quarantine until a run has completed there.
    pub probation: bool,
    /// Whether a worker's own reports of its health count beside its failed runs.
    pub worker_health: bool,
    /// Whether tasks are placed where the shapes of other work lose the least capacity.
    pub shape_packing: bool,
    /// Whether workers are reserved for waiting tasks that need a whole one.
    pub wide_reserve: bool,
}
