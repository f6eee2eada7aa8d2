//! Capacity of a service's workers with one label, as if they were empty.

use smol_str::SmolStr;

use crate::job_claim::ResourceWork;
use crate::job_claim::work_of;
use crate::job_spec::StepSpec;
use crate::service_capacity::WorkerSizes;
use crate::worker::WorkerState;

/// Workers of a service with one label, or all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerClass {
    /// Sum of the workers' resources.
    pub(crate) total: ResourceWork,
    sizes: WorkerSizes,
}

impl WorkerClass {
    pub(crate) fn of(workers: &[&WorkerState], label: Option<&SmolStr>) -> Self {
        let mut class = Self::default();
        for worker in workers.iter().filter(|worker| worker.has_label(label)) {
            let resources = worker.spec.resources;
            class.total = class.total.plus(&work_of(&resources, 1));
            class.sizes.add(resources);
        }
        class
    }

    /// Whether the step could be placed if the workers were empty.
    pub(crate) fn fits(&self, spec: &StepSpec) -> bool {
        let limit = if spec.max_per_worker == 0 { u32::MAX } else { spec.max_per_worker };
        let slots = self.sizes.slots(&spec.held_resources(), limit);
        slots >= if spec.gang { spec.count } else { 1 }
    }
}
