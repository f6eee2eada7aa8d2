//! Periodic samples of the free accelerators, and of how many of them no pending shape can use.

use cuminbarrow_model::shape::Shape;
use serde::Deserialize;
use serde::Serialize;

use crate::pack::pack;
use crate::state::State;
use crate::worker_state::WorkerState;

/// Interval of the samples, in ms.
pub const SAMPLE_INTERVAL_MS: u64 = 600_000;
/// Maximum number of retained samples: two days.
const MAX_SAMPLES: usize = 288;
/// Maximum number of pending jobs whose shapes a sample considers.
const MAX_SAMPLED_JOBS: usize = 256;

/// Use of the accelerators at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySample {
    /// Time of the sample, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Accelerators in use.
    pub used: u32,
    /// Free accelerators on workers that are up.
    pub free: u32,
    /// Free accelerators that no pending shape can use, although there are enough of them for one.
    pub fragmented: u32,
}

impl State {
    /// Takes a sample if one is due by the clock of the log.
    pub(crate) fn sample_capacity(&mut self) {
        let slot = self.clock_ms / SAMPLE_INTERVAL_MS;
        let is_due =
            self.capacity_samples.back().is_none_or(|last| last.at_ms / SAMPLE_INTERVAL_MS < slot);
        if !is_due || self.workers.is_empty() {
            return;
        }
        let sample = self.current_capacity();
        self.capacity_samples.push_back(sample);
        if self.capacity_samples.len() > MAX_SAMPLES {
            self.capacity_samples.pop_front();
        }
    }

    fn current_capacity(&self) -> CapacitySample {
        let up = self.workers.iter().filter(|worker| worker.is_up());
        let free = up.map(|worker| u32::from(worker.free_resources().accelerators.count())).sum();
        let used =
            self.workers.iter().map(|worker| u32::from(worker.used_accelerators.count())).sum();
        let fragmented = if self.is_fragmented(free) { free } else { 0 };
        CapacitySample { at_ms: self.clock_ms, used, free, fragmented }
    }

    /// Whether there are enough free accelerators for some pending shape, but no such shape can be
    /// placed.
    fn is_fragmented(&self, free: u32) -> bool {
        let jobs = self.pending.iter().take(MAX_SAMPLED_JOBS).filter_map(|key| self.jobs.get(key));
        let mut shapes: Vec<Shape> = Vec::new();
        for shape in jobs.map(|job| job.spec.shape) {
            let is_candidate = shape.accelerators() > 0 && shape.accelerators() <= free;
            if is_candidate && !shapes.contains(&shape) {
                shapes.push(shape);
            }
        }
        let up = |key| self.worker(key).filter(|worker| worker.is_up());
        let available = |key| up(key).map(WorkerState::free_resources);
        !shapes.is_empty()
            && shapes.iter().all(|shape| pack(&self.racks, shape, available).is_none())
    }
}
