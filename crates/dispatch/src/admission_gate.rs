//! Admission control of an entry: decides on each submission with the entry's replica, and remembers
//! its answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use cuminbarrow_taskgraph::admission::AdmissionDecision;
use cuminbarrow_taskgraph::admission::AdmissionView;
use cuminbarrow_taskgraph::admission::Submission;
use cuminbarrow_taskgraph::admission::decide_admission;
use cuminbarrow_taskgraph::admission_memory::AdmissionMemory;
use cuminbarrow_taskgraph::job_claim::JobClaim;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::replica::Replica;

/// Admission control of an entry.
pub struct AdmissionGate {
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    memory: Mutex<AdmissionMemory>,
}

impl AdmissionGate {
    /// Creates a gate that takes the guarantees from `configuration`.
    pub fn new(configuration: watch::Receiver<Option<Arc<Configuration>>>) -> Self {
        Self { configuration, memory: Mutex::default() }
    }

    /// Decides on a submission. An admitted job counts as handed to the log from now on, until
    /// [`AdmissionGate::settle`].
    pub(crate) fn decide(
        &self,
        replica: &Replica,
        submission: &Submission<'_>,
    ) -> AdmissionDecision {
        let configuration = self.configuration.borrow().clone();
        let guarantees = configuration.map(|known| known.guarantees()).unwrap_or_default();
        let state = replica.state();
        let mut memory = self.memory();
        let (now_ms, memory_now_ms) = (wall_ms(), replica.clock.now_ms());
        memory.expire(memory_now_ms);
        let view = AdmissionView {
            state: &state,
            guarantees: &guarantees,
            memory: &memory,
            now_ms,
            memory_now_ms,
        };
        let decision = decide_admission(&view, submission);
        let Submission { job, spec, terms } = *submission;
        let claim = JobClaim::new(&state, job, spec, terms, now_ms);
        match &decision {
            AdmissionDecision::Admit => memory.record_handed(claim, memory_now_ms),
            AdmissionDecision::Reject(rejection) => {
                memory.record_rejected(claim, memory_now_ms, rejection.retry_after_s * 1_000);
            }
        }
        decision
    }

    /// Notes that the record of an admitted submission is applied here, or certainly never in the log.
    pub(crate) fn settle(&self, job: JobId) {
        self.memory().settle_handed(job);
    }

    /// Notes that a submission found the log unreadable, or that its record's outcome is unknown.
    pub(crate) fn note_disturbance(&self, replica: &Replica) {
        self.memory().record_disturbance(replica.clock.now_ms());
    }

    /// Copy of what the entry remembers, for a decision that changes nothing.
    pub(crate) fn copy_memory(&self, memory_now_ms: u64) -> AdmissionMemory {
        let mut memory = self.memory().clone();
        memory.expire(memory_now_ms);
        memory
    }

    fn memory(&self) -> MutexGuard<'_, AdmissionMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
