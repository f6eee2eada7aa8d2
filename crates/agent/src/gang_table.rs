//! The gang protocol of an agent, as a state machine without I/O: the time is passed in and the
//! resulting actions are returned.
//!
//! Each member reports ready to the lead once nothing else runs on its accelerators. When every
//! member is ready, the lead requests that the start be recorded in the log. It starts the members
//! only when the log has the start under the lead's own incarnation, and addresses each one at the
//! incarnation that reported ready. From then on the lead renews the gang's lease for all members
//! or for none: a new renewal round begins only when every member has acknowledged the previous
//! one. A member counts its lease from the send time of its latest message that the lead has
//! received, and the lead counts its own from the start of the latest round that every member
//! acknowledged.

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
use crate::gang_state::GangState;
use crate::gang_timing::GangTiming;
use crate::lead_side::BufferedReady;
use crate::member_state_machine::MemberCommand;
use crate::member_state_machine::MemberEvent;

/// The attempts that are assigned to the agent's worker, and the actions that follow from them.
pub struct GangTable {
    pub(crate) incarnation: u64,
    pub(crate) timing: GangTiming,
    pub(crate) own_worker: WorkerKey,
    pub(crate) applied_offset: u64,
    /// Number for the renewal rounds that begin in the current tick, shared by all attempts because
    /// one message renews several of them.
    pub(crate) renewal_round: u32,
    pub(crate) gangs: BTreeMap<AttemptKey, GangState>,
    pub(crate) actions: Vec<AgentAction>,
    /// Renewals to send at the end of the tick, by the address of the member's agent.
    pub(crate) pending_renewals: BTreeMap<SocketAddr, Vec<RenewedAttempt>>,
    pub(crate) buffered_ready: VecDeque<BufferedReady>,
}

impl GangTable {
    /// Creates an empty table for an incarnation of the agent.
    pub fn new(incarnation: u64, timing: GangTiming) -> Self {
        Self {
            incarnation,
            timing,
            own_worker: WorkerKey::default(),
            applied_offset: 0,
            renewal_round: 0,
            gangs: BTreeMap::new(),
            actions: Vec::new(),
            pending_renewals: BTreeMap::new(),
            buffered_ready: VecDeque::new(),
        }
    }

    /// Log offset up to which the agent has acted; it never decreases.
    pub fn applied_offset(&self) -> u64 {
        self.applied_offset
    }

    /// Number of attempts whose tasks run or may still run.
    pub fn running_attempts(&self) -> usize {
        self.gangs.values().filter(|gang| gang.may_run_tasks()).count()
    }

    /// Number of attempts in the table.
    pub fn len(&self) -> usize {
        self.gangs.len()
    }

    /// Whether the table has no attempts.
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    /// Removes and returns the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<AgentAction> {
        std::mem::take(&mut self.actions)
    }

    /// Applies the complete assignments of the worker. Those of an entry that is behind the offset
    /// already applied are ignored.
    pub fn sync(
        &mut self,
        own_worker: WorkerKey,
        offset: u64,
        assignments: Vec<Assignment>,
        now_ms: u64,
    ) {
        if offset < self.applied_offset {
            return;
        }
        self.own_worker = own_worker;
        let wanted: Vec<AttemptKey> =
            assignments.iter().map(|assignment| assignment.attempt).collect();
        let removed: Vec<AttemptKey> =
            self.gangs.keys().filter(|key| !wanted.contains(key)).copied().collect();
        self.update(offset, assignments, removed, now_ms);
    }

    /// Applies changes to the assignments. Those of an entry that is behind the offset already
    /// applied are ignored.
    pub fn update(
        &mut self,
        offset: u64,
        changed: Vec<Assignment>,
        removed: Vec<AttemptKey>,
        now_ms: u64,
    ) {
        if offset < self.applied_offset {
            return;
        }
        self.applied_offset = offset;
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
        self.remove_if_ended(attempt);
    }

    pub(crate) fn remove_if_ended(&mut self, attempt: AttemptKey) {
        let can_remove = |gang: &GangState| gang.is_removed && gang.has_ended();
        if self.gangs.get(&attempt).is_some_and(can_remove) {
            self.gangs.remove(&attempt);
        }
    }

    fn assign(&mut self, assignment: Assignment, now_ms: u64) {
        let attempt = assignment.attempt;
        let phase = assignment.phase;
        let own_worker = self.own_worker;
        let gang = self
            .gangs
            .entry(attempt)
            .or_insert_with(|| GangState::new(assignment.clone(), own_worker, now_ms));
        gang.assignment = assignment;
        if phase == AssignmentPhase::Placed {
            self.replay_buffered_ready(attempt);
        }
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        match phase {
            AssignmentPhase::Placed => {}
            AssignmentPhase::Started { lead_incarnation } => {
                let is_current = lead_incarnation == self.incarnation;
                if let Some(lead) = gang.lead.as_mut().filter(|_| is_current)
                    && lead.start_recorded_ms.is_none()
                {
                    lead.start_recorded_ms = Some(now_ms);
                    lead.round_started_ms = now_ms;
                    lead.last_sent_ms = None;
                }
            }
            AssignmentPhase::Stopping { .. } => {
                self.drive(attempt, MemberEvent::StopRequested, now_ms)
            }
        }
    }

    /// Passes an event to the member's state machine and turns its commands into actions.
    pub(crate) fn drive(&mut self, attempt: AttemptKey, event: MemberEvent, now_ms: u64) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        for command in gang.handle(event) {
            match command {
                MemberCommand::Start => {
                    let lease_ms = gang.lease_until_ms.saturating_sub(now_ms);
                    for index in gang.member_indices(self.own_worker) {
                        let start = gang.task_start(index, lease_ms);
                        self.actions.push(AgentAction::StartTask(start));
                    }
                }
                MemberCommand::Stop { checkpoint } => {
                    gang.stop_sent_ms = Some(now_ms);
                    let checkpoint = checkpoint && gang.assignment.checkpointable;
                    for task in gang.unfinished_tasks(self.own_worker) {
                        self.actions.push(AgentAction::StopTask { task, checkpoint });
                    }
                }
            }
        }
    }

    /// Handles a message from another agent.
    pub fn receive(&mut self, message: GangMessage, now_ms: u64) {
        match message {
            GangMessage::Abandon { attempt } => {
                if let Some(gang) = self.gangs.get_mut(&attempt) {
                    gang.has_lapsed = true;
                    self.drive(attempt, MemberEvent::Abandoned, now_ms);
                }
            }
            GangMessage::Start { attempt, incarnation, echoed_sent_ms } => {
                self.handle_start(attempt, incarnation, echoed_sent_ms, now_ms);
            }
            GangMessage::StartAck { attempt, worker, sent_ms } => {
                self.handle_start_ack(attempt, worker, sent_ms);
            }
            GangMessage::MemberDone { attempt, worker, end } => {
                self.handle_member_done(attempt, worker, end, now_ms);
            }
            GangMessage::MemberDoneAck { attempt } => {
                if let Some(gang) = self.gangs.get_mut(&attempt) {
                    gang.is_end_acked = true;
                }
            }
            GangMessage::Ready { attempt, worker, incarnation, sent_ms } => {
                self.handle_ready(attempt, worker, incarnation, sent_ms);
                self.lead_tick(attempt, now_ms);
            }
            GangMessage::Renew { attempts, round } => self.handle_renewal(attempts, round, now_ms),
            GangMessage::RenewAck { attempts, round, worker, sent_ms } => {
                self.handle_renew_ack(&attempts, round, worker, sent_ms);
            }
        }
    }

    /// Handles timeouts and sends due renewals and resends. Must be called at short intervals.
    pub fn tick(&mut self, now_ms: u64) {
        let attempts: Vec<AttemptKey> = self.gangs.keys().copied().collect();
        self.renewal_round = self.renewal_round.wrapping_add(1);
        for attempt in attempts {
            self.member_tick(attempt, now_ms);
            self.lead_tick(attempt, now_ms);
            self.remove_if_ended(attempt);
        }
        self.flush_renewals();
    }
}

/// Whether a message is due: it was never sent, or last sent at least `interval_ms` ago.
pub(crate) fn is_resend_due(sent_ms: Option<u64>, interval_ms: u64, now_ms: u64) -> bool {
    sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + interval_ms)
}
