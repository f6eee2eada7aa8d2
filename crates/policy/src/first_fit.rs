//! Baseline policy for comparisons: jobs in order of submission, each on the first workers that
//! fit. Reservations are not lent and nothing is preempted.

use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::pack::RackState;
use cuminbarrow_ledger::pack::ResourceSet;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::DataCentreKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;

use crate::capacity_overlay::CapacityOverlay;
use crate::placement_policy::Decision;
use crate::placement_policy::PlacementPolicy;
use crate::placement_policy::PlacementReason;
use crate::placement_policy::Plan;
use crate::placement_policy::WaitReason;
use crate::placement_policy::WaitingJob;
use crate::plan_round::members_within;

/// First-come, first-served policy with first-fit placement.
#[derive(Debug, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn name(&self) -> &'static str {
        "first_fit"
    }

    fn plan(&mut self, state: &State, now_ms: u64) -> Plan {
        let mut plan = Plan::default();
        let mut round =
            Round { state, overlay: CapacityOverlay::default(), used_reservations: Vec::new() };
        let mut infeasible: Vec<(Shape, cuminbarrow_model::keys::TeamKey)> = Vec::new();
        for &key in &state.pending {
            if plan.is_full() {
                break;
            }
            let Some(job) = state.jobs.get(&key) else { continue };
            if job.not_before_ms > now_ms {
                plan.waiting.push(WaitingJob { job: key, reason: WaitReason::BackingOff });
                continue;
            }
            let request = (job.spec.shape, job.team);
            let decision = if infeasible.contains(&request) { None } else { round.place(key, job) };
            match decision {
                None => {
                    plan.waiting.push(WaitingJob { job: key, reason: WaitReason::NoRoom });
                    if !infeasible.contains(&request) {
                        infeasible.push(request);
                    }
                }
                Some(decision) => plan.decisions.push(decision),
            }
        }
        plan
    }
}

struct Round<'a> {
    state: &'a State,
    overlay: CapacityOverlay,
    used_reservations: Vec<ReservationKey>,
}

impl Round<'_> {
    fn place(&mut self, key: JobKey, job: &JobState) -> Option<Decision> {
        let attempt = AttemptKey { job: key, attempt: job.attempts + 1 };
        let shape = &job.spec.shape;
        if let Some((reservation, members)) = self.own_reservation(job) {
            self.used_reservations.push(reservation);
            self.overlay.occupy(&members, &shape.per_member);
            return Some(Decision::Place {
                attempt,
                members,
                reservation: Some(reservation),
                reason: PlacementReason::OwnReservation,
            });
        }
        let members = first_members(&self.state.racks, shape, |worker| {
            let state = self.state.worker(worker)?;
            let is_usable = state.is_up() && self.state.quarantine_allows(worker, job);
            is_usable.then(|| self.overlay.remaining(worker, state.unreserved_resources(job.team)))
        })?;
        self.overlay.occupy(&members, &shape.per_member);
        let reason = PlacementReason::Unreserved;
        Some(Decision::Place { attempt, members, reservation: None, reason })
    }

    /// Finds an idle reservation of the job's team that covers its shape, with free capacity.
    fn own_reservation(&self, job: &JobState) -> Option<(ReservationKey, Vec<Member>)> {
        let shape = &job.spec.shape;
        self.state.reservations.iter().find_map(|(key, reservation)| {
            let is_idle = reservation.team == job.team
                && reservation.holder.is_none()
                && !self.used_reservations.contains(key)
                && reservation.shape.covers(shape);
            let held = reservation.members.as_ref().filter(|_| is_idle)?;
            let members = members_within(held, shape)?;
            let is_free = self.overlay.are_free(self.state, &members, &shape.per_member);
            is_free.then_some((*key, members))
        })
    }
}

/// Finds the first members that fit, in the order in which racks and workers joined.
fn first_members<O>(racks: &[RackState], shape: &Shape, free: O) -> Option<Vec<Member>>
where
    O: Fn(WorkerKey) -> Option<ResourceSet>,
{
    let mut groups: Vec<Vec<WorkerKey>> = Vec::new();
    let mut centres: Vec<DataCentreKey> = Vec::new();
    for rack in racks {
        match shape.span {
            Span::DataCentre => match centres.iter().position(|key| *key == rack.data_centre) {
                None => {
                    centres.push(rack.data_centre);
                    groups.push(rack.workers.clone());
                }
                Some(index) => groups[index].extend(&rack.workers),
            },
            Span::Rack => groups.push(rack.workers.clone()),
            Span::Worker => groups.extend(rack.workers.iter().map(|worker| vec![*worker])),
        }
    }
    groups.iter().find_map(|workers| fill_workers(workers, shape, &free))
}

fn fill_workers<O>(workers: &[WorkerKey], shape: &Shape, free: &O) -> Option<Vec<Member>>
where
    O: Fn(WorkerKey) -> Option<ResourceSet>,
{
    let wanted = usize::from(shape.members);
    let mut members = Vec::with_capacity(wanted);
    for &worker in workers {
        let Some(mut free) = free(worker) else { continue };
        while members.len() < wanted {
            let Some(accelerators) = free.allocate_member(&shape.per_member) else { break };
            members.push(Member { worker, accelerators });
        }
    }
    (members.len() == wanted).then_some(members)
}
