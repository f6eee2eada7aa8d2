//! Searches for the plan that preempts least, all tasks of a step considered together.
//!
//! Answers the load of urgent gangs over a service full of narrow tasks and other gangs. A choice made
//! task by task stops many runs where one wide run or one gang would do, and picks tasks that were
//! preempted before. Here several plans are made, each trimmed to what it needs, and the one with the
//! lowest rank is taken. Runs that are about to end count as victims without cost that are not stopped.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::reclaim::PreemptionScope;
use crate::reclaim::ReclaimPlan;
use crate::reclaim::ReclaimTerms;
use crate::reclaim::per_worker_limit;
use crate::resource_amounts::ResourceAmounts;
use crate::task_key::RunKey;
use crate::victim_table::VictimTable;
use crate::worker::WorkerKey;

/// Maximum number of gangs with which a plan is begun, the cheapest for what they free first. Each costs
/// about as much time as the plan without it.
const MAX_SEEDS: usize = 3;

/// Runs that end together.
struct VictimGroup {
    /// Runs, with the indices of their workers and their resources.
    members: Vec<(RunKey, usize, ResourceAmounts)>,
    /// Work that is lost, in core-ms.
    cost: u64,
    /// Cost as compared with that of others, in core-ms; 0 if the runs are about to end.
    rank: u64,
    saves_progress: bool,
    /// Whether the runs are waited for rather than stopped.
    is_awaited: bool,
}

impl VictimGroup {
    /// Order of groups at equal rank: first those that need no stop, then those with checkpoints.
    fn order(&self) -> (u64, bool, bool) {
        (self.rank, !self.is_awaited, !self.saves_progress)
    }

    /// Rank for each unit of weight that the group frees.
    fn density(&self) -> u64 {
        let weight: u64 = self.members.iter().map(|(.., held)| held.weight()).sum();
        self.rank.saturating_mul(1_000) / weight.max(1)
    }
}

/// A worker that the step may use.
struct WorkerOption {
    index: usize,
    /// Number of the step's tasks that fit if the worker is empty.
    limit: u32,
    unused_accelerators: u32,
    /// Indices of the groups with runs there, by order and by density.
    by_order: Vec<usize>,
    by_density: Vec<usize>,
}

/// Victims on one worker that free capacity for a number of tasks.
#[derive(Clone, Default)]
struct VictimChoice {
    groups: Vec<usize>,
    rank: u64,
    tasks: u32,
}

/// Plan in the making.
struct Attempt {
    available: Vec<ResourceAmounts>,
    is_chosen: Vec<bool>,
    taken: Vec<u32>,
}

/// How many tasks are placed on a worker in one step of the search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stride {
    /// One task.
    One,
    /// As many as is cheapest for each of them.
    Cheapest,
}

/// Groups and workers that one step's plan may use.
pub(crate) struct ReclaimSearch<'a> {
    map: &'a CapacityMap<'a>,
    terms: ReclaimTerms,
    needed: ResourceAmounts,
    count: u32,
    is_gang: bool,
    groups: Vec<VictimGroup>,
    workers: Vec<WorkerOption>,
}

impl<'a> ReclaimSearch<'a> {
    /// Collects the runs that the terms permit to preempt on workers that fit the request.
    pub(crate) fn new(
        map: &'a CapacityMap<'a>,
        table: &VictimTable,
        terms: ReclaimTerms,
        request: &StepRequest<'_>,
        count: u32,
    ) -> Self {
        let mut search = Self {
            map,
            terms,
            needed: request.spec.held_resources(),
            count,
            is_gang: request.spec.gang,
            groups: Vec::new(),
            workers: Vec::new(),
        };
        let indices: BTreeMap<WorkerKey, usize> =
            map.workers.iter().enumerate().map(|(index, worker)| (worker.key, index)).collect();
        let mut known: BTreeMap<RunKey, usize> = BTreeMap::new();
        for (index, worker) in map.workers.iter().enumerate() {
            let limit = per_worker_limit(worker, request);
            if limit == 0 {
                continue;
            }
            let mut by_order = Vec::new();
            for run in worker.state.runs.keys() {
                if !known.contains_key(run) {
                    search.add_group(table, *run, &indices, &mut known);
                }
                by_order.extend(known.get(run).filter(|group| !by_order.contains(*group)).copied());
            }
            let unused = worker.state.spec.resources.minus(&worker.state.used);
            let unused_accelerators = unused.accelerators;
            let by_density = by_order.clone();
            let option = WorkerOption { index, limit, unused_accelerators, by_order, by_density };
            search.workers.push(option);
        }
        let groups = &search.groups;
        for worker in &mut search.workers {
            worker.by_order.sort_by_key(|group| groups.get(*group).map(VictimGroup::order));
            worker.by_density.sort_by_key(|group| groups.get(*group).map(VictimGroup::density));
        }
        search
    }

    /// Adds the group of a run, unless the run may not be preempted.
    fn add_group(
        &mut self,
        table: &VictimTable,
        run: RunKey,
        indices: &BTreeMap<WorkerKey, usize>,
        known: &mut BTreeMap<RunKey, usize>,
    ) {
        let Some(cost) = table.preemption_cost(&run, self.terms.scope) else { return };
        let Some(own) = table.weight(&run) else { return };
        let mut group = VictimGroup {
            members: Vec::new(),
            cost,
            rank: 0,
            saves_progress: own.saves_progress,
            is_awaited: true,
        };
        for (member, worker, held) in table.group(run) {
            let Some(index) = indices.get(worker) else { continue };
            let weight = table.weight(member).unwrap_or(own);
            group.rank = group.rank.saturating_add(weight.rank);
            let ending_ms = weight.ending_ms.unwrap_or(u64::MAX);
            group.is_awaited &= ending_ms <= self.terms.latest_wait_ms;
            group.members.push((*member, *index, *held));
            known.insert(*member, self.groups.len());
        }
        if group.is_awaited {
            (group.rank, group.cost) = (0, 0);
        }
        self.groups.push(group);
    }

    /// Plan of the lowest rank on the eligible workers, preceded by its rank; `None` if there is not enough
    /// capacity. A plan within the permitted loss precedes all others.
    pub(crate) fn cheapest(
        &self,
        is_eligible: &dyn Fn(&WorkerCapacity<'_>) -> bool,
    ) -> Option<(u64, ReclaimPlan)> {
        let workers: Vec<&WorkerOption> = self
            .workers
            .iter()
            .filter(|option| self.map.workers.get(option.index).is_some_and(is_eligible))
            .collect();
        // Every attempt finds the same number of tasks, so one that fails makes the others needless.
        let mut best = self.attempt(&workers, Stride::One, None)?;
        if best.0.1 == 0 {
            return Some((0, best.1));
        }
        let seeds = self.seeds(&workers).into_iter().map(|seed| (Stride::One, Some(seed)));
        for (stride, seed) in std::iter::once((Stride::Cheapest, None)).chain(seeds) {
            let other = self.attempt(&workers, stride, seed);
            best = other
                .into_iter()
                .fold(best, |best, other| if other.0 < best.0 { other } else { best });
        }
        Some((best.0.1, best.1))
    }

    /// Gangs that are worth being chosen first, since stopping one frees capacity on several workers.
    fn seeds(&self, workers: &[&WorkerOption]) -> Vec<usize> {
        let mut seeds: Vec<usize> = workers
            .iter()
            .flat_map(|worker| &worker.by_density)
            .filter(|group| self.groups.get(**group).is_some_and(|group| group.members.len() > 1))
            .copied()
            .collect();
        seeds.sort_by_key(|group| (self.groups.get(*group).map(VictimGroup::density), *group));
        seeds.dedup();
        seeds.truncate(MAX_SEEDS);
        seeds
    }

    /// Places task after task where that is cheapest, then removes the victims that no task needs. The
    /// plan is preceded by what compares it with others: whether it loses too much, its rank, and the
    /// number of stopped runs.
    fn attempt(
        &self,
        workers: &[&WorkerOption],
        stride: Stride,
        seed: Option<usize>,
    ) -> Option<((bool, u64, usize), ReclaimPlan)> {
        let free = self.map.workers.iter().map(|worker| worker.free.plus(&worker.releasing));
        let mut attempt = Attempt {
            available: free.collect(),
            is_chosen: vec![false; self.groups.len()],
            taken: vec![0; self.map.workers.len()],
        };
        seed.into_iter().for_each(|seed| _ = self.choose(&mut attempt, seed));
        let mut choices: Vec<Option<VictimChoice>> = vec![None; workers.len()];
        let mut is_stale = vec![true; workers.len()];
        let mut found = 0;
        while found < self.count {
            for ((worker, choice), is_stale) in workers.iter().zip(&mut choices).zip(&mut is_stale)
            {
                let remaining = self.count - found;
                if *is_stale || choice.as_ref().is_some_and(|choice| choice.tasks > remaining) {
                    *choice = self.choice_on(&attempt, worker, stride, remaining);
                    *is_stale = false;
                }
            }
            let options = workers.iter().zip(&choices).filter_map(|(worker, choice)| {
                let choice = choice.as_ref()?;
                let rank_per_task = choice.rank / u64::from(choice.tasks.max(1));
                let stops = choice.groups.len();
                Some(((rank_per_task, stops, worker.unused_accelerators, worker.index), choice))
            });
            let Some(((.., worker_index), choice)) = options.min_by_key(|(key, _)| *key) else {
                break;
            };
            let VictimChoice { groups, tasks, .. } = choice.clone();
            let mut changed = vec![worker_index];
            for group in groups {
                changed.extend(self.choose(&mut attempt, group));
            }
            if let Some(free) = attempt.available.get_mut(worker_index) {
                *free = free.minus(&self.needed.scaled(tasks));
            }
            attempt.taken.get_mut(worker_index).into_iter().for_each(|taken| *taken += tasks);
            found += tasks;
            for (worker, is_stale) in workers.iter().zip(&mut is_stale) {
                *is_stale |= changed.contains(&worker.index);
            }
        }
        // A guaranteed step starts as many tasks as it can, but a gang only starts as a whole.
        let allows_partial = self.terms.scope == PreemptionScope::AllUnguaranteed && !self.is_gang;
        let is_enough = found == self.count || (found > 0 && allows_partial);
        is_enough.then(|| self.finish(attempt))
    }

    /// Frees the capacity of a group. Returns the indices of its workers.
    fn choose(&self, attempt: &mut Attempt, group: usize) -> Vec<usize> {
        let mut workers = Vec::new();
        let Some(is_chosen) = attempt.is_chosen.get_mut(group) else { return workers };
        let members = self.groups.get(group).filter(|_| !std::mem::replace(is_chosen, true));
        for (_, worker, held) in members.map(|group| group.members.as_slice()).unwrap_or_default() {
            if let Some(free) = attempt.available.get_mut(*worker) {
                *free = free.plus(held);
                workers.push(*worker);
            }
        }
        workers
    }

    /// Cheapest victims on a worker for one more task, or for as many as are cheapest for each.
    fn choice_on(
        &self,
        attempt: &Attempt,
        worker: &WorkerOption,
        stride: Stride,
        remaining: u32,
    ) -> Option<VictimChoice> {
        let free = *attempt.available.get(worker.index)?;
        let most = worker.limit.saturating_sub(*attempt.taken.get(worker.index)?).min(remaining);
        let most = if stride == Stride::One { most.min(1) } else { most };
        let choices = (1..=most).flat_map(|tasks| {
            let needed = self.needed.scaled(tasks);
            [&worker.by_order, &worker.by_density].into_iter().filter_map(move |order| {
                let (groups, rank) = self.victims(attempt, worker.index, order, free, &needed)?;
                Some(VictimChoice { groups, rank, tasks })
            })
        });
        choices.min_by_key(|choice| {
            let rank_per_task = choice.rank / u64::from(choice.tasks);
            (rank_per_task, choice.groups.len() / choice.tasks as usize, Reverse(choice.tasks))
        })
    }

    /// Victims on a worker in the given order until the needed amounts are free, less those that turn out
    /// not to be needed, with their total rank.
    fn victims(
        &self,
        attempt: &Attempt,
        worker: usize,
        order: &[usize],
        mut free: ResourceAmounts,
        needed: &ResourceAmounts,
    ) -> Option<(Vec<usize>, u64)> {
        let mut chosen = Vec::new();
        let candidates = order.iter().copied();
        let mut candidates =
            candidates.filter(|group| attempt.is_chosen.get(*group).is_some_and(|chosen| !chosen));
        while !free.covers(needed) {
            let group = candidates.next()?;
            free = free.plus(&self.held_on(group, worker));
            chosen.push(group);
        }
        let mut kept = Vec::new();
        let mut total_rank = 0_u64;
        for group in chosen.into_iter().rev() {
            let held = self.held_on(group, worker);
            if free.covers(&needed.plus(&held)) {
                free = free.minus(&held);
            } else {
                total_rank =
                    total_rank.saturating_add(self.groups.get(group).map_or(0, |group| group.rank));
                kept.push(group);
            }
        }
        Some((kept, total_rank))
    }

    /// Resources that a group holds on a worker.
    fn held_on(&self, group: usize, worker: usize) -> ResourceAmounts {
        let members = self.groups.get(group).map(|group| group.members.as_slice());
        let on_worker = members.unwrap_or_default().iter().filter(|(_, index, _)| *index == worker);
        on_worker.fold(ResourceAmounts::default(), |sum, (.., held)| sum.plus(held))
    }

    /// Removes the victims that no task needs, the most expensive first, and lists the rest.
    fn finish(&self, mut attempt: Attempt) -> ((bool, u64, usize), ReclaimPlan) {
        let chosen = attempt.is_chosen.iter().zip(&self.groups).filter(|(chosen, _)| **chosen);
        let mut chosen: Vec<&VictimGroup> = chosen.map(|(_, group)| group).collect();
        chosen.sort_by_key(|group| Reverse(group.order()));
        let mut plan = ReclaimPlan::default();
        let mut total_rank = 0_u64;
        for group in chosen {
            if give_back(&mut attempt.available, group) {
                continue;
            }
            total_rank = total_rank.saturating_add(group.rank);
            plan.cost = plan.cost.saturating_add(group.cost);
            let runs = group.members.iter().map(|(run, ..)| *run);
            if group.is_awaited { plan.awaited.extend(runs) } else { plan.victims.extend(runs) }
        }
        plan.allocation =
            attempt.taken.into_iter().enumerate().filter(|(_, count)| *count > 0).collect();
        let is_too_costly = plan.cost > self.terms.max_loss;
        ((is_too_costly, total_rank, plan.victims.len()), plan)
    }
}

/// Takes the capacity of a group back if no task needs it. Returns whether it did.
fn give_back(available: &mut [ResourceAmounts], group: &VictimGroup) -> bool {
    let mut held: BTreeMap<usize, ResourceAmounts> = BTreeMap::new();
    for (_, worker, resources) in &group.members {
        let sum = held.entry(*worker).or_default();
        *sum = sum.plus(resources);
    }
    let is_unneeded = held
        .iter()
        .all(|(worker, held)| available.get(*worker).is_some_and(|free| free.covers(held)));
    if is_unneeded {
        for (worker, held) in held {
            available.get_mut(worker).into_iter().for_each(|free| *free = free.minus(&held));
        }
    }
    is_unneeded
}
