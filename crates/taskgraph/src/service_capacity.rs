//! Capacity of a service's workers, how many tasks it holds, and how much of it is in use.

use crate::capacity_map::CapacityMap;
use crate::capacity_map::WorkerCapacity;
use crate::graph_state::GraphState;
use crate::resource_amounts::ResourceAmounts;
use crate::worker::WorkerState;
use crate::worker::WorkerStatus;

/// Workers of a service on which tasks may be placed in a round: ready, neither evacuated nor
/// quarantined.
pub(crate) fn usable_workers<'a>(
    map: &'a CapacityMap<'a>,
    service: &'a str,
) -> impl Iterator<Item = &'a WorkerCapacity<'a>> {
    let workers = map.workers.iter().filter(move |worker| worker.state.spec.service == service);
    workers.filter(|worker| worker.is_usable())
}

/// Workers of a service to which the log permits placements: ready and not evacuated. Quarantined ones
/// count, because they are back within seconds.
pub(crate) fn ready_workers<'a>(
    state: &'a GraphState,
    service: &str,
) -> impl Iterator<Item = &'a WorkerState> {
    workers_of(state, service).filter(|worker| worker.is_ready() && !state.is_evacuated(worker))
}

/// Workers that stay in a service: neither draining nor evacuated. Suspected workers count, because
/// they are back or removed within seconds, and so do quarantined ones.
pub(crate) fn staying_workers<'a>(
    state: &'a GraphState,
    service: &str,
) -> impl Iterator<Item = &'a WorkerState> {
    workers_of(state, service)
        .filter(|worker| !matches!(worker.status, WorkerStatus::Draining { .. }))
        .filter(|worker| !state.is_evacuated(worker))
}

/// All workers of a service.
pub(crate) fn workers_of<'a>(
    state: &'a GraphState,
    service: &str,
) -> impl Iterator<Item = &'a WorkerState> {
    state.workers.values().filter(move |worker| worker.spec.service == service)
}

/// Distinct sizes of workers, with their numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerSizes(Vec<(ResourceAmounts, u32)>);

impl WorkerSizes {
    /// Counts a worker of this size.
    pub(crate) fn add(&mut self, size: ResourceAmounts) {
        match self.0.iter_mut().find(|(known, _)| *known == size) {
            Some((_, count)) => *count += 1,
            None => self.0.push((size, 1)),
        }
    }

    /// Number of tasks with these resources that the workers hold when empty, at most `limit` on each.
    pub(crate) fn slots(&self, each: &ResourceAmounts, limit: u32) -> u32 {
        let sizes = self.0.iter();
        let slots =
            sizes.map(|(size, count)| size.fit_count(each).min(limit).saturating_mul(*count));
        slots.fold(0, u32::saturating_add)
    }
}

/// Sums over a selection of a service's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceUsage {
    /// Resources of the workers.
    pub(crate) total: ResourceAmounts,
    /// Resources that are in use on them.
    pub(crate) used: ResourceAmounts,
}

impl ServiceUsage {
    /// Usage of [`usable_workers`], the round's own allocations included.
    pub(crate) fn of_usable(map: &CapacityMap<'_>, service: &str) -> Self {
        let workers = usable_workers(map, service);
        Self::sum(workers.map(|worker| {
            let total = worker.state.spec.resources;
            Self { total, used: total.minus(&worker.free) }
        }))
    }

    /// Usage of workers according to the state.
    pub(crate) fn of_workers(workers: &[&WorkerState]) -> Self {
        let usages = workers.iter();
        Self::sum(usages.map(|worker| Self { total: worker.spec.resources, used: worker.used }))
    }

    fn sum<I>(usages: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        usages.fold(Self::default(), |sum, one| Self {
            total: sum.total.plus(&one.total),
            used: sum.used.plus(&one.used),
        })
    }

    /// Resources that are not in use.
    pub(crate) fn free(&self) -> ResourceAmounts {
        self.total.minus(&self.used)
    }

    /// Whether at least half of the capacity is in use, by accelerators if there are any, otherwise by
    /// processor time. False if there is no capacity.
    pub(crate) fn is_half_used(&self) -> bool {
        let (used, total) = if self.total.accelerators > 0 {
            (self.used.accelerators, self.total.accelerators)
        } else {
            (self.used.cpu_millis, self.total.cpu_millis)
        };
        total > 0 && u64::from(used) * 2 >= u64::from(total)
    }
}
