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

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::Assignment;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::RenewedAttempt;

use crate::agent_action::AgentAction;
use crate::gang_entry::GangEntry;
use crate::gang_timing::GangTiming;
use crate::lead_side::EarlyReady;
use crate::member_machine::MemberEvent;
use crate::member_machine::MemberOrder;

/// Everything the agent knows of its gangs.
pub struct GangTable {
    pub(crate) incarnation: u64,
    pub(crate) timing: GangTiming,
    pub(crate) own: WorkerKey,
    pub(crate) applied: u64,
    pub(crate) round: u32,
    pub(crate) gangs: BTreeMap<AttemptKey, GangEntry>,
    pub(crate) actions: Vec<AgentAction>,
    pub(crate) renewals: BTreeMap<SocketAddr, Vec<RenewedAttempt>>,
    pub(crate) early: VecDeque<EarlyReady>,
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

    pub(crate) fn forget_if_over(&mut self, attempt: AttemptKey) {
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
    pub(crate) fn drive(&mut self, attempt: AttemptKey, event: MemberEvent, now_ms: u64) {
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
            GangMessage::Start { attempt, incarnation, echoed_sent_ms } => {
                self.go(attempt, incarnation, echoed_sent_ms, now_ms);
            }
            GangMessage::StartAck { attempt, worker, sent_ms } => {
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
}

/// Whether something sent at some time is to be sent again.
pub(crate) fn is_due(sent_ms: Option<u64>, every_ms: u64, now_ms: u64) -> bool {
    sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + every_ms)
}
