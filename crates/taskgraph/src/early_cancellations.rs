//! Cancellations of jobs that the log does not have.
//!
//! A caller that is told that there is no such job relies on the job not to run. Its submission may
//! still be on its way to the log, and may be repeated at any entry. The log therefore keeps the
//! cancellation, and the job counts as cancelled if it is submitted later. A cancellation applies to
//! the team and queue of its caller only, so that nobody cancels the job of another team in advance.
//! Queues are named by their addresses, and those of previous releases by their names.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job_id::JobId;

/// Maximum number of cancellations that are kept for each team.
const MAX_PER_TEAM: usize = 1_024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlyCancellation {
    job: JobId,
    queue: SmolStr,
    /// Time from which the cancellation is kept, in ms since the Unix epoch.
    kept_from_ms: u64,
}

/// Cancellations of unknown jobs, by team, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlyCancellations {
    by_team: BTreeMap<SmolStr, VecDeque<EarlyCancellation>>,
}

impl EarlyCancellations {
    /// Whether a job of the team and queue was cancelled.
    pub fn contains(&self, team: &str, queue: &str, job: JobId) -> bool {
        let mut kept = self.by_team.get(team).into_iter().flatten();
        kept.any(|kept| kept.job == job && kept.queue == queue)
    }

    /// Whether no more cancellations are kept for the team.
    pub fn is_full(&self, team: &str) -> bool {
        self.by_team.get(team).is_some_and(|kept| kept.len() >= MAX_PER_TEAM)
    }

    /// Keeps a cancellation, which must not be kept already.
    pub(crate) fn insert(&mut self, team: SmolStr, queue: SmolStr, job: JobId, now_ms: u64) {
        let cancellation = EarlyCancellation { job, queue, kept_from_ms: now_ms };
        self.by_team.entry(team).or_default().push_back(cancellation);
    }

    /// Removes the cancellation of a job and returns whether there was one.
    pub(crate) fn take(&mut self, team: &str, queue: &str, job: JobId) -> bool {
        let Some(kept) = self.by_team.get_mut(team) else { return false };
        let count = kept.len();
        kept.retain(|kept| kept.job != job || kept.queue != queue);
        kept.len() < count
    }

    /// Keeps all cancellations for longer, after a jump of the clock.
    pub(crate) fn prolong(&mut self, jump_ms: u64) {
        let kept = self.by_team.values_mut().flatten();
        kept.for_each(|kept| kept.kept_from_ms += jump_ms);
    }

    /// Removes the cancellations kept since `limit_ms` or earlier.
    pub(crate) fn expire(&mut self, limit_ms: u64) {
        for kept in self.by_team.values_mut() {
            while kept.front().is_some_and(|kept| kept.kept_from_ms <= limit_ms) {
                kept.pop_front();
            }
        }
        self.by_team.retain(|_, kept| !kept.is_empty());
    }
}
