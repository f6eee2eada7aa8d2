//! Logs instances that turn out to be slower or faster than the others of their service.
//!
//! Load: many instances are classified within seconds after a start under load. The number of lines is
//! bounded, and the rest are counted in one.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::speed_profile::SpeedClass;
use smol_str::SmolStr;
use tokio::time::Instant;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of instances that one check logs by name.
const MAX_LINES: usize = 8;

/// Classes of instances, as logged last.
#[derive(Default)]
pub(crate) struct SpeedLog {
    /// Instances that are not typical.
    classes: BTreeMap<SmolStr, SpeedClass>,
    checked_at: Option<Instant>,
}

impl SpeedLog {
    /// Logs the instances whose class has changed since the last check, if one is due.
    pub(crate) fn check(&mut self, state: &GraphState) {
        if self.checked_at.is_some_and(|at| at.elapsed() < CHECK_INTERVAL) {
            return;
        }
        self.checked_at = Some(Instant::now());
        let classes = state.speed_classes().into_iter().filter_map(|(worker, class)| {
            Some((state.workers.get(&worker)?.spec.instance.clone(), class))
        });
        let changes = self.update(classes.collect());
        for (instance, class) in changes.iter().take(MAX_LINES) {
            let relative_time = state.speed_profiles.relative_time(instance);
            log::info!(instance = instance.as_str(), class:? = class, relative_time; "instance's speed class has changed");
        }
        if changes.len() > MAX_LINES {
            let others = changes.len() - MAX_LINES;
            log::info!(others; "further instances' speed classes have changed");
        }
    }

    /// Stores the classes of all instances and returns those that have changed.
    fn update(&mut self, classes: BTreeMap<SmolStr, SpeedClass>) -> Vec<(SmolStr, SpeedClass)> {
        let earlier = |instance| self.classes.get(instance).copied().unwrap_or_default();
        let changes = classes.iter().filter(|(instance, class)| earlier(*instance) != **class);
        let changes = changes.map(|(instance, class)| (instance.clone(), *class)).collect();
        self.classes = classes;
        self.classes.retain(|_, class| *class != SpeedClass::Typical);
        changes
    }
}
