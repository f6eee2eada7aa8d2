//! What urgent work needed of each service when it recently reclaimed capacity.

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_terms::URGENT_PRIORITY;
use crate::step_queue::waiting_urgent_accelerators;
use crate::worker::StopCause;

/// How long capacity is reserved for urgent work that has reclaimed some, in ms. Tasks run for up to
/// about ten seconds, so capacity that is reclaimed again within that time is of no use to background
/// work.
pub(crate) const RECLAIM_RETENTION_MS: u64 = 10_000;
/// How long it is known what urgent work needed when it reclaimed capacity, in ms. Work that can wait for
/// longer than [`RECLAIM_RETENTION_MS`] leaves the capacity free for up to that time.
pub(crate) const MAX_RECLAIM_RETENTION_MS: u64 = 4 * RECLAIM_RETENTION_MS;

impl GraphState {
    /// Records how much urgent work needs of a service, if capacity is being reclaimed for it.
    pub(crate) fn record_reclaim(&mut self, service: SmolStr) {
        let Some(needed) = self.urgent_need(&service) else { return };
        let oldest_ms = self.clock_ms.saturating_sub(MAX_RECLAIM_RETENTION_MS);
        let reclaims = self.reclaims.entry(service).or_default();
        reclaims.push_back((self.clock_ms, needed));
        while reclaims.front().is_some_and(|(at_ms, _)| *at_ms < oldest_ms) {
            reclaims.pop_front();
        }
    }

    /// Accelerators that urgent work holds, and those that are being reclaimed, as far as urgent work
    /// waits for them; `None` if none are being reclaimed for it.
    fn urgent_need(&self, service: &str) -> Option<u32> {
        let workers = self.workers.values().filter(|worker| worker.spec.service == service);
        let (mut held, mut reclaimed) = (0_u32, 0_u32);
        for (run, known) in workers.flat_map(|worker| &worker.runs) {
            let accelerators = known.resources.accelerators;
            if known.stop_cause == Some(StopCause::Reclaimed) {
                reclaimed = reclaimed.saturating_add(accelerators);
            } else if self.is_urgent(run.task.step.job) {
                held = held.saturating_add(accelerators);
            }
        }
        let awaited = reclaimed.min(waiting_urgent_accelerators(self, service));
        (awaited > 0).then(|| held.saturating_add(awaited))
    }

    /// Whether a job, which may have ended recently, is urgent.
    pub(crate) fn is_urgent(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.terms.priority == URGENT_PRIORITY)
    }

    /// Most accelerators of a service that urgent work has needed at once when it reclaimed capacity within
    /// the last `retention_ms`.
    pub fn urgent_need_within(&self, service: &str, retention_ms: u64, now_ms: u64) -> u32 {
        let oldest_ms = now_ms.saturating_sub(retention_ms);
        let reclaims = self.reclaims.get(service).into_iter().flatten();
        let recent = reclaims.filter(|(at_ms, _)| *at_ms >= oldest_ms);
        recent.map(|(_, accelerators)| *accelerators).max().unwrap_or(0)
    }
}
