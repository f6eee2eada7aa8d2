//! Searches for placements and preemption victims within one planning round.
//!
//! Jobs are handled one after the other; each sees the capacity that earlier decisions of the
//! round have left.

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::pack::ResourceSet;
use cuminbarrow_ledger::pack::pack;
use cuminbarrow_ledger::reservation::Reservation;
use cuminbarrow_ledger::state::State;
use cuminbarrow_ledger::worker_state::WorkerState;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::shape::Shape;

use crate::placement_policy::Decision;
use crate::placement_policy::PlaceReason;
use crate::room_overlay::RoomOverlay;
use crate::victim_choice::lost_work;
use crate::victim_choice::may_move;
use crate::victim_choice::may_stop;
use crate::victim_choice::victims_for;

/// Time after its retry delay during which a job avoids the workers on which it failed, in ms.
const AVOID_MS: u64 = 120_000;

/// Divisors that limit the candidate victims: they are sorted by the work that is lost, and victims
/// are searched among the first 1/32 of them, then 1/16, and so on up to all.
const LOSS_SHARES: [usize; 5] = [32, 16, 8, 3, 1];

/// Placement found for a job.
pub(crate) struct FoundPlace {
    pub(crate) members: Vec<Member>,
    pub(crate) reservation: Option<ReservationKey>,
    pub(crate) reason: PlaceReason,
}

impl FoundPlace {
    pub(crate) fn decision(self, key: JobKey, job: &JobState) -> Decision {
        Decision::Place {
            attempt: AttemptKey { job: key, attempt: job.attempts + 1 },
            members: self.members,
            reservation: self.reservation,
            reason: self.reason,
        }
    }
}

/// Attempts to preempt for a job, and the members that it can then use.
pub(crate) struct FoundVictims {
    pub(crate) members: Vec<Member>,
    pub(crate) reservation: Option<ReservationKey>,
    pub(crate) victims: Vec<AttemptKey>,
    /// Work lost by stopping the victims, in accelerator-ms.
    pub(crate) lost: u64,
}

/// State of one planning round.
pub(crate) struct PlanRound<'a> {
    pub(crate) state: &'a State,
    pub(crate) now_ms: u64,
    pub(crate) overlay: RoomOverlay,
    /// Reservations that decisions of this round use.
    pub(crate) used: Vec<ReservationKey>,
}

impl<'a> PlanRound<'a> {
    pub(crate) fn new(state: &'a State, now_ms: u64, overlay: RoomOverlay) -> Self {
        Self { state, now_ms, overlay, used: Vec::new() }
    }

    /// Records a placement, so that later searches of the round exclude its capacity.
    pub(crate) fn take(&mut self, place: &FoundPlace, shape: &Shape) {
        self.overlay.take(&place.members, &shape.per_member);
        self.used.extend(place.reservation);
    }

    /// Whether the shape fits into free capacity, reserved or not.
    pub(crate) fn has_room(&self, job: &JobState) -> bool {
        self.pack(job, |worker| worker.free_resources()).is_some()
    }

    /// Finds the best placement on capacity that is free now. A preemptible job uses a reservation
    /// of its own team first only if it fills most of it, then unreserved capacity, then any own
    /// reservation, then reservations lent by other teams.
    pub(crate) fn find_place(&self, key: JobKey, job: &JobState) -> Option<FoundPlace> {
        if !job.is_preemptible() {
            return self.own_reservation(key, job, false).or_else(|| self.firm_place(key, job));
        }
        self.own_reservation(key, job, true)
            .or_else(|| self.unreserved_place(job))
            .or_else(|| self.own_reservation(key, job, false))
            .or_else(|| self.lent_place(job))
    }

    /// Unused reservations of the job's team that cover its shape, smallest first.
    fn idle_reservations(
        &self,
        key: JobKey,
        job: &JobState,
    ) -> Vec<(ReservationKey, &'a Reservation)> {
        let state: &'a State = self.state;
        let mut idle: Vec<_> = state
            .reservations
            .iter()
            .filter(|(reservation_key, reservation)| {
                reservation.team == job.team
                    && reservation.holder.is_none()
                    && reservation.members.is_some()
                    && reservation.reclaim_for.is_none_or(|other| other == key)
                    && !self.used.contains(reservation_key)
                    && reservation.shape.covers(&job.spec.shape)
            })
            .map(|(key, reservation)| (*key, reservation))
            .collect();
        idle.sort_by_key(|(key, reservation)| (reservation.shape.accelerators(), *key));
        idle
    }

    /// Places the job in a reservation of its team whose capacity is free. With `is_tight` only
    /// reservations with at most twice the job's accelerators are used.
    fn own_reservation(&self, key: JobKey, job: &JobState, is_tight: bool) -> Option<FoundPlace> {
        let shape = &job.spec.shape;
        let idle = self.idle_reservations(key, job);
        idle.into_iter()
            .filter(|(_, held)| !is_tight || held.shape.accelerators() <= 2 * shape.accelerators())
            .find_map(|(reservation, held)| {
                let members = members_within(held.members.as_deref()?, shape)?;
                let is_free = self.overlay.are_free(self.state, &members, &shape.per_member);
                is_free.then_some(FoundPlace {
                    members,
                    reservation: Some(reservation),
                    reason: PlaceReason::OwnReservation,
                })
            })
    }

    /// Whether the job failed on the worker recently, so that other workers are tried first.
    fn avoids(&self, job: &JobState, worker: WorkerKey) -> bool {
        self.now_ms < job.not_before_ms + AVOID_MS && job.failed_workers.contains(&worker)
    }

    /// Places non-preemptible work beside all reservations of other teams, or on idle ones that can
    /// be moved elsewhere.
    fn firm_place(&self, key: JobKey, job: &JobState) -> Option<FoundPlace> {
        let beside = self.pack(job, |worker| worker.free_for_non_preemptible(job.team));
        let members = beside.or_else(|| {
            let members = self.pack(job, |worker| worker.free_resources())?;
            self.state.can_place_non_preemptible(key, &members).then_some(members)
        })?;
        let reason = PlaceReason::Unreserved;
        Some(FoundPlace { members, reservation: None, reason })
    }

    fn unreserved_place(&self, job: &JobState) -> Option<FoundPlace> {
        let members = self.pack(job, |worker| worker.unreserved_resources(job.team))?;
        let reason = PlaceReason::Unreserved;
        Some(FoundPlace { members, reservation: None, reason })
    }

    fn lent_place(&self, job: &JobState) -> Option<FoundPlace> {
        let members = self.pack(job, |worker| worker.free_resources())?;
        let reason = PlaceReason::Lent;
        Some(FoundPlace { members, reservation: None, reason })
    }

    /// Packs the job on workers other than those on which it failed recently. A gang falls back to
    /// those workers instead of waiting, because few sets of workers fit it.
    fn pack<O>(&self, job: &JobState, offer: O) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
    {
        let elsewhere = self.pack_where(job, &offer, |key| !self.avoids(job, key));
        let is_gang = job.spec.shape.members > 1 && !job.failed_workers.is_empty();
        elsewhere.or_else(|| is_gang.then(|| self.pack_where(job, &offer, |_| true))?)
    }

    fn pack_where<O, A>(&self, job: &JobState, offer: &O, is_allowed: A) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
        A: Fn(WorkerKey) -> bool,
    {
        pack(&self.state.racks, &job.spec.shape, |key| {
            let worker = self.state.worker(key)?;
            let is_usable =
                worker.is_up() && self.state.quarantine_allows(key, job) && is_allowed(key);
            is_usable.then(|| self.overlay.reduce(key, offer(worker)))
        })
    }

    /// Finds the victims to stop so that the team gets one of its reservations back, with the least
    /// work lost.
    pub(crate) fn find_reclaim(&self, key: JobKey, job: &JobState) -> Option<FoundVictims> {
        let shape = &job.spec.shape;
        let found = self.idle_reservations(key, job).into_iter().filter_map(|(own, held)| {
            let members = members_within(held.members.as_deref()?, shape)?;
            let victims =
                victims_for(self.state, &members, &shape.per_member, self.now_ms, may_stop)?;
            let is_open = self.overlay.leaves_room(self.state, &members, shape, &victims);
            is_open.then(|| self.victims(members, Some(own), victims))
        });
        found.min_by_key(|found| found.lost)
    }

    /// Finds victims on any worker for an urgent job. Urgent work is never stopped; work that loses
    /// little is preferred.
    pub(crate) fn find_urgent_victims(&self, key: JobKey, job: &JobState) -> Option<FoundVictims> {
        self.find_victims(key, job, |placed| may_stop(placed) && !placed.spec.urgent)
    }

    /// Finds victims for a starving large job.
    pub(crate) fn find_moves(&self, key: JobKey, job: &JobState) -> Option<FoundVictims> {
        self.find_victims(key, job, |placed| may_move(placed, job, self.now_ms))
    }

    fn find_victims<P>(&self, key: JobKey, job: &JobState, may_end: P) -> Option<FoundVictims>
    where
        P: Fn(&JobState) -> bool,
    {
        let shape = &job.spec.shape;
        let placed = self.state.placed.iter().filter_map(|key| self.state.jobs.get(key));
        let mut losses: Vec<u64> = placed
            .filter(|placed| may_end(placed))
            .map(|placed| lost_work(placed, self.now_ms))
            .collect();
        losses.sort_unstable();
        for share in LOSS_SHARES {
            let Some(index) = (losses.len() / share).checked_sub(1) else { continue };
            let limit = losses[index];
            let is_cheap =
                |placed: &JobState| may_end(placed) && lost_work(placed, self.now_ms) <= limit;
            let Some(members) = self.members_without(key, job, &is_cheap) else { continue };
            let victims =
                victims_for(self.state, &members, &shape.per_member, self.now_ms, is_cheap)?;
            return Some(self.victims(members, None, victims));
        }
        None
    }

    /// Packs the job as if all work for which `may_end` holds were stopped: first beside the
    /// reservations of other teams, then on idle ones. Non-preemptible work may use those only if
    /// they can be moved elsewhere; preemptible work only if it is urgent or checkpointable.
    fn members_without<P>(&self, key: JobKey, job: &JobState, may_end: &P) -> Option<Vec<Member>>
    where
        P: Fn(&JobState) -> bool,
    {
        let offer = |worker: &WorkerState| self.offer_without(worker, may_end);
        let beside = |worker: &WorkerState| {
            offer(worker).limited_to(&worker.non_preemptible_limit(job.team))
        };
        if let Some(members) = self.pack_trusted(job, beside) {
            return Some(members);
        }
        let members = self.pack_trusted(job, offer)?;
        let is_allowed = if job.is_preemptible() {
            job.spec.checkpointable || job.spec.urgent
        } else {
            self.state.can_place_non_preemptible(key, &members)
        };
        is_allowed.then_some(members)
    }

    fn pack_trusted<O>(&self, job: &JobState, offer: O) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
    {
        pack(&self.state.racks, &job.spec.shape, |key| {
            let worker = self.state.worker(key)?;
            let is_usable = worker.takes_reservations();
            is_usable.then(|| self.overlay.reduce(key, offer(worker)))
        })
    }

    /// Free capacity of a worker if the work for which `may_end` holds were stopped.
    fn offer_without<P>(&self, worker: &WorkerState, may_end: &P) -> ResourceSet
    where
        P: Fn(&JobState) -> bool,
    {
        let attempts = worker.attempts.iter();
        let ended =
            attempts.filter(|(attempt, _)| self.state.jobs.get(&attempt.job).is_some_and(may_end));
        ended.fold(worker.free_resources(), |offer, (_, held)| offer.plus(held))
    }

    fn victims(
        &self,
        members: Vec<Member>,
        reservation: Option<ReservationKey>,
        victims: Vec<AttemptKey>,
    ) -> FoundVictims {
        let jobs = victims.iter().filter_map(|attempt| self.state.jobs.get(&attempt.job));
        let lost = jobs.map(|job| lost_work(job, self.now_ms)).sum();
        FoundVictims { members, reservation, victims, lost }
    }
}

/// Places the members of a shape within the members held by a reservation; `None` if they do not
/// fit.
pub(crate) fn members_within(held: &[Member], shape: &Shape) -> Option<Vec<Member>> {
    let count = shape.per_member.accelerators;
    let members: Option<Vec<Member>> = held
        .iter()
        .take(usize::from(shape.members))
        .map(|member| {
            let accelerators = member.accelerators.contiguous_block(count)?;
            Some(Member { worker: member.worker, accelerators })
        })
        .collect();
    members.filter(|members| members.len() == usize::from(shape.members))
}
