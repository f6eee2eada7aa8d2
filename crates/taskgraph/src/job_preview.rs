//! Preview of what would become of a job if it were submitted now.
//!
//! Works on a copy of the state: a round is planned without the job and one with it, and the difference
//! shows what the job would take from others. Nothing is written, and no entry remembers the preview.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_model::placement_preview::PreviewExclusion;
use cuminbarrow_model::placement_preview::PreviewOutcome;
use cuminbarrow_model::placement_preview::PreviewPlacement;
use cuminbarrow_model::placement_preview::PreviewPreemption;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionView;
use crate::admission::RejectReason;
use crate::admission::Rejection;
use crate::admission::Submission;
use crate::admission::decide_admission;
use crate::admission_memory::AdmissionMemory;
use crate::capacity_forecast::CapacityForecast;
use crate::capacity_map::AdviceView;
use crate::capacity_map::StepRequest;
use crate::ending_runs::DISPATCH_MS;
use crate::ending_runs::STOP_MS;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::JobSpec;
use crate::job_terms::JobTerms;
use crate::plan_round::PlannerInput;
use crate::plan_round::PlanningRound;
use crate::plan_round::finished_round;
use crate::plan_round::plan_round;
use crate::record::GraphRecord;
use crate::remaining_work::ServiceLoad;
use crate::step_queue::WaitingStep;
use crate::step_queue::guaranteed_jobs;
use crate::step_queue::waiting_steps;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::StopCause;
use crate::worker::WorkerState;
use crate::worker_class::WorkerClass;
use crate::worker_exclusion::PreviewedStep;

/// Maximum number of workers named for one rule.
const MAX_EXAMPLES: usize = 5;
/// Beginning of the planner's reasons for steps that leave capacity to urgent work.
const URGENT_RESERVE_REASON: &str = "room is kept for urgent work";
/// Reasons of the planner for steps whose capacity is being vacated.
const RELEASE_REASONS: [&str; 2] = ["room is being reclaimed", "room is about to be released"];
/// Reason of the planner for steps that must wait for runs to end.
const NO_ROOM_REASON: &str = "no room";

/// What an entry's admission control remembers.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput<'a> {
    /// The entry's own recent answers.
    pub memory: &'a AdmissionMemory,
    /// Clock of `memory`, in ms.
    pub memory_now_ms: u64,
}

/// A job that has not been submitted, and what decides on it.
#[derive(Clone, Copy, Debug)]
pub struct PreviewInput<'a> {
    /// Inputs of the planner.
    pub planner: &'a PlannerInput,
    /// Inputs of admission control; `None` where it is off.
    pub admission: Option<AdmissionInput<'a>>,
    /// Specification, which is valid.
    pub spec: &'a JobSpec,
    /// Terms of the queue for the caller's team.
    pub terms: &'a JobTerms,
}

/// Previews a job on `state`, which is a copy. The result has no process and no age of the state.
pub fn preview_job(mut state: GraphState, input: &PreviewInput<'_>) -> PlacementPreview {
    state.clock_ms = state.clock_ms.max(input.planner.now_ms);
    let job = unused_id(&state);
    let misfit = misfit_reason(&state, input);
    let rejection = rejection(&state, job, input);
    let stopped_anyway = preempted_runs(&plan_round(&state, input.planner).records);
    state.job_accepted(job, input.spec, input.terms);
    let round = finished_round(&state, input.planner);
    let guaranteed = guaranteed_jobs(&state, &input.planner.guarantees);
    let (queue, _) = waiting_steps(&state, &guaranteed, input.planner);
    let previewed = PreviewedRound { state: &state, input, job, round, queue: &queue };
    let preview = PlacementPreview {
        instance: SmolStr::default(),
        state_age_ms: None,
        outcome: PreviewOutcome::Waits,
        reason: SmolStr::default(),
        placements: Vec::new(),
        preemptions: Vec::new(),
        exclusions: previewed.exclusions(),
        waiting_before: count_u32(previewed.earlier_steps().count()),
        expected_wait_ms: None,
        retry_after_s: None,
    };
    if let Some(reason) = misfit {
        return PlacementPreview { outcome: PreviewOutcome::Impossible, reason, ..preview };
    }
    if let Some(rejection) = rejection {
        return PlacementPreview {
            outcome: PreviewOutcome::Rejected,
            reason: rejection_text(rejection.reason).into(),
            retry_after_s: Some(rejection.retry_after_s),
            ..preview
        };
    }
    let placed = previewed.placed_count(None);
    PlacementPreview {
        outcome: if placed > 0 { PreviewOutcome::Starts } else { PreviewOutcome::Waits },
        reason: previewed.reason(placed),
        placements: previewed.placements(),
        preemptions: previewed.preemptions(&stopped_anyway),
        expected_wait_ms: previewed.expected_wait_ms(placed),
        ..preview
    }
}

/// The highest id that no job has. Among otherwise equal jobs it comes last, as a later submission would.
fn unused_id(state: &GraphState) -> JobId {
    let mut ids = (0..=u64::MAX).rev().map(JobId);
    ids.find(|id| !state.jobs.contains_key(id)).unwrap_or(JobId(u64::MAX))
}

/// Why no known worker could ever run some step, whatever state the workers are in now.
fn misfit_reason(state: &GraphState, input: &PreviewInput<'_>) -> Option<SmolStr> {
    let service = &input.terms.service;
    let workers = state.workers.values().filter(|worker| worker.spec.service == *service);
    let workers: Vec<&WorkerState> = workers.collect();
    let mut classes: BTreeMap<Option<&SmolStr>, WorkerClass> = BTreeMap::new();
    let misfit = input.spec.steps.iter().position(|step| {
        let label = step.required_label.as_ref();
        let class = classes.entry(label).or_insert_with(|| WorkerClass::of(&workers, label));
        !class.fits(step)
    })?;
    let whole = input.spec.steps.get(misfit).is_some_and(|step| step.gang);
    let what = if whole { "the gang" } else { "a task" };
    Some(format_smolstr!(
        "the known workers of the service could not hold {what} of step {misfit} if they were empty"
    ))
}

fn rejection(state: &GraphState, job: JobId, input: &PreviewInput<'_>) -> Option<Rejection> {
    let admission = input.admission.as_ref()?;
    let view = AdmissionView {
        state,
        guarantees: &input.planner.guarantees,
        memory: admission.memory,
        now_ms: input.planner.now_ms,
        memory_now_ms: admission.memory_now_ms,
    };
    let submission = Submission { job, spec: input.spec, terms: input.terms };
    match decide_admission(&view, &submission) {
        AdmissionDecision::Admit => None,
        AdmissionDecision::Reject(rejection) => Some(rejection),
    }
}

fn rejection_text(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::NoCapacityInTime => {
            "more important or earlier work takes the service until the result is useless"
        }
        RejectReason::CallersBefore => {
            "the capacity is kept for callers that were rejected before and are expected back"
        }
    }
}

/// Runs that a round preempts.
fn preempted_runs(records: &[GraphRecord]) -> BTreeSet<RunKey> {
    let runs = records.iter().filter_map(|record| match record {
        GraphRecord::RunsStopped { cause: StopCause::Reclaimed, runs, .. } => Some(runs),
        _ => None,
    });
    runs.flatten().copied().collect()
}

/// The round that was planned with the job.
struct PreviewedRound<'a> {
    state: &'a GraphState,
    input: &'a PreviewInput<'a>,
    job: JobId,
    round: PlanningRound<'a>,
    /// All waiting steps at the start of the round, in their order.
    queue: &'a [WaitingStep<'a>],
}

impl<'a> PreviewedRound<'a> {
    /// Steps of the job that can be placed.
    fn own_steps(&self) -> impl Iterator<Item = &'a WaitingStep<'a>> {
        let job = self.job;
        self.queue.iter().filter(move |waiting| waiting.key.job == job)
    }

    /// Steps of the job's service that come before all of its own; none if it has none.
    fn earlier_steps(&self) -> impl Iterator<Item = &'a WaitingStep<'a>> {
        let service = &self.input.terms.service;
        let position = self.queue.iter().position(|waiting| waiting.key.job == self.job);
        let earlier = self.queue.iter().take(position.unwrap_or(0));
        earlier.filter(move |waiting| waiting.job.terms.service == *service)
    }

    /// Number of the job's tasks that were placed, of one step or of all.
    fn placed_count(&self, of_step: Option<StepKey>) -> u32 {
        let counts = self.round.plan.records.iter().map(|record| match record {
            GraphRecord::RunsPlaced { step, tasks, .. }
                if step.job == self.job && of_step.is_none_or(|wanted| wanted == *step) =>
            {
                tasks.len()
            }
            _ => 0,
        });
        count_u32(counts.sum())
    }

    fn placements(&self) -> Vec<PreviewPlacement> {
        let mut counts: BTreeMap<SmolStr, u32> = BTreeMap::new();
        for record in &self.round.plan.records {
            let GraphRecord::RunsPlaced { step, tasks, .. } = record else { continue };
            for task in tasks.iter().filter(|_| step.job == self.job) {
                let worker = self.state.workers.get(&task.worker);
                let name = worker.map(|worker| worker.spec.name.clone()).unwrap_or_default();
                *counts.entry(name).or_default() += 1;
            }
        }
        let placements = counts.into_iter();
        placements.map(|(worker, tasks)| PreviewPlacement { worker, tasks }).collect()
    }

    fn preemptions(&self, stopped_anyway: &BTreeSet<RunKey>) -> Vec<PreviewPreemption> {
        let stopped = preempted_runs(&self.round.plan.records);
        let mut counts: BTreeMap<JobId, u32> = BTreeMap::new();
        for run in stopped.difference(stopped_anyway) {
            *counts.entry(run.task.step.job).or_default() += 1;
        }
        let preemptions = counts.into_iter();
        preemptions.map(|(job, tasks)| PreviewPreemption { job: job.to_smolstr(), tasks }).collect()
    }

    /// The planner's reason for the tasks that were not placed.
    fn wait_reason(&self) -> Option<&'static str> {
        let unplaced = self.round.plan.unplaced.iter().find(|step| step.job == self.job);
        let known = unplaced.map(|step| step.reason);
        // The planner tells no reason for the tasks of a placed step that leave capacity to urgent work.
        let is_limited = || {
            self.own_steps().any(|waiting| {
                let placed = self.placed_count(Some(waiting.key));
                placed > 0 && placed < waiting.round_count()
            })
        };
        known.or_else(|| is_limited().then_some(URGENT_RESERVE_REASON))
    }

    fn reason(&self, placed: u32) -> SmolStr {
        let first_count =
            self.own_steps().map(|waiting| waiting.count).fold(0, u32::saturating_add);
        match self.wait_reason() {
            None if first_count == 0 => SmolStr::new_static("its first occurrence is not due yet"),
            None if placed == 0 => SmolStr::new_static("the next rounds look at it"),
            None if placed < first_count => {
                format_smolstr!("{placed} of {first_count} first tasks would start at once")
            }
            None => SmolStr::new_static("all of its first tasks would start at once"),
            Some(reason) if placed > 0 => format_smolstr!(
                "{placed} of {first_count} first tasks would start at once; for the others: {reason}"
            ),
            Some(reason) => SmolStr::new_static(reason),
        }
    }

    /// Expected time until the job's first task starts, in ms.
    fn expected_wait_ms(&self, placed: u32) -> Option<u64> {
        if placed > 0 {
            return Some(0);
        }
        let Some(first) = self.own_steps().next() else {
            let now_ms = self.input.planner.now_ms;
            return Some(self.input.spec.next_due_ms(now_ms)?.saturating_sub(now_ms));
        };
        let reason = self.wait_reason()?;
        if RELEASE_REASONS.contains(&reason) {
            return Some(STOP_MS + DISPATCH_MS);
        }
        (reason == NO_ROOM_REASON).then(|| self.forecast_ms(first))?
    }

    /// Time until runs have ended that hold as much as the step needs at once and the steps before it
    /// have had their turn. `None` if that never is, or if the capacity is free already but in parts that
    /// the step can't use.
    fn forecast_ms(&self, first: &WaitingStep<'_>) -> Option<u64> {
        let service = &self.input.terms.service;
        let mut load = ServiceLoad::new(self.state, service, self.input.planner.now_ms);
        let held = load.running.iter().map(|run| run.held).collect();
        let forecast = CapacityForecast::new(held);
        let mut work_before = 0_u128;
        for waiting in self.earlier_steps() {
            let run_ms = self.state.typical_run_ms(waiting.job, waiting.spec);
            work_before += u128::from(load.needed_capacity(waiting)) * u128::from(run_ms);
        }
        let free_ms = forecast.time_until_free(load.first_size(first));
        let wait_ms = free_ms.max(forecast.time_for(work_before));
        (1..u64::MAX).contains(&wait_ms).then_some(wait_ms)
    }

    /// Workers that take no task of the job's first step, by rule.
    fn exclusions(&self) -> Vec<PreviewExclusion> {
        let first_key = StepKey { job: self.job, occurrence: 0, step: 0 };
        let key = self.own_steps().next().map_or(first_key, |waiting| waiting.key);
        let Some(spec) = self.input.spec.steps.get(usize::from(key.step)) else {
            return Vec::new();
        };
        let now_ms = self.input.planner.now_ms;
        let advice = self.input.terms.is_advised;
        let advice = advice.then(|| AdviceView { advice: self.state.advice_for(key), now_ms });
        let request = StepRequest {
            step: key,
            spec,
            terms: self.input.terms,
            failed_workers: &[],
            avoids_slow_workers: false,
            is_first: true,
            uses_probation: false,
            advice,
        };
        let is_held_back =
            self.wait_reason().is_some_and(|reason| reason.starts_with(URGENT_RESERVE_REASON));
        let is_placed = self.placed_count(Some(key)) > 0;
        let step = PreviewedStep { request, is_placed, is_held_back };
        let used: BTreeSet<SmolStr> =
            self.placements().into_iter().map(|placement| placement.worker).collect();
        let mut by_rule: BTreeMap<SmolStr, Vec<SmolStr>> = BTreeMap::new();
        let workers = self.round.map.workers.iter();
        for worker in workers.filter(|worker| !used.contains(&worker.state.spec.name)) {
            if let Some(rule) = step.exclusion(worker) {
                by_rule.entry(rule).or_default().push(worker.state.spec.name.clone());
            }
        }
        by_rule.into_iter().map(exclusion_of).collect()
    }
}

fn exclusion_of((reason, mut names): (SmolStr, Vec<SmolStr>)) -> PreviewExclusion {
    let workers = count_u32(names.len());
    names.sort();
    names.truncate(MAX_EXAMPLES);
    PreviewExclusion { reason, workers, examples: names }
}

fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
