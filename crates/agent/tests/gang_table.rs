//! Tests the gang protocol with the gang tables of a lead and a member. The tests deliver the
//! messages and set the time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;

use cuminbarrow_agent::agent_action::AgentAction;
use cuminbarrow_agent::gang_table::GangTable;
use cuminbarrow_agent::gang_timing::GangTiming;
use cuminbarrow_model::accelerator_set::AcceleratorSet;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::Assignment;
use cuminbarrow_protocol::message::AssignmentPhase;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_protocol::message::MemberAddress;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskReport;
use smol_str::SmolStr;

const ATTEMPT: AttemptKey = AttemptKey { job: JobKey(1), attempt: 1 };
const LEAD: WorkerKey = WorkerKey(0);
const MEMBER: WorkerKey = WorkerKey(1);
const LEAD_INCARNATION: u64 = 10;
const MEMBER_INCARNATION: u64 = 20;

fn address(worker: WorkerKey) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + worker.0))
}

fn assignment(phase: AssignmentPhase) -> Assignment {
    let members = [LEAD, MEMBER].map(|worker| MemberAddress {
        member: Member { worker, accelerators: AcceleratorSet(1) },
        address: address(worker),
    });
    Assignment {
        attempt: ATTEMPT,
        phase,
        members: members.to_vec(),
        payload: SmolStr::default(),
        declared_run_ms: 1_000,
        resume_permille: 0,
        checkpointable: false,
    }
}

/// The gang tables of a lead and a member, with the actions that they request.
struct TestGang {
    lead: GangTable,
    member: GangTable,
    tasks: Vec<String>,
    entry_messages: Vec<AgentMessage>,
    to_lead: Vec<GangMessage>,
    to_member: Vec<GangMessage>,
}

impl TestGang {
    fn placed() -> Self {
        let mut gang = Self {
            lead: GangTable::new(LEAD_INCARNATION, GangTiming::default()),
            member: GangTable::new(MEMBER_INCARNATION, GangTiming::default()),
            tasks: Vec::new(),
            entry_messages: Vec::new(),
            to_lead: Vec::new(),
            to_member: Vec::new(),
        };
        gang.lead.sync(LEAD, 1, vec![assignment(AssignmentPhase::Placed)], 0);
        gang.member.sync(MEMBER, 1, vec![assignment(AssignmentPhase::Placed)], 0);
        gang.collect_actions();
        gang
    }

    fn started(now_ms: u64) -> Self {
        let mut gang = Self::placed();
        gang.deliver_all(now_ms);
        gang.start(2, now_ms);
        gang
    }

    fn start(&mut self, offset: u64, now_ms: u64) {
        let phase = AssignmentPhase::Started { lead_incarnation: LEAD_INCARNATION };
        self.lead.update(offset, vec![assignment(phase)], Vec::new(), now_ms);
        self.member.update(offset, vec![assignment(phase)], Vec::new(), now_ms);
        self.collect_actions();
    }

    fn collect_actions(&mut self) {
        for (role, table) in [("lead", &mut self.lead), ("member", &mut self.member)] {
            for action in table.take_actions() {
                match action {
                    AgentAction::RenewTasks { .. } => {}
                    AgentAction::SendEntry(message) => self.entry_messages.push(message),
                    AgentAction::SendGang { address: to, message } if to == address(LEAD) => {
                        self.to_lead.push(message);
                    }
                    AgentAction::SendGang { message, .. } => self.to_member.push(message),
                    AgentAction::StartTask(start) => {
                        self.tasks.push(format!("{role} starts {}", start.task));
                    }
                    AgentAction::StopTask { task, .. } => {
                        self.tasks.push(format!("{role} stops {task}"));
                    }
                }
            }
        }
    }

    /// Delivers messages between the two agents until none is left.
    fn deliver_all(&mut self, now_ms: u64) {
        while !self.to_lead.is_empty() || !self.to_member.is_empty() {
            for message in std::mem::take(&mut self.to_lead) {
                self.lead.receive(message, now_ms);
            }
            for message in std::mem::take(&mut self.to_member) {
                self.member.receive(message, now_ms);
            }
            self.collect_actions();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.lead.tick(now_ms);
        self.member.tick(now_ms);
        self.collect_actions();
    }

    fn has_requested_start(&self) -> bool {
        self.entry_messages.contains(&AgentMessage::StartRequested { attempt: ATTEMPT })
    }
}

#[test]
fn lead_requests_start_once_all_members_are_ready() {
    let mut gang = TestGang::placed();
    assert!(!gang.has_requested_start(), "the member is not ready yet");
    gang.deliver_all(0);
    assert!(gang.has_requested_start());
    assert_eq!(gang.tasks, Vec::<String>::new(), "no task starts before the start is recorded");
}

#[test]
fn ready_message_before_placement_is_buffered() {
    let mut gang = TestGang::placed();
    let mut lead = GangTable::new(LEAD_INCARNATION, GangTiming::default());
    for message in std::mem::take(&mut gang.to_lead) {
        lead.receive(message, 0);
    }
    lead.sync(LEAD, 1, vec![assignment(AssignmentPhase::Placed)], 1);
    gang.lead = lead;
    gang.collect_actions();
    assert!(
        gang.has_requested_start(),
        "the start does not wait for the member to resend its ready message"
    );
}

#[test]
fn tasks_start_after_start_is_recorded() {
    let mut gang = TestGang::started(0);
    gang.deliver_all(10);
    assert_eq!(gang.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
}

#[test]
fn start_for_another_incarnation_is_ignored() {
    let mut gang = TestGang::started(0);
    let stale = GangMessage::Start { attempt: ATTEMPT, incarnation: 19, echoed_sent_ms: 0 };
    gang.to_member.clear();
    gang.member.receive(stale, 10);
    gang.collect_actions();
    assert_eq!(gang.tasks, ["lead starts 1.1.0"]);
}

#[test]
fn start_delayed_beyond_the_lease_is_ignored() {
    let mut gang = TestGang::started(0);
    let late = std::mem::take(&mut gang.to_member);
    let lease_ms = GangTiming::default().lease_ms;
    for message in late {
        gang.member.receive(message, lease_ms);
    }
    gang.collect_actions();
    assert_eq!(
        gang.tasks,
        ["lead starts 1.1.0"],
        "the member does not start after its lease has lapsed, so it never runs without the lead"
    );
}

#[test]
fn delayed_start_does_not_extend_the_lease() {
    let mut gang = TestGang::started(0);
    let late = std::mem::take(&mut gang.to_member);
    for message in late {
        gang.member.receive(message, 10_000);
    }
    gang.collect_actions();
    gang.to_lead.clear();
    gang.member.tick(15_000);
    gang.collect_actions();
    assert_eq!(
        gang.tasks,
        ["lead starts 1.1.0", "member starts 1.1.1", "member stops 1.1.1"],
        "the lease is counted from the ready message that the lead received, sent at 0 ms"
    );
}

#[test]
fn unresponsive_member_ends_the_whole_gang() {
    let mut gang = TestGang::started(0);
    gang.deliver_all(10);
    for now_ms in (1_000..=40_000).step_by(1_000) {
        gang.lead.tick(now_ms);
        gang.collect_actions();
        gang.to_member.clear();
    }
    let lapsed =
        AgentMessage::Ended { attempt: ATTEMPT, end: AttemptEnd::Lapsed { worker: MEMBER } };
    assert!(gang.entry_messages.contains(&lapsed));
    gang.member.tick(15_010);
    gang.collect_actions();
    assert!(gang.tasks.contains(&"lead stops 1.1.0".to_owned()));
    assert!(gang.tasks.contains(&"member stops 1.1.1".to_owned()));
}

#[test]
fn renewals_keep_a_gang_running_past_its_first_lease() {
    let mut gang = TestGang::started(0);
    for now_ms in (0..=120_000).step_by(500) {
        gang.tick(now_ms);
        gang.deliver_all(now_ms + 10);
    }
    assert_eq!(gang.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
}

#[test]
fn sync_from_an_entry_that_is_behind_is_ignored() {
    let mut gang = TestGang::started(0);
    gang.deliver_all(10);
    gang.member.sync(MEMBER, 1, Vec::new(), 20);
    gang.collect_actions();
    assert_eq!(gang.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
    gang.member.sync(MEMBER, 3, Vec::new(), 30);
    gang.collect_actions();
    assert_eq!(gang.tasks.last().unwrap(), "member stops 1.1.1");
}

#[test]
fn failure_of_one_member_stops_the_others() {
    let mut gang = TestGang::started(0);
    gang.deliver_all(10);
    let end = TaskEnd::Failed { reason: SmolStr::new("broken") };
    gang.member.task_ended(&TaskReport { task: SmolStr::new("1.1.1"), end }, 20);
    gang.collect_actions();
    gang.deliver_all(30);
    let failed = AgentMessage::Ended {
        attempt: ATTEMPT,
        end: AttemptEnd::Failed { worker: MEMBER, reason: SmolStr::new("broken") },
    };
    assert!(gang.entry_messages.contains(&failed));
    assert_eq!(gang.tasks.last().unwrap(), "lead stops 1.1.0");
}
