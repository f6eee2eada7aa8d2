//! Capacity of a service's workers with one label, as if they were empty.

use smol_str::SmolStr;

use crate::job_claim::ResourceWork;
use crate::job_claim::work_of;
use crate::job_spec::StepSpec;
use crate::resource_amounts::ResourceAmounts;
use crate::worker::WorkerState;

/// Workers of a service with one label, or all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerClass {
    /// Sum of the workers' resources.
    pub(crate) total: ResourceWork,
    /// Distinct sizes of workers, with their numbers.
    sizes: Vec<(ResourceAmounts, u32)>,
}

impl WorkerClass {
    pub(crate) fn of(workers: &[&WorkerState], label: Option<&SmolStr>) -> Self {
        let mut class = Self::default();
        for worker in workers.iter().filter(|worker| worker.has_label(label)) {
            let resources = worker.spec.resources;
            class.total = class.total.plus(&work_of(&resources, 1));
            match class.sizes.iter_mut().find(|(size, _)| *size == resources) {
                Some((_, count)) => *count += 1,
                None => class.sizes.push((resources, 1)),
            }
        }
        class
    }

    /// Whether the step could be placed if the workers were empty.
    pub(crate) fn fits(&self, spec: &StepSpec) -> bool {
        let each = spec.held_resources();
        let fitting = self.sizes.iter().map(|(size, count)| {
            let fit_count = size.fit_count(&each);
            let limit = if spec.max_per_worker == 0 { u32::MAX } else { spec.max_per_worker };
            fit_count.min(limit).saturating_mul(*count)
        });
        let fit_count = fitting.fold(0, u32::saturating_add);
        fit_count >= if spec.gang { spec.count } else { 1 }
    }
}
