//! Packs the members of a shape into the resources of workers, within the span of the shape.

use std::cmp::Reverse;

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::DataCentreKey;
use cuminbarrow_model::keys::RackKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use serde::Deserialize;
use serde::Serialize;

/// Distinct workers of the members, in key order.
pub fn distinct_workers(members: &[Member]) -> Vec<WorkerKey> {
    let mut workers: Vec<WorkerKey> = members.iter().map(|member| member.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

/// Resources of one worker: those available for a purpose, or those allocated to an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceSet {
    /// Amounts by kind of resource.
    pub amounts: Resources,
    /// The individual accelerators.
    pub accelerators: AcceleratorSet,
}

impl ResourceSet {
    /// Allocates one member and returns its accelerators, or `None` if it does not fit.
    pub fn allocate_member(&mut self, per_member: &Resources) -> Option<AcceleratorSet> {
        if !self.amounts.covers(per_member) {
            return None;
        }
        let block = self.accelerators.contiguous_block(per_member.accelerators)?;
        self.amounts = self.amounts.minus(per_member);
        self.accelerators = self.accelerators.difference(block);
        Some(block)
    }

    /// Sum of this set and another one.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            amounts: self.amounts.plus(&other.amounts),
            accelerators: self.accelerators.union(other.accelerators),
        }
    }

    /// The part of this set that is within the limit.
    pub fn limited_to(&self, limit: &Self) -> Self {
        Self {
            amounts: self.amounts.minus(&self.amounts.minus(&limit.amounts)),
            accelerators: self.accelerators.intersection(limit.accelerators),
        }
    }

    /// Number of members that fit, up to `limit`.
    fn fitting_members(mut self, per_member: &Resources, limit: usize) -> usize {
        if per_member.accelerators == 0 {
            return self.amounts.fit_count(per_member).min(limit);
        }
        (0..limit).take_while(|_| self.allocate_member(per_member).is_some()).count()
    }
}

/// A rack with its workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackState {
    /// Data centre of the rack.
    pub data_centre: DataCentreKey,
    /// Workers, in the order in which they joined.
    pub workers: Vec<WorkerKey>,
}

/// Capacity for a shape on one worker.
#[derive(Clone, Copy)]
struct WorkerCapacity {
    key: WorkerKey,
    available: ResourceSet,
    members: usize,
}

/// Capacity for a shape in one rack.
struct RackCapacity {
    key: RackKey,
    data_centre: DataCentreKey,
    members: usize,
    workers: Vec<WorkerCapacity>,
}

/// Finds members for a whole shape by best fit, or returns `None`.
///
/// `available` returns the resources that may be used on a worker, or `None` to exclude it. Among
/// the candidates that fit the shape, the one with the least free capacity is chosen, which keeps
/// large blocks of capacity free. A shape that spans a data centre uses as few racks as possible.
pub fn pack<O>(racks: &[RackState], shape: &Shape, available: O) -> Option<Vec<Member>>
where
    O: Fn(WorkerKey) -> Option<ResourceSet>,
{
    let capacities = rack_capacities(racks, shape, available);
    match shape.span {
        Span::DataCentre => pack_data_centre(capacities, shape),
        Span::Rack => pack_rack(capacities, shape),
        Span::Worker => pack_worker(&capacities, shape),
    }
}

fn rack_capacities<O>(racks: &[RackState], shape: &Shape, available: O) -> Vec<RackCapacity>
where
    O: Fn(WorkerKey) -> Option<ResourceSet>,
{
    let limit = usize::from(shape.members);
    let mut capacities = Vec::new();
    for (index, rack) in racks.iter().enumerate() {
        let workers: Vec<WorkerCapacity> = rack
            .workers
            .iter()
            .filter_map(|&key| {
                let available = available(key)?;
                let members = available.fitting_members(&shape.per_member, limit);
                (members > 0).then_some(WorkerCapacity { key, available, members })
            })
            .collect();
        let members = workers.iter().map(|worker| worker.members).sum();
        if members > 0 {
            let rack_key = RackKey(u16::try_from(index).unwrap_or(u16::MAX));
            capacities.push(RackCapacity {
                key: rack_key,
                data_centre: rack.data_centre,
                members,
                workers,
            });
        }
    }
    capacities
}

/// Free capacity of a worker by accelerators, then cores; the smallest is the tightest fit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerTightness {
    accelerators: u8,
    cores: u16,
}

fn tightness(worker: &WorkerCapacity) -> WorkerTightness {
    WorkerTightness {
        accelerators: worker.available.accelerators.count(),
        cores: worker.available.amounts.cores,
    }
}

/// Number of free accelerators in all racks of a data centre.
fn centre_accelerators(capacities: &[RackCapacity], data_centre: DataCentreKey) -> u32 {
    let racks = capacities.iter().filter(|rack| rack.data_centre == data_centre);
    racks.map(rack_accelerators).sum()
}

/// Uses the tightest worker that fits the shape; among equals the one whose data centre, then rack,
/// has the fewest free accelerators.
fn pack_worker(capacities: &[RackCapacity], shape: &Shape) -> Option<Vec<Member>> {
    let wanted = usize::from(shape.members);
    let mut best = None;
    for rack in capacities {
        let fitting = rack.workers.iter().filter(|worker| worker.members >= wanted);
        let Some(worker) = fitting.min_by_key(|worker| tightness(worker)) else { continue };
        let centre = centre_accelerators(capacities, rack.data_centre);
        let rank = (tightness(worker), centre, rack_accelerators(rack));
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, worker));
        }
    }
    let (_, tightest) = best?;
    let mut members = Vec::with_capacity(wanted);
    fill_worker(tightest, shape, &mut members);
    Some(members)
}

/// Uses the tightest rack that fits the shape; among equals the one that fits the fewest members,
/// then the one whose data centre has the fewest free accelerators.
fn pack_rack(capacities: Vec<RackCapacity>, shape: &Shape) -> Option<Vec<Member>> {
    let wanted = usize::from(shape.members);
    let index = (0..capacities.len())
        .filter(|&index| capacities[index].members >= wanted)
        .min_by_key(|&index| {
            let rack = &capacities[index];
            let centre = centre_accelerators(&capacities, rack.data_centre);
            (rack_accelerators(rack), rack.members, centre, rack.key)
        })?;
    let mut members = Vec::with_capacity(wanted);
    let mut capacities = capacities;
    fill_rack(capacities.swap_remove(index), shape, &mut members);
    Some(members)
}

fn rack_accelerators(rack: &RackCapacity) -> u32 {
    rack.workers.iter().map(|worker| u32::from(worker.available.accelerators.count())).sum()
}

fn pack_data_centre(capacities: Vec<RackCapacity>, shape: &Shape) -> Option<Vec<Member>> {
    let wanted = usize::from(shape.members);
    let mut totals: Vec<(DataCentreKey, usize)> = Vec::new();
    for rack in &capacities {
        match totals.iter_mut().find(|(key, _)| *key == rack.data_centre) {
            None => totals.push((rack.data_centre, rack.members)),
            Some((_, total)) => *total += rack.members,
        }
    }
    let (data_centre, _) =
        totals.into_iter().filter(|(_, total)| *total >= wanted).min_by_key(|(_, total)| *total)?;
    let mut racks: Vec<RackCapacity> =
        capacities.into_iter().filter(|rack| rack.data_centre == data_centre).collect();
    let mut members = Vec::with_capacity(wanted);
    while members.len() < wanted {
        let remaining = wanted - members.len();
        let rack = racks.swap_remove(next_rack(&racks, remaining)?);
        fill_rack(rack, shape, &mut members);
    }
    Some(members)
}

/// Index of the tightest rack that fits the remaining members, or else of the one that fits most.
fn next_rack(racks: &[RackCapacity], remaining: usize) -> Option<usize> {
    let indices = 0..racks.len();
    let tightest = indices
        .clone()
        .filter(|&index| racks[index].members >= remaining)
        .min_by_key(|&index| (racks[index].members, racks[index].key));
    tightest
        .or_else(|| indices.max_by_key(|&index| (racks[index].members, Reverse(racks[index].key))))
}

/// Places members on a rack's workers: each time on the tightest one that fits the remaining
/// members, or else on the one that fits most.
fn fill_rack(mut rack: RackCapacity, shape: &Shape, members: &mut Vec<Member>) {
    let wanted = usize::from(shape.members);
    while members.len() < wanted && !rack.workers.is_empty() {
        let remaining = wanted - members.len();
        let indices = 0..rack.workers.len();
        let tightest = indices
            .clone()
            .filter(|&index| rack.workers[index].members >= remaining)
            .min_by_key(|&index| tightness(&rack.workers[index]));
        let largest = indices.max_by_key(|&index| rack.workers[index].members);
        let Some(index) = tightest.or(largest) else { return };
        let worker = rack.workers.swap_remove(index);
        fill_worker(&worker, shape, members);
    }
}

fn fill_worker(worker: &WorkerCapacity, shape: &Shape, members: &mut Vec<Member>) {
    let mut available = worker.available;
    while members.len() < usize::from(shape.members) {
        let Some(accelerators) = available.allocate_member(&shape.per_member) else { return };
        members.push(Member { worker: worker.key, accelerators });
    }
}
