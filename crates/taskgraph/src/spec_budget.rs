//! How much memory the specifications of active jobs take on every replica.
//!
//! Callers decide how large a job is and how many they submit, and each process holds all of them, beside
//! the snapshot that it writes. The bound is part of the state, so that all replicas accept the same jobs.
//! A part of it is kept for small jobs, so that a few large ones don't keep other callers out.

use serde::Deserialize;
use serde::Serialize;
use snafu::ensure;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::refusal::GraphRefusal;
use crate::refusal::StateFullSnafu;

/// Maximum memory of the specifications of active jobs, in bytes. An agent, which has 128 MB, also holds
/// the encoded state while it writes a snapshot, and the batches since the last one.
pub const MAX_SPEC_BYTES: u64 = 16 << 20;
/// Part of [`MAX_SPEC_BYTES`] that large jobs leave to small ones, in bytes.
pub const SMALL_JOB_RESERVE_BYTES: u64 = 4 << 20;
/// Size from which on a job counts as large, in bytes.
pub const LARGE_SPEC_BYTES: u64 = 32 << 10;

/// Memory of the specifications of active jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SpecBudget {
    held_bytes: u64,
}

impl SpecBudget {
    /// Memory of the specifications of active jobs, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    fn has_room(&self, bytes: u64) -> bool {
        let reserve = if bytes >= LARGE_SPEC_BYTES { SMALL_JOB_RESERVE_BYTES } else { 0 };
        self.held_bytes.saturating_add(bytes) <= MAX_SPEC_BYTES - reserve
    }

    pub(crate) fn add(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    pub(crate) fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }
}

impl GraphState {
    /// Whether the state has room for a job.
    ///
    /// # Errors
    /// [`GraphRefusal::StateFull`] if it has not.
    pub fn check_room(&self, job: JobId, spec: &JobSpec) -> Result<(), GraphRefusal> {
        let bytes = spec.memory_bytes();
        let held = self.spec_budget.held_bytes();
        ensure!(self.spec_budget.has_room(bytes), StateFullSnafu { job, bytes, held });
        Ok(())
    }
}
