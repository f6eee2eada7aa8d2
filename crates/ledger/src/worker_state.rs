//! A worker as the log knows it, with what is used, reserved and offered there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::RackKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::worker::WorkerSpec;
use serde::Deserialize;
use serde::Serialize;

use crate::pack::ResourceSet;
use crate::team_commitment::TeamCommitment;

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerStatus {
    /// Takes no new work; running work goes on.
    Draining,
    /// Left on its own accord.
    Left,
    /// Its agent is not heard from.
    Lost,
    /// Takes work.
    Up,
}

/// A worker as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// What it announced.
    pub spec: WorkerSpec,
    /// Its rack.
    pub rack: RackKey,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Session of its agent.
    pub session: u32,
    /// Entry instance that its agent is connected to.
    pub entry: u64,
    /// Whether it takes work.
    pub status: WorkerStatus,
    /// What placed attempts take.
    pub used: Resources,
    /// Accelerators of those.
    pub used_accelerators: AcceleratorSet,
    /// Attempts with members here, and what those take.
    pub attempts: BTreeMap<AttemptKey, ResourceSet>,
    /// What teams hold here, by team.
    pub commitments: Vec<TeamCommitment>,
    /// Distinct jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<JobKey>,
    /// Since when the worker is quarantined, in ms since the Unix epoch.
    pub quarantined_ms: Option<u64>,
}

impl WorkerState {
    /// Whether new work may be placed here, quarantine aside.
    pub fn is_up(&self) -> bool {
        self.status == WorkerStatus::Up
    }

    /// Whether reservations may be held here.
    pub fn takes_reservations(&self) -> bool {
        self.is_up() && self.quarantined_ms.is_none()
    }

    /// Whether the worker counts towards what the deployment has.
    pub fn is_registered(&self) -> bool {
        self.status != WorkerStatus::Left
    }

    /// Accelerators that the worker has.
    pub fn accelerators(&self) -> AcceleratorSet {
        AcceleratorSet::first(self.spec.capacity.accelerators)
    }

    /// What no placed attempt takes.
    pub fn free_resources(&self) -> ResourceSet {
        ResourceSet {
            amounts: self.spec.capacity.minus(&self.used),
            accelerators: self.accelerators().difference(self.used_accelerators),
        }
    }

    /// What is neither used nor reserved for a team other than `team`.
    pub fn unreserved_resources(&self, team: TeamKey) -> ResourceSet {
        let mut offer = self.free_resources();
        let mut kept = Resources::default();
        for hold in self.commitments.iter().filter(|hold| hold.team != team) {
            kept = kept.plus(&hold.committed().minus(&hold.non_preemptible));
            offer.accelerators = offer.accelerators.difference(hold.reserved_accelerators);
        }
        offer.amounts = offer.amounts.minus(&kept);
        offer
    }

    /// What `team` may take for firm work without harm to any other team's reservation.
    pub fn free_for_non_preemptible(&self, team: TeamKey) -> ResourceSet {
        self.free_resources().limited_to(&self.non_preemptible_limit(team))
    }

    /// The most that `team` may take for further firm work beside other teams' reservations, were
    /// no preemptible work here.
    pub fn non_preemptible_limit(&self, team: TeamKey) -> ResourceSet {
        let mut limit =
            ResourceSet { amounts: self.spec.capacity, accelerators: self.accelerators() };
        for hold in &self.commitments {
            if hold.team == team {
                limit.amounts = limit.amounts.minus(&hold.non_preemptible);
                continue;
            }
            limit.amounts = limit.amounts.minus(&hold.committed());
            limit.accelerators = limit.accelerators.difference(hold.reserved_accelerators);
        }
        limit
    }

    /// What a new reservation may take: capacity less everything kept for any team.
    pub fn reservable_resources(&self) -> ResourceSet {
        let mut offer =
            ResourceSet { amounts: self.spec.capacity, accelerators: self.accelerators() };
        for hold in &self.commitments {
            offer.amounts = offer.amounts.minus(&hold.committed());
            offer.accelerators = offer
                .accelerators
                .difference(hold.reserved_accelerators.union(hold.non_preemptible_accelerators));
        }
        offer
    }

    /// The hold of a team, made when there is none.
    pub(crate) fn commitment_mut(&mut self, team: TeamKey) -> &mut TeamCommitment {
        let index = match self.commitments.binary_search_by_key(&team, |hold| hold.team) {
            Err(index) => {
                self.commitments
                    .insert(index, TeamCommitment { team, ..TeamCommitment::default() });
                index
            }
            Ok(index) => index,
        };
        &mut self.commitments[index]
    }

    pub(crate) fn allocate(&mut self, attempt: AttemptKey, member: &Member, each: &Resources) {
        self.used = self.used.plus(each);
        self.used_accelerators = self.used_accelerators.union(member.accelerators);
        let held = self.attempts.entry(attempt).or_default();
        held.amounts = held.amounts.plus(each);
        held.accelerators = held.accelerators.union(member.accelerators);
    }

    pub(crate) fn release(&mut self, attempt: AttemptKey, member: &Member, each: &Resources) {
        self.used = self.used.minus(each);
        self.used_accelerators = self.used_accelerators.difference(member.accelerators);
        self.attempts.remove(&attempt);
    }

    pub(crate) fn allocate_non_preemptible(
        &mut self,
        team: TeamKey,
        member: &Member,
        each: &Resources,
    ) {
        let hold = self.commitment_mut(team);
        hold.non_preemptible = hold.non_preemptible.plus(each);
        hold.non_preemptible_accelerators =
            hold.non_preemptible_accelerators.union(member.accelerators);
    }

    pub(crate) fn release_non_preemptible(
        &mut self,
        team: TeamKey,
        member: &Member,
        each: &Resources,
    ) {
        let hold = self.commitment_mut(team);
        hold.non_preemptible = hold.non_preemptible.minus(each);
        hold.non_preemptible_accelerators =
            hold.non_preemptible_accelerators.difference(member.accelerators);
        self.commitments.retain(|hold| !hold.is_empty());
    }

    pub(crate) fn reserve(&mut self, team: TeamKey, member: &Member, each: &Resources) {
        let hold = self.commitment_mut(team);
        hold.reserved = hold.reserved.plus(each);
        hold.reserved_accelerators = hold.reserved_accelerators.union(member.accelerators);
    }

    pub(crate) fn unreserve(&mut self, team: TeamKey, member: &Member, each: &Resources) {
        let hold = self.commitment_mut(team);
        hold.reserved = hold.reserved.minus(each);
        hold.reserved_accelerators = hold.reserved_accelerators.difference(member.accelerators);
        self.commitments.retain(|hold| !hold.is_empty());
    }
}
