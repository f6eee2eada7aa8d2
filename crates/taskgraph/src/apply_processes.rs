//! Effects of records about the system's own processes and the planner among them.

use cuminbarrow_ledger::state::PlannerState;
use snafu::ensure;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::graph_state::ProcessState;
use crate::refusal::GraphRefusal;
use crate::refusal::StaleEpochSnafu;

/// Maximum number of known processes. Beyond it the oldest is removed, such as that of an instance
/// that disappeared without a record.
const MAX_PROCESSES: usize = 1_024;

impl GraphState {
    /// Adds a process. It replaces an earlier process of the same role on the same instance.
    pub(crate) fn process_up(&mut self, incarnation: u64, process: ProcessState) -> GraphEffect {
        let is_same =
            |other: &ProcessState| other.role == process.role && other.instance == process.instance;
        self.processes_changed_offset = self.offset;
        self.processes.retain(|_, other| !is_same(other));
        self.processes.insert(incarnation, process);
        if self.processes.len() > MAX_PROCESSES {
            let oldest = self.processes.iter().min_by_key(|(_, process)| process.since_offset);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.processes.remove(&oldest);
            }
        }
        GraphEffect::Done
    }

    pub(crate) fn process_down(&mut self, incarnation: u64) -> GraphEffect {
        self.processes.remove(&incarnation);
        self.processes_changed_offset = self.offset;
        GraphEffect::Done
    }

    /// Makes an instance the planner of the next epoch.
    pub(crate) fn planner_claimed(&mut self, epoch: u64, instance: u64) -> GraphOutcome {
        let current = self.planner.epoch;
        ensure!(epoch == current + 1, StaleEpochSnafu { epoch, current });
        self.planner = PlannerState { epoch, instance: Some(instance) };
        self.planner_last_offset = self.offset;
        Ok(GraphEffect::Done)
    }

    pub(crate) fn planner_released(&mut self, epoch: u64) -> GraphOutcome {
        self.check_epoch(epoch)?;
        self.planner.instance = None;
        Ok(GraphEffect::Done)
    }

    /// Refuses records of earlier planners.
    pub(crate) fn check_epoch(&self, epoch: u64) -> Result<(), GraphRefusal> {
        let current = self.planner.epoch;
        ensure!(epoch == current, StaleEpochSnafu { epoch, current });
        Ok(())
    }
}
