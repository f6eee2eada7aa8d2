//! What an entry remembers of its own answers to submissions: the jobs that it has handed to the log
//! and that its state may not show yet, and the jobs that it has rejected and that may come back.
//!
//! Times are on a clock that does not jump, such as the boot-time clock.

use std::collections::BTreeMap;

use crate::job_claim::JobClaim;
use crate::job_id::JobId;

/// How long nothing is rejected after a disturbance of the log, in ms. A job may be on its way to the
/// log from another entry, whose caller got no answer; copies of an append have arrived 12 s later.
const DISTURBANCE_MS: u64 = 12_000;
/// How long the id of a job is kept whose record was handed to the log with an unknown outcome, in
/// ms: several times as long as a late copy of an append takes.
const HANDED_RETENTION_MS: u64 = 60_000;
/// Maximum number of handed jobs. Beyond it nothing is rejected until the first ids are forgotten.
const MAX_HANDED_JOBS: usize = 4_096;
/// How long the work of a handed job counts although the state does not show it, in ms. The state
/// shows a record after two reads of the log.
const HANDED_WORK_MS: u64 = 5_000;
/// Maximum number of rejected jobs. Beyond it the latest are not remembered.
const MAX_REJECTED_JOBS: usize = 1_024;
/// How long after its time a rejected job is expected back, in ms.
const RETURN_GRACE_MS: u64 = 3_000;

/// A job whose record was handed to the log.
#[derive(Clone, Debug)]
struct HandedJob {
    claim: JobClaim,
    /// When it was handed over last, in ms.
    at_ms: u64,
    /// Number of submissions whose outcome is not known.
    unsettled: u32,
}

/// A job that was rejected and may come back.
#[derive(Clone, Debug)]
struct RejectedJob {
    claim: JobClaim,
    /// Until when it is expected back, in ms.
    until_ms: u64,
}

/// What an entry remembers of its own answers to submissions.
#[derive(Clone, Debug, Default)]
pub struct AdmissionMemory {
    handed: BTreeMap<JobId, HandedJob>,
    rejected: BTreeMap<JobId, RejectedJob>,
    /// Until when a handed job may be unknown here, in ms.
    incomplete_until_ms: u64,
}

impl AdmissionMemory {
    /// Forgets what is older than its retention.
    pub fn expire(&mut self, now_ms: u64) {
        self.handed.retain(|_, handed| handed.at_ms + HANDED_RETENTION_MS > now_ms);
        self.rejected.retain(|_, rejected| rejected.until_ms > now_ms);
    }

    /// Remembers a job whose record is handed to the log.
    pub fn record_handed(&mut self, claim: JobClaim, now_ms: u64) {
        self.rejected.remove(&claim.job);
        if let Some(known) = self.handed.get_mut(&claim.job) {
            known.at_ms = now_ms;
            known.unsettled = known.unsettled.saturating_add(1);
        } else if self.handed.len() < MAX_HANDED_JOBS {
            self.handed.insert(claim.job, HandedJob { claim, at_ms: now_ms, unsettled: 1 });
        } else {
            let until_ms = now_ms + HANDED_RETENTION_MS;
            self.incomplete_until_ms = self.incomplete_until_ms.max(until_ms);
        }
    }

    /// Notes that the record of one submission is applied here, or certainly never in the log.
    pub fn settle_handed(&mut self, job: JobId) {
        if let Some(known) = self.handed.get_mut(&job) {
            known.unsettled = known.unsettled.saturating_sub(1);
            if known.unsettled == 0 {
                self.handed.remove(&job);
            }
        }
    }

    /// Notes that the log does not answer as it should. Nothing is rejected for a while, since jobs of
    /// other entries may be on their way to it.
    pub fn record_disturbance(&mut self, now_ms: u64) {
        self.incomplete_until_ms = self.incomplete_until_ms.max(now_ms + DISTURBANCE_MS);
    }

    /// Remembers a job that was told to come back after `retry_after_ms`.
    pub fn record_rejected(&mut self, claim: JobClaim, now_ms: u64, retry_after_ms: u64) {
        let until_ms = now_ms + retry_after_ms + RETURN_GRACE_MS;
        if self.rejected.len() < MAX_REJECTED_JOBS || self.rejected.contains_key(&claim.job) {
            self.rejected.insert(claim.job, RejectedJob { claim, until_ms });
        }
    }

    /// Whether the job may be in the log although the state does not show it.
    pub fn may_be_handed(&self, job: JobId, now_ms: u64) -> bool {
        now_ms < self.incomplete_until_ms || self.handed.contains_key(&job)
    }

    /// Whether the job was rejected here and is expected back.
    pub fn is_expected(&self, job: JobId) -> bool {
        self.rejected.contains_key(&job)
    }

    /// Jobs that were handed to the log so recently that their work counts.
    pub(crate) fn recently_handed(&self, now_ms: u64) -> impl Iterator<Item = &JobClaim> {
        let handed = self.handed.values();
        let recent = handed.filter(move |handed| handed.at_ms + HANDED_WORK_MS > now_ms);
        recent.map(|handed| &handed.claim)
    }

    /// Rejected jobs that are expected back.
    pub(crate) fn expected(&self) -> impl Iterator<Item = &JobClaim> {
        self.rejected.values().map(|rejected| &rejected.claim)
    }
}
