//! Applies placements, starts, cancellations and preemptions.

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::shape::Span;
use snafu::OptionExt;
use snafu::ensure;

use crate::apply::BatchReport;
use crate::apply::Effect;
use crate::apply_ends::not_run_outcome;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::job_state::Placement;
use crate::job_state::StopCause;
use crate::pack::distinct_workers;
use crate::refusal::AttemptNotCurrentSnafu;
use crate::refusal::GuaranteeViolatedSnafu;
use crate::refusal::InsufficientCapacitySnafu;
use crate::refusal::JobAlreadyEndedSnafu;
use crate::refusal::NotPreemptibleSnafu;
use crate::refusal::Refusal;
use crate::refusal::ReservationMismatchSnafu;
use crate::refusal::ShapeMismatchSnafu;
use crate::refusal::UnknownJobSnafu;
use crate::refusal::UnknownWorkerSnafu;
use crate::refusal::WorkerUnavailableSnafu;
use crate::state::State;

/// Time without a failure after which a quarantined worker may get a single job as a probe, in ms.
pub const QUARANTINE_PROBE_DELAY_MS: u64 = 300_000;

impl State {
    pub(crate) fn job_placed(
        &mut self,
        attempt: AttemptKey,
        members: &[Member],
        reservation: Option<ReservationKey>,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let key = attempt.job;
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?;
        let is_next = job.is_pending() && attempt.attempt == job.attempts + 1;
        ensure!(is_next, AttemptNotCurrentSnafu { attempt });
        self.check_members(key, job, members)?;
        self.check_capacity(job, members)?;
        self.check_reservation(key, job, members, reservation)?;
        if !job.is_preemptible() {
            self.check_guarantees(key, members)?;
        }
        self.allocate_members(attempt, members);
        self.assign_reservation(key, reservation);
        let placed_ms = self.clock_ms;
        let job = self.jobs.get_mut(&key).context(UnknownJobSnafu { job: key })?;
        job.attempts = attempt.attempt;
        job.phase = JobPhase::Placed(Placement {
            attempt: attempt.attempt,
            members: members.to_vec(),
            reservation,
            placed_ms,
            started_ms: None,
            lead_incarnation: 0,
            stop: None,
        });
        let team = job.team;
        self.dequeue(key, team);
        self.placed.insert(key);
        report.record_attempt_change(attempt, members);
        Ok(Effect::Job { job: key })
    }

    /// Checks that the members are the whole gang, within the span of its shape, and that the
    /// accelerators of each are a contiguous block.
    fn check_members(
        &self,
        key: JobKey,
        job: &JobState,
        members: &[Member],
    ) -> Result<(), Refusal> {
        let shape = &job.spec.shape;
        ensure!(members.len() == usize::from(shape.members), ShapeMismatchSnafu { job: key });
        let location = |worker: WorkerKey| {
            let rack = self.worker(worker)?.rack;
            Some((worker, rack, self.racks.get(usize::from(rack.0))?.data_centre))
        };
        let lead = members.first().map(|member| member.worker).unwrap_or_default();
        let (worker, rack, data_centre) =
            location(lead).context(UnknownWorkerSnafu { worker: lead })?;
        for member in members {
            let (other_worker, other_rack, other_data_centre) =
                location(member.worker).context(UnknownWorkerSnafu { worker: member.worker })?;
            let is_within = match shape.span {
                Span::DataCentre => other_data_centre == data_centre,
                Span::Rack => other_rack == rack,
                Span::Worker => other_worker == worker,
            };
            let count = shape.per_member.accelerators;
            let is_contiguous =
                member.accelerators.contiguous_block(count) == Some(member.accelerators);
            ensure!(is_within && is_contiguous, ShapeMismatchSnafu { job: key });
        }
        Ok(())
    }

    /// Checks that the workers take the job and have free what its members need.
    fn check_capacity(&self, job: &JobState, members: &[Member]) -> Result<(), Refusal> {
        let per_member = &job.spec.shape.per_member;
        for worker_key in distinct_workers(members) {
            let worker =
                self.worker(worker_key).context(UnknownWorkerSnafu { worker: worker_key })?;
            let is_available = worker.is_up() && self.quarantine_allows(worker_key, job);
            ensure!(is_available, WorkerUnavailableSnafu { worker: worker_key });
            let mut free = worker.free_resources();
            for member in members.iter().filter(|member| member.worker == worker_key) {
                let fits = free.amounts.covers(per_member)
                    && free.accelerators.contains(member.accelerators);
                ensure!(fits, InsufficientCapacitySnafu { worker: worker_key });
                free.amounts = free.amounts.minus(per_member);
                free.accelerators = free.accelerators.difference(member.accelerators);
            }
        }
        Ok(())
    }

    /// Whether the quarantine of the worker, if any, allows the job: after
    /// [`QUARANTINE_PROBE_DELAY_MS`], one preemptible job with a single member is allowed as a probe.
    pub fn quarantine_allows(&self, key: WorkerKey, job: &JobState) -> bool {
        let Some(worker) = self.worker(key) else { return false };
        let Some(since_ms) = worker.quarantined_ms else { return true };
        self.clock_ms >= since_ms + QUARANTINE_PROBE_DELAY_MS
            && worker.attempts.is_empty()
            && job.spec.shape.members == 1
            && job.is_preemptible()
    }

    fn check_reservation(
        &self,
        key: JobKey,
        job: &JobState,
        members: &[Member],
        reservation: Option<ReservationKey>,
    ) -> Result<(), Refusal> {
        let Some(reservation) = reservation else { return Ok(()) };
        let reservation =
            self.reservations.get(&reservation).context(ReservationMismatchSnafu { job: key })?;
        let reserved_members = reservation.members.as_deref().unwrap_or_default();
        let fits = reservation.team == job.team
            && reservation.holder.is_none()
            && reservation.shape.covers(&job.spec.shape)
            && can_match(members, reserved_members);
        ensure!(fits, ReservationMismatchSnafu { job: key });
        Ok(())
    }

    /// Checks that a non-preemptible job blocks no reservation of another team; idle reservations
    /// in conflict are moved if they can be placed elsewhere.
    fn check_guarantees(&mut self, key: JobKey, members: &[Member]) -> Result<(), Refusal> {
        if self.fits_beside_reservations(key, members) {
            return Ok(());
        }
        let before = (self.workers.clone(), self.reservations.clone());
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?.clone();
        let is_feasible = self.displace_reservations(&job, members);
        let moved = std::mem::take(&mut self.reservations);
        (self.workers, self.reservations) = before;
        let worker = members.first().map(|member| member.worker).unwrap_or_default();
        ensure!(is_feasible, GuaranteeViolatedSnafu { worker });
        self.move_reservations(moved);
        Ok(())
    }

    fn allocate_members(&mut self, attempt: AttemptKey, members: &[Member]) {
        let Some(job) = self.jobs.get(&attempt.job) else { return };
        let (team, per_member, is_non_preemptible) =
            (job.team, job.spec.shape.per_member, !job.is_preemptible());
        for member in members {
            let Some(worker) = self.worker_mut(member.worker) else { continue };
            worker.allocate(attempt, member, &per_member);
            if is_non_preemptible {
                worker.allocate_non_preemptible(team, member, &per_member);
            }
        }
    }

    fn assign_reservation(&mut self, job: JobKey, reservation: Option<ReservationKey>) {
        let Some(key) = reservation else { return };
        if let Some(reservation) = self.reservations.get_mut(&key) {
            reservation.holder = Some(job);
        }
        self.clear_reclaims(job);
    }

    /// Ends all reclaims of reservations for the job.
    pub(crate) fn clear_reclaims(&mut self, job: JobKey) {
        for reservation in self.reservations.values_mut() {
            if reservation.reclaim_for == Some(job) {
                reservation.reclaim_for = None;
            }
        }
    }

    pub(crate) fn job_started(
        &mut self,
        attempt: AttemptKey,
        lead_incarnation: u64,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let lead = self
            .placement(attempt)
            .filter(|placement| !placement.is_started() && placement.stop.is_none())
            .map(Placement::lead)
            .context(AttemptNotCurrentSnafu { attempt })?;
        let is_current =
            self.worker(lead).is_some_and(|worker| worker.incarnation == lead_incarnation);
        ensure!(is_current, AttemptNotCurrentSnafu { attempt });
        let started_ms = self.clock_ms;
        let Some(placement) = self.placement_mut(attempt) else {
            return AttemptNotCurrentSnafu { attempt }.fail();
        };
        placement.started_ms = Some(started_ms);
        placement.lead_incarnation = lead_incarnation;
        report.record_attempt_change(attempt, &placement.members.clone());
        Ok(Effect::Job { job: attempt.job })
    }

    fn placement_mut(&mut self, attempt: AttemptKey) -> Option<&mut Placement> {
        match &mut self.jobs.get_mut(&attempt.job)?.phase {
            JobPhase::Placed(placement) if placement.attempt == attempt.attempt => Some(placement),
            JobPhase::Ended { .. } | JobPhase::Pending | JobPhase::Placed(_) => None,
        }
    }

    pub(crate) fn job_cancelled(
        &mut self,
        key: JobKey,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?;
        match &job.phase {
            JobPhase::Ended { .. } => JobAlreadyEndedSnafu { job: key }.fail(),
            JobPhase::Placed(placement) if placement.is_started() => {
                let attempt = AttemptKey { job: key, attempt: placement.attempt };
                self.request_stop(attempt, StopCause::Cancelled, report);
                Ok(Effect::Job { job: key })
            }
            JobPhase::Pending | JobPhase::Placed(_) => {
                self.end_job(key, not_run_outcome("it was cancelled before its start"), report);
                Ok(Effect::Job { job: key })
            }
        }
    }

    /// Requests the stop of an attempt; a cancellation is never replaced by a preemption.
    fn request_stop(&mut self, attempt: AttemptKey, cause: StopCause, report: &mut BatchReport) {
        let Some(placement) = self.placement_mut(attempt) else { return };
        if placement.stop != Some(StopCause::Cancelled) {
            placement.stop = Some(cause);
        }
        report.record_attempt_change(attempt, &placement.members.clone());
    }

    pub(crate) fn jobs_preempted(
        &mut self,
        key: JobKey,
        reservation: Option<ReservationKey>,
        victims: &[AttemptKey],
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?;
        ensure!(job.is_pending(), JobAlreadyEndedSnafu { job: key });
        if let Some(reservation) = reservation {
            let fits = self.reservations.get(&reservation).is_some_and(|reservation| {
                reservation.team == job.team && reservation.holder.is_none()
            });
            ensure!(fits, ReservationMismatchSnafu { job: key });
        }
        for &attempt in victims {
            let victim = self.jobs.get(&attempt.job);
            let is_allowed = victim.is_some_and(|victim| {
                victim.is_preemptible() && victim.placement_of(attempt).is_some()
            });
            ensure!(is_allowed, NotPreemptibleSnafu { attempt });
        }
        for &attempt in victims {
            if let Some(victim) = self.jobs.get_mut(&attempt.job) {
                victim.preemptions = victim.preemptions.saturating_add(1);
                let team = victim.team;
                if let Some(usage) = self.usage_mut(team) {
                    usage.preempted += 1;
                }
            }
            let is_started = self.placement(attempt).is_some_and(Placement::is_started);
            if is_started {
                let cause = StopCause::Preempted { beneficiary: key };
                self.request_stop(attempt, cause, report);
            } else {
                self.return_to_pending(attempt, "it was preempted before its start", report);
            }
        }
        if let Some(reservation) = reservation.and_then(|key| self.reservations.get_mut(&key)) {
            reservation.reclaim_for = Some(key);
            let team = reservation.team;
            if let Some(usage) = self.usage_mut(team) {
                usage.reclaims += 1;
            }
        }
        Ok(Effect::Job { job: key })
    }
}

/// Whether each member can be matched with a reserved member of its own that covers it.
fn can_match(members: &[Member], reserved_members: &[Member]) -> bool {
    let mut unmatched: Vec<Member> = reserved_members.to_vec();
    members.iter().all(|member| {
        let reserved = unmatched.iter().position(|reserved| {
            reserved.worker == member.worker
                && AcceleratorSet::contains(reserved.accelerators, member.accelerators)
        });
        reserved.map(|index| unmatched.swap_remove(index)).is_some()
    })
}
