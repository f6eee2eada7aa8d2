//! The member's side of the gang table: go, the lease, the tasks' ends, and the reports to the lead.

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::RenewedAttempt;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskReport;
use smol_str::SmolStr;

use crate::agent_action::AgentAction;
use crate::gang_entry::GangEntry;
use crate::gang_table::GangTable;
use crate::gang_table::is_due;
use crate::member_machine::MemberEvent;
use crate::member_machine::State;

impl GangTable {
    pub(crate) fn go(
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
            self.drive(attempt, MemberEvent::Go, now_ms);
        }
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_started = gang.is_occupying() || !gang.ends.is_empty();
        if let Some(address) = gang.lead_address().filter(|_| is_started) {
            let message = GangMessage::StartAck { attempt, worker: self.own, sent_ms: now_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn renewed(&mut self, renewals: Vec<RenewedAttempt>, round: u32, now_ms: u64) {
        let mut renewed = Vec::new();
        let mut address = None;
        for RenewedAttempt { attempt, echoed_sent_ms } in renewals {
            if self.extend_lease(attempt, echoed_sent_ms, now_ms) {
                address = self.gangs.get(&attempt).and_then(GangEntry::lead_address);
                renewed.push(attempt);
            }
        }
        if let Some(address) = address {
            let message = GangMessage::RenewAck {
                attempts: renewed,
                round,
                worker: self.own,
                sent_ms: now_ms,
            };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    /// Extends a member's lease; false when it is over already.
    pub(crate) fn extend_lease(
        &mut self,
        attempt: AttemptKey,
        echoed_sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let lease_until_ms = echoed_sent_ms + self.timing.lease_ms;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return false };
        if gang.is_over() {
            return !gang.has_lapsed;
        }
        let is_live = gang.lease_until_ms > now_ms && echoed_sent_ms <= now_ms;
        if !gang.is_occupying() || !is_live {
            return false;
        }
        gang.lease_until_ms = gang.lease_until_ms.max(lease_until_ms);
        let lease_ms = gang.lease_until_ms - now_ms;
        let tasks = gang.open_tasks(self.own);
        if !tasks.is_empty() {
            self.actions.push(AgentAction::RenewTasks { tasks, lease_ms });
        }
        true
    }

    /// Takes a task's end from the worker.
    pub fn task_ended(&mut self, report: &TaskReport, now_ms: u64) {
        let Some((attempt, index)) = parse_task(&report.task) else { return };
        let own = self.own;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        gang.ends.entry(index).or_insert_with(|| report.end.clone());
        let has_failed = matches!(report.end, TaskEnd::Failed { .. } | TaskEnd::LeaseLapsed);
        let is_last = gang.open_tasks(own).is_empty();
        if is_last {
            gang.sent_ms = None;
            self.drive(attempt, MemberEvent::TasksEnded, now_ms);
        } else if has_failed {
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
        self.member_tick(attempt, now_ms);
        self.forget_if_over(attempt);
    }

    /// Takes the worker's refusal to start a task.
    pub fn task_refused(&mut self, task: &SmolStr, reason: &str, now_ms: u64) {
        let end = TaskEnd::Failed { reason: SmolStr::new(reason) };
        self.task_ended(&TaskReport { task: task.clone(), end }, now_ms);
    }

    pub(crate) fn member_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if gang.is_occupying() && gang.lease_until_ms <= now_ms && !gang.has_lapsed {
            gang.has_lapsed = true;
            self.drive(attempt, MemberEvent::LeaseLapsed, now_ms);
        }
        self.press_stop(attempt, now_ms);
        self.report_member(attempt, now_ms);
        self.report_ready(attempt, now_ms);
    }

    /// A task that did not stop in time is told again, without a checkpoint.
    pub(crate) fn press_stop(&mut self, attempt: AttemptKey, now_ms: u64) {
        let grace_ms = self.timing.stop_grace_ms;
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_late = gang.stopped_ms.is_some_and(|since_ms| now_ms >= since_ms + grace_ms);
        if gang.is_occupying() && is_late {
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
    }

    pub(crate) fn report_member(&mut self, attempt: AttemptKey, now_ms: u64) {
        let resend_ms = self.timing.resend_ms;
        let (own, own_lead) = (self.own, self.is_own_lead(attempt));
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(end) = gang.member_end().filter(|_| !gang.is_noted_by_lead) else { return };
        if own_lead {
            gang.is_noted_by_lead = true;
            self.member_done(attempt, own, end, now_ms);
        } else if is_due(gang.sent_ms, resend_ms, now_ms)
            && let Some(address) = gang.lead_address()
        {
            gang.sent_ms = Some(now_ms);
            let message = GangMessage::MemberDone { attempt, worker: own, end };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn is_own_lead(&self, attempt: AttemptKey) -> bool {
        self.gangs.get(&attempt).is_some_and(|gang| gang.lead_worker() == self.own)
    }

    /// A member is ready once nothing else runs on its accelerators.
    pub(crate) fn report_ready(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_waiting = matches!(gang.state(), State::Holding {})
            && gang.assignment.phase == AssignmentPhase::Placed
            && is_due(gang.sent_ms, self.timing.resend_ms, now_ms);
        if !is_waiting || self.is_blocked(gang) {
            return;
        }
        let (address, own, incarnation) = (gang.lead_address(), self.own, self.incarnation);
        if let Some(gang) = self.gangs.get_mut(&attempt) {
            gang.sent_ms = Some(now_ms);
        }
        if self.is_own_lead(attempt) {
            self.member_ready(attempt, own, incarnation, now_ms);
            self.lead_tick(attempt, now_ms);
        } else if let Some(address) = address {
            let sent_ms = now_ms;
            let message = GangMessage::Ready { attempt, worker: own, incarnation, sent_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn is_blocked(&self, gang: &GangEntry) -> bool {
        let wanted = gang.accelerators(self.own);
        self.gangs.values().any(|other| {
            other.attempt() != gang.attempt()
                && other.is_occupying()
                && !other.accelerators(self.own).intersection(wanted).is_empty()
        })
    }
}

/// Attempt and member index of a task's name.
fn parse_task(task: &str) -> Option<(AttemptKey, u8)> {
    let mut parts = task.split('.');
    let job = cuminbarrow_model::keys::JobKey(parts.next()?.parse().ok()?);
    let attempt = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((AttemptKey { job, attempt }, index))
}
