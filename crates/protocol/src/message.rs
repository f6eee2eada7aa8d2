//! Messages between agents and entries, among agents, and among entries.
//!
//! The order of variants and fields is the format: new ones come last.

use std::net::SocketAddr;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::worker::WorkerSpec;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A member of a gang and where its agent is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The member.
    pub member: Member,
    /// Its agent.
    pub address: SocketAddr,
}

/// Where an assignment stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AssignmentPhase {
    /// Placed: hold, and report ready to the lead.
    Placed,
    /// Started: the lead of this incarnation may send the start.
    Started {
        /// Incarnation of the lead.
        lead_incarnation: u64,
    },
    /// To be stopped, after a checkpoint.
    Stopping {
        /// Whether the start is in the log.
        is_started: bool,
    },
}

/// What a worker is to do for one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where it stands.
    pub phase: AssignmentPhase,
    /// All members, the lead first.
    pub members: Vec<MemberAddress>,
    /// Reference for the tasks.
    pub payload: SmolStr,
    /// Declared run time, in ms.
    pub declared_run_ms: u64,
    /// Share of the work done already, in thousandths.
    pub resume_permille: u16,
    /// Whether a checkpoint is worth taking.
    pub checkpointable: bool,
}

/// From an agent to its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// First message of a session.
    Hello {
        /// The worker.
        spec: WorkerSpec,
        /// Incarnation of the agent.
        incarnation: u64,
        /// Number of the session, rising within the incarnation.
        session: u32,
        /// Offset up to which the agent has acted.
        applied: u64,
    },
    /// The agent lives.
    Heartbeat,
    /// The backend server wants no new work.
    Draining,
    /// The backend server has left.
    Leaving,
    /// Every member of the gang is ready; asks for the start.
    StartRequested {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How.
        end: AttemptEnd,
    },
}

/// From an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Everything the worker is to do, as of an offset.
    Sync {
        /// Key of the worker.
        worker: WorkerKey,
        /// Offset of the next batch.
        offset: u64,
        /// All assignments.
        assignments: Vec<Assignment>,
    },
    /// What changed, as of an offset.
    Update {
        /// Offset of the next batch.
        offset: u64,
        /// New or changed assignments.
        changed: Vec<Assignment>,
        /// Attempts that are over.
        removed: Vec<AttemptKey>,
    },
    /// The entry lives.
    HeartbeatAck,
    /// The entry closes; the agent is to move to another one.
    Closing,
}

/// An attempt whose lease the lead renews.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The member's clock when it sent what the lead heard last, in ms.
    pub echoed_sent_ms: u64,
}

/// Among agents. A member counts its lease from its own last message that the lead has heard, so
/// that a message which was long under way gives no more time than a fresh one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GangMessage {
    /// A member holds its place.
    Ready {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// Incarnation of its agent.
        incarnation: u64,
        /// The member's clock, in ms.
        sent_ms: u64,
    },
    /// The lead starts the members that were ready.
    Start {
        /// The attempt.
        attempt: AttemptKey,
        /// Incarnation that was ready.
        incarnation: u64,
        /// The member's clock when it sent what the lead heard last, in ms.
        echoed_sent_ms: u64,
    },
    /// A member started, or had started before.
    StartAck {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// The member's clock, in ms.
        sent_ms: u64,
    },
    /// The lead renews leases.
    Renew {
        /// The attempts.
        attempts: Vec<RenewedAttempt>,
        /// Round of the renewal.
        round: u32,
    },
    /// A member renewed.
    RenewAck {
        /// The attempts.
        attempts: Vec<AttemptKey>,
        /// Round of the renewal.
        round: u32,
        /// The member's worker.
        worker: WorkerKey,
        /// The member's clock, in ms.
        sent_ms: u64,
    },
    /// A member's tasks are over.
    MemberDone {
        /// The attempt.
        attempt: AttemptKey,
        /// The member's worker.
        worker: WorkerKey,
        /// How they ended.
        end: MemberEnd,
    },
    /// The lead has noted a member's end.
    MemberDoneAck {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The lead gives up the attempt.
    Abandon {
        /// The attempt.
        attempt: AttemptKey,
    },
}

/// How a member's tasks on one worker ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberEnd {
    /// All finished.
    Completed {
        /// Their results, by member index.
        results: Vec<MemberResult>,
    },
    /// One failed.
    Failed {
        /// What the worker said.
        reason: SmolStr,
    },
    /// The lease lapsed.
    Lapsed,
    /// All stopped on request.
    Stopped {
        /// Least share of the work kept, in thousandths.
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

/// From an entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Is the entry alive?
    Ping,
    /// Asks for the whole state.
    FetchState,
    /// Asks how far the entry is.
    FetchProgress,
    /// Asks for batches of the log.
    ReadLog {
        /// Offset of the first.
        from: u64,
        /// Most batches.
        limit: u32,
        /// Longest wait for the first, in ms.
        wait_ms: u32,
    },
}

/// How far an entry has followed the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogProgress {
    /// Offset of the next batch to apply.
    pub offset: u64,
    /// Whether it has reached the end of a log that answers.
    pub is_current: bool,
    /// Version of the sheet in force there.
    pub sheet_version: u64,
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The entry is alive.
    Pong,
    /// The state, as the ledger encodes it; empty when the entry has none.
    State {
        /// Its bytes.
        body: Vec<u8>,
    },
    /// How far the entry is.
    Progress {
        /// Its progress.
        progress: LogProgress,
    },
    /// Batches of the log from the offset asked for, up to the end of the log.
    Log {
        /// Oldest offset that the log keeps.
        oldest: u64,
        /// Offset of the batch after the last one known to the entry.
        next: u64,
        /// Their bytes.
        entries: Vec<Vec<u8>>,
    },
    /// The entry has not all of the batches asked for, or is cut off from the log.
    LogUnavailable,
}
