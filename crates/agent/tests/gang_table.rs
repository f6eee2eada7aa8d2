//! The gang protocol at its interface: a lead and a member, messages passed by hand, time passed
//! in.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

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

/// A lead and a member, and what they want done.
struct Pair {
    lead: GangTable,
    member: GangTable,
    tasks: Vec<String>,
    reports: Vec<AgentMessage>,
    to_lead: Vec<GangMessage>,
    to_member: Vec<GangMessage>,
}

impl Pair {
    fn placed() -> Self {
        let mut pair = Self {
            lead: GangTable::new(LEAD_INCARNATION, GangTiming::default()),
            member: GangTable::new(MEMBER_INCARNATION, GangTiming::default()),
            tasks: Vec::new(),
            reports: Vec::new(),
            to_lead: Vec::new(),
            to_member: Vec::new(),
        };
        pair.lead.sync(LEAD, 1, vec![assignment(AssignmentPhase::Placed)], 0);
        pair.member.sync(MEMBER, 1, vec![assignment(AssignmentPhase::Placed)], 0);
        pair.collect();
        pair
    }

    fn started(now_ms: u64) -> Self {
        let mut pair = Self::placed();
        pair.exchange(now_ms);
        pair.start(2, now_ms);
        pair
    }

    fn start(&mut self, offset: u64, now_ms: u64) {
        let phase = AssignmentPhase::Started { lead_incarnation: LEAD_INCARNATION };
        self.lead.update(offset, vec![assignment(phase)], Vec::new(), now_ms);
        self.member.update(offset, vec![assignment(phase)], Vec::new(), now_ms);
        self.collect();
    }

    fn collect(&mut self) {
        for (who, table) in [("lead", &mut self.lead), ("member", &mut self.member)] {
            for action in table.take_actions() {
                match action {
                    AgentAction::RenewTasks { .. } => {}
                    AgentAction::SendEntry(message) => self.reports.push(message),
                    AgentAction::SendGang { address: to, message } if to == address(LEAD) => {
                        self.to_lead.push(message);
                    }
                    AgentAction::SendGang { message, .. } => self.to_member.push(message),
                    AgentAction::StartTask(start) => {
                        self.tasks.push(format!("{who} starts {}", start.task));
                    }
                    AgentAction::StopTask { task, .. } => {
                        self.tasks.push(format!("{who} stops {task}"));
                    }
                }
            }
        }
    }

    /// Delivers messages until there are none.
    fn exchange(&mut self, now_ms: u64) {
        while !self.to_lead.is_empty() || !self.to_member.is_empty() {
            for message in std::mem::take(&mut self.to_lead) {
                self.lead.receive(message, now_ms);
            }
            for message in std::mem::take(&mut self.to_member) {
                self.member.receive(message, now_ms);
            }
            self.collect();
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.lead.tick(now_ms);
        self.member.tick(now_ms);
        self.collect();
    }

    fn wants_start(&self) -> bool {
        self.reports.contains(&AgentMessage::StartRequested { attempt: ATTEMPT })
    }
}

#[test]
fn start_is_asked_for_once_all_are_ready() {
    let mut pair = Pair::placed();
    assert!(!pair.wants_start(), "the member is not ready yet");
    pair.exchange(0);
    assert!(pair.wants_start());
    assert_eq!(pair.tasks, Vec::<String>::new(), "nothing runs before the log has the start");
}

#[test]
fn ready_that_is_earlier_than_the_placement_counts() {
    let mut pair = Pair::placed();
    let mut lead = GangTable::new(LEAD_INCARNATION, GangTiming::default());
    for message in std::mem::take(&mut pair.to_lead) {
        lead.receive(message, 0);
    }
    lead.sync(LEAD, 1, vec![assignment(AssignmentPhase::Placed)], 1);
    pair.lead = lead;
    pair.collect();
    assert!(pair.wants_start(), "no time is lost until the member repeats itself");
}

#[test]
fn go_follows_the_log() {
    let mut pair = Pair::started(0);
    pair.exchange(10);
    assert_eq!(pair.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
}

#[test]
fn go_of_another_incarnation_is_not_obeyed() {
    let mut pair = Pair::started(0);
    let stale = GangMessage::Start { attempt: ATTEMPT, incarnation: 19, echoed_sent_ms: 0 };
    pair.to_member.clear();
    pair.member.receive(stale, 10);
    pair.collect();
    assert_eq!(pair.tasks, ["lead starts 1.1.0"]);
}

#[test]
fn go_that_was_long_under_way_is_not_obeyed() {
    let mut pair = Pair::started(0);
    let late = std::mem::take(&mut pair.to_member);
    let lease_ms = GangTiming::default().lease_ms;
    for message in late {
        pair.member.receive(message, lease_ms);
    }
    pair.collect();
    assert_eq!(pair.tasks, ["lead starts 1.1.0"], "the member never runs without the lead");
}

#[test]
fn late_go_gives_no_more_time_than_a_fresh_one() {
    let mut pair = Pair::started(0);
    let late = std::mem::take(&mut pair.to_member);
    for message in late {
        pair.member.receive(message, 10_000);
    }
    pair.collect();
    pair.to_lead.clear();
    pair.member.tick(15_000);
    pair.collect();
    assert_eq!(
        pair.tasks,
        ["lead starts 1.1.0", "member starts 1.1.1", "member stops 1.1.1"],
        "the lease is counted from the ready that the lead heard, at 0 ms"
    );
}

#[test]
fn silent_member_ends_the_gang_for_all() {
    let mut pair = Pair::started(0);
    pair.exchange(10);
    for now_ms in (1_000..=40_000).step_by(1_000) {
        pair.lead.tick(now_ms);
        pair.collect();
        pair.to_member.clear();
    }
    let lapsed =
        AgentMessage::Ended { attempt: ATTEMPT, end: AttemptEnd::Lapsed { worker: MEMBER } };
    assert!(pair.reports.contains(&lapsed));
    pair.member.tick(15_010);
    pair.collect();
    assert!(pair.tasks.contains(&"lead stops 1.1.0".to_owned()));
    assert!(pair.tasks.contains(&"member stops 1.1.1".to_owned()));
}

#[test]
fn renewals_keep_a_long_gang_running() {
    let mut pair = Pair::started(0);
    for now_ms in (0..=120_000).step_by(500) {
        pair.tick(now_ms);
        pair.exchange(now_ms + 10);
    }
    assert_eq!(pair.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
}

#[test]
fn entry_that_is_behind_is_not_followed() {
    let mut pair = Pair::started(0);
    pair.exchange(10);
    pair.member.sync(MEMBER, 1, Vec::new(), 20);
    pair.collect();
    assert_eq!(pair.tasks, ["lead starts 1.1.0", "member starts 1.1.1"]);
    pair.member.sync(MEMBER, 3, Vec::new(), 30);
    pair.collect();
    assert_eq!(pair.tasks.last().unwrap(), "member stops 1.1.1");
}

#[test]
fn failure_of_one_member_stops_the_others() {
    let mut pair = Pair::started(0);
    pair.exchange(10);
    let end = TaskEnd::Failed { reason: SmolStr::new("broken") };
    pair.member.task_ended(&TaskReport { task: SmolStr::new("1.1.1"), end }, 20);
    pair.collect();
    pair.exchange(30);
    let failed = AgentMessage::Ended {
        attempt: ATTEMPT,
        end: AttemptEnd::Failed { worker: MEMBER, reason: SmolStr::new("broken") },
    };
    assert!(pair.reports.contains(&failed));
    assert_eq!(pair.tasks.last().unwrap(), "lead stops 1.1.0");
}
