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

use crate::capacity_overlay::CapacityOverlay;
use crate::placement_policy::Decision;
use crate::placement_policy::PlacementReason;
use crate::victim_selection::lost_work;
use crate::victim_selection::may_preempt;
use crate::victim_selection::may_preempt_for_larger;
use crate::victim_selection::select_victims;

/// Time after its retry delay during which a job avoids the workers on which it failed, in ms.
const FAILED_WORKER_AVOIDANCE_MS: u64 = 120_000;

/// Divisors that limit the candidate victims: they are sorted by the work that is lost, and victims
/// are searched among the first 1/32 of them, then 1/16, and so on up to all.
const LOSS_LIMIT_DIVISORS: [usize; 5] = [32, 16, 8, 3, 1];

/// Placement found for a job.
pub(crate) struct ProposedPlacement {
    pub(crate) members: Vec<Member>,
    pub(crate) reservation: Option<ReservationKey>,
    pub(crate) reason: PlacementReason,
}

impl ProposedPlacement {
    pub(crate) fn into_decision(self, key: JobKey, job: &JobState) -> Decision {
        Decision::Place {
            attempt: AttemptKey { job: key, attempt: job.attempts + 1 },
            members: self.members,
            reservation: self.reservation,
            reason: self.reason,
        }
    }
}

/// Attempts to preempt for a job, and the members that it can then use.
pub(crate) struct ProposedPreemption {
    pub(crate) members: Vec<Member>,
    pub(crate) reservation: Option<ReservationKey>,
    pub(crate) victims: Vec<AttemptKey>,
    /// Work lost by stopping the victims, in accelerator-ms.
    pub(crate) lost_accelerator_ms: u64,
}

/// State of one planning round.
pub(crate) struct PlanRound<'a> {
    pub(crate) state: &'a State,
    pub(crate) now_ms: u64,
    pub(crate) overlay: CapacityOverlay,
    /// Reservations that decisions of this round use.
    pub(crate) used_reservations: Vec<ReservationKey>,
}

impl<'a> PlanRound<'a> {
    pub(crate) fn new(state: &'a State, now_ms: u64, overlay: CapacityOverlay) -> Self {
        Self { state, now_ms, overlay, used_reservations: Vec::new() }
    }

    /// Records a placement, so that later searches of the round exclude its capacity.
    pub(crate) fn record_placement(&mut self, placement: &ProposedPlacement, shape: &Shape) {
        self.overlay.occupy(&placement.members, &shape.per_member);
        self.used_reservations.extend(placement.reservation);
    }

    /// Whether the shape fits into free capacity, reserved or not.
    pub(crate) fn fits_free_capacity(&self, job: &JobState) -> bool {
        self.pack_avoiding_failures(job, |worker| worker.free_resources()).is_some()
    }

    /// Finds the best placement on capacity that is free now. A preemptible job first uses a
    /// reservation of its own team if it needs at least half of the accelerators, then unreserved
    /// capacity, then any reservation of its own team, then idle ones of other teams. A
    /// non-preemptible job uses a reservation of its own team, then capacity where it blocks no
    /// reservation of another team.
    pub(crate) fn find_placement(&self, key: JobKey, job: &JobState) -> Option<ProposedPlacement> {
        if !job.is_preemptible() {
            return self
                .own_reservation_placement(key, job, false)
                .or_else(|| self.non_preemptible_placement(key, job));
        }
        self.own_reservation_placement(key, job, true)
            .or_else(|| self.unreserved_placement(job))
            .or_else(|| self.own_reservation_placement(key, job, false))
            .or_else(|| self.lent_placement(job))
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
                    && !self.used_reservations.contains(reservation_key)
                    && reservation.shape.covers(&job.spec.shape)
            })
            .map(|(key, reservation)| (*key, reservation))
            .collect();
        idle.sort_by_key(|(key, reservation)| (reservation.shape.accelerators(), *key));
        idle
    }

    /// Places the job in a reservation of its team whose capacity is free. With
    /// `is_tight` only reservations with at most twice the job's accelerators are used.
    fn own_reservation_placement(
        &self,
        key: JobKey,
        job: &JobState,
        is_tight: bool,
    ) -> Option<ProposedPlacement> {
        let shape = &job.spec.shape;
        let idle = self.idle_reservations(key, job);
        idle.into_iter()
            .filter(|(_, reservation)| {
                !is_tight || reservation.shape.accelerators() <= 2 * shape.accelerators()
            })
            .find_map(|(reservation_key, reservation)| {
                let members = members_within(reservation.members.as_deref()?, shape)?;
                let is_free = self.overlay.are_free(self.state, &members, &shape.per_member);
                is_free.then_some(ProposedPlacement {
                    members,
                    reservation: Some(reservation_key),
                    reason: PlacementReason::OwnReservation,
                })
            })
    }

    /// Whether the job failed on the worker recently, so that other workers are tried first.
    fn avoids_worker(&self, job: &JobState, worker: WorkerKey) -> bool {
        self.now_ms < job.not_before_ms + FAILED_WORKER_AVOIDANCE_MS
            && job.failed_workers.contains(&worker)
    }

    /// Places non-preemptible work beside all reservations of other teams, or on idle ones that can
    /// be moved elsewhere.
    fn non_preemptible_placement(&self, key: JobKey, job: &JobState) -> Option<ProposedPlacement> {
        let beside_reservations =
            self.pack_avoiding_failures(job, |worker| worker.free_for_non_preemptible(job.team));
        let members = beside_reservations.or_else(|| {
            let members = self.pack_avoiding_failures(job, |worker| worker.free_resources())?;
            self.state.can_place_non_preemptible(key, &members).then_some(members)
        })?;
        let reason = PlacementReason::Unreserved;
        Some(ProposedPlacement { members, reservation: None, reason })
    }

    fn unreserved_placement(&self, job: &JobState) -> Option<ProposedPlacement> {
        let members =
            self.pack_avoiding_failures(job, |worker| worker.unreserved_resources(job.team))?;
        let reason = PlacementReason::Unreserved;
        Some(ProposedPlacement { members, reservation: None, reason })
    }

    fn lent_placement(&self, job: &JobState) -> Option<ProposedPlacement> {
        let members = self.pack_avoiding_failures(job, |worker| worker.free_resources())?;
        let reason = PlacementReason::Lent;
        Some(ProposedPlacement { members, reservation: None, reason })
    }

    /// Packs the job on workers other than those on which it failed recently. A gang falls back to
    /// those workers instead of waiting, because few sets of workers fit it.
    fn pack_avoiding_failures<O>(&self, job: &JobState, free: O) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
    {
        let on_other_workers =
            self.pack_on_allowed(job, &free, |key| !self.avoids_worker(job, key));
        let may_fall_back = job.spec.shape.members > 1 && !job.failed_workers.is_empty();
        on_other_workers
            .or_else(|| may_fall_back.then(|| self.pack_on_allowed(job, &free, |_| true))?)
    }

    fn pack_on_allowed<O, A>(&self, job: &JobState, free: &O, is_allowed: A) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
        A: Fn(WorkerKey) -> bool,
    {
        pack(&self.state.racks, &job.spec.shape, |key| {
            let worker = self.state.worker(key)?;
            let is_usable =
                worker.is_up() && self.state.quarantine_allows(key, job) && is_allowed(key);
            is_usable.then(|| self.overlay.remaining(key, free(worker)))
        })
    }

    /// Finds the victims to stop so that the team gets one of its reservations back, with the least
    /// work lost.
    pub(crate) fn find_reclaim(&self, key: JobKey, job: &JobState) -> Option<ProposedPreemption> {
        let shape = &job.spec.shape;
        let found = self.idle_reservations(key, job).into_iter().filter_map(
            |(reservation_key, reservation)| {
                let members = members_within(reservation.members.as_deref()?, shape)?;
                let victims = select_victims(
                    self.state,
                    &members,
                    &shape.per_member,
                    self.now_ms,
                    may_preempt,
                )?;
                let fits =
                    self.overlay.fits_after_preemption(self.state, &members, shape, &victims);
                fits.then(|| self.propose_preemption(members, Some(reservation_key), victims))
            },
        );
        found.min_by_key(|found| found.lost_accelerator_ms)
    }

    /// Finds victims on any worker for an urgent job. Urgent work is never stopped; work that loses
    /// little is preferred.
    pub(crate) fn find_urgent_victims(
        &self,
        key: JobKey,
        job: &JobState,
    ) -> Option<ProposedPreemption> {
        self.find_victims(key, job, |placed| may_preempt(placed) && !placed.spec.urgent)
    }

    /// Finds victims for a starving large job.
    pub(crate) fn find_starvation_victims(
        &self,
        key: JobKey,
        job: &JobState,
    ) -> Option<ProposedPreemption> {
        self.find_victims(key, job, |placed| may_preempt_for_larger(placed, job, self.now_ms))
    }

    fn find_victims<P>(
        &self,
        key: JobKey,
        job: &JobState,
        is_candidate: P,
    ) -> Option<ProposedPreemption>
    where
        P: Fn(&JobState) -> bool,
    {
        let shape = &job.spec.shape;
        let placed = self.state.placed.iter().filter_map(|key| self.state.jobs.get(key));
        let mut losses: Vec<u64> = placed
            .filter(|placed| is_candidate(placed))
            .map(|placed| lost_work(placed, self.now_ms))
            .collect();
        losses.sort_unstable();
        for divisor in LOSS_LIMIT_DIVISORS {
            let Some(index) = (losses.len() / divisor).checked_sub(1) else { continue };
            let limit = losses[index];
            let is_cheap =
                |placed: &JobState| is_candidate(placed) && lost_work(placed, self.now_ms) <= limit;
            let Some(members) = self.members_if_preempted(key, job, &is_cheap) else { continue };
            let victims =
                select_victims(self.state, &members, &shape.per_member, self.now_ms, is_cheap)?;
            return Some(self.propose_preemption(members, None, victims));
        }
        None
    }

    /// Packs the job as if all work for which `is_candidate` holds were stopped: first beside the
    /// reservations of other teams, then on idle ones. Non-preemptible work may use those only if
    /// they can be moved elsewhere; preemptible work only if it is urgent or checkpointable.
    fn members_if_preempted<P>(
        &self,
        key: JobKey,
        job: &JobState,
        is_candidate: &P,
    ) -> Option<Vec<Member>>
    where
        P: Fn(&JobState) -> bool,
    {
        let free = |worker: &WorkerState| self.free_if_preempted(worker, is_candidate);
        let beside =
            |worker: &WorkerState| free(worker).limited_to(&worker.non_preemptible_limit(job.team));
        if let Some(members) = self.pack_unquarantined(job, beside) {
            return Some(members);
        }
        let members = self.pack_unquarantined(job, free)?;
        let is_allowed = if job.is_preemptible() {
            job.spec.checkpointable || job.spec.urgent
        } else {
            self.state.can_place_non_preemptible(key, &members)
        };
        is_allowed.then_some(members)
    }

    fn pack_unquarantined<O>(&self, job: &JobState, free: O) -> Option<Vec<Member>>
    where
        O: Fn(&WorkerState) -> ResourceSet,
    {
        pack(&self.state.racks, &job.spec.shape, |key| {
            let worker = self.state.worker(key)?;
            let is_usable = worker.takes_reservations();
            is_usable.then(|| self.overlay.remaining(key, free(worker)))
        })
    }

    /// Free capacity of a worker if the work for which `is_candidate` holds were stopped.
    fn free_if_preempted<P>(&self, worker: &WorkerState, is_candidate: &P) -> ResourceSet
    where
        P: Fn(&JobState) -> bool,
    {
        let attempts = worker.attempts.iter();
        let ended = attempts
            .filter(|(attempt, _)| self.state.jobs.get(&attempt.job).is_some_and(is_candidate));
        ended.fold(worker.free_resources(), |free, (_, held)| free.plus(held))
    }

    fn propose_preemption(
        &self,
        members: Vec<Member>,
        reservation: Option<ReservationKey>,
        victims: Vec<AttemptKey>,
    ) -> ProposedPreemption {
        let jobs = victims.iter().filter_map(|attempt| self.state.jobs.get(&attempt.job));
        let lost_accelerator_ms = jobs.map(|job| lost_work(job, self.now_ms)).sum();
        ProposedPreemption { members, reservation, victims, lost_accelerator_ms }
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
