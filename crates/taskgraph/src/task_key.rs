//! Keys of steps, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

use crate::job_id::JobId;

/// One step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StepKey {
    /// Identity of the job.
    pub job: JobId,
    /// Index of the occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

impl StepKey {
    /// Key of one of the step's tasks.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskKey {
    /// Key of the step.
    pub step: StepKey,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

/// The text is not a task key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a task is named JOB.OCCURRENCE.STEP.INDEX"))]
pub struct TaskKeyError;

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut next = || parts.next().context(TaskKeySnafu);
        let job = next()?.parse().map_err(|_| TaskKeyError)?;
        let occurrence = next()?.parse().map_err(|_| TaskKeyError)?;
        let step = next()?.parse().map_err(|_| TaskKeyError)?;
        let index = next()?.parse().map_err(|_| TaskKeyError)?;
        if parts.next().is_some() {
            return Err(TaskKeyError);
        }
        Ok(StepKey { job, occurrence, step }.task(index))
    }
}

/// One run of a task. The members of a gang share the run number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunKey {
    /// Key of the task.
    pub task: TaskKey,
    /// Number of the run, from 1.
    pub run: u32,
}

impl fmt::Display for RunKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.run)
    }
}
