//! Capacity that is freed for a job by preemption and kept for it until it is placed.

use std::collections::BTreeMap;

use cuminbarrow_ledger::state::State;
use cuminbarrow_ledger::worker_state::WorkerState;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;

use crate::plan_round::members_within;
use crate::room_overlay::RoomOverlay;

/// Maximum age of a claim, in ms: the grace period of a stop plus the lease of a gang.
const CLAIM_MS: u64 = 30_000;

/// Capacity kept for one job.
#[derive(Clone, Debug)]
pub(crate) struct RoomClaim {
    pub(crate) members: Vec<Member>,
    pub(crate) until_ms: u64,
    /// Reservation of the job's team that is being reclaimed, if any.
    pub(crate) reservation: Option<ReservationKey>,
}

impl RoomClaim {
    /// Whether all workers still accept reservations and the reservation is still held on them.
    fn is_held(&self, state: &State) -> bool {
        let is_open = |member: &Member| {
            state.worker(member.worker).is_some_and(WorkerState::takes_reservations)
        };
        let reserved = self.reservation.map(|key| state.reservations.get(&key));
        let is_there = |member: &Member| match reserved {
            None => true,
            Some(held) => held
                .and_then(|held| held.members.as_ref())
                .is_some_and(|places| places.iter().any(|place| place.worker == member.worker)),
        };
        self.members.iter().all(|member| is_open(member) && is_there(member))
    }
}

/// Capacity claims by job.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    claims: BTreeMap<JobKey, RoomClaim>,
}

impl ClaimTable {
    /// Removes claims that expired, whose job is no longer pending, or whose capacity is no longer
    /// available.
    pub(crate) fn expire(&mut self, state: &State, now_ms: u64) {
        self.claims.retain(|job, claim| {
            claim.until_ms > now_ms && state.pending.contains(job) && claim.is_held(state)
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
            let is_kept = |claim: &RoomClaim| {
                claim.reservation.is_some() || !is_shared(&claim.members, &members)
            };
            self.claims.retain(|_, claim| is_kept(claim));
        }
        let until_ms = now_ms + CLAIM_MS;
        self.claims.insert(job, RoomClaim { members, until_ms, reservation });
    }

    /// Adds claims for the reclaims that an earlier planner started.
    pub(crate) fn adopt_reclaims(&mut self, state: &State, now_ms: u64) {
        for (key, held) in &state.reservations {
            let job = held.reclaim_for.and_then(|job| Some((job, state.jobs.get(&job)?)));
            let (Some((job, known)), Some(place)) = (job, &held.members) else { continue };
            if let Some(members) = members_within(place, &known.spec.shape) {
                self.insert(job, members, Some(*key), now_ms);
            }
        }
    }

    /// Reservations claimed by jobs other than `own`.
    pub(crate) fn other_reservations(&self, own: Option<JobKey>) -> Vec<ReservationKey> {
        let others = self.claims.iter().filter(|(key, _)| Some(**key) != own);
        others.filter_map(|(_, claim)| claim.reservation).collect()
    }

    pub(crate) fn get(&self, job: JobKey) -> Option<&RoomClaim> {
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
    pub(crate) fn take_others(
        &self,
        state: &State,
        own: Option<JobKey>,
        overlay: &mut RoomOverlay,
    ) {
        for (key, claim) in self.claims.iter().filter(|(key, _)| Some(**key) != own) {
            if let Some(job) = state.jobs.get(key) {
                overlay.take(&claim.members, &job.spec.shape.per_member);
            }
        }
    }
}

/// Whether two sets of members share a worker.
fn is_shared(left: &[Member], right: &[Member]) -> bool {
    left.iter().any(|member| right.iter().any(|other| other.worker == member.worker))
}
