//! Builds the assignments that an entry sends to the agent of a worker.

use cuminbarrow_ledger::job_state::Placement;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::Assignment;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::MemberAddress;

/// Builds the assignment of an attempt; `None` unless it is the current attempt of its job.
pub(crate) fn assignment(state: &State, attempt: AttemptKey) -> Option<Assignment> {
    let job = state.jobs.get(&attempt.job)?;
    let placement = job.placement_of(attempt)?;
    let members = placement
        .members
        .iter()
        .filter_map(|member| {
            let address = state.worker(member.worker)?.spec.address;
            Some(MemberAddress { member: *member, address })
        })
        .collect();
    Some(Assignment {
        attempt,
        phase: phase(placement),
        members,
        payload: job.spec.payload.clone(),
        declared_run_ms: job.spec.declared_run_ms,
        resume_permille: job.progress_permille,
        checkpointable: job.spec.checkpointable,
    })
}

fn phase(placement: &Placement) -> AssignmentPhase {
    let is_started = placement.is_started();
    match placement.stop {
        None if is_started => {
            AssignmentPhase::Started { lead_incarnation: placement.lead_incarnation }
        }
        None => AssignmentPhase::Placed,
        Some(_) => AssignmentPhase::Stopping { is_started },
    }
}

/// Builds the assignments of all attempts placed on a worker.
pub(crate) fn assignments(state: &State, worker: WorkerKey) -> Vec<Assignment> {
    let attempts = state.worker(worker).map(|worker| worker.attempts.keys());
    attempts.into_iter().flatten().filter_map(|attempt| assignment(state, *attempt)).collect()
}
