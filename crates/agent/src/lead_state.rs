//! The lead's state of an attempt: which members are ready, started, renewed and done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::MemberEnd;

/// The lead's state of an attempt. Times without another note are by the lead's clock.
#[derive(Debug)]
pub(crate) struct LeadState {
    /// When the lead learned of the placement.
    pub(crate) placed_ms: u64,
    /// Agent incarnations of the workers that are ready.
    pub(crate) ready_incarnations: BTreeMap<WorkerKey, u64>,
    /// Send time of the latest message received from each worker, by the worker's clock.
    pub(crate) member_sent_ms: BTreeMap<WorkerKey, u64>,
    /// When the lead learned that the start is recorded in the log under its incarnation.
    pub(crate) start_recorded_ms: Option<u64>,
    /// Workers that acknowledged the start.
    pub(crate) start_acked: BTreeSet<WorkerKey>,
    /// Number of the current renewal round.
    pub(crate) renewal_round: u32,
    /// When the current renewal round began; the start counts as the first round.
    pub(crate) round_started_ms: u64,
    /// Workers that acknowledged the current renewal round.
    pub(crate) renew_acked: BTreeSet<WorkerKey>,
    /// How the tasks of each worker ended.
    pub(crate) member_ends: BTreeMap<WorkerKey, MemberEnd>,
    /// How the attempt ended, once the lead reports it to the entry.
    pub(crate) reported_end: Option<AttemptEnd>,
    /// When the message that awaits a response was last sent.
    pub(crate) last_sent_ms: Option<u64>,
}

impl LeadState {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            placed_ms: now_ms,
            ready_incarnations: BTreeMap::new(),
            member_sent_ms: BTreeMap::new(),
            start_recorded_ms: None,
            start_acked: BTreeSet::new(),
            renewal_round: 0,
            round_started_ms: 0,
            renew_acked: BTreeSet::new(),
            member_ends: BTreeMap::new(),
            reported_end: None,
            last_sent_ms: None,
        }
    }

    /// Records the send time of a message from a worker, by the worker's clock.
    pub(crate) fn record_sent_time(&mut self, worker: WorkerKey, sent_ms: u64) {
        let member_sent_ms = self.member_sent_ms.entry(worker).or_default();
        *member_sent_ms = sent_ms.max(*member_sent_ms);
    }

    /// Send time of the latest message received from a worker, by the worker's clock.
    pub(crate) fn member_sent_ms(&self, worker: WorkerKey) -> u64 {
        self.member_sent_ms.get(&worker).copied().unwrap_or_default()
    }

    /// Workers for which `has` is false.
    pub(crate) fn missing<'a, S>(&self, workers: &'a [WorkerKey], has: S) -> Vec<&'a WorkerKey>
    where
        S: Fn(&Self, &WorkerKey) -> bool,
    {
        workers.iter().filter(|worker| !has(self, worker)).collect()
    }

    /// How the attempt ended, once the tasks of all workers have ended or those of one worker have
    /// failed or lost their lease.
    pub(crate) fn attempt_end(&self, workers: &[WorkerKey]) -> Option<AttemptEnd> {
        for (&worker, end) in &self.member_ends {
            match end {
                MemberEnd::Completed { .. } | MemberEnd::Stopped { .. } => {}
                MemberEnd::Failed { reason } => {
                    return Some(AttemptEnd::Failed { worker, reason: reason.clone() });
                }
                MemberEnd::Lapsed => return Some(AttemptEnd::Lapsed { worker }),
            }
        }
        let has_all_ends = workers.iter().all(|worker| self.member_ends.contains_key(worker));
        has_all_ends.then(|| self.end_without_failure())
    }

    fn end_without_failure(&self) -> AttemptEnd {
        let mut results = Vec::new();
        let mut least_progress: Option<u16> = None;
        for end in self.member_ends.values() {
            match end {
                MemberEnd::Completed { results: part } => results.extend(part.iter().cloned()),
                MemberEnd::Failed { .. } | MemberEnd::Lapsed => {}
                MemberEnd::Stopped { progress_permille } => {
                    let least = least_progress.unwrap_or(1_000).min(*progress_permille);
                    least_progress = Some(least);
                }
            }
        }
        if let Some(progress_permille) = least_progress {
            return AttemptEnd::Stopped { progress_permille };
        }
        results.sort_by_key(|result| result.index);
        let body = results.into_iter().flat_map(|result| result.body).collect();
        AttemptEnd::Completed { answer: Answer::new(body) }
    }
}
