//! The agent's state of one attempt.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::Assignment;
use cuminbarrow_protocol::message::MemberEnd;
use cuminbarrow_protocol::message::MemberResult;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskStart;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::lead_state::LeadState;
use crate::member_state_machine::MemberCommand;
use crate::member_state_machine::MemberCommands;
use crate::member_state_machine::MemberEvent;
use crate::member_state_machine::MemberStateMachine;
use crate::member_state_machine::State;

/// The agent's state of one attempt. Times are by the agent's clock.
pub(crate) struct GangState {
    pub(crate) assignment: Assignment,
    /// Lifecycle of the tasks on this worker.
    machine: StateMachine<MemberStateMachine>,
    /// End of this member's lease.
    pub(crate) lease_until_ms: u64,
    /// How the tasks on this worker ended, by member index.
    pub(crate) task_ends: BTreeMap<u8, TaskEnd>,
    /// Whether this member's lease lapsed or the lead abandoned the attempt.
    pub(crate) has_lapsed: bool,
    /// Whether the attempt is no longer assigned to this worker.
    pub(crate) is_removed: bool,
    /// Whether the lead has acknowledged the end of the tasks on this worker.
    pub(crate) is_end_acked: bool,
    /// When the message to the lead that awaits a response was last sent.
    pub(crate) last_sent_ms: Option<u64>,
    /// When the stop of the tasks was last requested at the worker.
    pub(crate) stop_sent_ms: Option<u64>,
    /// State of the lead, if this agent leads the gang.
    pub(crate) lead: Option<LeadState>,
}

impl GangState {
    pub(crate) fn new(assignment: Assignment, own_worker: WorkerKey, now_ms: u64) -> Self {
        let is_lead = assignment.members.first().is_some_and(|m| m.member.worker == own_worker);
        Self {
            assignment,
            machine: MemberStateMachine
                .uninitialized_state_machine()
                .init_with_context(&mut MemberCommands::new())
                .into(),
            lease_until_ms: 0,
            task_ends: BTreeMap::new(),
            has_lapsed: false,
            is_removed: false,
            is_end_acked: false,
            last_sent_ms: None,
            stop_sent_ms: None,
            lead: is_lead.then(|| LeadState::new(now_ms)),
        }
    }

    pub(crate) fn attempt(&self) -> AttemptKey {
        self.assignment.attempt
    }

    pub(crate) fn state(&self) -> State {
        *self.machine.state()
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state(), State::Ended {})
    }

    /// Whether tasks on this worker run or may still run.
    pub(crate) fn may_run_tasks(&self) -> bool {
        matches!(self.state(), State::Running {} | State::Stopping {})
    }

    pub(crate) fn handle(&mut self, event: MemberEvent) -> Vec<MemberCommand> {
        let mut commands = MemberCommands::new();
        self.machine.handle_with_context(&event, &mut commands);
        commands
    }

    pub(crate) fn lead_address(&self) -> Option<SocketAddr> {
        self.assignment.members.first().map(|member| member.address)
    }

    pub(crate) fn lead_worker(&self) -> WorkerKey {
        self.assignment.members.first().map(|m| m.member.worker).unwrap_or_default()
    }

    /// Indices of the members on a worker.
    pub(crate) fn member_indices(&self, worker: WorkerKey) -> Vec<u8> {
        (0_u8..)
            .zip(&self.assignment.members)
            .filter(|(_, member)| member.member.worker == worker)
            .map(|(index, _)| index)
            .collect()
    }

    /// Accelerators of the members on a worker.
    pub(crate) fn accelerators(&self, worker: WorkerKey) -> AcceleratorSet {
        self.assignment
            .members
            .iter()
            .filter(|member| member.member.worker == worker)
            .fold(AcceleratorSet::EMPTY, |set, member| set.union(member.member.accelerators))
    }

    /// Name of a member's task: the keys of job and attempt, and the member index.
    pub(crate) fn task_name(&self, index: u8) -> SmolStr {
        let attempt = self.attempt();
        format_smolstr!("{}.{}.{index}", attempt.job, attempt.attempt)
    }

    /// Names of the tasks on a worker whose end has not been reported.
    pub(crate) fn unfinished_tasks(&self, worker: WorkerKey) -> Vec<SmolStr> {
        let indices = self.member_indices(worker).into_iter();
        indices
            .filter(|index| !self.task_ends.contains_key(index))
            .map(|index| self.task_name(index))
            .collect()
    }

    pub(crate) fn task_start(&self, index: u8, lease_ms: u64) -> TaskStart {
        let member = &self.assignment.members[usize::from(index)].member;
        TaskStart {
            task: self.task_name(index),
            lease_ms,
            accelerators: member.accelerators.0,
            payload: self.assignment.payload.clone(),
            declared_run_ms: self.assignment.declared_run_ms,
            resume_permille: self.assignment.resume_permille,
        }
    }

    /// How the tasks on this worker ended, once all have.
    pub(crate) fn member_end(&self) -> Option<MemberEnd> {
        if !self.has_ended() {
            return None;
        }
        let failure = self.task_ends.values().find_map(|end| match end {
            TaskEnd::Failed { reason } => Some(reason.clone()),
            TaskEnd::Completed { .. } | TaskEnd::LeaseLapsed | TaskEnd::Stopped { .. } => None,
        });
        if let Some(reason) = failure {
            return Some(MemberEnd::Failed { reason });
        }
        let has_lapsed_task =
            self.task_ends.values().any(|end| matches!(end, TaskEnd::LeaseLapsed));
        if self.has_lapsed || has_lapsed_task {
            return Some(MemberEnd::Lapsed);
        }
        Some(self.end_without_failure())
    }

    fn end_without_failure(&self) -> MemberEnd {
        let mut results = Vec::new();
        let mut least_progress = None;
        for (&index, end) in &self.task_ends {
            match end {
                TaskEnd::Completed { result } => {
                    results.push(MemberResult { index, body: result.clone() });
                }
                TaskEnd::Failed { .. } | TaskEnd::LeaseLapsed => {}
                TaskEnd::Stopped { progress_permille } => {
                    let least = least_progress.unwrap_or(1_000).min(*progress_permille);
                    least_progress = Some(least);
                }
            }
        }
        match least_progress {
            None if !self.task_ends.is_empty() => MemberEnd::Completed { results },
            None => MemberEnd::Stopped { progress_permille: self.assignment.resume_permille },
            Some(progress_permille) => MemberEnd::Stopped { progress_permille },
        }
    }
}
