//! The lead's side of the gang protocol: readiness, start, renewals, and the report of the end.

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
use crate::gang_state::GangState;
use crate::gang_table::GangTable;
use crate::gang_table::is_resend_due;
use crate::member_state_machine::MemberEvent;

/// Limit of the number of buffered ready messages; the oldest are dropped.
const MAX_BUFFERED_READY: usize = 1_024;

/// A member's ready message for an attempt that this agent does not know yet.
pub(crate) struct BufferedReady {
    pub(crate) attempt: AttemptKey,
    pub(crate) worker: WorkerKey,
    pub(crate) incarnation: u64,
    pub(crate) sent_ms: u64,
}

impl GangTable {
    pub(crate) fn handle_start_ack(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        sent_ms: u64,
    ) {
        if let Some(lead) = self.lead_mut(attempt) {
            lead.start_acked.insert(worker);
            lead.renew_acked.insert(worker);
            lead.record_sent_time(worker, sent_ms);
        }
    }

    pub(crate) fn lead_mut(
        &mut self,
        attempt: AttemptKey,
    ) -> Option<&mut crate::lead_state::LeadState> {
        self.gangs.get_mut(&attempt)?.lead.as_mut()
    }

    pub(crate) fn handle_ready(
        &mut self,
        attempt: AttemptKey,
        worker: WorkerKey,
        incarnation: u64,
        sent_ms: u64,
    ) {
        if !self.gangs.contains_key(&attempt) {
            return self.buffer_ready(BufferedReady { attempt, worker, incarnation, sent_ms });
        }
        let Some(lead) = self.lead_mut(attempt) else { return };
        if lead.start_recorded_ms.is_some() {
            return;
        }
        // Each incarnation has a clock of its own, so send times of another one can't be compared.
        if lead.ready_incarnations.insert(worker, incarnation) != Some(incarnation) {
            lead.member_sent_ms.remove(&worker);
        }
        lead.record_sent_time(worker, sent_ms);
    }

    /// Buffers a ready message: a member may learn of a placement before the lead does.
    pub(crate) fn buffer_ready(&mut self, ready: BufferedReady) {
        if self.buffered_ready.len() >= MAX_BUFFERED_READY {
            self.buffered_ready.pop_front();
        }
        self.buffered_ready.push_back(ready);
    }

    /// Handles the buffered ready messages of an attempt that this agent now knows.
    pub(crate) fn replay_buffered_ready(&mut self, attempt: AttemptKey) {
        let buffered = std::mem::take(&mut self.buffered_ready);
        let (matching, rest) = buffered.into_iter().partition(|ready| ready.attempt == attempt);
        self.buffered_ready = rest;
        let matching: VecDeque<BufferedReady> = matching;
        for ready in matching {
            self.handle_ready(attempt, ready.worker, ready.incarnation, ready.sent_ms);
        }
    }

    pub(crate) fn handle_renew_ack(
        &mut self,
        attempts: &[AttemptKey],
        round: u32,
        worker: WorkerKey,
        sent_ms: u64,
    ) {
        for attempt in attempts {
            if let Some(lead) = self.lead_mut(*attempt) {
                lead.record_sent_time(worker, sent_ms);
                if round >= lead.renewal_round {
                    lead.renew_acked.insert(worker);
                }
            }
        }
    }

    pub(crate) fn handle_member_done(
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
        lead.member_ends.entry(worker).or_insert(end);
        if let Some(address) = address.filter(|_| worker != self.own_worker) {
            let message = GangMessage::MemberDoneAck { attempt };
            self.actions.push(AgentAction::SendGang { address, message });
        }
        self.lead_tick(attempt, now_ms);
    }

    pub(crate) fn flush_renewals(&mut self) {
        let round = self.renewal_round;
        for (address, attempts) in std::mem::take(&mut self.pending_renewals) {
            let message = GangMessage::Renew { attempts, round };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    /// Does what is due for the lead in the current phase of the attempt.
    pub(crate) fn lead_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get(&attempt).filter(|gang| !gang.is_removed) else { return };
        let Some(lead) = &gang.lead else { return };
        let workers = distinct_workers(gang);
        if lead.reported_end.is_some() {
            return self.resend_report(attempt, now_ms);
        }
        if let Some(end) = lead.attempt_end(&workers) {
            return self.end_attempt(attempt, end, now_ms);
        }
        match (gang.assignment.phase, lead.start_recorded_ms) {
            (AssignmentPhase::Placed, _) => self.collect_ready(attempt, &workers, now_ms),
            (AssignmentPhase::Started { .. }, None) => {}
            (AssignmentPhase::Started { .. } | AssignmentPhase::Stopping { .. }, Some(_)) => {
                self.tick_running(attempt, &workers, now_ms);
            }
            (AssignmentPhase::Stopping { .. }, None) => {}
        }
    }

    /// Requests the start once every member is ready. Ends the attempt when a member is not ready
    /// within `hold_ms`.
    pub(crate) fn collect_ready(
        &mut self,
        attempt: AttemptKey,
        workers: &[WorkerKey],
        now_ms: u64,
    ) {
        let (hold_ms, resend_ms) = (self.timing.hold_ms, self.timing.resend_ms);
        let Some(lead) = self.lead_mut(attempt) else { return };
        let missing =
            lead.missing(workers, |lead, worker| lead.ready_incarnations.contains_key(worker));
        if let Some(&&worker) = missing.first() {
            if now_ms >= lead.placed_ms + hold_ms {
                self.end_attempt(attempt, AttemptEnd::Lapsed { worker }, now_ms);
            }
        } else if is_resend_due(lead.last_sent_ms, 2 * resend_ms, now_ms) {
            lead.last_sent_ms = Some(now_ms);
            let request = AgentMessage::StartRequested { attempt };
            self.actions.push(AgentAction::SendEntry(request));
        }
    }

    /// Starts the members until all have acknowledged the start, then renews their leases. Ends the
    /// attempt when a member has not acknowledged the start or a renewal round for a whole lease.
    pub(crate) fn tick_running(&mut self, attempt: AttemptKey, workers: &[WorkerKey], now_ms: u64) {
        let lease_ms = self.timing.lease_ms;
        let Some(lead) = self.lead_mut(attempt) else { return };
        let unstarted = lead.missing(workers, |lead, worker| {
            lead.start_acked.contains(worker) || lead.member_ends.contains_key(worker)
        });
        let unstarted: Vec<WorkerKey> = unstarted.into_iter().copied().collect();
        let unrenewed = lead.missing(workers, |lead, worker| {
            lead.renew_acked.contains(worker) || lead.member_ends.contains_key(worker)
        });
        let unrenewed: Vec<WorkerKey> = unrenewed.into_iter().copied().collect();
        let is_lapsed = now_ms >= lead.round_started_ms + lease_ms;
        if let Some(&worker) = unstarted.first() {
            if is_lapsed {
                return self.end_attempt(attempt, AttemptEnd::Lapsed { worker }, now_ms);
            }
            return self.send_start(attempt, &unstarted, now_ms);
        }
        if let Some(&worker) = unrenewed.first()
            && is_lapsed
        {
            return self.end_attempt(attempt, AttemptEnd::Lapsed { worker }, now_ms);
        }
        self.renew(attempt, workers, &unrenewed, now_ms);
    }

    /// Sends the start, at the resend interval, to the workers that have not acknowledged it.
    pub(crate) fn send_start(&mut self, attempt: AttemptKey, unstarted: &[WorkerKey], now_ms: u64) {
        let (own_worker, resend_ms) = (self.own_worker, self.timing.resend_ms);
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(lead) = gang.lead.as_mut() else { return };
        if !is_resend_due(lead.last_sent_ms, resend_ms, now_ms) {
            return;
        }
        lead.last_sent_ms = Some(now_ms);
        for worker in unstarted.iter().filter(|worker| **worker != own_worker) {
            let Some(&incarnation) = lead.ready_incarnations.get(worker) else { continue };
            let address = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
            let Some(address) = address.map(|member| member.address) else { continue };
            let echoed_sent_ms = lead.member_sent_ms(*worker);
            let message = GangMessage::Start { attempt, incarnation, echoed_sent_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
        if unstarted.contains(&own_worker) {
            gang.lease_until_ms = now_ms + self.timing.lease_ms;
            self.handle_start_ack(attempt, own_worker, now_ms);
            self.drive(attempt, MemberEvent::Start, now_ms);
        }
    }

    /// Begins a new renewal round when every member has acknowledged the current one. Until then it
    /// resends the renewal to the members that have not.
    pub(crate) fn renew(
        &mut self,
        attempt: AttemptKey,
        workers: &[WorkerKey],
        unrenewed: &[WorkerKey],
        now_ms: u64,
    ) {
        let (own_worker, round, timing) = (self.own_worker, self.renewal_round, self.timing);
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let Some(lead) = gang.lead.as_mut() else { return };
        let is_new_round =
            unrenewed.is_empty() && now_ms >= lead.round_started_ms + timing.renew_ms;
        let is_retry =
            !unrenewed.is_empty() && is_resend_due(lead.last_sent_ms, timing.resend_ms, now_ms);
        if !is_new_round && !is_retry {
            return;
        }
        lead.last_sent_ms = Some(now_ms);
        let acked_round_ms = lead.round_started_ms;
        if is_new_round {
            lead.renewal_round = round;
            lead.round_started_ms = now_ms;
            lead.renew_acked.clear();
            lead.renew_acked.insert(own_worker);
        }
        let targets = if is_new_round { workers } else { unrenewed };
        for worker in targets.iter().filter(|worker| **worker != own_worker) {
            let is_done = lead.member_ends.contains_key(worker);
            let address = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
            if let Some(member) = address.filter(|_| !is_done) {
                let echoed_sent_ms = lead.member_sent_ms(*worker);
                let renewal = RenewedAttempt { attempt, echoed_sent_ms };
                self.pending_renewals.entry(member.address).or_default().push(renewal);
            }
        }
        if is_new_round && gang.lease_until_ms > now_ms {
            gang.lease_until_ms = gang.lease_until_ms.max(acked_round_ms + timing.lease_ms);
            let lease_ms = gang.lease_until_ms - now_ms;
            let tasks = gang.unfinished_tasks(own_worker);
            self.actions.push(AgentAction::RenewTasks { tasks, lease_ms });
        }
    }

    /// Ends the attempt on all workers and reports its end to the entry.
    pub(crate) fn end_attempt(&mut self, attempt: AttemptKey, end: AttemptEnd, now_ms: u64) {
        let own_worker = self.own_worker;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let is_failure = matches!(end, AttemptEnd::Failed { .. } | AttemptEnd::Lapsed { .. });
        let end = limit_answer_size(end, own_worker);
        let Some(lead) = gang.lead.as_mut() else { return };
        lead.reported_end = Some(end);
        lead.last_sent_ms = None;
        if is_failure {
            for worker in distinct_workers(gang).iter().filter(|worker| **worker != own_worker) {
                let member = gang.assignment.members.iter().find(|m| m.member.worker == *worker);
                let Some(address) = member.map(|member| member.address) else { continue };
                let message = GangMessage::Abandon { attempt };
                self.actions.push(AgentAction::SendGang { address, message });
            }
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
        self.resend_report(attempt, now_ms);
    }

    /// Reports the end of the attempt to the entry, and repeats the report until the entry no
    /// longer assigns the attempt.
    pub(crate) fn resend_report(&mut self, attempt: AttemptKey, now_ms: u64) {
        let resend_ms = self.timing.resend_ms;
        let Some(lead) = self.lead_mut(attempt) else { return };
        let Some(end) = lead.reported_end.clone() else { return };
        if is_resend_due(lead.last_sent_ms, 2 * resend_ms, now_ms) {
            lead.last_sent_ms = Some(now_ms);
            let ended = AgentMessage::Ended { attempt, end };
            self.actions.push(AgentAction::SendEntry(ended));
        }
    }
}

/// Turns a completion whose answer is too large into a failure; answers are never truncated.
fn limit_answer_size(end: AttemptEnd, worker: WorkerKey) -> AttemptEnd {
    match end {
        AttemptEnd::Completed { answer } if answer.body.len() > Answer::MAX_BYTES => {
            let reason = SmolStr::new("its answer is larger than 16 KiB");
            AttemptEnd::Failed { worker, reason }
        }
        other => other,
    }
}

/// Workers of a gang without duplicates, the lead's first.
fn distinct_workers(gang: &GangState) -> Vec<WorkerKey> {
    let mut workers = Vec::new();
    for member in &gang.assignment.members {
        if !workers.contains(&member.member.worker) {
            workers.push(member.member.worker);
        }
    }
    workers
}
