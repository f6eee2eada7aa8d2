//! Decides what the agent does: pure, with time passed in and actions handed out.
//!
//! A member holds its place and reports ready. The lead asks for the start once every member is
//! ready, and sends go only when the log has the start under its own incarnation, addressed to
//! the incarnations that were ready. From then on the lead renews the gang's lease for all
//! members or for none: a new round begins only when every member answered the last one. A member
//! counts its lease from its own last message that the lead has heard, and the lead counts its own
//! from the start of the round that every member answered.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_platform::worker_control::TaskEnd;
use cuminbarrow_platform::worker_control::TaskReport;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::Assignment;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::MemberEnd;
use cuminbarrow_protocol::message::RenewedAttempt;
use smol_str::SmolStr;

use crate::agent_action::AgentAction;
use crate::gang_entry::GangEntry;
use crate::gang_timing::GangTiming;
use crate::member_machine::MemberEvent;
use crate::member_machine::MemberOrder;
use crate::member_machine::State;

/// Early reports that are kept.
const MAX_EARLY: usize = 1_024;

/// A member's report for an attempt that this agent has not heard of.
struct EarlyReady {
    attempt: AttemptKey,
    worker: WorkerKey,
    incarnation: u64,
    sent_ms: u64,
}

/// Everything the agent knows of its gangs.
pub struct GangTable {
    incarnation: u64,
    timing: GangTiming,
    own: WorkerKey,
    applied: u64,
    round: u32,
    gangs: BTreeMap<AttemptKey, GangEntry>,
    actions: Vec<AgentAction>,
    renewals: BTreeMap<SocketAddr, Vec<RenewedAttempt>>,
    early: VecDeque<EarlyReady>,
}

impl GangTable {
    /// An empty table of an agent's incarnation.
    pub fn new(incarnation: u64, timing: GangTiming) -> Self {
        Self {
            incarnation,
            timing,
            own: WorkerKey::default(),
            applied: 0,
            round: 0,
            gangs: BTreeMap::new(),
            actions: Vec::new(),
            renewals: BTreeMap::new(),
            early: VecDeque::new(),
        }
    }

    /// Offset up to which the agent has acted; it never goes back.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Number of attempts whose tasks run or may still run.
    pub fn running(&self) -> usize {
        self.gangs.values().filter(|gang| gang.is_occupying()).count()
    }

    /// Number of attempts known.
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Whether no attempt is known.
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    /// Hands out the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes everything the worker is to do; an entry that is behind is not followed.
    pub fn sync(&mut self, own: WorkerKey, offset: u64, assignments: Vec<Assignment>, now_ms: u64) {
        if offset < self.applied {
            return;
        }
        self.own = own;
        let wanted: Vec<AttemptKey> = assignments.iter().map(|wanted| wanted.attempt).collect();
        let gone: Vec<AttemptKey> =
            self.gangs.keys().filter(|key| !wanted.contains(key)).copied().collect();
        self.update(offset, assignments, gone, now_ms);
    }

    /// Takes what changed; an entry that is behind is not followed.
    pub fn update(
        &mut self,
        offset: u64,
        changed: Vec<Assignment>,
        removed: Vec<AttemptKey>,
        now_ms: u64,
    ) {
        if offset < self.applied {
            return;
        }
        self.applied = offset;
        for attempt in removed {
            self.remove(attempt, now_ms);
        }
        for assignment in changed {
            self.assign(assignment, now_ms);
        }
        self.tick(now_ms);
    }

    fn remove(&mut self, attempt: AttemptKey, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        gang.is_removed = true;
        self.drive(attempt, MemberEvent::Abandoned, now_ms);
        self.forget_if_over(attempt);
    }

    fn forget_if_over(&mut self, attempt: AttemptKey) {
        let is_done = |gang: &GangEntry| gang.is_removed && gang.is_over();
        if self.gangs.get(&attempt).is_some_and(is_done) {
            self.gangs.remove(&attempt);
        }
    }

    fn assign(&mut self, assignment: Assignment, now_ms: u64) {
        let attempt = assignment.attempt;
        let phase = assignment.phase;
        let own = self.own;
        let gang = self
            .gangs
            .entry(attempt)
            .or_insert_with(|| GangEntry::new(assignment.clone(), own, now_ms));
        gang.assignment = assignment;
        if phase == AssignmentPhase::Placed {
            self.take_early(attempt);
        }
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        match phase {
            AssignmentPhase::Placed => {}
            AssignmentPhase::Started { lead_incarnation } => {
                let is_own = lead_incarnation == self.incarnation;
                if let Some(lead) = gang.lead.as_mut().filter(|_| is_own)
                    && lead.started_ms.is_none()
                {
                    lead.started_ms = Some(now_ms);
                    lead.round_ms = now_ms;
                    lead.sent_ms = None;
                }
            }
            AssignmentPhase::Stopping { .. } => {
                self.drive(attempt, MemberEvent::StopWanted, now_ms)
            }
        }
    }

    /// Runs the member's machine and turns its orders into actions.
    fn drive(&mut self, attempt: AttemptKey, event: MemberEvent, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        for order in gang.handle(event) {
            match order {
                MemberOrder::Start => {
                    let lease_ms = gang.lease_until_ms.saturating_sub(now_ms);
                    for index in gang.indices(self.own) {
                        let start = gang.task_start(index, lease_ms);
                        self.actions.push(AgentAction::StartTask(start));
                    }
                }
                MemberOrder::Stop { checkpoint } => {
                    gang.stopped_ms = Some(now_ms);
                    let checkpoint = checkpoint && gang.assignment.checkpointable;
                    for task in gang.open_tasks(self.own) {
                        self.actions.push(AgentAction::StopTask { task, checkpoint });
                    }
                }
            }
        }
    }

    /// Takes a message from another agent.
    pub fn receive(&mut self, message: GangMessage, now_ms: u64) {
        match message {
            GangMessage::Abandon { attempt } => {
                if let Some(gang) = self.gangs.get_mut(&attempt) {
                    gang.has_lapsed = true;
                    self.drive(attempt, MemberEvent::Abandoned, now_ms);
                }
            }
            GangMessage::Go { attempt, incarnation, heard_ms } => {
                self.go(attempt, incarnation, heard_ms, now_ms);
            }
            GangMessage::GoAck { attempt, worker, sent_ms } => {
                self.go_acked(attempt, worker, sent_ms);
            }
            GangMessage::MemberDone { attempt, worker, end } => {
                self.member_done(attempt, worker, end, now_ms);
            }
            GangMessage::MemberDoneAck { attempt } => {
                if let Some(gang) = self.gangs.get_mut(&attempt) {
                    gang.is_noted_by_lead = true;
                }
            }
            GangMessage::Ready { attempt, worker, incarnation, sent_ms } => {
                self.member_ready(attempt, worker, incarnation, sent_ms);
                self.lead_tick(attempt, now_ms);
            }
            GangMessage::Renew { attempts, round } => self.renewed(attempts, round, now_ms),
            GangMessage::RenewAck { attempts, round, worker, sent_ms } => {
                self.renew_acked(&attempts, round, worker, sent_ms);
            }
        }
    }

    fn go(&mut self, attempt: AttemptKey, incarnation: u64, heard_ms: u64, now_ms: u64) {
        let lease_until_ms = heard_ms + self.timing.lease_ms;
        let is_fresh = heard_ms <= now_ms && lease_until_ms > now_ms;
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
            let message = GangMessage::GoAck { attempt, worker: self.own, sent_ms: now_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    fn go_acked(&mut self, attempt: AttemptKey, worker: WorkerKey, sent_ms: u64) {
        if let Some(lead) = self.lead_mut(attempt) {
            lead.go_acked.insert(worker);
            lead.renew_acked.insert(worker);
            lead.hear(worker, sent_ms);
        }
    }

    fn lead_mut(&mut self, attempt: AttemptKey) -> Option<&mut crate::gang_lead::GangLead> {
        self.gangs.get_mut(&attempt)?.lead.as_mut()
    }

    fn member_ready(
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
            lead.heard_ms.remove(&worker);
        }
        lead.hear(worker, sent_ms);
    }

    /// A member may hear of a placement before the lead does.
    fn keep_early(&mut self, ready: EarlyReady) {
        if self.early.len() >= MAX_EARLY {
            self.early.pop_front();
        }
        self.early.push_back(ready);
    }

    fn take_early(&mut self, attempt: AttemptKey) {
        let early = std::mem::take(&mut self.early);
        let (own, rest) = early.into_iter().partition(|ready| ready.attempt == attempt);
        self.early = rest;
        let own: VecDeque<EarlyReady> = own;
        for ready in own {
            self.member_ready(attempt, ready.worker, ready.incarnation, ready.sent_ms);
        }
    }

    fn renewed(&mut self, renewals: Vec<RenewedAttempt>, round: u32, now_ms: u64) {
        let mut renewed = Vec::new();
        let mut address = None;
        for RenewedAttempt { attempt, heard_ms } in renewals {
            if self.extend_lease(attempt, heard_ms, now_ms) {
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
    fn extend_lease(&mut self, attempt: AttemptKey, heard_ms: u64, now_ms: u64) -> bool {
        let lease_until_ms = heard_ms + self.timing.lease_ms;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return false };
        if gang.is_over() {
            return !gang.has_lapsed;
        }
        let is_live = gang.lease_until_ms > now_ms && heard_ms <= now_ms;
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

    fn renew_acked(
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

    fn member_done(&mut self, attempt: AttemptKey, worker: WorkerKey, end: MemberEnd, now_ms: u64) {
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

    /// Does what is due; to be called often.
    pub fn tick(&mut self, now_ms: u64) {
        let attempts: Vec<AttemptKey> = self.gangs.keys().copied().collect();
        self.round = self.round.wrapping_add(1);
        for attempt in attempts {
            self.member_tick(attempt, now_ms);
            self.lead_tick(attempt, now_ms);
            self.forget_if_over(attempt);
        }
        self.flush_renewals();
    }

    fn flush_renewals(&mut self) {
        let round = self.round;
        for (address, attempts) in std::mem::take(&mut self.renewals) {
            let message = GangMessage::Renew { attempts, round };
            self.actions.push(AgentAction::SendGang { address, message });
        }
    }

    fn member_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
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
    fn press_stop(&mut self, attempt: AttemptKey, now_ms: u64) {
        let grace_ms = self.timing.stop_grace_ms;
        let Some(gang) = self.gangs.get(&attempt) else { return };
        let is_late = gang.stopped_ms.is_some_and(|since_ms| now_ms >= since_ms + grace_ms);
        if gang.is_occupying() && is_late {
            self.drive(attempt, MemberEvent::Abandoned, now_ms);
        }
    }

    fn report_member(&mut self, attempt: AttemptKey, now_ms: u64) {
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

    fn is_own_lead(&self, attempt: AttemptKey) -> bool {
        self.gangs.get(&attempt).is_some_and(|gang| gang.lead_worker() == self.own)
    }

    /// A member is ready once nothing else runs on its accelerators.
    fn report_ready(&mut self, attempt: AttemptKey, now_ms: u64) {
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

    fn is_blocked(&self, gang: &GangEntry) -> bool {
        let wanted = gang.accelerators(self.own);
        self.gangs.values().any(|other| {
            other.attempt() != gang.attempt()
                && other.is_occupying()
                && !other.accelerators(self.own).intersection(wanted).is_empty()
        })
    }

    fn lead_tick(&mut self, attempt: AttemptKey, now_ms: u64) {
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
    fn gather(&mut self, attempt: AttemptKey, workers: &[WorkerKey], now_ms: u64) {
        let (hold_ms, resend_ms) = (self.timing.hold_ms, self.timing.resend_ms);
        let Some(lead) = self.lead_mut(attempt) else { return };
        let missing = lead.missing(workers, |lead, worker| lead.ready.contains_key(worker));
        if let Some(&&worker) = missing.first() {
            if now_ms >= lead.since_ms + hold_ms {
                self.conclude(attempt, AttemptEnd::Lapsed { worker }, now_ms);
            }
        } else if is_due(lead.sent_ms, 2 * resend_ms, now_ms) {
            lead.sent_ms = Some(now_ms);
            let wanted = AgentMessage::StartWanted { attempt };
            self.actions.push(AgentAction::SendEntry(wanted));
        }
    }

    fn lead_running(&mut self, attempt: AttemptKey, workers: &[WorkerKey], now_ms: u64) {
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

    fn send_go(&mut self, attempt: AttemptKey, unstarted: &[WorkerKey], now_ms: u64) {
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
            let heard_ms = lead.heard(*worker);
            let message = GangMessage::Go { attempt, incarnation, heard_ms };
            self.actions.push(AgentAction::SendGang { address, message });
        }
        if unstarted.contains(&own) {
            gang.lease_until_ms = now_ms + self.timing.lease_ms;
            self.go_acked(attempt, own, now_ms);
            self.drive(attempt, MemberEvent::Go, now_ms);
        }
    }

    /// Begins a new round once every member answered the last one; until then asks the missing.
    fn renew(
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
                let heard_ms = lead.heard(*worker);
                let renewal = RenewedAttempt { attempt, heard_ms };
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
    fn conclude(&mut self, attempt: AttemptKey, end: AttemptEnd, now_ms: u64) {
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
    fn resend_report(&mut self, attempt: AttemptKey, now_ms: u64) {
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

fn is_due(sent_ms: Option<u64>, every_ms: u64, now_ms: u64) -> bool {
    sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + every_ms)
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

/// Attempt and member index of a task's name.
fn parse_task(task: &str) -> Option<(AttemptKey, u8)> {
    let mut parts = task.split('.');
    let job = cuminbarrow_model::keys::JobKey(parts.next()?.parse().ok()?);
    let attempt = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((AttemptKey { job, attempt }, index))
}
