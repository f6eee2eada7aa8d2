//! What the lead of a gang remembers: who is ready, who started, who renewed, who is done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::MemberEnd;

/// What the lead of a gang remembers.
#[derive(Debug)]
pub(crate) struct GangLead {
    pub(crate) since_ms: u64,
    pub(crate) ready: BTreeMap<WorkerKey, u64>,
    /// For each member, its clock when it sent what was heard last.
    pub(crate) latest_sent_ms: BTreeMap<WorkerKey, u64>,
    pub(crate) started_ms: Option<u64>,
    pub(crate) go_acked: BTreeSet<WorkerKey>,
    pub(crate) round: u32,
    pub(crate) round_ms: u64,
    pub(crate) renew_acked: BTreeSet<WorkerKey>,
    pub(crate) done: BTreeMap<WorkerKey, MemberEnd>,
    pub(crate) report: Option<AttemptEnd>,
    pub(crate) sent_ms: Option<u64>,
}

impl GangLead {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            ready: BTreeMap::new(),
            latest_sent_ms: BTreeMap::new(),
            started_ms: None,
            go_acked: BTreeSet::new(),
            round: 0,
            round_ms: 0,
            renew_acked: BTreeSet::new(),
            done: BTreeMap::new(),
            report: None,
            sent_ms: None,
        }
    }

    /// Notes a member's clock.
    pub(crate) fn hear(&mut self, worker: WorkerKey, sent_ms: u64) {
        let latest_sent_ms = self.latest_sent_ms.entry(worker).or_default();
        *latest_sent_ms = sent_ms.max(*latest_sent_ms);
    }

    /// A member's clock when it sent what was heard last.
    pub(crate) fn heard(&self, worker: WorkerKey) -> u64 {
        self.latest_sent_ms.get(&worker).copied().unwrap_or_default()
    }

    /// Workers of the gang that are not in the set.
    pub(crate) fn missing<'a, S>(&self, workers: &'a [WorkerKey], has: S) -> Vec<&'a WorkerKey>
    where
        S: Fn(&Self, &WorkerKey) -> bool,
    {
        workers.iter().filter(|worker| !has(self, worker)).collect()
    }

    /// How the attempt ended, once every worker is done or one of them failed.
    pub(crate) fn verdict(&self, workers: &[WorkerKey]) -> Option<AttemptEnd> {
        for (&worker, end) in &self.done {
            match end {
                MemberEnd::Completed { .. } | MemberEnd::Stopped { .. } => {}
                MemberEnd::Failed { reason } => {
                    return Some(AttemptEnd::Failed { worker, reason: reason.clone() });
                }
                MemberEnd::Lapsed => return Some(AttemptEnd::Lapsed { worker }),
            }
        }
        let is_whole = workers.iter().all(|worker| self.done.contains_key(worker));
        is_whole.then(|| self.whole_verdict())
    }

    fn whole_verdict(&self) -> AttemptEnd {
        let mut results = Vec::new();
        let mut least_progress: Option<u16> = None;
        for end in self.done.values() {
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
