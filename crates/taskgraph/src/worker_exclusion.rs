//! Why a worker takes no task of a previewed step, at the end of the round that was planned with it.

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::resource_amounts::ResourceAmounts;
use crate::worker::WorkerStatus;

/// A step and what the round has decided on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreviewedStep<'a> {
    pub(crate) request: StepRequest<'a>,
    /// Whether a task of the step was placed.
    pub(crate) is_placed: bool,
    /// Whether tasks of the step wait although there is capacity, because it is kept for urgent work.
    pub(crate) is_held_back: bool,
}

impl PreviewedStep<'_> {
    /// Rule by which the worker takes no further task of the step; `None` if none applies to the worker
    /// by itself.
    pub(crate) fn exclusion(&self, worker: &WorkerCapacity<'_>) -> Option<SmolStr> {
        self.status_rule(worker)
            .map(SmolStr::new_static)
            .or_else(|| self.size_rule(worker))
            .or_else(|| self.capacity_rule(worker))
            .or_else(|| self.reserve_rule(worker).map(SmolStr::new_static))
    }

    /// Rules about the worker's state, however much of it is in use.
    fn status_rule(&self, worker: &WorkerCapacity<'_>) -> Option<&'static str> {
        let request = &self.request;
        if worker.state.spec.service != request.terms.service {
            return Some("it belongs to another service");
        }
        match worker.state.status {
            WorkerStatus::Draining { .. } => return Some("it is draining"),
            _ if worker.is_evacuated => return Some("its data centre is evacuated"),
            _ if worker.is_quarantined => return Some("it is quarantined after failed runs"),
            WorkerStatus::Suspected { .. } => return Some("it is suspected to be lost"),
            WorkerStatus::Ready => {}
        }
        if !worker.state.has_label(request.spec.required_label.as_ref()) {
            return Some("it lacks the required label");
        }
        let has_no_advice = request.advice.is_some_and(|advice| !advice.is_usable(worker.key));
        has_no_advice.then_some("the advising service has not permitted it")
    }

    fn size_rule(&self, worker: &WorkerCapacity<'_>) -> Option<SmolStr> {
        let short = shortage(&worker.state.spec.resources, &self.request.spec.held_resources())?;
        Some(format_smolstr!("it is too small even when empty: {short}"))
    }

    /// Rules about what runs hold there, and what the round has placed there.
    fn capacity_rule(&self, worker: &WorkerCapacity<'_>) -> Option<SmolStr> {
        let each = self.request.spec.held_resources();
        if let Some(short) = shortage(&worker.state.free(), &each) {
            return Some(format_smolstr!("too little is free: {short}"));
        }
        if shortage(&worker.free, &each).is_some() {
            return Some(SmolStr::new_static("its free capacity is reserved for other steps"));
        }
        if worker.fit_count(&self.request) > 0 {
            return None;
        }
        let rule = if worker.is_on_probation {
            "it is on probation after a quarantine"
        } else if worker.is_reserved_against(&self.request) {
            "it is reserved for a more urgent task that needs a whole worker"
        } else {
            // What is left of the rules is the number of runs on the worker.
            "it has as many runs as it may have"
        };
        Some(SmolStr::new_static(rule))
    }

    /// Rules that leave free capacity unused.
    fn reserve_rule(&self, worker: &WorkerCapacity<'_>) -> Option<&'static str> {
        if self.is_held_back {
            return Some("its free capacity is reserved for urgent work");
        }
        let preferred = self.request.spec.preferred_rack.as_ref();
        let waits_for_rack = !self.is_placed
            && preferred.is_some_and(|preferred| worker.state.spec.rack != *preferred);
        waits_for_rack.then_some("the step waits for the rack that it prefers")
    }
}

/// Names of the resources of which `available` is less than one task needs; `None` if there are none.
fn shortage(available: &ResourceAmounts, each: &ResourceAmounts) -> Option<String> {
    let amounts = [
        ("accelerators", available.accelerators, each.accelerators),
        ("processor time", available.cpu_millis, each.cpu_millis),
        ("memory", available.memory_mb, each.memory_mb),
    ];
    let short = amounts.iter().filter(|(_, available, needed)| available < needed);
    let names: Vec<&str> = short.map(|(name, ..)| *name).collect();
    (!names.is_empty()).then(|| names.join(", "))
}
