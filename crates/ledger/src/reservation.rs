//! Reservations: guaranteed shapes pinned to concrete members.

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::shape::Shape;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::pack::Offer;
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
    /// The shape.
    pub shape: Shape,
    /// Where it is held; nothing while no place is left for it.
    pub members: Option<Vec<Member>>,
    /// The team's job that uses it.
    pub holder: Option<JobKey>,
    /// The team's job that it is being reclaimed for.
    pub reclaim_for: Option<JobKey>,
}

impl State {
    /// Takes a reservation off its members, as after the loss of one of their workers.
    pub(crate) fn release_reservation(&mut self, key: ReservationKey) {
        let Some(reservation) = self.reservations.get_mut(&key) else { return };
        reservation.reclaim_for = None;
        let team = reservation.team;
        let each = reservation.shape.per_member;
        let members = reservation.members.take().unwrap_or_default();
        for member in &members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.unreserve(team, member, &each);
            }
        }
    }

    /// Finds members for each reservation without any, largest first.
    pub(crate) fn place_reservations(&mut self) {
        let mut homeless: Vec<ReservationKey> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.members.is_none())
            .map(|(key, _)| *key)
            .collect();
        homeless.sort_by_key(|key| {
            let shape = &self.reservations[key].shape;
            (std::cmp::Reverse(shape.accelerators()), std::cmp::Reverse(shape.members), *key)
        });
        for key in homeless {
            self.place_reservation(key);
        }
    }

    fn place_reservation(&mut self, key: ReservationKey) {
        let shape = self.reservations[&key].shape;
        let members = pack(&self.racks, &shape, |worker| {
            let worker = self.worker(worker)?;
            worker.takes_reservations().then(|| worker.reservable_offer())
        });
        let Some(members) = members else { return };
        let team = self.reservations[&key].team;
        for member in &members {
            if let Some(worker) = self.worker_mut(member.worker) {
                worker.reserve(team, member, &shape.per_member);
            }
        }
        if let Some(reservation) = self.reservations.get_mut(&key) {
            reservation.members = Some(members);
        }
    }

    /// Whether all known workers, were they empty, could hold the shape. With `firm_team` the
    /// reservations of the other teams are left out, as they are for work that can't be preempted.
    pub(crate) fn could_hold(&self, firm_team: Option<TeamKey>, shape: &Shape) -> bool {
        let offer = |worker: &WorkerState| {
            let mut offer =
                Offer { free: worker.spec.capacity, accelerators: worker.accelerators() };
            if let Some(team) = firm_team {
                for hold in worker.holds.iter().filter(|hold| hold.team != team) {
                    offer.free = offer.free.minus(&hold.reserved);
                    offer.accelerators = offer.accelerators.difference(hold.reserved_accelerators);
                }
            }
            offer
        };
        let members = pack(&self.racks, shape, |worker| {
            let worker = self.worker(worker)?;
            worker.is_known().then(|| offer(worker))
        });
        members.is_some()
    }
}
