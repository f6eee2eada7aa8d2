//! What a caller asks to have run.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;
use snafu::ensure;

use crate::resource_amounts::ResourceAmounts;

/// Largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Most tasks of a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// One step: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub resources: ResourceAmounts,
    /// Rough estimate of a task's duration, in ms.
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks checkpoint their progress.
    pub saves_progress: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<SmolStr>,
    /// Rack on which the tasks are fastest.
    pub preferred_rack: Option<SmolStr>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at once.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: SmolStr,
    /// Tail latency that tasks which serve must stay below, in ms; 0 for none.
    pub latency_target_ms: u32,
    /// Whether the tasks take only the processor time that others leave.
    pub best_effort: bool,
    /// Tasks that may be away at once by the scheduler's own doing; none where not limited.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Whether its tasks come to an end by themselves, at a pace of their own: lasting ones run until
    /// the job is cancelled, and filling ones may be slowed down to nothing.
    pub fn runs_to_completion(&self) -> bool {
        !self.long_running && !self.best_effort
    }

    /// What a task takes of a worker's room; filling tasks take no processor time of it.
    pub fn held_resources(&self) -> ResourceAmounts {
        if self.best_effort {
            ResourceAmounts { cpu_millis: 0, ..self.resources }
        } else {
            self.resources
        }
    }
}

/// A job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Text that each task is given.
    pub payload: SmolStr,
    /// Steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 for once, without a time.
    pub occurrence_count: u32,
    /// When the first occurrence is due, in ms since the Unix epoch.
    pub start_at_ms: u64,
    /// Time between occurrences, in ms.
    pub interval_ms: u64,
}

/// Why a job's description is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobSpecError {
    /// A step waits for itself or a later one.
    #[snafu(display("step {step} depends on step {earlier}, which is not an earlier one"))]
    BadDependency {
        /// The step.
        step: usize,
        /// What it names.
        earlier: u16,
    },
    /// There is nothing to run.
    #[snafu(display("a job has 1 to {MAX_STEPS} steps, not {steps}"))]
    BadStepCount {
        /// Number of steps.
        steps: usize,
    },
    /// A step has no tasks, or too many.
    #[snafu(display("step {step} has 1 to {MAX_STEP_TASKS} tasks, not {count}"))]
    BadTaskCount {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// The payload is too long.
    #[snafu(display("the payload has {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are taken"))]
    PayloadTooLong {
        /// Its length.
        bytes: usize,
    },
}

impl JobSpec {
    /// How often the steps run, at least once.
    pub fn occurrences(&self) -> u32 {
        self.occurrence_count.max(1)
    }

    /// When an occurrence is due, in ms since the Unix epoch; nothing for a job without times.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let delay = u64::from(occurrence).saturating_mul(self.interval_ms);
        (self.occurrence_count > 0).then(|| self.start_at_ms.saturating_add(delay))
    }

    /// When the first occurrence after `now_ms` is due, in ms since the Unix epoch.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        let passed_ms = now_ms.checked_sub(self.start_at_ms);
        let next = match passed_ms {
            None => 0,
            Some(passed_ms) => passed_ms.checked_div(self.interval_ms)?.checked_add(1)?,
        };
        let next = u32::try_from(next).ok().filter(|next| *next < self.occurrence_count)?;
        self.due_ms(next).filter(|due_ms| *due_ms > now_ms)
    }

    /// Checks what the types can't say.
    ///
    /// # Errors
    /// [`JobSpecError`] names the step at fault.
    pub fn check(&self) -> Result<(), JobSpecError> {
        let bytes = self.payload.len();
        ensure!(bytes <= MAX_PAYLOAD_BYTES, PayloadTooLongSnafu { bytes });
        let steps = self.steps.len();
        ensure!((1..=MAX_STEPS).contains(&steps), BadStepCountSnafu { steps });
        for (step, spec) in self.steps.iter().enumerate() {
            let count = spec.count;
            ensure!((1..=MAX_STEP_TASKS).contains(&count), BadTaskCountSnafu { step, count });
            let later = spec.depends_on.iter().find(|earlier| usize::from(**earlier) >= step);
            if let Some(&earlier) = later {
                return BadDependencySnafu { step, earlier }.fail();
            }
        }
        Ok(())
    }

    /// Longest chain of dependent steps, by estimates, in ms.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let starts =
                step.depends_on.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let start = starts.max().copied().unwrap_or(0);
            ends.push(start + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Most accelerators that one step holds at once.
    pub fn max_step_accelerators(&self) -> u32 {
        let widths =
            self.steps.iter().map(|step| step.resources.accelerators.saturating_mul(step.count));
        widths.max().unwrap_or(0)
    }
}
