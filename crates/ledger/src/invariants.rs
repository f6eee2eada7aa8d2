//! Invariants that hold at every offset, checked on the state alone, independently of the code that
//! applies records.

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::resources::Resources;
use snafu::Snafu;

use crate::job_state::JobState;
use crate::state::State;
use crate::worker_state::WorkerState;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvariantViolation {
    /// A placed job does not have all its members.
    #[snafu(display("job {job} is placed without some of its members"))]
    IncompleteGang {
        /// The job.
        job: JobKey,
    },
    /// A reservation is placed on a worker that takes no reservations.
    #[snafu(display(
        "reservation {reservation} is placed on worker {worker}, which takes no reservations"
    ))]
    ReservedOnUnavailableWorker {
        /// The reservation.
        reservation: ReservationKey,
        /// The worker.
        worker: WorkerKey,
    },
    /// Non-preemptible jobs or other reservations block a reservation on the worker.
    #[snafu(display("on worker {worker} a reservation can't be reclaimed"))]
    ReservationNotReclaimable {
        /// The worker.
        worker: WorkerKey,
    },
    /// The usage recorded for a worker exceeds its capacity or differs from that of the placed
    /// jobs.
    #[snafu(display("the recorded usage of worker {worker} does not match its placed jobs"))]
    UsageMismatch {
        /// The worker.
        worker: WorkerKey,
    },
}

impl WorkerState {
    /// Whether every team's reservations on this worker can be satisfied by preempting jobs of
    /// others.
    pub fn can_satisfy_reservations(&self) -> bool {
        let mut committed = Resources::default();
        for commitment in &self.commitments {
            let others = self.commitments.iter().filter(|other| other.team != commitment.team);
            let is_overlapped = others
                .map(|other| other.non_preemptible_accelerators.union(other.reserved_accelerators))
                .any(|taken| !taken.intersection(commitment.reserved_accelerators).is_empty());
            if is_overlapped {
                return false;
            }
            committed = committed.plus(&commitment.committed());
        }
        self.spec.capacity.covers(&committed)
    }
}

impl State {
    /// All invariants that are violated; empty at every offset.
    pub fn invariant_violations(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        self.check_gangs(&mut violations);
        self.check_reservations(&mut violations);
        self.check_workers(&mut violations);
        violations
    }

    fn check_gangs(&self, violations: &mut Vec<InvariantViolation>) {
        for (key, job) in &self.jobs {
            let Some(placement) = job.placement() else { continue };
            if placement.members.len() != usize::from(job.spec.shape.members) {
                violations.push(InvariantViolation::IncompleteGang { job: *key });
            }
        }
    }

    fn check_reservations(&self, violations: &mut Vec<InvariantViolation>) {
        for (key, reservation) in &self.reservations {
            for member in reservation.members.iter().flatten() {
                if !self.worker(member.worker).is_some_and(WorkerState::takes_reservations) {
                    violations.push(InvariantViolation::ReservedOnUnavailableWorker {
                        reservation: *key,
                        worker: member.worker,
                    });
                }
            }
        }
    }

    fn check_workers(&self, violations: &mut Vec<InvariantViolation>) {
        let mut sums = vec![(Resources::default(), AcceleratorSet::EMPTY); self.workers.len()];
        let mut is_overlapped = vec![false; self.workers.len()];
        for job in self.placed.iter().filter_map(|key| self.jobs.get(key)) {
            add_members(job, &mut sums, &mut is_overlapped);
        }
        for (key, worker) in self.workers() {
            let index = usize::from(key.0);
            let (used, accelerators) = sums[index];
            let is_consistent = used == worker.used
                && accelerators == worker.used_accelerators
                && worker.spec.capacity.covers(&used)
                && !is_overlapped[index];
            if !is_consistent {
                violations.push(InvariantViolation::UsageMismatch { worker: key });
            }
            if !worker.can_satisfy_reservations() {
                violations.push(InvariantViolation::ReservationNotReclaimable { worker: key });
            }
        }
    }
}

/// Adds a job's members to the usage of each worker, and marks workers on which two members have
/// the same accelerator.
fn add_members(
    job: &JobState,
    sums: &mut [(Resources, AcceleratorSet)],
    is_overlapped: &mut [bool],
) {
    for member in job.placement().iter().flat_map(|placement| &placement.members) {
        let index = usize::from(member.worker.0);
        let (used, accelerators) = &mut sums[index];
        *used = used.plus(&job.spec.shape.per_member);
        is_overlapped[index] |= !accelerators.intersection(member.accelerators).is_empty();
        *accelerators = accelerators.union(member.accelerators);
    }
}
