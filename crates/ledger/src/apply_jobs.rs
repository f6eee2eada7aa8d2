//! Records of jobs: from submission over placement and start to the end.

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::apply::AttemptMove;
use crate::apply::BatchReport;
use crate::apply::Effect;
use crate::codec;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::job_state::Placement;
use crate::job_state::StopCause;
use crate::pack::distinct_workers;
use crate::refusal::AttemptNotCurrentSnafu;
use crate::refusal::JobEndedBeforeSnafu;
use crate::refusal::KeyReusedSnafu;
use crate::refusal::NotPreemptibleSnafu;
use crate::refusal::NotWholeSnafu;
use crate::refusal::OccupiedSnafu;
use crate::refusal::PromiseBrokenSnafu;
use crate::refusal::QueueFullSnafu;
use crate::refusal::Refusal;
use crate::refusal::ReservationMismatchSnafu;
use crate::refusal::ShapeImpossibleSnafu;
use crate::refusal::TeamQueueFullSnafu;
use crate::refusal::UnknownJobSnafu;
use crate::refusal::UnknownTeamSnafu;
use crate::refusal::UnknownWorkerSnafu;
use crate::refusal::WorkerClosedSnafu;
use crate::run_estimate::job_kind;
use crate::state::MAX_KEPT_ANSWERS;
use crate::state::MAX_KEPT_JOBS;
use crate::state::MAX_PENDING_JOBS;
use crate::state::State;

/// Distinct workers on which a job may fail before it is ended as failing.
const MAX_FAILED_WORKERS: usize = 3;
/// Failures and lapses after which a job is ended as failing.
const MAX_FAILURES: u8 = 8;
/// Wait before the next placement after the first failure, in ms; doubled each time.
const RETRY_BASE_MS: u64 = 1_000;
/// Longest wait before the next placement after a failure, in ms.
const RETRY_CAP_MS: u64 = 60_000;
/// Distinct jobs that fail on a worker, with no success between, before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Largest share of the workers in quarantine, in thousandths; one worker is always allowed.
const QUARANTINE_PERMILLE: usize = 200;
/// Time in quarantine before a single job may probe the worker, in ms.
pub const QUARANTINE_PROBE_MS: u64 = 300_000;

impl State {
    pub(crate) fn job_submitted(
        &mut self,
        team: &SmolStr,
        name: &SmolStr,
        spec: &JobSpec,
    ) -> Result<Effect, Refusal> {
        let key = self.team_key(team).filter(|key| self.team(*key).is_some_and(|t| t.is_active));
        let key = key.context(UnknownTeamSnafu { team: team.clone() })?;
        let content = Digest::of(&codec::encode(spec).unwrap_or_default());
        if let Some(job) = self.job_key(key, name) {
            let is_same = self.jobs.get(&job).is_some_and(|known| known.content == content);
            ensure!(is_same, KeyReusedSnafu { team: team.clone(), name: name.clone() });
            return Ok(Effect::Job { job });
        }
        self.check_room(key)?;
        self.check_shape(key, spec)?;
        let job = self.add_job(key, name, spec, content);
        Ok(Effect::Job { job })
    }

    fn check_room(&self, team: TeamKey) -> Result<(), Refusal> {
        let pending = self.pending.len();
        ensure!(pending < MAX_PENDING_JOBS, QueueFullSnafu { pending, limit: MAX_PENDING_JOBS });
        let state = self.team(team).context(UnknownTeamSnafu { team: SmolStr::default() })?;
        ensure!(
            state.pending < state.spec.max_pending,
            TeamQueueFullSnafu {
                team: state.spec.name.clone(),
                pending: state.pending as usize,
                limit: state.spec.max_pending as usize,
            }
        );
        Ok(())
    }

    /// Refuses a shape that no part of the topology could ever hold.
    pub(crate) fn check_shape(&self, team: TeamKey, spec: &JobSpec) -> Result<(), Refusal> {
        let shape = &spec.shape;
        let refuse = |reason: &str| {
            let shape = shape.to_smolstr();
            ShapeImpossibleSnafu { shape, reason: SmolStr::new(reason) }.fail()
        };
        if !(1..=Shape::MAX_MEMBERS).contains(&shape.members) {
            return refuse("a gang has 1 to 64 members");
        }
        if shape.per_member.slots == 0 {
            return refuse("each member takes at least one slot");
        }
        if !self.could_hold(None, shape) {
            return refuse("no such span of the known workers is large enough");
        }
        if !spec.repeatable && !self.has_own_place(team, shape) {
            return refuse(
                "work that is not repeatable must fit beside the guarantees of other teams",
            );
        }
        Ok(())
    }

    fn has_own_place(&self, team: TeamKey, shape: &Shape) -> bool {
        let has_reservation = self
            .reservations
            .values()
            .any(|reservation| reservation.team == team && reservation.shape.holds(shape));
        has_reservation || self.could_hold(Some(team), shape)
    }

    fn add_job(
        &mut self,
        team: TeamKey,
        name: &SmolStr,
        spec: &JobSpec,
        content: Digest,
    ) -> JobKey {
        self.next_job += 1;
        let job = JobKey(self.next_job);
        self.job_names.entry(team).or_default().insert(name.clone(), job);
        let submitted_ms = self.clock_ms;
        self.jobs.insert(
            job,
            JobState {
                team,
                name: name.clone(),
                spec: spec.clone(),
                content,
                phase: JobPhase::Pending,
                attempts: 0,
                failures: 0,
                preemptions: 0,
                failed_workers: Default::default(),
                progress_permille: 0,
                submitted_ms,
                not_before_ms: 0,
            },
        );
        self.enqueue(job, team);
        job
    }

    fn enqueue(&mut self, job: JobKey, team: TeamKey) {
        self.placed.remove(&job);
        if self.pending.insert(job)
            && let Some(team) = self.teams.get_mut(usize::from(team.0))
        {
            team.pending += 1;
        }
    }

    fn dequeue(&mut self, job: JobKey, team: TeamKey) {
        if self.pending.remove(&job)
            && let Some(team) = self.teams.get_mut(usize::from(team.0))
        {
            team.pending = team.pending.saturating_sub(1);
        }
    }

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
        self.check_whole(key, job, members)?;
        self.check_free(job, members)?;
        self.check_reservation(key, job, members, reservation)?;
        if !job.is_preemptible() {
            self.check_promises(key, members)?;
        }
        self.take_members(attempt, members);
        self.hold_reservation(key, reservation);
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
        note_moves(attempt, members, report);
        Ok(Effect::Job { job: key })
    }

    fn check_whole(&self, key: JobKey, job: &JobState, members: &[Member]) -> Result<(), Refusal> {
        let shape = &job.spec.shape;
        ensure!(members.len() == usize::from(shape.members), NotWholeSnafu { job: key });
        let place = |worker: WorkerKey| {
            let rack = self.worker(worker)?.rack;
            Some((worker, rack, self.racks.get(usize::from(rack.0))?.data_centre))
        };
        let lead = members.first().map(|member| member.worker).unwrap_or_default();
        let (worker, rack, data_centre) =
            place(lead).context(UnknownWorkerSnafu { worker: lead })?;
        for member in members {
            let (other_worker, other_rack, other_data_centre) =
                place(member.worker).context(UnknownWorkerSnafu { worker: member.worker })?;
            let is_within = match shape.span {
                Span::DataCentre => other_data_centre == data_centre,
                Span::Rack => other_rack == rack,
                Span::Worker => other_worker == worker,
            };
            let count = shape.per_member.accelerators;
            let is_adjacent = member.accelerators.adjacent_run(count) == Some(member.accelerators);
            ensure!(is_within && is_adjacent, NotWholeSnafu { job: key });
        }
        Ok(())
    }

    fn check_free(&self, job: &JobState, members: &[Member]) -> Result<(), Refusal> {
        let each = &job.spec.shape.per_member;
        for worker_key in distinct_workers(members) {
            let worker =
                self.worker(worker_key).context(UnknownWorkerSnafu { worker: worker_key })?;
            let is_open = worker.is_open() && self.may_probe(worker_key, job);
            ensure!(is_open, WorkerClosedSnafu { worker: worker_key });
            let mut offer = worker.free_offer();
            for member in members.iter().filter(|member| member.worker == worker_key) {
                let fits =
                    offer.free.covers(each) && offer.accelerators.contains(member.accelerators);
                ensure!(fits, OccupiedSnafu { worker: worker_key });
                offer.free = offer.free.minus(each);
                offer.accelerators = offer.accelerators.difference(member.accelerators);
            }
        }
        Ok(())
    }

    /// Whether quarantine lets the job on the worker: none, or a single preemptible probe after
    /// some time.
    pub fn may_probe(&self, key: WorkerKey, job: &JobState) -> bool {
        let Some(worker) = self.worker(key) else { return false };
        let Some(since_ms) = worker.quarantined_ms else { return true };
        self.clock_ms >= since_ms + QUARANTINE_PROBE_MS
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
        let held = reservation.members.as_deref().unwrap_or_default();
        let fits = reservation.team == job.team
            && reservation.holder.is_none()
            && reservation.shape.holds(&job.spec.shape)
            && is_within(members, held);
        ensure!(fits, ReservationMismatchSnafu { job: key });
        Ok(())
    }

    /// Firm work must leave every other team's reservations obtainable; idle ones in its way are
    /// moved where they find another place.
    fn check_promises(&mut self, key: JobKey, members: &[Member]) -> Result<(), Refusal> {
        let before = (self.workers.clone(), self.reservations.clone());
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?.clone();
        let is_kept = self.make_way_for_firm(&job, members);
        let moved = std::mem::take(&mut self.reservations);
        (self.workers, self.reservations) = before;
        let worker = members.first().map(|member| member.worker).unwrap_or_default();
        ensure!(is_kept, PromiseBrokenSnafu { worker });
        self.adopt_reservations(moved);
        Ok(())
    }

    fn take_members(&mut self, attempt: AttemptKey, members: &[Member]) {
        let Some(job) = self.jobs.get(&attempt.job) else { return };
        let (team, each, is_firm) = (job.team, job.spec.shape.per_member, !job.is_preemptible());
        for member in members {
            let Some(worker) = self.worker_mut(member.worker) else { continue };
            worker.take(attempt, member, &each);
            if is_firm {
                worker.take_firm(team, member, &each);
            }
        }
    }

    fn hold_reservation(&mut self, job: JobKey, reservation: Option<ReservationKey>) {
        let Some(key) = reservation else { return };
        if let Some(reservation) = self.reservations.get_mut(&key) {
            reservation.holder = Some(job);
        }
        self.forget_reclaims(job);
    }

    /// Reservations no longer wait for the job.
    fn forget_reclaims(&mut self, job: JobKey) {
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
        note_moves(attempt, &placement.members.clone(), report);
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
            JobPhase::Ended { .. } => JobEndedBeforeSnafu { job: key }.fail(),
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

    fn request_stop(&mut self, attempt: AttemptKey, cause: StopCause, report: &mut BatchReport) {
        let Some(placement) = self.placement_mut(attempt) else { return };
        if placement.stop != Some(StopCause::Cancelled) {
            placement.stop = Some(cause);
        }
        note_moves(attempt, &placement.members.clone(), report);
    }

    pub(crate) fn jobs_preempted(
        &mut self,
        key: JobKey,
        reservation: Option<ReservationKey>,
        victims: &[AttemptKey],
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let job = self.jobs.get(&key).context(UnknownJobSnafu { job: key })?;
        ensure!(job.is_pending(), JobEndedBeforeSnafu { job: key });
        if let Some(reservation) = reservation {
            let fits = self.reservations.get(&reservation).is_some_and(|reservation| {
                reservation.team == job.team && reservation.holder.is_none()
            });
            ensure!(fits, ReservationMismatchSnafu { job: key });
        }
        for &attempt in victims {
            let victim = self.jobs.get(&attempt.job);
            let is_fair = victim.is_some_and(|victim| {
                victim.is_preemptible() && victim.placement_of(attempt).is_some()
            });
            ensure!(is_fair, NotPreemptibleSnafu { attempt });
        }
        for &attempt in victims {
            if let Some(victim) = self.jobs.get_mut(&attempt.job) {
                victim.preemptions = victim.preemptions.saturating_add(1);
            }
            let is_started = self.placement(attempt).is_some_and(Placement::is_started);
            if is_started {
                let cause = StopCause::Preempted { beneficiary: key };
                self.request_stop(attempt, cause, report);
            } else {
                self.return_to_pending(attempt, report);
            }
        }
        if let Some(reservation) = reservation.and_then(|key| self.reservations.get_mut(&key)) {
            reservation.reclaim_for = Some(key);
        }
        Ok(Effect::Job { job: key })
    }

    pub(crate) fn job_ended(
        &mut self,
        attempt: AttemptKey,
        lead_incarnation: u64,
        end: &AttemptEnd,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let placement =
            self.placement(attempt).context(AttemptNotCurrentSnafu { attempt })?.clone();
        let lead = self.worker(placement.lead());
        let is_lead = lead.is_some_and(|lead| lead.incarnation == lead_incarnation);
        ensure!(is_lead, AttemptNotCurrentSnafu { attempt });
        match end {
            AttemptEnd::Completed { answer } => {
                let is_whole = answer.body.len() <= cuminbarrow_model::job::Answer::MAX_BYTES;
                ensure!(placement.is_started() && is_whole, AttemptNotCurrentSnafu { attempt });
                self.praise_workers(&placement.members);
                self.learn_run_time(attempt.job, &placement);
                let outcome = JobOutcome::Completed { answer: answer.clone() };
                self.end_job(attempt.job, outcome, report);
            }
            AttemptEnd::Failed { worker, reason } => {
                self.attempt_failed(attempt, *worker, reason, report);
            }
            AttemptEnd::Lapsed { worker } => {
                let reason = "its lease lapsed";
                self.attempt_failed(attempt, *worker, reason, report);
            }
            AttemptEnd::Stopped { progress_permille } => {
                self.attempt_stopped(attempt, &placement, *progress_permille, report);
            }
        }
        Ok(Effect::Job { job: attempt.job })
    }

    fn attempt_stopped(
        &mut self,
        attempt: AttemptKey,
        placement: &Placement,
        progress_permille: u16,
        report: &mut BatchReport,
    ) {
        if let Some(job) = self.jobs.get_mut(&attempt.job)
            && job.spec.checkpointable
        {
            job.progress_permille = progress_permille.clamp(job.progress_permille, 1_000);
        }
        match placement.stop {
            Some(StopCause::Cancelled) => {
                let outcome = may_have_run_outcome("it was cancelled after its start");
                self.end_job(attempt.job, outcome, report);
            }
            None | Some(StopCause::Preempted { .. }) => {
                self.attempt_interrupted(attempt, "it was stopped", report);
            }
        }
    }

    fn attempt_failed(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        reason: &str,
        report: &mut BatchReport,
    ) {
        let is_started = self.placement(attempt).is_some_and(Placement::is_started);
        self.blame(attempt.job, worker);
        self.attempt_interrupted(attempt, reason, report);
        let clock_ms = self.clock_ms;
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        job.failures = job.failures.saturating_add(1);
        if !job.is_pending() {
            return;
        }
        let doublings = u32::from(job.failures.saturating_sub(1)).min(16);
        job.not_before_ms = clock_ms + (RETRY_BASE_MS << doublings).min(RETRY_CAP_MS);
        let is_hopeless =
            job.failed_workers.len() >= MAX_FAILED_WORKERS || job.failures >= MAX_FAILURES;
        if is_hopeless {
            let outcome = if is_started || job.spec.repeatable {
                JobOutcome::Failed { reason: SmolStr::new(reason) }
            } else {
                not_run_outcome(reason)
            };
            self.end_job(attempt.job, outcome, report);
        }
    }

    /// Blames the job and the worker for a failure. The share of workers in quarantine is
    /// capped, so that one poisoned job can't close the deployment.
    fn blame(&mut self, job: JobKey, worker_key: WorkerKey) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.failed_workers.insert(worker_key);
        }
        let quarantined =
            self.workers.iter().filter(|worker| worker.quarantined_ms.is_some()).count();
        let limit = (self.workers.len() * QUARANTINE_PERMILLE / 1_000).max(1);
        let clock_ms = self.clock_ms;
        let Some(worker) = self.worker_mut(worker_key) else { return };
        worker.failed_jobs.insert(job);
        if worker.quarantined_ms.is_some() {
            worker.quarantined_ms = Some(clock_ms);
        } else if worker.failed_jobs.len() >= QUARANTINE_JOBS && quarantined < limit {
            worker.quarantined_ms = Some(clock_ms);
            self.release_reservations_on(worker_key);
            self.place_reservations();
        }
    }

    /// Learns from a completed attempt how long the team's jobs of its kind really run.
    fn learn_run_time(&mut self, key: JobKey, placement: &Placement) {
        let clock_ms = self.clock_ms;
        let Some(job) = self.jobs.get(&key) else { return };
        let rest_permille = u64::from(1_000 - job.progress_permille.min(1_000));
        let declared_ms = job.spec.declared_run_ms * rest_permille / 1_000;
        let Some(started_ms) = placement.started_ms.filter(|_| declared_ms > 0) else { return };
        let run_ms = clock_ms.saturating_sub(started_ms);
        let kind = job_kind(&job.spec);
        if let Some(team) = self.teams.get_mut(usize::from(job.team.0)) {
            team.estimates[kind].learn(run_ms, declared_ms);
        }
    }

    fn praise_workers(&mut self, members: &[Member]) {
        let mut is_freed = false;
        for member in members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.failed_jobs.clear();
                is_freed |= worker.quarantined_ms.take().is_some();
            }
        }
        if is_freed {
            self.place_reservations();
        }
    }

    /// Ends an attempt that did not complete: before its start, or of a repeatable job, the job
    /// waits again; after its start a job that is not repeatable may have run, and ends.
    pub(crate) fn attempt_interrupted(
        &mut self,
        attempt: AttemptKey,
        reason: &str,
        report: &mut BatchReport,
    ) {
        let Some(job) = self.jobs.get(&attempt.job) else { return };
        let Some(placement) = job.placement_of(attempt) else { return };
        let is_cancelled = placement.stop == Some(StopCause::Cancelled);
        if placement.is_started() && (is_cancelled || !job.spec.repeatable) {
            self.end_job(attempt.job, may_have_run_outcome(reason), report);
        } else {
            self.return_to_pending(attempt, report);
        }
    }

    pub(crate) fn return_to_pending(&mut self, attempt: AttemptKey, report: &mut BatchReport) {
        self.give_back_members(attempt.job, report);
        let Some(job) = self.jobs.get_mut(&attempt.job) else { return };
        job.phase = JobPhase::Pending;
        let team = job.team;
        self.enqueue(attempt.job, team);
    }

    fn end_job(&mut self, key: JobKey, outcome: JobOutcome, report: &mut BatchReport) {
        self.give_back_members(key, report);
        let at_ms = self.clock_ms;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.phase = JobPhase::Ended { outcome, at_ms };
        let team = job.team;
        self.dequeue(key, team);
        self.placed.remove(&key);
        self.forget_reclaims(key);
        self.ended.push_back(key);
        report.ended.push(key);
        self.forget_old_jobs();
    }

    fn give_back_members(&mut self, key: JobKey, report: &mut BatchReport) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(placement) = job.placement().cloned() else { return };
        let (team, each, is_firm) = (job.team, job.spec.shape.per_member, !job.is_preemptible());
        let attempt = AttemptKey { job: key, attempt: placement.attempt };
        for member in &placement.members {
            let Some(worker) = self.worker_mut(member.worker) else { continue };
            worker.give_back(attempt, member, &each);
            if is_firm {
                worker.give_back_firm(team, member, &each);
            }
        }
        for reservation in self.reservations.values_mut() {
            if reservation.holder == Some(key) {
                reservation.holder = None;
            }
        }
        if is_firm {
            self.place_reservations();
        }
        note_moves(attempt, &placement.members, report);
    }

    /// Drops the oldest answers, and later the oldest ended jobs, beyond what is kept.
    fn forget_old_jobs(&mut self) {
        if self.ended.len() > MAX_KEPT_ANSWERS {
            let index = self.ended.len() - MAX_KEPT_ANSWERS - 1;
            let key = self.ended[index];
            if let Some(JobPhase::Ended { outcome: JobOutcome::Completed { answer }, .. }) =
                self.jobs.get_mut(&key).map(|job| &mut job.phase)
            {
                answer.body = Vec::new();
            }
        }
        if self.ended.len() > MAX_KEPT_JOBS
            && let Some(key) = self.ended.pop_front()
            && let Some(job) = self.jobs.remove(&key)
            && let Some(names) = self.job_names.get_mut(&job.team)
        {
            names.remove(&job.name);
        }
    }
}

fn not_run_outcome(reason: &str) -> JobOutcome {
    JobOutcome::NotRun { reason: SmolStr::new(reason) }
}

fn may_have_run_outcome(reason: &str) -> JobOutcome {
    JobOutcome::MayHaveRun { reason: SmolStr::new(reason) }
}

fn note_moves(attempt: AttemptKey, members: &[Member], report: &mut BatchReport) {
    let moves = distinct_workers(members).into_iter();
    report.moves.extend(moves.map(|worker| AttemptMove { attempt, worker }));
}

/// Whether each member can be given a held member of its own.
fn is_within(members: &[Member], held: &[Member]) -> bool {
    let mut rest: Vec<Member> = held.to_vec();
    members.iter().all(|member| {
        let home = rest.iter().position(|home| {
            home.worker == member.worker
                && AcceleratorSet::contains(home.accelerators, member.accelerators)
        });
        home.map(|index| rest.swap_remove(index)).is_some()
    })
}
