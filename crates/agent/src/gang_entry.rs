//! One attempt as this agent sees it.

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

use crate::gang_lead::GangLead;
use crate::member_machine::MemberEvent;
use crate::member_machine::MemberMachine;
use crate::member_machine::MemberOrder;
use crate::member_machine::MemberOrders;
use crate::member_machine::State;

/// One attempt as this agent sees it.
pub(crate) struct GangEntry {
    pub(crate) assignment: Assignment,
    machine: StateMachine<MemberMachine>,
    pub(crate) lease_until_ms: u64,
    pub(crate) ends: BTreeMap<u8, TaskEnd>,
    pub(crate) has_lapsed: bool,
    pub(crate) is_removed: bool,
    pub(crate) is_noted_by_lead: bool,
    pub(crate) sent_ms: Option<u64>,
    pub(crate) stopped_ms: Option<u64>,
    pub(crate) lead: Option<GangLead>,
}

impl GangEntry {
    pub(crate) fn new(assignment: Assignment, own: WorkerKey, now_ms: u64) -> Self {
        let is_lead = assignment.members.first().is_some_and(|m| m.member.worker == own);
        Self {
            assignment,
            machine: MemberMachine
                .uninitialized_state_machine()
                .init_with_context(&mut MemberOrders::new())
                .into(),
            lease_until_ms: 0,
            ends: BTreeMap::new(),
            has_lapsed: false,
            is_removed: false,
            is_noted_by_lead: false,
            sent_ms: None,
            stopped_ms: None,
            lead: is_lead.then(|| GangLead::new(now_ms)),
        }
    }

    pub(crate) fn attempt(&self) -> AttemptKey {
        self.assignment.attempt
    }

    pub(crate) fn state(&self) -> State {
        *self.machine.state()
    }

    pub(crate) fn is_over(&self) -> bool {
        matches!(self.state(), State::Over {})
    }

    /// Whether tasks run or may still run.
    pub(crate) fn is_occupying(&self) -> bool {
        matches!(self.state(), State::Running {} | State::Stopping {})
    }

    pub(crate) fn handle(&mut self, event: MemberEvent) -> Vec<MemberOrder> {
        let mut orders = MemberOrders::new();
        self.machine.handle_with_context(&event, &mut orders);
        orders
    }

    pub(crate) fn lead_address(&self) -> Option<SocketAddr> {
        self.assignment.members.first().map(|member| member.address)
    }

    pub(crate) fn lead_worker(&self) -> WorkerKey {
        self.assignment.members.first().map(|m| m.member.worker).unwrap_or_default()
    }

    /// Indices of the members on a worker.
    pub(crate) fn indices(&self, worker: WorkerKey) -> Vec<u8> {
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

    pub(crate) fn task_name(&self, index: u8) -> SmolStr {
        let attempt = self.attempt();
        format_smolstr!("{}.{}.{index}", attempt.job, attempt.attempt)
    }

    /// Names of the tasks on a worker that have not ended.
    pub(crate) fn open_tasks(&self, worker: WorkerKey) -> Vec<SmolStr> {
        let indices = self.indices(worker).into_iter();
        indices
            .filter(|index| !self.ends.contains_key(index))
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

    /// How the tasks on this worker ended, once none runs.
    pub(crate) fn member_end(&self) -> Option<MemberEnd> {
        if !self.is_over() {
            return None;
        }
        let failure = self.ends.values().find_map(|end| match end {
            TaskEnd::Failed { reason } => Some(reason.clone()),
            TaskEnd::Completed { .. } | TaskEnd::LeaseLapsed | TaskEnd::Stopped { .. } => None,
        });
        if let Some(reason) = failure {
            return Some(MemberEnd::Failed { reason });
        }
        let has_lapsed = self.ends.values().any(|end| matches!(end, TaskEnd::LeaseLapsed));
        if self.has_lapsed || has_lapsed {
            return Some(MemberEnd::Lapsed);
        }
        Some(self.end_without_failure())
    }

    fn end_without_failure(&self) -> MemberEnd {
        let mut results = Vec::new();
        let mut least_progress = None;
        for (&index, end) in &self.ends {
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
            None if !self.ends.is_empty() => MemberEnd::Completed { results },
            None => MemberEnd::Stopped { progress_permille: self.assignment.resume_permille },
            Some(progress_permille) => MemberEnd::Stopped { progress_permille },
        }
    }
}
