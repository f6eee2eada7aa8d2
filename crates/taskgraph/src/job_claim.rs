//! What a submitted job asks of a service: work by label of workers, and the time that it has.

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::StepSpec;
use crate::job_terms::JobTerms;
use crate::resource_amounts::ResourceAmounts;
use crate::step_queue::TOO_LATE_FACTOR;

/// Part of an estimate that is counted while its queue has no measured run times. Estimates are off
/// by up to half.
const UNMEASURED_DIVISOR: u64 = 2;

/// Maximum number of labels of a claim. Work of further ones does not count, in the caller's favour.
const MAX_CLAIM_LABELS: usize = 8;
/// Maximum length of a label in a claim, in bytes. Callers may name labels that no worker has.
const MAX_LABEL_BYTES: usize = 64;

/// Amounts of accelerators, processor time in thousandths of a core, and memory in MB, each times ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResourceWork(pub(crate) [u64; 3]);

impl ResourceWork {
    pub(crate) fn accelerators(&self) -> u64 {
        self.0[0]
    }

    pub(crate) fn plus(&self, other: &Self) -> Self {
        self.combined(other, u64::saturating_add)
    }

    pub(crate) fn minus(&self, other: &Self) -> Self {
        self.combined(other, u64::saturating_sub)
    }

    pub(crate) fn min(&self, other: &Self) -> Self {
        self.combined(other, u64::min)
    }

    pub(crate) fn max(&self, other: &Self) -> Self {
        self.combined(other, u64::max)
    }

    pub(crate) fn scaled(&self, factor: u64) -> Self {
        Self(self.0.map(|amount| amount.saturating_mul(factor)))
    }

    fn combined(&self, other: &Self, combine: fn(u64, u64) -> u64) -> Self {
        let [first, second, third] = self.0;
        let [other_first, other_second, other_third] = other.0;
        Self([
            combine(first, other_first),
            combine(second, other_second),
            combine(third, other_third),
        ])
    }
}

/// Work of holding these amounts for `ms`.
pub(crate) fn work_of(amounts: &ResourceAmounts, ms: u64) -> ResourceWork {
    let ResourceAmounts { cpu_millis, memory_mb, accelerators } = *amounts;
    ResourceWork([accelerators.into(), cpu_millis.into(), memory_mb.into()]).scaled(ms)
}

/// Shortest plausible run time of a step's tasks, in ms: the estimate, or the queue's measured mean if
/// that is less. It errs in the caller's favour; [`GraphState::expected_run_ms`] predicts without favour.
pub(crate) fn shortest_run_ms(state: &GraphState, queue: &str, spec: &StepSpec) -> u64 {
    let estimate_ms = u64::from(spec.estimate_ms);
    let mean_ms = state.measured_run_ms(queue);
    mean_ms.map_or(estimate_ms / UNMEASURED_DIVISOR, |mean_ms| estimate_ms.min(mean_ms))
}

/// Time after which a job's result is useless, in ms.
pub(crate) fn useless_after_ms(spec: &JobSpec, terms: &JobTerms) -> u64 {
    TOO_LATE_FACTOR.saturating_mul(terms.objective_ms(spec.critical_path_ms()))
}

/// Work of a job on workers with one label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimPart {
    /// Label that the workers must have.
    pub(crate) label: Option<SmolStr>,
    /// Work of all tasks.
    pub(crate) work: ResourceWork,
    /// Longest time from the start of one of these steps to the end of the job, in ms, among the steps
    /// that use each resource.
    pub(crate) tails_ms: ResourceWork,
}

/// What a submitted job asks of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobClaim {
    /// Identity of the job.
    pub job: JobId,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Team that owns the job.
    pub team: SmolStr,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective, in ms.
    pub objective_ms: u64,
    /// When the result is useless, in ms since the Unix epoch.
    pub useless_ms: u64,
    /// Most accelerators that one step uses at once.
    pub accelerators: u32,
    pub(crate) parts: Vec<ClaimPart>,
}

impl JobClaim {
    /// Claim of a job that is submitted at `now_ms`.
    pub fn new(
        state: &GraphState,
        job: JobId,
        spec: &JobSpec,
        terms: &JobTerms,
        now_ms: u64,
    ) -> Self {
        let mut tails_ms: Vec<u64> = vec![0; spec.steps.len()];
        let mut parts: Vec<ClaimPart> = Vec::new();
        for (index, step) in spec.steps.iter().enumerate().rev() {
            let run_ms = shortest_run_ms(state, &terms.queue, step);
            let tail_ms = tails_ms.get(index).copied().unwrap_or(0).saturating_add(run_ms);
            for earlier in &step.depends_on {
                if let Some(earlier) = tails_ms.get_mut(usize::from(*earlier)) {
                    *earlier = tail_ms.max(*earlier);
                }
            }
            let work_ms = run_ms.saturating_mul(u64::from(step.count));
            let work = work_of(&step.held_resources(), work_ms);
            let step_tails_ms = ResourceWork(work.0.map(|amount| tail_ms * u64::from(amount > 0)));
            match parts.iter_mut().find(|part| part.label == step.required_label) {
                Some(part) => {
                    part.work = part.work.plus(&work);
                    part.tails_ms = part.tails_ms.max(&step_tails_ms);
                }
                None => {
                    let label = step.required_label.clone();
                    let bytes = label.as_ref().map_or(0, SmolStr::len);
                    if parts.len() >= MAX_CLAIM_LABELS || bytes > MAX_LABEL_BYTES {
                        continue;
                    }
                    parts.push(ClaimPart { label, work, tails_ms: step_tails_ms });
                }
            }
        }
        let objective_ms = terms.objective_ms(spec.critical_path_ms());
        Self {
            job,
            service: terms.service.clone(),
            team: terms.team.clone(),
            priority: terms.priority,
            objective_ms,
            useless_ms: now_ms.saturating_add(useless_after_ms(spec, terms)),
            accelerators: spec.max_step_accelerators(),
            parts,
        }
    }
}
