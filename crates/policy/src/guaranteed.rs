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

use crate::claim_table::ClaimTable;
use crate::large_shield;
use crate::large_shield::LargeShield;
use crate::placement_policy::Decision;
use crate::placement_policy::PlaceReason;
use crate::placement_policy::PlacementPolicy;
use crate::placement_policy::Plan;
use crate::placement_policy::WaitReason;
use crate::placement_policy::WaitingJob;
use crate::plan_round::FoundVictims;
use crate::plan_round::PlanRound;
use crate::policy_weights::PolicyWeights;
use crate::queue_order::queue_order;
use crate::room_overlay::RoomOverlay;

/// Maximum number of urgent jobs of one team that wait for preempted capacity at the same time.
const URGENT_CLAIMS_PER_TEAM: usize = 4;
/// Maximum number of urgent jobs for which victims are searched in one round.
const MAX_URGENT_SEARCHES: usize = 8;
/// Maximum number of starving jobs for which victims are searched in one round.
const MAX_MOVE_SEARCHES: usize = 1;
/// Minimum time between two victim searches for the same starving job, in ms.
const SEARCH_MS: u64 = 30_000;

/// Policy that keeps guarantees and lends idle reservations.
pub struct Guaranteed {
    weights: PolicyWeights,
    claims: ClaimTable,
    shield: Option<LargeShield>,
    searched: BTreeMap<JobKey, u64>,
    has_adopted: bool,
}

impl Guaranteed {
    /// Creates a policy with the given weights.
    pub fn new(weights: PolicyWeights) -> Self {
        Self {
            weights,
            claims: ClaimTable::default(),
            shield: None,
            searched: BTreeMap::new(),
            has_adopted: false,
        }
    }
}

impl PlacementPolicy for Guaranteed {
    fn name(&self) -> &'static str {
        "guaranteed"
    }

    fn plan(&mut self, state: &State, now_ms: u64) -> Plan {
        if state.pending.is_empty() {
            self.shield = None;
            return Plan::default();
        }
        if !self.has_adopted {
            self.claims.adopt_reclaims(state, now_ms);
            self.has_adopted = true;
        }
        self.claims.expire(state, now_ms);
        self.searched.retain(|job, _| state.pending.contains(job));
        self.shield = large_shield::update(self.shield.take(), state, &self.weights, now_ms);
        let mut overlay = RoomOverlay::default();
        self.claims.take_others(state, None, &mut overlay);
        let mut round = PlanRound::new(state, now_ms, overlay);
        round.used = self.claims.other_reservations(None);
        let mut planner = RoundPlanner {
            weights: self.weights,
            claims: &mut self.claims,
            shield: self.shield.as_ref(),
            searched: &mut self.searched,
            round,
            misfits: Vec::new(),
            given_out: Vec::new(),
            urgent_searches: 0,
            move_searches: 0,
            plan: Plan::default(),
        };
        planner.run();
        planner.plan.starving_job = self.shield.as_ref().map(|shield| shield.job);
        planner.plan
    }
}

/// Shape that did not fit in this round. A job whose shape covers it does not fit either, and is
/// skipped without a search.
struct Misfit {
    shape: Shape,
    is_behind_shield: bool,
}

struct RoundPlanner<'a> {
    weights: PolicyWeights,
    claims: &'a mut ClaimTable,
    shield: Option<&'a LargeShield>,
    searched: &'a mut BTreeMap<JobKey, u64>,
    round: PlanRound<'a>,
    misfits: Vec<Misfit>,
    given_out: Vec<ReservationKey>,
    urgent_searches: usize,
    move_searches: usize,
    plan: Plan,
}

impl RoundPlanner<'_> {
    fn run(&mut self) {
        let (state, now_ms) = (self.round.state, self.round.now_ms);
        self.place_claimants();
        if let Some(shield) = self.shield.filter(|shield| !self.is_handled(shield.job)) {
            self.look_at(shield.job);
        }
        for key in queue_order(state, &self.weights, now_ms) {
            if self.plan.is_full() {
                self.note(key, WaitReason::LaterRound);
                return;
            }
            let is_shielded = self.shield.is_some_and(|shield| shield.job == key);
            if !is_shielded && !self.is_handled(key) {
                self.look_at(key);
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

    fn note(&mut self, job: JobKey, reason: WaitReason) {
        self.plan.waiting.push(WaitingJob { job, reason });
    }

    /// Places the jobs that have a capacity claim and whose claimed capacity is free by now.
    fn place_claimants(&mut self) {
        let state = self.round.state;
        for key in self.claims.jobs() {
            let Some(job) = state.jobs.get(&key) else { continue };
            let mut overlay = RoomOverlay::default();
            self.claims.take_others(state, Some(key), &mut overlay);
            let mut own = PlanRound::new(state, self.round.now_ms, overlay);
            own.used = self.claims.other_reservations(Some(key));
            own.used.extend(&self.given_out);
            match own.find_place(key, job) {
                None => self.note(key, WaitReason::Reclaiming),
                Some(place) => {
                    self.claims.remove(key);
                    self.given_out.extend(place.reservation);
                    self.round.take(&place, &job.spec.shape);
                    self.plan.decisions.push(place.decision(key, job));
                }
            }
        }
    }

    fn look_at(&mut self, key: JobKey) {
        let state = self.round.state;
        let Some(job) = state.jobs.get(&key) else { return };
        if job.not_before_ms > self.round.now_ms {
            return self.note(key, WaitReason::BackingOff);
        }
        let is_behind_shield = self.is_behind_shield(key, job);
        if !self.is_misfit(job, is_behind_shield) && self.place(key, job, is_behind_shield) {
            return;
        }
        if self.make_room(key, job) {
            return self.note(key, WaitReason::Reclaiming);
        }
        let reason = if is_behind_shield && !self.is_misfit(job, false) {
            WaitReason::BehindLargeJob
        } else {
            WaitReason::NoRoom
        };
        self.note(key, reason);
    }

    fn is_misfit(&self, job: &JobState, is_behind_shield: bool) -> bool {
        self.misfits.iter().any(|misfit| {
            misfit.is_behind_shield <= is_behind_shield && job.spec.shape.covers(&misfit.shape)
        })
    }

    /// Records the shape as infeasible if no free capacity, reserved or not, fits it.
    fn note_misfit(&mut self, job: &JobState, is_behind_shield: bool) {
        if job.failed_workers.is_empty() && !self.round.has_room(job) {
            self.misfits.push(Misfit { shape: job.spec.shape, is_behind_shield });
        }
    }

    /// Whether the job would likely still run at the planned start of the starving job, and could
    /// not be preempted at little cost.
    fn is_behind_shield(&self, key: JobKey, job: &JobState) -> bool {
        let Some(shield) = self.shield.filter(|shield| shield.job != key) else { return false };
        if job.spec.urgent || (job.is_preemptible() && job.spec.checkpointable) {
            return false;
        }
        let state = self.round.state;
        let declared_ms = state.remaining_declared_ms(job);
        let end_ms = self.round.now_ms + state.estimate(job).upper_estimate_ms(declared_ms);
        end_ms > shield.start_ms
    }

    fn place(&mut self, key: JobKey, job: &JobState, is_behind_shield: bool) -> bool {
        let shape = &job.spec.shape;
        let before = self.round.overlay.clone();
        if is_behind_shield {
            self.take_shield();
        }
        let found = self.round.find_place(key, job);
        if found.is_none() {
            self.note_misfit(job, is_behind_shield);
        }
        self.round.overlay = before;
        let Some(mut place) = found else { return false };
        let is_backfill = self.shield.is_some_and(|shield| shield.job != key);
        if is_backfill && place.reason == PlaceReason::Unreserved {
            place.reason = PlaceReason::Backfill;
        }
        self.round.take(&place, shape);
        self.plan.decisions.push(place.decision(key, job));
        true
    }

    /// Excludes the capacity of the planned start from the search.
    fn take_shield(&mut self) {
        let Some(shield) = self.shield else { return };
        let Some(job) = self.round.state.jobs.get(&shield.job) else { return };
        self.round.overlay.take(&shield.members, &job.spec.shape.per_member);
    }

    /// Preempts other work for the job and claims the freed capacity. Returns false if no victims
    /// are found.
    fn make_room(&mut self, key: JobKey, job: &JobState) -> bool {
        let found = self.find_victims(key, job).filter(|found| !found.victims.is_empty());
        let Some(found) = found else { return false };
        self.plan.decisions.push(Decision::Preempt {
            job: key,
            reservation: found.reservation,
            victims: found.victims,
        });
        self.round.overlay.take(&found.members, &job.spec.shape.per_member);
        self.round.used.extend(found.reservation);
        self.claims.insert(key, found.members, found.reservation, self.round.now_ms);
        true
    }

    fn find_victims(&mut self, key: JobKey, job: &JobState) -> Option<FoundVictims> {
        if let Some(found) = self.round.find_reclaim(key, job) {
            return Some(found);
        }
        let is_starving = large_shield::is_starving(job, &self.weights, self.round.now_ms);
        let is_urgent = job.spec.urgent && self.urgent_claims(job.team) < URGENT_CLAIMS_PER_TEAM;
        if is_urgent && self.urgent_searches < MAX_URGENT_SEARCHES {
            self.urgent_searches += 1;
            return self.round.find_urgent_victims(key, job);
        }
        let now_ms = self.round.now_ms;
        let is_due = self.searched.get(&key).is_none_or(|last_ms| now_ms >= last_ms + SEARCH_MS);
        if !is_starving || !is_due || self.move_searches >= MAX_MOVE_SEARCHES {
            return None;
        }
        self.move_searches += 1;
        self.searched.insert(key, now_ms);
        self.round.find_moves(key, job).filter(|found| self.is_worth_moving(job, found.lost))
    }

    fn urgent_claims(&self, team: TeamKey) -> usize {
        let claims = self.claims.jobs().into_iter();
        let jobs = claims.filter_map(|key| self.round.state.jobs.get(&key));
        jobs.filter(|job| job.spec.urgent && job.team == team).count()
    }

    /// Whether the work lost by preemption is small compared to the work of the job itself.
    fn is_worth_moving(&self, job: &JobState, lost: u64) -> bool {
        let state = self.round.state;
        let run_ms = state.estimate(job).expected_ms(state.remaining_declared_ms(job));
        let work = u64::from(job.spec.shape.accelerators().max(1)) * run_ms;
        lost as f64 <= work as f64 * self.weights.move_loss
    }
}
