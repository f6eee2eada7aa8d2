//! Capacity already taken by decisions of the current round.

use std::collections::BTreeMap;

use cuminbarrow_ledger::pack::ResourceSet;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;

/// Capacity per worker that is taken by decisions not yet applied to the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityOverlay {
    taken: BTreeMap<WorkerKey, (Resources, AcceleratorSet)>,
}

impl CapacityOverlay {
    /// Marks the resources of some members as taken.
    pub(crate) fn occupy(&mut self, members: &[Member], per_member: &Resources) {
        for member in members {
            let (amounts, accelerators) = self.taken.entry(member.worker).or_default();
            *amounts = amounts.plus(per_member);
            *accelerators = accelerators.union(member.accelerators);
        }
    }

    /// Whether the members' resources are free on workers that accept reservations.
    pub(crate) fn are_free(
        &self,
        state: &State,
        members: &[Member],
        per_member: &Resources,
    ) -> bool {
        let mut trial = self.clone();
        members.iter().all(|member| {
            let Some(worker) = state.worker(member.worker) else { return false };
            let free = trial.remaining(member.worker, worker.free_resources());
            trial.occupy(std::slice::from_ref(member), per_member);
            worker.takes_reservations()
                && free.amounts.covers(per_member)
                && free.accelerators.contains(member.accelerators)
        })
    }

    /// Whether the members fit once the victims have stopped. Work that was placed in the current
    /// round can't be a victim, so its capacity stays taken.
    pub(crate) fn fits_after_preemption(
        &self,
        state: &State,
        members: &[Member],
        shape: &Shape,
        victims: &[AttemptKey],
    ) -> bool {
        let mut trial = self.clone();
        members.iter().all(|member| {
            let Some(worker) = state.worker(member.worker) else { return false };
            let freed = victims.iter().filter_map(|victim| worker.attempts.get(victim));
            let free_after = freed.fold(worker.free_resources(), |free, held| free.plus(held));
            let free = trial.remaining(member.worker, free_after);
            trial.occupy(std::slice::from_ref(member), &shape.per_member);
            free.amounts.covers(&shape.per_member)
                && free.accelerators.contains(member.accelerators)
        })
    }

    /// Subtracts the capacity taken on a worker from its free capacity.
    pub(crate) fn remaining(&self, worker: WorkerKey, free: ResourceSet) -> ResourceSet {
        match self.taken.get(&worker) {
            None => free,
            Some((amounts, accelerators)) => ResourceSet {
                amounts: free.amounts.minus(amounts),
                accelerators: free.accelerators.difference(*accelerators),
            },
        }
    }
}
