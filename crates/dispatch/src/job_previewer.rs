//! Previews jobs with an entry's replica, without writing anything.

use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_preview::AdmissionInput;
use cuminbarrow_taskgraph::job_preview::PreviewInput;
use cuminbarrow_taskgraph::job_preview::preview_job;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::job_service::JobService;

/// Time between checks whether the batches of the latest read are applied.
const APPLIED_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of these checks: the state of a large snapshot is applied within half a second.
const MAX_APPLIED_CHECKS: u32 = 50;

/// Previews jobs that have not been submitted.
pub struct JobPreviewer {
    service: JobService,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    options: PlanningOptions,
}

impl JobPreviewer {
    /// Creates a previewer that decides as `service` does on submissions, and as the planner with these
    /// options does on placements.
    pub fn new(
        service: JobService,
        configuration: watch::Receiver<Option<Arc<Configuration>>>,
        options: PlanningOptions,
    ) -> Self {
        Self { service, configuration, options }
    }

    /// Whether the log has been read since this process started.
    pub fn has_state(&self) -> bool {
        self.service.replica.log.latest().is_some()
    }

    /// Previews a job whose specification is valid; `None` if there is no state yet. Blocks for the time
    /// of two planning rounds.
    pub fn preview(&self, spec: &JobSpec, terms: &JobTerms) -> Option<PlacementPreview> {
        let (age_ms, state) = self.copy_state()?;
        let guarantees = self.configuration.borrow().as_ref().map(|known| known.guarantees());
        let planner = PlannerInput {
            now_ms: wall_ms(),
            guarantees: guarantees.unwrap_or_default(),
            options: self.options,
        };
        let memory_now_ms = self.service.replica.clock.now_ms();
        let memory = self.service.gate.as_ref().map(|gate| gate.copy_memory(memory_now_ms));
        let admission = memory.as_ref().map(|memory| AdmissionInput { memory, memory_now_ms });
        let input = PreviewInput { planner: &planner, admission, spec, terms };
        let preview = preview_job(state, &input);
        let instance = self.service.replica.location.instance.clone();
        Some(PlacementPreview { instance, state_age_ms: Some(age_ms), ..preview })
    }

    /// Copies the state, so that planning on it delays no reader and no batch, with its age in ms.
    fn copy_state(&self) -> Option<(u64, GraphState)> {
        let replica = &self.service.replica;
        for _ in 0..MAX_APPLIED_CHECKS {
            if let Some((confirmed_ms, state)) = replica.confirmed_state() {
                let age_ms = replica.clock.now_ms().saturating_sub(confirmed_ms);
                return Some((age_ms, state.clone()));
            }
            replica.log.latest()?;
            std::thread::sleep(APPLIED_CHECK_INTERVAL);
        }
        None
    }
}
