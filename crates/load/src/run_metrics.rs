//! Counters of a simulation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;

/// Counters of a simulation. Times in accelerator-ms and μs are sums.
#[derive(Default)]
pub(crate) struct RunMetrics {
    pub(crate) fragmented_accelerator_ms: u64,
    pub(crate) used_accelerator_ms: u64,
    /// Time of the first start of each job, in ms.
    pub(crate) starts: BTreeMap<JobKey, u64>,
    /// Attempts that have started.
    pub(crate) runs: BTreeSet<AttemptKey>,
    /// Pending reclaims, by the job that they are for.
    pub(crate) reclaims: BTreeMap<JobKey, PendingReclaim>,
    pub(crate) reclaims_voided: u64,
    /// Durations of the reclaims whose job has started, in s.
    pub(crate) reclaim_s: Vec<f64>,
    /// Accelerator time of stopped attempts of jobs without checkpoints.
    pub(crate) lost_accelerator_ms: u64,
    /// Invariant violations of the state, and second starts of jobs that are not repeatable.
    pub(crate) violations: u64,
    pub(crate) decisions: u64,
    pub(crate) preemptions: usize,
    pub(crate) planning_us: f64,
    pub(crate) idle_planning_us: f64,
    pub(crate) idle_rounds: u64,
    pub(crate) round_max_us: f64,
}

/// A reclaim of guaranteed resources whose job has not started yet.
pub(crate) struct PendingReclaim {
    /// Time of the decision to reclaim.
    pub(crate) since_ms: u64,
    pub(crate) reservation: ReservationKey,
}

impl RunMetrics {
    /// Drops reclaims whose reservation no longer has members, as after the loss of a worker. The
    /// deployment then reports the guarantee as not held.
    pub(crate) fn drop_voided_reclaims(&mut self, state: &State) {
        let before = self.reclaims.len();
        self.reclaims.retain(|_, reclaim| {
            let held = state.reservations.get(&reclaim.reservation);
            held.is_some_and(|held| held.members.is_some())
        });
        self.reclaims_voided += (before - self.reclaims.len()) as u64;
    }
}
