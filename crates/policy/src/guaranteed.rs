//! The product's policy: guarantees, lending and reclaim, urgent work, a shield for large jobs.
//!
//! Jobs are looked at in the order of [`crate::queue_order`]. Each takes the best place that is
//! free: its team's own reservation, room reserved for nobody, then idle reservations of others
//! on loan. Where there is none, a team reclaims its reservation, an urgent job stops the work
//! that loses least, and the large job that waits longest may have checkpointable work moved.

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::shape::Shape;

use crate::claim_table::ClaimTable;
use crate::large_shield;
use crate::large_shield::LargeShield;
use crate::placement_policy::Decision;
use crate::placement_policy::PlaceReason;
use crate::placement_policy::PlacementPolicy;
use crate::placement_policy::Plan;
use crate::placement_policy::WaitNote;
use crate::placement_policy::WaitReason;
use crate::plan_round::FoundVictims;
use crate::plan_round::PlanRound;
use crate::policy_weights::PolicyWeights;
use crate::queue_order::queue_order;
use crate::room_overlay::RoomOverlay;

/// Urgent jobs of one team that may have work of others stopped for them at once.
const URGENT_CLAIMS_PER_TEAM: usize = 4;
/// Jobs for which victims are looked for in one round.
const MAX_VICTIM_SEARCHES: usize = 8;

/// The product's policy.
pub struct Guaranteed {
    weights: PolicyWeights,
    claims: ClaimTable,
    shield: Option<LargeShield>,
}

impl Guaranteed {
    /// A policy with some weights.
    pub fn new(weights: PolicyWeights) -> Self {
        Self { weights, claims: ClaimTable::default(), shield: None }
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
        self.claims.expire(state, now_ms);
        self.shield = large_shield::update(self.shield.take(), state, &self.weights, now_ms);
        let mut overlay = RoomOverlay::default();
        self.claims.take_others(state, None, &mut overlay);
        let mut planner = RoundPlanner {
            weights: self.weights,
            claims: &mut self.claims,
            shield: self.shield.as_ref(),
            round: PlanRound::new(state, now_ms, overlay),
            misfits: Vec::new(),
            searches: 0,
            plan: Plan::default(),
        };
        planner.run();
        planner.plan
    }
}

/// A shape that found no place in this round; another job like it finds none either.
#[derive(PartialEq, Eq)]
struct Misfit {
    shape: Shape,
    team: TeamKey,
    is_firm: bool,
    is_behind_shield: bool,
}

struct RoundPlanner<'a> {
    weights: PolicyWeights,
    claims: &'a mut ClaimTable,
    shield: Option<&'a LargeShield>,
    round: PlanRound<'a>,
    misfits: Vec<Misfit>,
    searches: usize,
    plan: Plan,
}

impl RoundPlanner<'_> {
    fn run(&mut self) {
        let (state, now_ms) = (self.round.state, self.round.now_ms);
        self.place_claimants();
        if let Some(shield) = self.shield {
            self.look_at(shield.job);
        }
        for key in queue_order(state, &self.weights, now_ms) {
            if self.plan.is_full() {
                self.note(key, WaitReason::LaterRound);
                return;
            }
            let is_done = self.claims.get(key).is_some()
                || self.shield.is_some_and(|shield| shield.job == key)
                || self.is_decided(key);
            if !is_done {
                self.look_at(key);
            }
        }
    }

    fn is_decided(&self, key: JobKey) -> bool {
        self.plan.decisions.iter().any(|decision| match decision {
            Decision::Place { attempt, .. } => attempt.job == key,
            Decision::Preempt { job, .. } => *job == key,
        })
    }

    fn note(&mut self, job: JobKey, reason: WaitReason) {
        self.plan.waits.push(WaitNote { job, reason });
    }

    /// Places the jobs for which room was reclaimed, as soon as it is free.
    fn place_claimants(&mut self) {
        let state = self.round.state;
        for key in self.claims.jobs() {
            let Some(job) = state.jobs.get(&key) else { continue };
            let mut overlay = RoomOverlay::default();
            self.claims.take_others(state, Some(key), &mut overlay);
            let mut own = PlanRound::new(state, self.round.now_ms, overlay);
            own.used.clone_from(&self.round.used);
            match own.find_place(key, job) {
                None => self.note(key, WaitReason::Reclaiming),
                Some(place) => {
                    self.claims.remove(key);
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
        let misfit = Misfit {
            shape: job.spec.shape,
            team: job.team,
            is_firm: !job.is_preemptible(),
            is_behind_shield,
        };
        if !self.misfits.contains(&misfit) {
            if self.place(key, job, is_behind_shield) {
                return;
            }
            self.misfits.push(misfit);
        }
        if self.make_room(key, job) {
            return self.note(key, WaitReason::Reclaiming);
        }
        let is_held_back = is_behind_shield && self.round.find_place(key, job).is_some();
        let reason = if is_held_back { WaitReason::BehindLargeJob } else { WaitReason::NoRoom };
        self.note(key, reason);
    }

    /// Whether the job would likely still run when the shielded job finds its room, and could not
    /// be moved out of its way at little cost.
    fn is_behind_shield(&self, key: JobKey, job: &JobState) -> bool {
        let Some(shield) = self.shield.filter(|shield| shield.job != key) else { return false };
        if job.spec.urgent || (job.is_preemptible() && job.spec.checkpointable) {
            return false;
        }
        let state = self.round.state;
        let declared_ms = state.declared_rest_ms(job);
        let end_ms = self.round.now_ms + state.estimate(job).rarely_exceeded_ms(declared_ms);
        end_ms > shield.start_ms
    }

    fn place(&mut self, key: JobKey, job: &JobState, is_behind_shield: bool) -> bool {
        let shape = &job.spec.shape;
        let before = self.round.overlay.clone();
        if is_behind_shield {
            self.take_shield();
        }
        let found = self.round.find_place(key, job);
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

    /// Takes the shielded room off what is offered.
    fn take_shield(&mut self) {
        let Some(shield) = self.shield else { return };
        let Some(job) = self.round.state.jobs.get(&shield.job) else { return };
        self.round.overlay.take(&shield.members, &job.spec.shape.per_member);
    }

    /// Has work stopped so that the job finds room; the job waits for that.
    fn make_room(&mut self, key: JobKey, job: &JobState) -> bool {
        let Some(found) = self.find_victims(key, job) else { return false };
        if !found.victims.is_empty() {
            self.plan.decisions.push(Decision::Preempt {
                job: key,
                reservation: found.reservation,
                victims: found.victims,
            });
        }
        self.round.overlay.take(&found.members, &job.spec.shape.per_member);
        self.round.used.extend(found.reservation);
        self.claims.insert(key, found.members, self.round.now_ms);
        true
    }

    fn find_victims(&mut self, key: JobKey, job: &JobState) -> Option<FoundVictims> {
        if let Some(found) = self.round.find_reclaim(key, job) {
            return Some(found);
        }
        let is_shielded = self.shield.is_some_and(|shield| shield.job == key);
        let is_urgent = job.spec.urgent && self.urgent_claims(job.team) < URGENT_CLAIMS_PER_TEAM;
        if !(is_shielded || is_urgent) || self.searches >= MAX_VICTIM_SEARCHES {
            return None;
        }
        self.searches += 1;
        if is_urgent {
            return self.round.find_urgent_victims(job);
        }
        self.round.find_moves(job).filter(|found| self.is_worth_moving(job, found.lost))
    }

    fn urgent_claims(&self, team: TeamKey) -> usize {
        let claims = self.claims.jobs().into_iter();
        let jobs = claims.filter_map(|key| self.round.state.jobs.get(&key));
        jobs.filter(|job| job.spec.urgent && job.team == team).count()
    }

    /// Whether moving work out of a large job's way costs little against the job itself.
    fn is_worth_moving(&self, job: &JobState, lost: u64) -> bool {
        let state = self.round.state;
        let run_ms = state.estimate(job).likely_ms(state.declared_rest_ms(job));
        let work = u64::from(job.spec.shape.accelerators().max(1)) * run_ms;
        lost as f64 <= work as f64 * self.weights.move_loss
    }
}
