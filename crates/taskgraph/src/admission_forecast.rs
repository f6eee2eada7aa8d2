//! Forecast of when a submitted job could be done, which errs in favour of its caller.
//!
//! The load is a service with more accepted work than it can do in useful time. The forecast assumes
//! that capacity is used without any gap, that tasks take no longer than estimated or measured, and
//! that work which will be too late when its turn comes is in nobody's way. A job that can't be done
//! in time by this forecast can't be done in time by any order that serves more important work first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_claim::JobClaim;
use crate::job_claim::ResourceWork;
use crate::job_claim::shortest_run_ms;
use crate::job_claim::useless_after_ms;
use crate::job_claim::work_of;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::job_state::JobState;
use crate::service_capacity::ServiceUsage;
use crate::service_capacity::staying_workers;
use crate::step_state::StepState;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::WorkerState;
use crate::worker_class::WorkerClass;

/// Index of the class of all workers of the service.
const ALL_WORKERS: usize = 0;

/// Maximum number of steps of one job that count, and of tasks of a step that was begun. They bound the
/// time for a submission; further ones are left out, in the caller's favour.
const MAX_COUNTED_STEPS: usize = 64;
const MAX_COUNTED_TASKS: u32 = 1_000;

/// Inputs and result of a forecast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time until the job could be done, in ms.
    pub finish_ms: u64,
    /// Time until its result is useless, in ms.
    pub limit_ms: u64,
    /// Duration of the job on an empty service, in ms.
    pub own_ms: u64,
    /// Accelerators of the service's workers.
    pub accelerators: u64,
    /// Number of steps that are served before the job.
    pub steps_ahead: usize,
    /// Whether the team is within its share, so that other teams' work of the same priority is not
    /// served before the job.
    pub is_within_share: bool,
}

/// Work that is served before the submitted job.
#[derive(Clone, Copy, Debug)]
struct WorkAhead {
    /// When the result is useless, in ms since the Unix epoch.
    useless_ms: u64,
    class: usize,
    work: ResourceWork,
    is_same_priority: bool,
    is_own_team: bool,
}

/// Workers of a service, and the work that is served before a submitted job.
pub(crate) struct ServiceLoad<'a> {
    state: &'a GraphState,
    workers: Vec<&'a WorkerState>,
    classes: Vec<WorkerClass>,
    class_of_label: BTreeMap<SmolStr, usize>,
    ahead: Vec<WorkAhead>,
    /// Teams with work of the same priority.
    teams: BTreeSet<SmolStr>,
    now_ms: u64,
}

impl<'a> ServiceLoad<'a> {
    /// Workers that stay in a service, without any work yet.
    pub(crate) fn new(state: &'a GraphState, service: &str, now_ms: u64) -> Self {
        let workers: Vec<&WorkerState> = staying_workers(state, service).collect();
        let classes = vec![WorkerClass::of(&workers, None)];
        let (class_of_label, ahead, teams) = Default::default();
        Self { state, workers, classes, class_of_label, ahead, teams, now_ms }
    }

    /// Whether at least half of the service is in use, by accelerators if it has any, otherwise by
    /// processor time.
    pub(crate) fn is_half_used(&self) -> bool {
        ServiceUsage::of_workers(&self.workers).is_half_used()
    }

    /// Whether free capacity suffices for a whole step.
    pub(crate) fn has_capacity_for(&self, spec: &StepSpec) -> bool {
        let each = spec.held_resources();
        let limit = if spec.max_per_worker == 0 { u32::MAX } else { spec.max_per_worker };
        let workers = self
            .workers
            .iter()
            .filter(|worker| worker.is_ready() && worker.has_label(spec.required_label.as_ref()));
        let fitting = workers.map(|worker| worker.free().fit_count(&each).min(limit));
        fitting.fold(0, u32::saturating_add) >= spec.count
    }

    /// Whether an empty service could run the step.
    pub(crate) fn could_run(&mut self, spec: &StepSpec) -> bool {
        let class = self.class_of(spec.required_label.as_ref());
        self.classes.get(class).is_some_and(|class| class.fits(spec))
    }

    fn class_of(&mut self, label: Option<&SmolStr>) -> usize {
        let Some(label) = label else { return ALL_WORKERS };
        if let Some(class) = self.class_of_label.get(label) {
            return *class;
        }
        let class = self.classes.len();
        self.classes.push(WorkerClass::of(&self.workers, Some(label)));
        self.class_of_label.insert(label.clone(), class);
        class
    }

    /// Adds the accepted work that is served before `claim`: that of the same or a higher priority,
    /// unless it is too late or can't run.
    pub(crate) fn add_accepted(&mut self, claim: &JobClaim) {
        for id in &self.state.active {
            let Some(job) = self.state.jobs.get(id) else { continue };
            let terms = &job.terms;
            if terms.service == claim.service && terms.priority <= claim.priority {
                self.add_job(*id, job, claim);
            }
        }
    }

    fn add_job(&mut self, id: JobId, job: &JobState, claim: &JobClaim) {
        let useless_after_ms = useless_after_ms(&job.spec, &job.terms);
        let is_own_team = job.terms.team == claim.team;
        let is_same_priority = job.terms.priority == claim.priority;
        let mut add = |occurrence: u32, step: u16, spec: &StepSpec, known: Option<&StepState>| {
            let from_ms = job.spec.due_ms(occurrence).unwrap_or(job.accepted_ms);
            let useless_ms = from_ms.saturating_add(useless_after_ms);
            let class = self.class_of(spec.required_label.as_ref());
            let can_run = self.classes.get(class).is_some_and(|class| class.fits(spec));
            if spec.long_running || useless_ms <= self.now_ms || !can_run {
                return;
            }
            let key = StepKey { job: id, occurrence, step };
            let remaining_ms = self.remaining_ms(job, key, spec, known);
            let work = work_of(&spec.held_resources(), remaining_ms);
            self.ahead.push(WorkAhead { useless_ms, class, work, is_same_priority, is_own_team });
        };
        // Occurrences in the future take nothing yet, and advice may forbid all workers.
        if job.spec.occurrence_count > 0 || job.terms.is_advised {
            for ((occurrence, step), known) in job.steps.iter().take(MAX_COUNTED_STEPS) {
                if let Some(spec) = job.step_spec(*step) {
                    add(*occurrence, *step, spec, Some(known));
                }
            }
        } else {
            for (step, spec) in (0..).zip(&job.spec.steps).take(MAX_COUNTED_STEPS) {
                add(0, step, spec, job.steps.get(&(0, step)));
            }
        }
        if is_same_priority {
            self.note_team(&job.terms.team);
        }
    }

    fn note_team(&mut self, team: &SmolStr) {
        if !self.teams.contains(team) {
            self.teams.insert(team.clone());
        }
    }

    /// Time that the step's tasks still take, in ms over all tasks.
    fn remaining_ms(
        &self,
        job: &JobState,
        key: StepKey,
        spec: &StepSpec,
        known: Option<&StepState>,
    ) -> u64 {
        let run_ms = shortest_run_ms(self.state, &job.terms.queue, spec);
        let Some(known) = known else { return run_ms.saturating_mul(u64::from(spec.count)) };
        let remaining =
            (0..spec.count.min(MAX_COUNTED_TASKS)).filter(|index| !known.is_task_done(*index));
        let remaining = remaining.map(|index| {
            let Some(placement) = known.runs_of(index).first() else {
                // How much a checkpoint saves is not known here.
                let saved = known.representative(spec, index).map(|task| &task.checkpoint);
                return if saved.is_none_or(|saved| saved.is_empty()) { run_ms } else { 0 };
            };
            let run = RunKey { task: key.task(index), run: placement.run };
            let worker = self.state.workers.get(&placement.worker);
            let held = worker.and_then(|worker| worker.runs.get(&run));
            let placed_ms = held.map_or(self.now_ms, |held| held.placed_ms);
            run_ms.saturating_sub(self.now_ms.saturating_sub(placed_ms))
        });
        remaining.fold(0, u64::saturating_add)
    }

    /// Adds the work of a job that is not in the state yet, if it is served before `claim`.
    pub(crate) fn add_claim(&mut self, other: &JobClaim, claim: &JobClaim) {
        if other.service != claim.service || other.priority > claim.priority {
            return;
        }
        let is_same_priority = other.priority == claim.priority;
        for part in &other.parts {
            let class = self.class_of(part.label.as_ref());
            self.ahead.push(WorkAhead {
                useless_ms: other.useless_ms,
                class,
                work: part.work,
                is_same_priority,
                is_own_team: other.team == claim.team,
            });
        }
        if is_same_priority {
            self.note_team(&other.team);
        }
    }

    /// Forecast for `claim`. The same priority is served by the order of acceptance or by teams'
    /// shares, whichever is better for the claim.
    pub(crate) fn forecast(
        &mut self,
        claim: &JobClaim,
        guarantees: &BTreeMap<SmolStr, u32>,
    ) -> Forecast {
        self.ahead.sort_unstable_by_key(|ahead| ahead.useless_ms);
        self.note_team(&claim.team);
        let limit_ms = claim.useless_ms.saturating_sub(self.now_ms);
        let in_order = self.busy(|_| Some(1));
        let share_divisor = self.share_divisor(&claim.team, guarantees);
        let by_team = self.busy(|ahead| match (ahead.is_same_priority, ahead.is_own_team) {
            (false, _) => Some(1),
            (true, true) => Some(share_divisor),
            (true, false) => None,
        });
        let idle = vec![ResourceWork::default(); self.classes.len()];
        let in_order_ms = self.finish_ms(claim, &in_order, limit_ms);
        let by_team_ms = self.finish_ms(claim, &by_team, limit_ms);
        Forecast {
            finish_ms: in_order_ms.min(by_team_ms),
            is_within_share: by_team_ms < in_order_ms,
            limit_ms,
            own_ms: self.finish_ms(claim, &idle, limit_ms),
            accelerators: self.classes.first().map_or(0, |all| all.total.accelerators()),
            steps_ahead: self.ahead.len(),
        }
    }

    /// Forecast for `claim` behind jobs that were rejected before and are expected back. They delay it
    /// by one latency objective at most, and only if they go before it.
    pub(crate) fn forecast_behind<'b, I>(
        &mut self,
        claim: &JobClaim,
        reserved: I,
        forecast: Forecast,
    ) -> Forecast
    where
        I: Iterator<Item = &'b JobClaim>,
    {
        let is_before =
            |other: &&JobClaim| other.service == claim.service && other.priority <= claim.priority;
        let parts = reserved.filter(is_before).flat_map(|other| &other.parts);
        let mut delay_ms = 0;
        let mut reserved_work = vec![ResourceWork::default(); self.classes.len()];
        for part in parts {
            let class = self.class_of(part.label.as_ref());
            if reserved_work.len() < self.classes.len() {
                reserved_work.resize(self.classes.len(), ResourceWork::default());
            }
            if let Some(reserved) = reserved_work.get_mut(class) {
                *reserved = reserved.plus(&part.work);
            }
        }
        for part in &claim.parts {
            let class = self.class_of(part.label.as_ref());
            let (Some(reserved), Some(class)) = (reserved_work.get(class), self.classes.get(class))
            else {
                continue;
            };
            let waits = part.work.0.iter().zip(reserved.0).zip(class.total.0);
            let waits = waits.filter(|((own, _), total)| **own > 0 && *total > 0);
            delay_ms =
                waits.map(|((_, reserved), total)| reserved / total).fold(delay_ms, u64::max);
        }
        let finish_ms = forecast.finish_ms + delay_ms.min(claim.objective_ms);
        Forecast { finish_ms, ..forecast }
    }

    /// Number of equal parts of the service of which the team's share is at least one. Shares are
    /// proportional to guarantees, or equal if that is more.
    fn share_divisor(&self, team: &SmolStr, guarantees: &BTreeMap<SmolStr, u32>) -> u64 {
        let weight = |team: &SmolStr| u64::from(guarantees.get(team).copied().unwrap_or(0).max(1));
        let sum: u64 = self.teams.iter().map(weight).sum();
        let count = u64::try_from(self.teams.len()).unwrap_or(u64::MAX);
        sum.div_ceil(weight(team)).min(count).max(1)
    }

    /// Work that is served before the claim, by class of workers. `factor` says how many times an
    /// item's work counts; `None` if it does not. Work counts only as far as it can be done before its
    /// result is useless.
    fn busy<F>(&self, factor: F) -> Vec<ResourceWork>
    where
        F: Fn(&WorkAhead) -> Option<u64>,
    {
        let mut busy = vec![ResourceWork::default(); self.classes.len()];
        for ahead in &self.ahead {
            let Some(factor) = factor(ahead) else { continue };
            let left_ms = ahead.useless_ms.saturating_sub(self.now_ms);
            if let (Some(busy), Some(class)) =
                (busy.get_mut(ahead.class), self.classes.get(ahead.class))
            {
                let with = busy.plus(&ahead.work.scaled(factor));
                *busy = busy.max(&with.min(&class.total.scaled(left_ms)));
            }
        }
        busy
    }

    /// Time until the claim's work could be done after `busy`, in ms.
    fn finish_ms(&mut self, claim: &JobClaim, busy: &[ResourceWork], limit_ms: u64) -> u64 {
        let mut finish_ms = 0;
        for part in &claim.parts {
            let class_index = self.class_of(part.label.as_ref());
            let Some(class) = self.classes.get(class_index) else { continue };
            let total = class.total;
            let ahead = self.work_before(class_index, busy, limit_ms);
            let used = part.work.0.iter().zip(&part.tails_ms.0);
            for ((own, tail_ms), (ahead, total)) in used.zip(ahead.0.iter().zip(&total.0)) {
                if *own > 0 && *total > 0 {
                    let done_ms = ahead.saturating_add(*own) / total;
                    finish_ms = finish_ms.max(ahead / total + tail_ms).max(done_ms);
                }
            }
        }
        finish_ms
    }

    /// Work that certainly takes capacity of a class of workers within `limit_ms`. Work of other
    /// labels may overlap, so only the largest amount of one label counts beside work without one.
    fn work_before(&self, class: usize, busy: &[ResourceWork], limit_ms: u64) -> ResourceWork {
        let on_any = busy.get(ALL_WORKERS).copied().unwrap_or_default();
        let all = self.classes.get(ALL_WORKERS).map(|all| all.total).unwrap_or_default();
        if class != ALL_WORKERS {
            let total = self.classes.get(class).map(|class| class.total).unwrap_or_default();
            let elsewhere = all.minus(&total).scaled(limit_ms);
            let own = busy.get(class).copied().unwrap_or_default();
            return own.plus(&on_any.minus(&elsewhere));
        }
        let labelled = busy.iter().zip(&self.classes).skip(1);
        let labelled = labelled.map(|(busy, class)| busy.min(&class.total.scaled(limit_ms)));
        on_any.plus(&labelled.fold(ResourceWork::default(), |most, work| most.max(&work)))
    }
}
