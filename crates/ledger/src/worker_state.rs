//! State of a worker, with the resources that are used, reserved and free on it.

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

/// Availability of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerStatus {
    /// Takes no new work; running work continues.
    Draining,
    /// Deregistered after a drain.
    Left,
    /// Its agent became unresponsive.
    Lost,
    /// Takes new work.
    Up,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Specification that its agent registered.
    pub spec: WorkerSpec,
    /// Rack of the worker.
    pub rack: RackKey,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Number of its agent's latest session.
    pub session: u32,
    /// Entry instance that its agent is connected to.
    pub entry: u64,
    /// Availability.
    pub status: WorkerStatus,
    /// Resources allocated to placed attempts.
    pub used: Resources,
    /// Accelerators allocated to placed attempts.
    pub used_accelerators: AcceleratorSet,
    /// Attempts with members on this worker, and the resources allocated to them.
    pub attempts: BTreeMap<AttemptKey, ResourceSet>,
    /// Resources committed to teams, ordered by team.
    pub commitments: Vec<TeamCommitment>,
    /// Distinct jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<JobKey>,
    /// Time of the last failure that began or extended a quarantine, in ms since the Unix epoch;
    /// `None` while the worker is not quarantined.
    pub quarantined_ms: Option<u64>,
}

impl WorkerState {
    /// Whether the worker takes new work, apart from a quarantine.
    pub fn is_up(&self) -> bool {
        self.status == WorkerStatus::Up
    }

    /// Whether reservations may be placed on this worker.
    pub fn takes_reservations(&self) -> bool {
        self.is_up() && self.quarantined_ms.is_none()
    }

    /// Whether the worker counts towards the capacity of the deployment, as all but deregistered
    /// ones do.
    pub fn is_registered(&self) -> bool {
        self.status != WorkerStatus::Left
    }

    /// All accelerators of the worker.
    pub fn accelerators(&self) -> AcceleratorSet {
        AcceleratorSet::first(self.spec.capacity.accelerators)
    }

    /// Resources that are not allocated to any attempt.
    pub fn free_resources(&self) -> ResourceSet {
        ResourceSet {
            amounts: self.spec.capacity.minus(&self.used),
            accelerators: self.accelerators().difference(self.used_accelerators),
        }
    }

    /// Resources that are neither allocated nor reserved for a team other than `team`.
    pub fn unreserved_resources(&self, team: TeamKey) -> ResourceSet {
        let mut available = self.free_resources();
        let mut unused_reserved = Resources::default();
        for commitment in self.commitments.iter().filter(|commitment| commitment.team != team) {
            unused_reserved =
                unused_reserved.plus(&commitment.committed().minus(&commitment.non_preemptible));
            available.accelerators =
                available.accelerators.difference(commitment.reserved_accelerators);
        }
        available.amounts = available.amounts.minus(&unused_reserved);
        available
    }

    /// Free resources that non-preemptible jobs of `team` may use without blocking a reservation of
    /// another team.
    pub fn free_for_non_preemptible(&self, team: TeamKey) -> ResourceSet {
        self.free_resources().limited_to(&self.non_preemptible_limit(team))
    }

    /// Resources that further non-preemptible jobs of `team` may use beside the commitments to
    /// other teams, if no preemptible job ran on this worker.
    pub fn non_preemptible_limit(&self, team: TeamKey) -> ResourceSet {
        let mut limit =
            ResourceSet { amounts: self.spec.capacity, accelerators: self.accelerators() };
        for commitment in &self.commitments {
            if commitment.team == team {
                limit.amounts = limit.amounts.minus(&commitment.non_preemptible);
                continue;
            }
            limit.amounts = limit.amounts.minus(&commitment.committed());
            limit.accelerators = limit.accelerators.difference(commitment.reserved_accelerators);
        }
        limit
    }

    /// Resources that a new reservation may use: the capacity less the commitments to all teams.
    pub fn reservable_resources(&self) -> ResourceSet {
        let mut available =
            ResourceSet { amounts: self.spec.capacity, accelerators: self.accelerators() };
        for commitment in &self.commitments {
            available.amounts = available.amounts.minus(&commitment.committed());
            available.accelerators = available.accelerators.difference(
                commitment.reserved_accelerators.union(commitment.non_preemptible_accelerators),
            );
        }
        available
    }

    /// Commitment to a team, created if there is none.
    pub(crate) fn commitment_mut(&mut self, team: TeamKey) -> &mut TeamCommitment {
        let index = match self.commitments.binary_search_by_key(&team, |commitment| commitment.team)
        {
            Err(index) => {
                self.commitments
                    .insert(index, TeamCommitment { team, ..TeamCommitment::default() });
                index
            }
            Ok(index) => index,
        };
        &mut self.commitments[index]
    }

    pub(crate) fn allocate(
        &mut self,
        attempt: AttemptKey,
        member: &Member,
        per_member: &Resources,
    ) {
        self.used = self.used.plus(per_member);
        self.used_accelerators = self.used_accelerators.union(member.accelerators);
        let allocated = self.attempts.entry(attempt).or_default();
        allocated.amounts = allocated.amounts.plus(per_member);
        allocated.accelerators = allocated.accelerators.union(member.accelerators);
    }

    pub(crate) fn release(&mut self, attempt: AttemptKey, member: &Member, per_member: &Resources) {
        self.used = self.used.minus(per_member);
        self.used_accelerators = self.used_accelerators.difference(member.accelerators);
        self.attempts.remove(&attempt);
    }

    pub(crate) fn allocate_non_preemptible(
        &mut self,
        team: TeamKey,
        member: &Member,
        per_member: &Resources,
    ) {
        let commitment = self.commitment_mut(team);
        commitment.non_preemptible = commitment.non_preemptible.plus(per_member);
        commitment.non_preemptible_accelerators =
            commitment.non_preemptible_accelerators.union(member.accelerators);
    }

    pub(crate) fn release_non_preemptible(
        &mut self,
        team: TeamKey,
        member: &Member,
        per_member: &Resources,
    ) {
        let commitment = self.commitment_mut(team);
        commitment.non_preemptible = commitment.non_preemptible.minus(per_member);
        commitment.non_preemptible_accelerators =
            commitment.non_preemptible_accelerators.difference(member.accelerators);
        self.commitments.retain(|commitment| !commitment.is_empty());
    }

    pub(crate) fn reserve(&mut self, team: TeamKey, member: &Member, per_member: &Resources) {
        let commitment = self.commitment_mut(team);
        commitment.reserved = commitment.reserved.plus(per_member);
        commitment.reserved_accelerators =
            commitment.reserved_accelerators.union(member.accelerators);
    }

    pub(crate) fn unreserve(&mut self, team: TeamKey, member: &Member, per_member: &Resources) {
        let commitment = self.commitment_mut(team);
        commitment.reserved = commitment.reserved.minus(per_member);
        commitment.reserved_accelerators =
            commitment.reserved_accelerators.difference(member.accelerators);
        self.commitments.retain(|commitment| !commitment.is_empty());
    }
}
