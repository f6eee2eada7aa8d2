//! Capacity that is freed for a job by preemption and kept for it until it is placed.

use std::collections::BTreeMap;

use cuminbarrow_ledger::state::State;
use cuminbarrow_ledger::worker_state::WorkerState;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;

use crate::capacity_overlay::CapacityOverlay;
use crate::plan_round::members_within;

/// Maximum age of a claim, in ms: the grace period of a stop plus the lease of a gang.
const CLAIM_TTL_MS: u64 = 30_000;

/// Capacity kept for one job.
#[derive(Clone, Debug)]
pub(crate) struct CapacityClaim {
    pub(crate) members: Vec<Member>,
    pub(crate) expires_ms: u64,
    /// Reservation of the job's team that is being reclaimed, if any.
    pub(crate) reservation: Option<ReservationKey>,
}

impl CapacityClaim {
    /// Whether all workers still accept reservations and the reservation is still held on them.
    fn is_valid(&self, state: &State) -> bool {
        let takes_reservations = |member: &Member| {
            state.worker(member.worker).is_some_and(WorkerState::takes_reservations)
        };
        let current = self.reservation.map(|key| state.reservations.get(&key));
        let is_still_reserved = |member: &Member| match current {
            None => true,
            Some(reservation) => reservation
                .and_then(|reservation| reservation.members.as_ref())
                .is_some_and(|held| held.iter().any(|other| other.worker == member.worker)),
        };
        self.members.iter().all(|member| takes_reservations(member) && is_still_reserved(member))
    }
}

/// Capacity claims by job.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    claims: BTreeMap<JobKey, CapacityClaim>,
}

impl ClaimTable {
    /// Removes claims that expired, whose job is no longer pending, or whose capacity is no longer
    /// available.
    pub(crate) fn expire(&mut self, state: &State, now_ms: u64) {
        self.claims.retain(|job, claim| {
            claim.expires_ms > now_ms && state.pending.contains(job) && claim.is_valid(state)
        });
    }

    /// Adds a claim for a job. A reclaimed reservation has precedence: claims without one that
    /// share a worker with it are removed.
    pub(crate) fn insert(
        &mut self,
        job: JobKey,
        members: Vec<Member>,
        reservation: Option<ReservationKey>,
        now_ms: u64,
    ) {
        if reservation.is_some() {
            let is_retained = |claim: &CapacityClaim| {
                claim.reservation.is_some() || !share_a_worker(&claim.members, &members)
            };
            self.claims.retain(|_, claim| is_retained(claim));
        }
        let expires_ms = now_ms + CLAIM_TTL_MS;
        self.claims.insert(job, CapacityClaim { members, expires_ms, reservation });
    }

    /// Adds claims for the reclaims that an earlier planner started.
    pub(crate) fn adopt_reclaims(&mut self, state: &State, now_ms: u64) {
        for (key, reservation) in &state.reservations {
            let job = reservation.reclaim_for.and_then(|job| Some((job, state.jobs.get(&job)?)));
            let (Some((job, pending)), Some(held)) = (job, &reservation.members) else { continue };
            if let Some(members) = members_within(held, &pending.spec.shape) {
                self.insert(job, members, Some(*key), now_ms);
            }
        }
    }

    /// Reservations claimed by jobs other than `own`.
    pub(crate) fn reservations_of_others(&self, own: Option<JobKey>) -> Vec<ReservationKey> {
        let others = self.claims.iter().filter(|(key, _)| Some(**key) != own);
        others.filter_map(|(_, claim)| claim.reservation).collect()
    }

    pub(crate) fn get(&self, job: JobKey) -> Option<&CapacityClaim> {
        self.claims.get(&job)
    }

    pub(crate) fn remove(&mut self, job: JobKey) {
        self.claims.remove(&job);
    }

    /// Jobs that have a claim.
    pub(crate) fn jobs(&self) -> Vec<JobKey> {
        self.claims.keys().copied().collect()
    }

    /// Marks the capacity of all claims but that of `own` as taken.
    pub(crate) fn occupy_others(
        &self,
        state: &State,
        own: Option<JobKey>,
        overlay: &mut CapacityOverlay,
    ) {
        for (key, claim) in self.claims.iter().filter(|(key, _)| Some(**key) != own) {
            if let Some(job) = state.jobs.get(key) {
                overlay.occupy(&claim.members, &job.spec.shape.per_member);
            }
        }
    }
}

/// Whether two sets of members share a worker.
fn share_a_worker(left: &[Member], right: &[Member]) -> bool {
    left.iter().any(|member| right.iter().any(|other| other.worker == member.worker))
}
