//! Messages between agents and entries, among agents, and among entries.
//!
//! The encoding is positional: new variants and fields are added at the end.

use std::net::SocketAddr;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::worker::WorkerSpec;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A gang member and the address of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The member.
    pub member: Member,
    /// Address of the member's agent.
    pub address: SocketAddr,
}

/// Phase of an attempt, as recorded in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AssignmentPhase {
    /// The gang is placed: each member reports to the lead once it is ready to start.
    Placed,
    /// The start is recorded: the lead, if it is still of this incarnation, may start the members.
    Started {
        /// Incarnation of the lead's agent.
        lead_incarnation: u64,
    },
    /// The attempt is to stop, after a checkpoint.
    Stopping {
        /// Whether the start had been recorded.
        is_started: bool,
    },
}

/// A worker's part in one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Phase of the attempt.
    pub phase: AssignmentPhase,
    /// All members, the lead first.
    pub members: Vec<MemberAddress>,
    /// Payload reference that is passed to the tasks.
    pub payload: SmolStr,
    /// Declared run time, in ms.
    pub declared_run_ms: u64,
    /// Share of the work that earlier attempts completed, in thousandths.
    pub resume_permille: u16,
    /// Whether the job supports checkpoints.
    pub checkpointable: bool,
}

/// A message from an agent to its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// First message of a session.
    Hello {
        /// Specification of the worker.
        spec: WorkerSpec,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Number of the session, increasing within the incarnation.
        session: u32,
        /// Log offset up to which the agent has acted.
        applied_offset: u64,
    },
    /// Keeps the session alive.
    Heartbeat,
    /// The backend server accepts no new work.
    Draining,
    /// The backend server has left.
    Leaving,
    /// Every member of the gang is ready; requests that the start be recorded in the log.
    StartRequested {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How the attempt ended.
        end: AttemptEnd,
    },
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// All assignments of the worker, as of a log offset.
    Sync {
        /// Key of the worker.
        worker: WorkerKey,
        /// Offset of the next batch to apply.
        offset: u64,
        /// All assignments.
        assignments: Vec<Assignment>,
    },
    /// Changes to the assignments of the worker, as of a log offset.
    Update {
        /// Offset of the next batch to apply.
        offset: u64,
        /// New or changed assignments.
        changed: Vec<Assignment>,
        /// Attempts that have ended.
        removed: Vec<AttemptKey>,
    },
    /// Answers [`AgentMessage::Heartbeat`].
    HeartbeatAck,
    /// The entry is shutting down; the agent connects to another one.
    Closing,
}

/// An attempt in a renewal of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Send time of the member's latest message that the lead has received, by the member's clock,
    /// in ms.
    pub echoed_sent_ms: u64,
}

/// A message between the lead and the other members of a gang.
///
/// A member counts its lease from the send time of its latest message that the lead has received,
/// as echoed by the lead. A delayed message of the lead therefore extends the lease no further than
/// a prompt one, and no clocks of different servers are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GangMessage {
    /// A member is ready to start: nothing else runs on its accelerators.
    Ready {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// Incarnation of the member's agent.
        incarnation: u64,
        /// Send time by the member's clock, in ms.
        sent_ms: u64,
    },
    /// The lead starts a member that was ready.
    Start {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation of the member's agent that reported ready.
        incarnation: u64,
        /// Send time of the member's latest message that the lead has received, by the member's
        /// clock, in ms.
        echoed_sent_ms: u64,
    },
    /// The member has started its tasks, now or earlier.
    StartAck {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// Send time by the member's clock, in ms.
        sent_ms: u64,
    },
    /// The lead renews the leases of attempts that it shares with the member.
    Renew {
        /// The attempts.
        attempts: Vec<RenewedAttempt>,
        /// Number of the renewal round.
        round: u32,
    },
    /// The member has renewed its leases.
    RenewAck {
        /// The renewed attempts.
        attempts: Vec<AttemptKey>,
        /// Number of the renewal round.
        round: u32,
        /// The member's worker.
        worker: WorkerKey,
        /// Send time by the member's clock, in ms.
        sent_ms: u64,
    },
    /// All tasks of the gang on the member's worker have ended.
    MemberDone {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// How the tasks ended.
        end: MemberEnd,
    },
    /// The lead has received [`GangMessage::MemberDone`].
    MemberDoneAck {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The lead abandons the attempt; the member stops its tasks.
    Abandon {
        /// The attempt.
        attempt: AttemptKey,
    },
}

/// How the tasks of one gang on one worker ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberEnd {
    /// All tasks completed.
    Completed {
        /// Results of the tasks, with the member index of each.
        results: Vec<MemberResult>,
    },
    /// A task failed.
    Failed {
        /// Reason that the worker gave.
        reason: SmolStr,
    },
    /// The lease lapsed.
    Lapsed,
    /// The tasks stopped on request.
    Stopped {
        /// Lowest share of the work that a task has saved, in thousandths.
        progress_permille: u16,
    },
}

/// Result of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberResult {
    /// Index of the member in its gang.
    pub index: u8,
    /// Bytes of the result.
    pub body: Vec<u8>,
}

/// A request from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Checks that the entry is alive.
    Ping,
    /// Requests the entire replicated state.
    FetchState,
    /// Requests the entry's position in the log.
    FetchProgress,
    /// Reads batches of the log.
    ReadLog {
        /// Offset of the first batch.
        from: u64,
        /// Maximum number of batches.
        limit: u32,
        /// Longest time to wait for the first batch, in ms.
        wait_ms: u32,
    },
}

/// An entry's position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogProgress {
    /// Offset of the next batch to apply.
    pub offset: u64,
    /// Whether it has reached the end of the log and the log answers.
    pub is_current: bool,
    /// Version of the sheet that is active at that offset.
    pub sheet_version: u64,
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The entry is alive.
    Pong,
    /// Answer to [`PeerRequest::FetchState`].
    State {
        /// The state as the ledger encodes it; empty when the entry has none yet.
        body: Vec<u8>,
    },
    /// Answer to [`PeerRequest::FetchProgress`].
    Progress {
        /// The entry's position in the log.
        progress: LogProgress,
    },
    /// Batches of the log, starting at the requested offset.
    Log {
        /// Oldest offset that the log retains.
        oldest: u64,
        /// Offset after the last batch that the entry knows.
        next: u64,
        /// Encoded batches.
        entries: Vec<Vec<u8>>,
    },
    /// The entry lacks some of the requested batches, or can't reach the log.
    LogUnavailable,
}
