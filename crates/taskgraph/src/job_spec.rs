//! Specification of a job, as submitted by a caller.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;
use snafu::ensure;

use crate::resource_amounts::ResourceAmounts;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks of a step.
pub const MAX_STEP_TASKS: u32 = 10_000;

/// Memory of a step without its texts and dependencies, in bytes. All replicas must count the same, on
/// whatever architecture.
const STEP_BYTES: usize = 256;
/// Memory of a dependency, in bytes.
const DEPENDENCY_BYTES: usize = 2;

/// Specification of one step: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task uses.
    pub resources: ResourceAmounts,
    /// Rough estimate of a task's run time, in ms.
    pub estimate_ms: u32,
    /// Earlier steps all of whose tasks must be done first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks checkpoint their progress.
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which only runs as a whole.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<SmolStr>,
    /// Rack on which the tasks run fastest.
    pub preferred_rack: Option<SmolStr>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: SmolStr,
    /// Tail latency that latency-sensitive tasks must stay below, in ms; 0 for other tasks.
    pub latency_target_ms: u32,
    /// Whether the tasks only use processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler's own actions may make unavailable at once;
    /// `None` for no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Whether the tasks end by themselves, at their own speed. Long-running tasks run until the
    /// job is cancelled, and best-effort tasks may be throttled to a standstill.
    pub fn runs_to_completion(&self) -> bool {
        !self.long_running && !self.best_effort
    }

    /// Resources that a task holds on its worker; best-effort tasks hold no processor time.
    pub fn held_resources(&self) -> ResourceAmounts {
        if self.best_effort {
            ResourceAmounts { cpu_millis: 0, ..self.resources }
        } else {
            self.resources
        }
    }
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub payload: SmolStr,
    /// Steps, ordered so that each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// How many times the steps run on schedule; 0 for a job that runs once, as soon as it is
    /// accepted.
    pub occurrence_count: u32,
    /// When the first occurrence is due, in ms since the Unix epoch.
    pub start_at_ms: u64,
    /// Time between occurrences, in ms.
    pub interval_ms: u64,
}

/// Why a job specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JobSpecError {
    /// A step depends on itself or a later step.
    #[snafu(display("step {step} depends on step {earlier}, which is not an earlier one"))]
    BadDependency {
        /// Index of the step.
        step: usize,
        /// Index of the dependency.
        earlier: u16,
    },
    /// The job has no steps, or too many.
    #[snafu(display("a job has 1 to {MAX_STEPS} steps, not {steps}"))]
    BadStepCount {
        /// Number of steps.
        steps: usize,
    },
    /// A step has no tasks, or too many.
    #[snafu(display("step {step} has 1 to {MAX_STEP_TASKS} tasks, not {count}"))]
    BadTaskCount {
        /// Index of the step.
        step: usize,
        /// Number of its tasks.
        count: u32,
    },
    /// The payload is too long.
    #[snafu(display("the payload has {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are taken"))]
    PayloadTooLong {
        /// Size of the payload.
        bytes: usize,
    },
}

impl JobSpec {
    /// Memory that the specification takes, in bytes; about as much as its encoding or more.
    pub fn memory_bytes(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            let labels = [&step.required_label, &step.preferred_rack].into_iter().flatten();
            let texts = labels.map(SmolStr::len).sum::<usize>() + step.image.len();
            STEP_BYTES + step.depends_on.len() * DEPENDENCY_BYTES + texts
        };
        let bytes = self.steps.iter().map(of_step).sum::<usize>() + self.payload.len();
        u64::try_from(bytes).unwrap_or(u64::MAX)
    }

    /// Number of times that the steps run, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.occurrence_count.max(1)
    }

    /// When an occurrence is due, in ms since the Unix epoch; `None` for a job without a schedule.
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

    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    /// Returns a [`JobSpecError`] that names the first violation.
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

    /// Length of the longest chain of dependent steps according to the estimates, in ms.
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

    /// Length of the longest chain of dependent steps that begins with a step, according to the
    /// estimates, in ms.
    pub fn path_from_ms(&self, first: u16) -> u64 {
        let mut ends: Vec<Option<u64>> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let earlier = step.depends_on.iter();
            let start = earlier.filter_map(|earlier| *ends.get(usize::from(*earlier))?).max();
            let start = if index == usize::from(first) { Some(0) } else { start };
            ends.push(start.map(|start| start + u64::from(step.estimate_ms)));
        }
        ends.into_iter().flatten().max().unwrap_or(0)
    }

    /// Largest number of accelerators that any one step uses at once.
    pub fn max_step_accelerators(&self) -> u32 {
        let widths =
            self.steps.iter().map(|step| step.resources.accelerators.saturating_mul(step.count));
        widths.max().unwrap_or(0)
    }
}
