//! The member's side of the gang protocol: the start, the lease, the ends of tasks, and the reports
//! to the lead.

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::RenewedAttempt;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskReport;
use smol_str::SmolStr;

use crate::agent_action::AgentAction;
use crate::gang_state::GangState;
use crate::gang_table::GangTable;
use crate::gang_table::is_resend_due;
use crate::member_state_machine::MemberEvent;
use crate::member_state_machine::State;

impl GangTable {
    /// Starts the tasks when the lead's message is for this incarnation and the lease that it
    /// grants has not lapsed in transit. Acknowledges a repeated start again.
    pub(crate) fn handle_start(
        &mut self,
        attempt: AttemptKey,
        incarnation: u64,
        echoed_sent_ms: u64,
        now_ms: u64,
    ) {
        let lease_until_ms = echoed_sent_ms + self.timing.lease_ms;
        let is_fresh = echoed_sent_ms <= now_ms && lease_until_ms > now_ms;
        if incarnation != self.incarnation || !is_fresh {
            return;
        }
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if matches!(gang.state(), State::Holding {}) {
            gang.lease_until_ms = lease_until_ms;
            self.drive(attempt, MemberEvent::Start, now_ms);
        }
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_started = gang.may_run_tasks() || !gang.task_ends.is_empty();
        if let Some(address) = gang.lead_address().filter(|_| is_started) {
            let message =
                GangMessage::StartAck { attempt, worker: self.own_worker, sent_ms: now_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn handle_renewal(
        &mut self,
        renewals: Vec<RenewedAttempt>,
        round: u32,
        now_ms: u64,
    ) {
        let mut renewed = Vec::new();
        let mut address = None;
        for RenewedAttempt { attempt, echoed_sent_ms } in renewals {
            if self.extend_lease(attempt, echoed_sent_ms, now_ms) {
                address = self.gangs.get(&attempt).and_then(GangState::lead_address);
                renewed.push(attempt);
            }
        }
        if let Some(address) = address {
            let message = GangMessage::RenewAck {
                attempts: renewed,
                round,
                worker: self.own_worker,
                sent_ms: now_ms,
            };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    /// Extends a member's lease. Returns whether to acknowledge the renewal: false when the lease
    /// has lapsed or the tasks have not started, true also when the tasks have ended without a
    /// lapse.
    pub(crate) fn extend_lease(
        &mut self,
        attempt: AttemptKey,
        echoed_sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let lease_until_ms = echoed_sent_ms + self.timing.lease_ms;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return false };
        if gang.has_ended() {
            return !gang.has_lapsed;
        }
        let is_live = gang.lease_until_ms > now_ms && echoed_sent_ms <= now_ms;
        if !gang.may_run_tasks() || !is_live {
            return false;
        }
        gang.lease_until_ms = gang.lease_until_ms.max(lease_until_ms);
        let lease_ms = gang.lease_until_ms - now_ms;
        let tasks = gang.unfinished_tasks(self.own_worker);
        if !tasks.is_empty() {
            self.actions.push(AgentAction::RenewTasks { tasks, lease_ms });
        }
        true
    }

    /// Handles the worker's report that a task ended.
    pub fn task_ended(&mut self, report: &TaskReport, now_ms: u64) {
        let Some((attempt, index)) = parse_task_name(&report.task) else { return };
        let own_worker = self.own_worker;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        gang.task_ends.entry(index).or_insert_with(|| report.end.clone());
        let has_failed = matches!(report.end, TaskEnd::Failed { .. } | TaskEnd::LeaseLapsed);
        let is_last = gang.unfinished_tasks(own_worker).is_empty();
        if is_last {
            gang.last_sent_ms = None;
            self.drive(attempt, MemberEvent::TasksEnded, now_ms);
        } else if has_failed {
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
        self.member_tick(attempt, now_ms);
        self.remove_if_ended(attempt);
    }

    /// Handles the worker's refusal to start a task, as a failure of the task.
    pub fn task_refused(&mut self, task: &SmolStr, reason: &str, now_ms: u64) {
        let end = TaskEnd::Failed { reason: SmolStr::new(reason) };
        self.task_ended(&TaskReport { task: task.clone(), end }, now_ms);
    }

    /// Stops tasks whose lease has lapsed, and sends due reports to the lead.
    pub(crate) fn member_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if gang.may_run_tasks() && gang.lease_until_ms <= now_ms && !gang.has_lapsed {
            gang.has_lapsed = true;
            self.drive(attempt, MemberEvent::LeaseLapsed, now_ms);
        }
        self.force_late_stop(attempt, now_ms);
        self.report_end(attempt, now_ms);
        self.report_ready(attempt, now_ms);
    }

    /// Stops tasks again, without a checkpoint, that have not stopped within `stop_grace_ms`.
    pub(crate) fn force_late_stop(&mut self, attempt: AttemptKey, now_ms: u64) {
        let grace_ms = self.timing.stop_grace_ms;
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_late = gang.stop_sent_ms.is_some_and(|sent_ms| now_ms >= sent_ms + grace_ms);
        if gang.may_run_tasks() && is_late {
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
    }

    /// Reports the end of the tasks on this worker to the lead until the lead acknowledges it.
    pub(crate) fn report_end(&mut self, attempt: AttemptKey, now_ms: u64) {
        let resend_ms = self.timing.resend_ms;
        let (own_worker, is_lead) = (self.own_worker, self.is_lead(attempt));
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(end) = gang.member_end().filter(|_| !gang.is_end_acked) else { return };
        if is_lead {
            gang.is_end_acked = true;
            self.handle_member_done(attempt, own_worker, end, now_ms);
        } else if is_resend_due(gang.last_sent_ms, resend_ms, now_ms)
            && let Some(address) = gang.lead_address()
        {
            gang.last_sent_ms = Some(now_ms);
            let message = GangMessage::MemberDone { attempt, worker: own_worker, end };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn is_lead(&self, attempt: AttemptKey) -> bool {
        self.gangs.get(&attempt).is_some_and(|gang| gang.lead_worker() == self.own_worker)
    }

    /// Reports ready to the lead once nothing else runs on this member's accelerators.
    pub(crate) fn report_ready(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_waiting = matches!(gang.state(), State::Holding {})
            && gang.assignment.phase == AssignmentPhase::Placed
            && is_resend_due(gang.last_sent_ms, self.timing.resend_ms, now_ms);
        if !is_waiting || self.is_blocked(gang) {
            return;
        }
        let (address, own_worker, incarnation) =
            (gang.lead_address(), self.own_worker, self.incarnation);
        if let Some(gang) = self.gangs.get_mut(&attempt) {
            gang.last_sent_ms = Some(now_ms);
        }
        if self.is_lead(attempt) {
            self.handle_ready(attempt, own_worker, incarnation, now_ms);
            self.lead_tick(attempt, now_ms);
        } else if let Some(address) = address {
            let sent_ms = now_ms;
            let message = GangMessage::Ready { attempt, worker: own_worker, incarnation, sent_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    /// Whether tasks of another attempt may still run on the accelerators of this one.
    pub(crate) fn is_blocked(&self, gang: &GangState) -> bool {
        let wanted = gang.accelerators(self.own_worker);
        self.gangs.values().any(|other| {
            other.attempt() != gang.attempt()
                && other.may_run_tasks()
                && !other.accelerators(self.own_worker).intersection(wanted).is_empty()
        })
    }
}

/// Parses the attempt and member index from a task name (see [`GangState::task_name`]).
fn parse_task_name(task: &str) -> Option<(AttemptKey, u8)> {
    let mut parts = task.split('.');
    let job = cuminbarrow_model::keys::JobKey(parts.next()?.parse().ok()?);
    let attempt = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((AttemptKey { job, attempt }, index))
}
