//! The default policy: guarantees, lending and reclaim, urgent jobs, and starvation protection.
//!
//! Jobs are considered in the order of [`crate::queue_order`]. Each gets the best placement that is
//! free: a reservation of its own team, unreserved capacity, then idle reservations of other teams.
//! If there is none, lent work is stopped to reclaim a reservation of the job's team, an urgent job
//! preempts the work that loses least, and a starving large job may preempt smaller jobs at
//! little cost. Capacity is kept free for the large job that has waited longest; other jobs
//! are backfilled before its planned start.

use std::collections::BTreeMap;

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::shape::Shape;

use crate::capacity_overlay::CapacityOverlay;
use crate::claim_table::ClaimTable;
use crate::placement_policy::Decision;
use crate::placement_policy::PlacementPolicy;
use crate::placement_policy::PlacementReason;
use crate::placement_policy::Plan;
use crate::placement_policy::WaitReason;
use crate::placement_policy::WaitingJob;
use crate::plan_round::PlanRound;
use crate::plan_round::ProposedPreemption;
use crate::planned_start;
use crate::planned_start::PlannedStart;
use crate::policy_weights::PolicyWeights;
use crate::queue_order::queue_order;

/// Maximum number of urgent jobs of one team that wait for preempted capacity at the same time.
const MAX_URGENT_CLAIMS_PER_TEAM: usize = 4;
/// Maximum number of urgent jobs for which victims are searched in one round.
const MAX_URGENT_SEARCHES: usize = 8;
/// Maximum number of starving jobs for which victims are searched in one round.
const MAX_STARVATION_SEARCHES: usize = 1;
/// Minimum time between two victim searches for the same starving job, in ms.
const STARVATION_SEARCH_INTERVAL_MS: u64 = 30_000;

/// Policy that keeps guarantees and lends idle reservations.
pub struct Guaranteed {
    weights: PolicyWeights,
    claims: ClaimTable,
    planned_start: Option<PlannedStart>,
    last_searches_ms: BTreeMap<JobKey, u64>,
    has_adopted_reclaims: bool,
}

impl Guaranteed {
    /// Creates a policy with the given weights.
    pub fn new(weights: PolicyWeights) -> Self {
        Self {
            weights,
            claims: ClaimTable::default(),
            planned_start: None,
            last_searches_ms: BTreeMap::new(),
            has_adopted_reclaims: false,
        }
    }
}

impl PlacementPolicy for Guaranteed {
    fn name(&self) -> &'static str {
        "guaranteed"
    }

    fn plan(&mut self, state: &State, now_ms: u64) -> Plan {
        if state.pending.is_empty() {
            self.planned_start = None;
            return Plan::default();
        }
        if !self.has_adopted_reclaims {
            self.claims.adopt_reclaims(state, now_ms);
            self.has_adopted_reclaims = true;
        }
        self.claims.expire(state, now_ms);
        self.last_searches_ms.retain(|job, _| state.pending.contains(job));
        self.planned_start =
            planned_start::update(self.planned_start.take(), state, &self.weights, now_ms);
        let mut overlay = CapacityOverlay::default();
        self.claims.occupy_others(state, None, &mut overlay);
        let mut round = PlanRound::new(state, now_ms, overlay);
        round.used_reservations = self.claims.reservations_of_others(None);
        let mut planner = RoundPlanner {
            weights: self.weights,
            claims: &mut self.claims,
            planned_start: self.planned_start.as_ref(),
            last_searches_ms: &mut self.last_searches_ms,
            round,
            infeasible_shapes: Vec::new(),
            assigned_reservations: Vec::new(),
            urgent_searches: 0,
            starvation_searches: 0,
            plan: Plan::default(),
        };
        planner.run();
        planner.plan.starving_job =
            self.planned_start.as_ref().map(|planned_start| planned_start.job);
        planner.plan
    }
}

/// Shape that did not fit in this round. A job whose shape covers it does not fit either, so no
/// placement is searched for it.
struct InfeasibleShape {
    shape: Shape,
    /// Whether the capacity of the planned start was excluded when the shape did not fit.
    delays_planned_start: bool,
}

struct RoundPlanner<'a> {
    weights: PolicyWeights,
    claims: &'a mut ClaimTable,
    planned_start: Option<&'a PlannedStart>,
    last_searches_ms: &'a mut BTreeMap<JobKey, u64>,
    round: PlanRound<'a>,
    infeasible_shapes: Vec<InfeasibleShape>,
    assigned_reservations: Vec<ReservationKey>,
    urgent_searches: usize,
    starvation_searches: usize,
    plan: Plan,
}

impl RoundPlanner<'_> {
    fn run(&mut self) {
        let (state, now_ms) = (self.round.state, self.round.now_ms);
        self.place_claiming_jobs();
        if let Some(planned_start) =
            self.planned_start.filter(|planned_start| !self.is_handled(planned_start.job))
        {
            self.consider(planned_start.job);
        }
        for key in queue_order(state, &self.weights, now_ms) {
            if self.plan.is_full() {
                self.record_wait(key, WaitReason::LaterRound);
                return;
            }
            let is_starving_job =
                self.planned_start.is_some_and(|planned_start| planned_start.job == key);
            if !is_starving_job && !self.is_handled(key) {
                self.consider(key);
            }
        }
    }

    /// Whether the job already has a capacity claim, or a decision in this round.
    fn is_handled(&self, key: JobKey) -> bool {
        let decisions = &self.plan.decisions;
        self.claims.get(key).is_some()
            || decisions.iter().any(|decision| match decision {
                Decision::Place { attempt, .. } => attempt.job == key,
                Decision::Preempt { job, .. } => *job == key,
            })
    }

    fn record_wait(&mut self, job: JobKey, reason: WaitReason) {
        self.plan.waiting.push(WaitingJob { job, reason });
    }

    /// Places the jobs that have a capacity claim and whose claimed capacity is free by now.
    fn place_claiming_jobs(&mut self) {
        let state = self.round.state;
        for key in self.claims.jobs() {
            let Some(job) = state.jobs.get(&key) else { continue };
            let mut overlay = CapacityOverlay::default();
            self.claims.occupy_others(state, Some(key), &mut overlay);
            let mut job_round = PlanRound::new(state, self.round.now_ms, overlay);
            job_round.used_reservations = self.claims.reservations_of_others(Some(key));
            job_round.used_reservations.extend(&self.assigned_reservations);
            match job_round.find_placement(key, job) {
                None => self.record_wait(key, WaitReason::Reclaiming),
                Some(placement) => {
                    self.claims.remove(key);
                    self.assigned_reservations.extend(placement.reservation);
                    self.round.record_placement(&placement, &job.spec.shape);
                    self.plan.decisions.push(placement.into_decision(key, job));
                }
            }
        }
    }

    fn consider(&mut self, key: JobKey) {
        let state = self.round.state;
        let Some(job) = state.jobs.get(&key) else { return };
        if job.not_before_ms > self.round.now_ms {
            return self.record_wait(key, WaitReason::BackingOff);
        }
        let delays_planned_start = self.delays_planned_start(key, job);
        if !self.is_known_infeasible(job, delays_planned_start)
            && self.place(key, job, delays_planned_start)
        {
            return;
        }
        if self.preempt_for(key, job) {
            return self.record_wait(key, WaitReason::Reclaiming);
        }
        let reason = if delays_planned_start && !self.is_known_infeasible(job, false) {
            WaitReason::BehindLargeJob
        } else {
            WaitReason::NoRoom
        };
        self.record_wait(key, reason);
    }

    fn is_known_infeasible(&self, job: &JobState, delays_planned_start: bool) -> bool {
        self.infeasible_shapes.iter().any(|infeasible| {
            infeasible.delays_planned_start <= delays_planned_start
                && job.spec.shape.covers(&infeasible.shape)
        })
    }

    /// Records the shape as infeasible if no free capacity, reserved or not, fits it.
    fn record_infeasible(&mut self, job: &JobState, delays_planned_start: bool) {
        if job.failed_workers.is_empty() && !self.round.fits_free_capacity(job) {
            self.infeasible_shapes
                .push(InfeasibleShape { shape: job.spec.shape, delays_planned_start });
        }
    }

    /// Whether the job would likely still run at the planned start of the starving job, and could
    /// not be preempted at little cost.
    fn delays_planned_start(&self, key: JobKey, job: &JobState) -> bool {
        let Some(start) = self.planned_start.filter(|start| start.job != key) else { return false };
        if job.spec.urgent || (job.is_preemptible() && job.spec.checkpointable) {
            return false;
        }
        let state = self.round.state;
        let declared_ms = state.remaining_declared_ms(job);
        let end_ms = self.round.now_ms + state.estimate(job).upper_estimate_ms(declared_ms);
        end_ms > start.start_ms
    }

    fn place(&mut self, key: JobKey, job: &JobState, delays_planned_start: bool) -> bool {
        let shape = &job.spec.shape;
        let before = self.round.overlay.clone();
        if delays_planned_start {
            self.occupy_planned_start();
        }
        let found = self.round.find_placement(key, job);
        if found.is_none() {
            self.record_infeasible(job, delays_planned_start);
        }
        self.round.overlay = before;
        let Some(mut placement) = found else { return false };
        let is_backfill = self.planned_start.is_some_and(|planned_start| planned_start.job != key);
        if is_backfill && placement.reason == PlacementReason::Unreserved {
            placement.reason = PlacementReason::Backfill;
        }
        self.round.record_placement(&placement, shape);
        self.plan.decisions.push(placement.into_decision(key, job));
        true
    }

    /// Excludes the capacity of the planned start from the search.
    fn occupy_planned_start(&mut self) {
        let Some(planned_start) = self.planned_start else { return };
        let Some(job) = self.round.state.jobs.get(&planned_start.job) else { return };
        self.round.overlay.occupy(&planned_start.members, &job.spec.shape.per_member);
    }

    /// Preempts other work for the job and claims the freed capacity. Returns false if no victims
    /// are found.
    fn preempt_for(&mut self, key: JobKey, job: &JobState) -> bool {
        let found = self.find_victims(key, job).filter(|found| !found.victims.is_empty());
        let Some(found) = found else { return false };
        self.plan.decisions.push(Decision::Preempt {
            job: key,
            reservation: found.reservation,
            victims: found.victims,
        });
        self.round.overlay.occupy(&found.members, &job.spec.shape.per_member);
        self.round.used_reservations.extend(found.reservation);
        self.claims.insert(key, found.members, found.reservation, self.round.now_ms);
        true
    }

    fn find_victims(&mut self, key: JobKey, job: &JobState) -> Option<ProposedPreemption> {
        if let Some(found) = self.round.find_reclaim(key, job) {
            return Some(found);
        }
        let is_starving = planned_start::is_starving(job, &self.weights, self.round.now_ms);
        let is_urgent =
            job.spec.urgent && self.urgent_claims(job.team) < MAX_URGENT_CLAIMS_PER_TEAM;
        if is_urgent && self.urgent_searches < MAX_URGENT_SEARCHES {
            self.urgent_searches += 1;
            return self.round.find_urgent_victims(key, job);
        }
        let now_ms = self.round.now_ms;
        let is_due = self
            .last_searches_ms
            .get(&key)
            .is_none_or(|last_ms| now_ms >= last_ms + STARVATION_SEARCH_INTERVAL_MS);
        if !is_starving || !is_due || self.starvation_searches >= MAX_STARVATION_SEARCHES {
            return None;
        }
        self.starvation_searches += 1;
        self.last_searches_ms.insert(key, now_ms);
        self.round
            .find_starvation_victims(key, job)
            .filter(|found| self.is_worth_preempting(job, found.lost_accelerator_ms))
    }

    fn urgent_claims(&self, team: TeamKey) -> usize {
        let claims = self.claims.jobs().into_iter();
        let jobs = claims.filter_map(|key| self.round.state.jobs.get(&key));
        jobs.filter(|job| job.spec.urgent && job.team == team).count()
    }

    /// Whether the work lost by preemption is small compared to the work of the job itself.
    fn is_worth_preempting(&self, job: &JobState, lost_accelerator_ms: u64) -> bool {
        let state = self.round.state;
        let run_ms = state.estimate(job).expected_ms(state.remaining_declared_ms(job));
        let work = u64::from(job.spec.shape.accelerators().max(1)) * run_ms;
        lost_accelerator_ms as f64 <= work as f64 * self.weights.max_preemption_loss
    }
}
