//! State of a step and of its tasks, as recorded in the log.
//!
//! A caller may ask for thousands of tasks of which few can run at once. Only tasks that were placed and
//! are not done, or still have a run, have a state of their own. The others were never placed, or are
//! [`DoneTasks`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeTuple;
use smol_str::SmolStr;

use crate::done_tasks::DoneTasks;
use crate::job_spec::StepSpec;
use crate::worker::WorkerKey;

/// Maximum number of workers that are remembered per task because the task failed there.
const MAX_FAILED_WORKERS: usize = 8;
/// Maximum number of workers that are remembered per step because tasks failed there that are done now.
const MAX_STEP_FAILED_WORKERS: usize = 256;
/// Added to the number of tasks with which the encoding begins. Earlier releases begin with the length of
/// a list of all tasks, which is smaller.
const SPARSE_FORMAT: u64 = 1 << 20;
/// Number of values in the encoding.
const ENCODED_VALUES: usize = 6;

/// A run that was placed and is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPlacement {
    /// Number of the run.
    pub run: u32,
    /// Worker that the run was placed on.
    pub worker: WorkerKey,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Current runs; more than one only if the step is speculative.
    pub current: Vec<RunPlacement>,
    /// Number of the last run that was placed; 0 before the first.
    pub last_run: u32,
    /// Number of failed runs. A gang's failures are counted on its first task.
    pub failures: u16,
    /// Whether the task is done.
    pub is_done: bool,
    /// Latest checkpoint; empty if there is none. A gang's checkpoint is stored on its first task.
    pub checkpoint: SmolStr,
    /// Workers on which the task most recently failed, stalled or was refused.
    pub failed_workers: Vec<WorkerKey>,
}

impl TaskState {
    /// Whether the task waits to be placed.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.current.is_empty()
    }

    pub(crate) fn record_failure(&mut self, worker: WorkerKey) {
        self.failures = self.failures.saturating_add(1);
        self.record_failed_worker(worker);
    }

    pub(crate) fn record_failed_worker(&mut self, worker: WorkerKey) {
        if self.failed_workers.len() == MAX_FAILED_WORKERS {
            self.failed_workers.remove(0);
        }
        self.failed_workers.push(worker);
    }
}

/// State of one step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepState {
    /// Number of tasks.
    count: u32,
    /// Tasks that were placed and are not done, or still have a run, by index.
    tasks: BTreeMap<u32, TaskState>,
    /// Tasks that are done and have no run.
    done: DoneTasks,
    /// Number of tasks that are done, with or without a run.
    done_count: u32,
    /// Workers on which tasks failed that are done now.
    failed_workers: BTreeSet<WorkerKey>,
    /// Last run of a gang that was counted as failed.
    pub(crate) last_failed_run: u32,
}

impl StepState {
    /// State of a step that was never placed.
    pub fn new(count: u32) -> Self {
        Self { count, ..Self::default() }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done_count >= self.count
    }

    /// Number of tasks that are not done.
    pub fn remaining_count(&self) -> u32 {
        self.count.saturating_sub(self.done_count)
    }

    /// Number of tasks that wait to be placed.
    pub fn waiting_count(&self) -> u32 {
        let placed = self.tasks.values().filter(|task| !task.is_done && !task.current.is_empty());
        let placed_count = u32::try_from(placed.count()).unwrap_or(u32::MAX);
        self.remaining_count().saturating_sub(placed_count)
    }

    /// Indices of the tasks that wait to be placed.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let others = self.done.others(self.count);
        others.filter(|index| self.tasks.get(index).is_none_or(TaskState::is_waiting))
    }

    /// Tasks that were placed and are not done, or still have a run, by index.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.tasks.iter().map(|(index, task)| (*index, task))
    }

    /// State of a task among [`Self::tasks`].
    pub fn task(&self, index: u32) -> Option<&TaskState> {
        self.tasks.get(&index)
    }

    /// Whether the step has a task of this index.
    pub fn has_task(&self, index: u32) -> bool {
        index < self.count
    }

    /// Whether a task is done.
    pub fn is_task_done(&self, index: u32) -> bool {
        match self.tasks.get(&index) {
            Some(task) => task.is_done,
            None => self.done.last_run(index).is_some(),
        }
    }

    /// Number of the last run of a task; 0 before the first.
    pub fn last_run_of(&self, index: u32) -> u32 {
        match self.tasks.get(&index) {
            Some(task) => task.last_run,
            None => self.done.last_run(index).unwrap_or(0),
        }
    }

    /// Current runs of a task.
    pub fn runs_of(&self, index: u32) -> &[RunPlacement] {
        self.tasks.get(&index).map_or(&[], |task| &task.current)
    }

    /// Whether any task has a current run.
    pub fn has_placed_runs(&self) -> bool {
        self.tasks.values().any(|task| !task.current.is_empty())
    }

    /// Highest run number of any member of a gang that is not done.
    pub fn last_gang_run(&self) -> u32 {
        self.tasks.values().map(|task| task.last_run).max().unwrap_or(0)
    }

    /// Workers on which any task failed, stalled or was refused.
    pub fn failed_workers(&self) -> BTreeSet<WorkerKey> {
        let of_tasks = self.tasks.values().flat_map(|task| task.failed_workers.iter().copied());
        of_tasks.chain(self.failed_workers.iter().copied()).collect()
    }

    /// State of the task that stores the failures and the checkpoint of task `index`: the first task for a
    /// gang, otherwise the task itself. `None` if it is not among [`Self::tasks`].
    pub fn representative(&self, spec: &StepSpec, index: u32) -> Option<&TaskState> {
        self.tasks.get(&representative_index(spec, index))
    }

    /// Whether the task that stores the failures of task `index` is done.
    pub(crate) fn is_representative_done(&self, spec: &StepSpec, index: u32) -> bool {
        self.is_task_done(representative_index(spec, index))
    }

    /// State of the representative of task `index` for a change; `None` if it is done and has no run, or
    /// does not exist.
    pub(crate) fn representative_mut(
        &mut self,
        spec: &StepSpec,
        index: u32,
    ) -> Option<&mut TaskState> {
        self.task_mut(representative_index(spec, index))
    }

    fn task_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        if !self.has_task(index) || self.done.last_run(index).is_some() {
            return None;
        }
        Some(self.tasks.entry(index).or_default())
    }

    /// Adds a run of a task.
    pub(crate) fn place(&mut self, index: u32, placement: RunPlacement) {
        if let Some(task) = self.task_mut(index) {
            task.last_run = placement.run;
            task.current.push(placement);
        }
    }

    /// Removes a run that has ended.
    pub(crate) fn remove_run(&mut self, index: u32, run: u32) {
        if let Some(task) = self.tasks.get_mut(&index) {
            task.current.retain(|placement| placement.run != run);
            self.compact(index);
        }
    }

    /// Moves a run to another worker.
    pub(crate) fn move_run(&mut self, index: u32, run: u32, worker: WorkerKey) {
        let task = self.tasks.get_mut(&index);
        let runs = task.into_iter().flat_map(|task| &mut task.current);
        runs.filter(|placement| placement.run == run)
            .for_each(|placement| placement.worker = worker);
    }

    /// Marks a task as done.
    pub(crate) fn complete(&mut self, index: u32) {
        if self.is_task_done(index) {
            return;
        }
        if let Some(task) = self.task_mut(index) {
            task.is_done = true;
            self.done_count += 1;
            self.compact(index);
        }
    }

    /// Keeps only the last run of a task that is done and has no run.
    fn compact(&mut self, index: u32) {
        let is_over = |task: &TaskState| task.is_done && task.current.is_empty();
        if !self.tasks.get(&index).is_some_and(is_over) {
            return;
        }
        let Some(task) = self.tasks.remove(&index) else { return };
        self.done.insert(index, task.last_run);
        self.failed_workers.extend(task.failed_workers);
        while self.failed_workers.len() > MAX_STEP_FAILED_WORKERS {
            self.failed_workers.pop_first();
        }
    }

    /// Adds a task as earlier releases encode it.
    fn restore(&mut self, task: TaskState) {
        let index = self.count;
        self.count += 1;
        self.done_count += u32::from(task.is_done);
        if task != TaskState::default() {
            self.tasks.insert(index, task);
            self.compact(index);
        }
    }
}

fn representative_index(spec: &StepSpec, index: u32) -> u32 {
    if spec.gang { 0 } else { index }
}

impl Serialize for StepState {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut values = serializer.serialize_tuple(ENCODED_VALUES)?;
        values.serialize_element(&(SPARSE_FORMAT + u64::from(self.count)))?;
        values.serialize_element(&self.tasks)?;
        values.serialize_element(&self.done)?;
        values.serialize_element(&self.done_count)?;
        values.serialize_element(&self.failed_workers)?;
        values.serialize_element(&self.last_failed_run)?;
        values.end()
    }
}

impl<'de> Deserialize<'de> for StepState {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        // Earlier releases encode as many values as the step has tasks.
        deserializer.deserialize_tuple(usize::MAX, StepVisitor)
    }
}

/// Decodes a step, as this release or an earlier one encodes it.
struct StepVisitor;

impl<'de> Visitor<'de> for StepVisitor {
    type Value = StepState;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the state of a step")
    }

    fn visit_seq<A>(self, mut values: A) -> Result<StepState, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let head: u64 = next_value(&mut values)?;
        let Some(count) = head.checked_sub(SPARSE_FORMAT) else {
            return read_dense(head, &mut values);
        };
        Ok(StepState {
            count: u32::try_from(count).map_err(A::Error::custom)?,
            tasks: next_value(&mut values)?,
            done: next_value(&mut values)?,
            done_count: next_value(&mut values)?,
            failed_workers: next_value(&mut values)?,
            last_failed_run: next_value(&mut values)?,
        })
    }
}

/// Decodes what follows the number of tasks in the encoding of earlier releases: all tasks, the last run
/// that was counted as failed and the number of tasks that are done.
fn read_dense<'de, A>(count: u64, values: &mut A) -> Result<StepState, A::Error>
where
    A: SeqAccess<'de>,
{
    let mut state = StepState::default();
    for _ in 0..count {
        state.restore(next_value(values)?);
    }
    state.last_failed_run = next_value(values)?;
    let done_count: u32 = next_value(values)?;
    if done_count != state.done_count {
        return Err(A::Error::custom("the number of done tasks does not match"));
    }
    Ok(state)
}

fn next_value<'de, A, T>(values: &mut A) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    values.next_element()?.ok_or_else(|| A::Error::custom("the state of a step ends too early"))
}
