//! The lead's side of the gang table: readiness, go, renewals, and the report of the end.

use std::collections::VecDeque;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::MemberEnd;
use cuminbarrow_protocol::message::RenewedAttempt;
use smol_str::SmolStr;

use crate::agent_action::AgentAction;
use crate::gang_entry::GangEntry;
use crate::gang_table::GangTable;
use crate::gang_table::is_due;
use crate::member_machine::MemberEvent;

/// Early reports that are kept.
const MAX_EARLY: usize = 1_024;

/// A member's report for an attempt that this agent has not heard of.
pub(crate) struct EarlyReady {
    pub(crate) attempt: AttemptKey,
    pub(crate) worker: WorkerKey,
    pub(crate) incarnation: u64,
    pub(crate) sent_ms: u64,
}

impl GangTable {
    pub(crate) fn go_acked(&mut self, attempt: AttemptKey, worker: WorkerKey, sent_ms: u64) {
        if let Some(lead) = self.lead_mut(attempt) {
            lead.go_acked.insert(worker);
            lead.renew_acked.insert(worker);
            lead.hear(worker, sent_ms);
        }
    }

    pub(crate) fn lead_mut(
        &mut self,
        attempt: AttemptKey,
    ) -> Option<&mut crate::gang_lead::GangLead> {
        self.gangs.get_mut(&attempt)?.lead.as_mut()
    }

    pub(crate) fn member_ready(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        incarnation: u64,
        sent_ms: u64,
    ) {
        if !self.gangs.contains_key(&attempt) {
            return self.keep_early(EarlyReady { attempt, worker, incarnation, sent_ms });
        }
        let Some(lead) = self.lead_mut(attempt) else { return };
        if lead.started_ms.is_some() {
            return;
        }
        if lead.ready.insert(worker, incarnation) != Some(incarnation) {
            lead.latest_sent_ms.remove(&worker);
        }
        lead.hear(worker, sent_ms);
    }

    /// A member may hear of a placement before the lead does.
    pub(crate) fn keep_early(&mut self, ready: EarlyReady) {
        if self.early.len() >= MAX_EARLY {
            self.early.pop_front();
        }
        self.early.push_back(ready);
    }

    pub(crate) fn take_early(&mut self, attempt: AttemptKey) {
        let early = std::mem::take(&mut self.early);
        let (own, rest) = early.into_iter().partition(|ready| ready.attempt == attempt);
        self.early = rest;
        let own: VecDeque<EarlyReady> = own;
        for ready in own {
            self.member_ready(attempt, ready.worker, ready.incarnation, ready.sent_ms);
        }
    }

    pub(crate) fn renew_acked(
        &mut self,
        attempts: &[AttemptKey],
        round: u32,
        worker: WorkerKey,
        sent_ms: u64,
    ) {
        for attempt in attempts {
            if let Some(lead) = self.lead_mut(*attempt) {
                lead.hear(worker, sent_ms);
                if round >= lead.round {
                    lead.renew_acked.insert(worker);
                }
            }
        }
    }

    pub(crate) fn member_done(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        end: MemberEnd,
        now_ms: u64,
    ) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let address = gang.assignment.members.iter().find(|m| m.member.worker == worker);
        let address = address.map(|member| member.address);
        let Some(lead) = gang.lead.as_mut() else { return };
        lead.done.entry(worker).or_insert(end);
        if let Some(address) = address.filter(|_| worker != self.own) {
            let message = GangMessage::MemberDoneAck { attempt };
            self.actions.push(AgentAction::SendGang { address, message });
        }
        self.lead_tick(attempt, now_ms);
    }

    pub(crate) fn flush_renewals(&mut self) {
        let round = self.round;
        for (address, attempts) in std::mem::take(&mut self.renewals) {
            let message = GangMessage::Renew { attempts, round };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    pub(crate) fn lead_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get(&attempt).filter(|gang| !gang.is_removed) else { return };
        let Some(lead) = &gang.lead else { return };
        let workers = workers_of(gang);
        if lead.report.is_some() {
            return self.resend_report(attempt, now_ms);
        }
        if let Some(end) = lead.verdict(&workers) {
            return self.conclude(attempt, end, now_ms);
        }
        match (gang.assignment.phase, lead.started_ms) {
            (AssignmentPhase::Placed, _) => self.gather(attempt, &workers, now_ms),
            (AssignmentPhase::Started { .. }, None) => {}
            (AssignmentPhase::Started { .. } | AssignmentPhase::Stopping { .. }, Some(_)) => {
                self.lead_running(attempt, &workers, now_ms);
            }
            (AssignmentPhase::Stopping { .. }, None) => {}
        }
    }

    /// Waits for every member to be ready, then asks for the start.
    pub(crate) fn gather(&mut self, attempt: AttemptKey, workers: &[WorkerKey], now_ms: u64) {
        let (hold_ms, resend_ms) = (self.timing.hold_ms, self.timing.resend_ms);
        let Some(lead) = self.lead_mut(attempt) else { return };
        let missing = lead.missing(workers, |lead, worker| lead.ready.contains_key(worker));
        if let Some(&&worker) = missing.first() {
            if now_ms >= lead.since_ms + hold_ms {
                self.conclude(attempt, AttemptEnd::Lapsed { worker }, now_ms);
            }
        } else if is_due(lead.sent_ms, 2 * resend_ms, now_ms) {
            lead.sent_ms = Some(now_ms);
            let wanted = AgentMessage::StartRequested { attempt };
            self.actions.push(AgentAction::SendEntry(wanted));
        }
    }

    pub(crate) fn lead_running(&mut self, attempt: AttemptKey, workers: &[WorkerKey], now_ms: u64) {
        let lease_ms = self.timing.lease_ms;
        let Some(lead) = self.lead_mut(attempt) else { return };
        let unstarted = lead.missing(workers, |lead, worker| {
            lead.go_acked.contains(worker) || lead.done.contains_key(worker)
        });
        let unstarted: Vec<WorkerKey> = unstarted.into_iter().copied().collect();
        let unrenewed = lead.missing(workers, |lead, worker| {
            lead.renew_acked.contains(worker) || lead.done.contains_key(worker)
        });
        let unrenewed: Vec<WorkerKey> = unrenewed.into_iter().copied().collect();
        let is_lapsed = now_ms >= lead.round_ms + lease_ms;
        if let Some(&worker) = unstarted.first() {
            if is_lapsed {
                return self.conclude(attempt, AttemptEnd::Lapsed { worker }, now_ms);
            }
            return self.send_go(attempt, &unstarted, now_ms);
        }
        if let Some(&worker) = unrenewed.first()
            && is_lapsed
        {
            return self.conclude(attempt, AttemptEnd::Lapsed { worker }, now_ms);
        }
        self.renew(attempt, workers, &unrenewed, now_ms);
    }

    pub(crate) fn send_go(&mut self, attempt: AttemptKey, unstarted: &[WorkerKey], now_ms: u64) {
        let (own, resend_ms) = (self.own, self.timing.resend_ms);
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(lead) = gang.lead.as_mut() else { return };
        if !is_due(lead.sent_ms, resend_ms, now_ms) {
            return;
        }
        lead.sent_ms = Some(now_ms);
        for worker in unstarted.iter().filter(|worker| **worker != own) {
            let Some(&incarnation) = lead.ready.get(worker) else { continue };
            let address = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
            let Some(address) = address.map(|member| member.address) else { continue };
            let echoed_sent_ms = lead.heard(*worker);
            let message = GangMessage::Start { attempt, incarnation, echoed_sent_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
        if unstarted.contains(&own) {
            gang.lease_until_ms = now_ms + self.timing.lease_ms;
            self.go_acked(attempt, own, now_ms);
            self.drive(attempt, MemberEvent::Go, now_ms);
        }
    }

    /// Begins a new round once every member answered the last one; until then asks the missing.
    pub(crate) fn renew(
        &mut self,
        attempt: AttemptKey,
        workers: &[WorkerKey],
        unrenewed: &[WorkerKey],
        now_ms: u64,
    ) {
        let (own, round, timing) = (self.own, self.round, self.timing);
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(lead) = gang.lead.as_mut() else { return };
        let is_new_round = unrenewed.is_empty() && now_ms >= lead.round_ms + timing.renew_ms;
        let is_retry = !unrenewed.is_empty() && is_due(lead.sent_ms, timing.resend_ms, now_ms);
        if !is_new_round && !is_retry {
            return;
        }
        lead.sent_ms = Some(now_ms);
        let answered_ms = lead.round_ms;
        if is_new_round {
            lead.round = round;
            lead.round_ms = now_ms;
            lead.renew_acked.clear();
            lead.renew_acked.insert(own);
        }
        let targets = if is_new_round { workers } else { unrenewed };
        for worker in targets.iter().filter(|worker| **worker != own) {
            let is_done = lead.done.contains_key(worker);
            let address = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
            if let Some(member) = address.filter(|_| !is_done) {
                let echoed_sent_ms = lead.heard(*worker);
                let renewal = RenewedAttempt { attempt, echoed_sent_ms };
                self.renewals.entry(member.address).or_default().push(renewal);
            }
        }
        if is_new_round && gang.lease_until_ms > now_ms {
            gang.lease_until_ms = gang.lease_until_ms.max(answered_ms + timing.lease_ms);
            let lease_ms = gang.lease_until_ms - now_ms;
            let tasks = gang.open_tasks(own);
            self.actions.push(AgentAction::RenewTasks { tasks, lease_ms });
        }
    }

    /// Ends the attempt everywhere and reports it.
    pub(crate) fn conclude(&mut self, attempt: AttemptKey, end: AttemptEnd, now_ms: u64) {
        let own = self.own;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let is_failure = matches!(end, AttemptEnd::Failed { .. } | AttemptEnd::Lapsed { .. });
        let end = bounded(end, own);
        let Some(lead) = gang.lead.as_mut() else { return };
        lead.report = Some(end);
        lead.sent_ms = None;
        if is_failure {
            for worker in workers_of(gang).iter().filter(|worker| **worker != own) {
                let member = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
                let Some(address) = member.map(|member| member.address) else { continue };
                let message = GangMessage::Abandon { attempt };
                self.actions.push(AgentAction::SendGang { address, message });
            }
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
        self.resend_report(attempt, now_ms);
    }

    /// Reports until the log no longer has the attempt.
    pub(crate) fn resend_report(&mut self, attempt: AttemptKey, now_ms: u64) {
        let resend_ms = self.timing.resend_ms;
        let Some(lead) = self.lead_mut(attempt) else { return };
        let Some(end) = lead.report.clone() else { return };
        if is_due(lead.sent_ms, 2 * resend_ms, now_ms) {
            lead.sent_ms = Some(now_ms);
            let ended = AgentMessage::Ended { attempt, end };
            self.actions.push(AgentAction::SendEntry(ended));
        }
    }
}

/// An answer that is too large is a failure of the job, never cut short.
fn bounded(end: AttemptEnd, worker: WorkerKey) -> AttemptEnd {
    match end {
        AttemptEnd::Completed { answer } if answer.body.len() > Answer::MAX_BYTES => {
            let reason = SmolStr::new("its answer is larger than 16 KiB");
            AttemptEnd::Failed { worker, reason }
        }
        other => other,
    }
}

/// Workers of a gang, the lead's first, each once.
fn workers_of(gang: &GangEntry) -> Vec<WorkerKey> {
    let mut workers = Vec::new();
    for member in &gang.assignment.members {
        if !workers.contains(&member.member.worker) {
            workers.push(member.member.worker);
        }
    }
    workers
}
