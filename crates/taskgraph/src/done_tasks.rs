//! Tasks of a step that are done and have no run, as ranges of their indices.
//!
//! Tasks are placed by index and mostly done by their first run, so a few ranges describe thousands of
//! them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A range of tasks with the same last run; the index of the first one is its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DoneRange {
    /// Index after the last task.
    end: u32,
    /// Number of the last run of each task.
    last_run: u32,
}

/// Tasks that are done and have no run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct DoneTasks {
    ranges: BTreeMap<u32, DoneRange>,
}

impl DoneTasks {
    /// Number of the last run of a task; `None` if the task is not among these.
    pub(crate) fn last_run(&self, index: u32) -> Option<u32> {
        let (_, range) = self.ranges.range(..=index).next_back()?;
        (index < range.end).then_some(range.last_run)
    }

    /// Adds a task.
    pub(crate) fn insert(&mut self, index: u32, last_run: u32) {
        if self.last_run(index).is_some() {
            return;
        }
        let mut end = index + 1;
        let before = self.ranges.range(..index).next_back();
        let before = before.filter(|(_, range)| range.end == index && range.last_run == last_run);
        let start = before.map_or(index, |(start, _)| *start);
        if let Some(after) =
            self.ranges.get(&end).copied().filter(|range| range.last_run == last_run)
        {
            self.ranges.remove(&end);
            end = after.end;
        }
        self.ranges.insert(start, DoneRange { end, last_run });
    }

    /// Indices below `count` that are not among these.
    pub(crate) fn others(&self, count: u32) -> impl Iterator<Item = u32> + '_ {
        let from = [0].into_iter().chain(self.ranges.values().map(|range| range.end));
        let to = self.ranges.keys().copied().chain([count]);
        from.zip(to).flat_map(|(from, to)| from..to)
    }
}
