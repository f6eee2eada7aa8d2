//! Applies job submissions, and maintains the queue of pending jobs.

use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::shape::Shape;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::apply::Effect;
use crate::codec;
use crate::job_state::JobPhase;
use crate::job_state::JobState;
use crate::refusal::KeyReusedSnafu;
use crate::refusal::QueueFullSnafu;
use crate::refusal::Refusal;
use crate::refusal::ShapeImpossibleSnafu;
use crate::refusal::TeamQueueFullSnafu;
use crate::refusal::UnknownTeamSnafu;
use crate::state::MAX_PENDING_JOBS;
use crate::state::State;

impl State {
    pub(crate) fn job_submitted(
        &mut self,
        team: &SmolStr,
        idempotency_key: &SmolStr,
        spec: &JobSpec,
    ) -> Result<Effect, Refusal> {
        let key = self.team_key(team).filter(|key| self.team(*key).is_some_and(|t| t.is_active));
        let key = key.context(UnknownTeamSnafu { team: team.clone() })?;
        let spec_digest = Digest::of(&codec::encode(spec).unwrap_or_default());
        if let Some(job) = self.job_key(key, idempotency_key) {
            let is_same = self.jobs.get(&job).is_some_and(|known| known.spec_digest == spec_digest);
            ensure!(
                is_same,
                KeyReusedSnafu { team: team.clone(), idempotency_key: idempotency_key.clone() }
            );
            return Ok(Effect::Job { job });
        }
        self.check_queue_limits(key)?;
        self.check_shape(key, spec)?;
        let job = self.add_job(key, idempotency_key, spec, spec_digest);
        Ok(Effect::Job { job })
    }

    fn check_queue_limits(&self, team: TeamKey) -> Result<(), Refusal> {
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

    /// Refuses a shape that no part of the topology can ever hold.
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
        if !self.could_fit(None, shape) {
            return refuse("no such span of the known workers is large enough");
        }
        if !spec.repeatable && !self.could_place_non_preemptible(team, shape) {
            return refuse(
                "work that is not repeatable must fit beside the guarantees of other teams",
            );
        }
        Ok(())
    }

    /// Whether non-preemptible jobs of this shape can be placed: on a reservation of the team, or
    /// beside the reservations of other teams.
    fn could_place_non_preemptible(&self, team: TeamKey, shape: &Shape) -> bool {
        let has_reservation = self
            .reservations
            .values()
            .any(|reservation| reservation.team == team && reservation.shape.covers(shape));
        has_reservation || self.could_fit(Some(team), shape)
    }

    fn add_job(
        &mut self,
        team: TeamKey,
        idempotency_key: &SmolStr,
        spec: &JobSpec,
        spec_digest: Digest,
    ) -> JobKey {
        self.last_job += 1;
        let job = JobKey(self.last_job);
        self.job_keys.entry(team).or_default().insert(idempotency_key.clone(), job);
        let submitted_ms = self.clock_ms;
        self.jobs.insert(
            job,
            JobState {
                team,
                idempotency_key: idempotency_key.clone(),
                spec: spec.clone(),
                spec_digest,
                phase: JobPhase::Pending,
                attempts: 0,
                failures: 0,
                preemptions: 0,
                failed_workers: Default::default(),
                progress_permille: 0,
                submitted_ms,
                not_before_ms: 0,
                past_attempts: Vec::new(),
            },
        );
        self.enqueue(job, team);
        job
    }

    pub(crate) fn enqueue(&mut self, job: JobKey, team: TeamKey) {
        self.placed.remove(&job);
        if self.pending.insert(job)
            && let Some(team) = self.teams.get_mut(usize::from(team.0))
        {
            team.pending += 1;
        }
    }

    pub(crate) fn dequeue(&mut self, job: JobKey, team: TeamKey) {
        if self.pending.remove(&job)
            && let Some(team) = self.teams.get_mut(usize::from(team.0))
        {
            team.pending = team.pending.saturating_sub(1);
        }
    }
}
