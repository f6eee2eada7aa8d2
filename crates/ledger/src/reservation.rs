//! Reservations: guaranteed shapes that are placed on specific workers.

use std::collections::BTreeMap;

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::DataCentreKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job_state::JobState;
use crate::pack::ResourceSet;
use crate::pack::distinct_workers;
use crate::pack::pack;
use crate::state::State;
use crate::worker_state::WorkerState;

/// One guaranteed shape of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Team that it is guaranteed to.
    pub team: TeamKey,
    /// Name of the guarantee in the sheet.
    pub guarantee: SmolStr,
    /// Guaranteed shape.
    pub shape: Shape,
    /// Members where it is placed; `None` while it fits nowhere.
    pub members: Option<Vec<Member>>,
    /// Job of the team that uses it.
    pub holder: Option<JobKey>,
    /// Job of the team for which it is being reclaimed, by preempting other jobs.
    pub reclaim_for: Option<JobKey>,
}

impl State {
    /// Removes a reservation from its members, for example after one of their workers was lost.
    pub(crate) fn release_reservation(&mut self, key: ReservationKey) {
        let Some(reservation) = self.reservations.get_mut(&key) else { return };
        reservation.reclaim_for = None;
        let team = reservation.team;
        let per_member = reservation.shape.per_member;
        let members = reservation.members.take().unwrap_or_default();
        for member in &members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.unreserve(team, member, &per_member);
            }
        }
    }

    /// Places each reservation that has no members, largest first.
    pub(crate) fn place_reservations(&mut self) {
        let mut unplaced: Vec<ReservationKey> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.members.is_none())
            .map(|(key, _)| *key)
            .collect();
        unplaced.sort_by_key(|key| {
            let shape = &self.reservations[key].shape;
            (std::cmp::Reverse(shape.accelerators()), std::cmp::Reverse(shape.members), *key)
        });
        for key in unplaced {
            self.place_reservation(key);
        }
    }

    /// Whether a non-preemptible job may be placed on the members: it blocks no reservation, or the
    /// idle reservations that it blocks can be placed elsewhere.
    pub fn can_place_non_preemptible(&self, key: JobKey, members: &[Member]) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        if self.fits_beside_reservations(key, members) {
            return true;
        }
        let mut trial = Self {
            workers: self.workers.clone(),
            racks: self.racks.clone(),
            reservations: self.reservations.clone(),
            ..Self::default()
        };
        trial.displace_reservations(job, members)
    }

    /// Whether a non-preemptible job on the members blocks no reservation.
    pub(crate) fn fits_beside_reservations(&self, key: JobKey, members: &[Member]) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        distinct_workers(members).into_iter().all(|worker| {
            let Some(mut trial) = self.worker(worker).cloned() else { return false };
            for member in members.iter().filter(|member| member.worker == worker) {
                trial.allocate_non_preemptible(job.team, member, &job.spec.shape.per_member);
            }
            trial.can_satisfy_reservations()
        })
    }

    /// Allocates the members to a non-preemptible job and places the idle reservations of other
    /// teams that it blocks elsewhere. Returns false, without restoring anything, if that fails.
    pub(crate) fn displace_reservations(&mut self, job: &JobState, members: &[Member]) -> bool {
        for member in members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.allocate_non_preemptible(job.team, member, &job.spec.shape.per_member);
            }
        }
        let conflicting: Vec<WorkerKey> = distinct_workers(members)
            .into_iter()
            .filter(|key| {
                self.worker(*key).is_some_and(|worker| !worker.can_satisfy_reservations())
            })
            .collect();
        if conflicting.is_empty() {
            return true;
        }
        let displaced = self.idle_reservations_on(&conflicting, job.team);
        for key in &displaced {
            self.release_reservation(*key);
        }
        self.place_reservations();
        let are_placed = displaced.iter().all(|key| self.reservations[key].members.is_some());
        let is_satisfiable =
            |key: &WorkerKey| self.worker(*key).is_some_and(WorkerState::can_satisfy_reservations);
        are_placed && conflicting.iter().all(is_satisfiable)
    }

    /// Moves reservations to the members that they have in `moved`.
    pub(crate) fn move_reservations(&mut self, moved: BTreeMap<ReservationKey, Reservation>) {
        for (key, target) in moved {
            if self
                .reservations
                .get(&key)
                .is_some_and(|reservation| reservation.members == target.members)
            {
                continue;
            }
            self.release_reservation(key);
            self.place_reservation_at(key, target.members);
        }
    }

    /// Places a reservation on the given members.
    fn place_reservation_at(&mut self, key: ReservationKey, members: Option<Vec<Member>>) {
        let Some(reservation) = self.reservations.get_mut(&key) else { return };
        let (team, per_member) = (reservation.team, reservation.shape.per_member);
        reservation.members.clone_from(&members);
        for member in members.iter().flatten() {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.reserve(team, member, &per_member);
            }
        }
    }

    fn idle_reservations_on(
        &self,
        workers: &[WorkerKey],
        excluded: TeamKey,
    ) -> Vec<ReservationKey> {
        self.reservations
            .iter()
            .filter(|(_, reservation)| {
                reservation.team != excluded
                    && reservation.holder.is_none()
                    && reservation.reclaim_for.is_none()
            })
            .filter(|(_, reservation)| {
                reservation.members.iter().flatten().any(|member| workers.contains(&member.worker))
            })
            .map(|(key, _)| *key)
            .collect()
    }

    /// Repacks all idle reservations, and keeps the result if more of them are placed or the
    /// unreserved capacity is less fragmented. No running job is moved.
    pub(crate) fn repack_reservations(&mut self) {
        let idle: Vec<ReservationKey> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| {
                reservation.holder.is_none() && reservation.reclaim_for.is_none()
            })
            .map(|(key, _)| *key)
            .collect();
        if idle.is_empty() {
            return;
        }
        let before = (self.workers.clone(), self.reservations.clone());
        let quality = self.placement_quality();
        for key in idle {
            self.release_reservation(key);
        }
        self.place_reservations();
        if self.placement_quality() <= quality {
            (self.workers, self.reservations) = before;
        }
    }

    /// Quality of the placement: the number of placed reservations, then a measure of how
    /// concentrated the unreserved capacity is in few data centres, the sum of the squares of the
    /// accelerators on workers without reservations.
    fn placement_quality(&self) -> (usize, u64) {
        let placed =
            self.reservations.values().filter(|reservation| reservation.members.is_some()).count();
        let mut capacities: BTreeMap<DataCentreKey, u64> = BTreeMap::new();
        for rack in &self.racks {
            let workers = rack.workers.iter().filter_map(|worker| self.worker(*worker));
            let unreserved: u64 = workers
                .filter(|worker| worker.takes_reservations())
                .filter(|worker| {
                    worker
                        .commitments
                        .iter()
                        .all(|commitment| commitment.reserved_accelerators.is_empty())
                })
                .map(|worker| u64::from(worker.spec.capacity.accelerators))
                .sum();
            *capacities.entry(rack.data_centre).or_default() += unreserved;
        }
        (placed, capacities.values().map(|capacity| capacity * capacity).sum())
    }

    fn place_reservation(&mut self, key: ReservationKey) {
        let shape = self.reservations[&key].shape;
        let members = pack(&self.racks, &shape, |worker| {
            let worker = self.worker(worker)?;
            worker.takes_reservations().then(|| worker.reservable_resources())
        });
        if members.is_some() {
            self.place_reservation_at(key, members);
        }
    }

    /// Whether the registered workers could hold the shape if no jobs ran. With
    /// `non_preemptible_team`, the capacity reserved for other teams is left out, since
    /// non-preemptible jobs may not use it.
    pub(crate) fn could_fit(&self, non_preemptible_team: Option<TeamKey>, shape: &Shape) -> bool {
        let available = |worker: &WorkerState| {
            let mut available =
                ResourceSet { amounts: worker.spec.capacity, accelerators: worker.accelerators() };
            if let Some(team) = non_preemptible_team {
                for commitment in
                    worker.commitments.iter().filter(|commitment| commitment.team != team)
                {
                    available.amounts = available.amounts.minus(&commitment.reserved);
                    available.accelerators =
                        available.accelerators.difference(commitment.reserved_accelerators);
                }
            }
            available
        };
        let members = pack(&self.racks, shape, |worker| {
            let worker = self.worker(worker)?;
            worker.is_registered().then(|| available(worker))
        });
        members.is_some()
    }
}
