//! Learns which instances are permanently slower or faster than the others of their service.
//!
//! Load: wide background steps of independent tasks run on most workers, a third of which takes 1.3
//! times as long, and then bursts of urgent gangs arrive, each as slow as its slowest member.
//!
//! The run times of a step's tasks on one instance are compared with those on the other instances.
//! The first tasks to end are the short ones, so a comparison of the ends alone would favour whoever
//! ended. Instead all runs of a step that started early enough are compared at once, when they have
//! either ended or run for a common time, the step's horizon. Which runs are compared thus depends on
//! when they started only. `docs/design/speed-profiles.md` compares this with other ways.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::job_spec::StepSpec;
use crate::record::RunEnd;
use crate::step_state::TaskState;
use crate::task_key::RunKey;
use crate::task_key::StepKey;
use crate::worker::HeldRun;
use crate::worker::WorkerKey;

/// Number of a step's tasks, from the first, that are compared. It bounds the memory of a step.
const MAX_COMPARED_TASKS: u32 = 128;
/// Minimum number of runs that are compared while other tasks of the step are not done.
const MIN_COHORT_RUNS: usize = 8;
/// Minimum part of the compared runs that have ended, in percent, while others are running. Run times
/// within a step spread by about 0.3 of their mean, so the horizon is at least 1.15 of the median.
const MIN_ENDED_PERCENT: usize = 70;
/// Shortest median of run times that is compared, in ms. Run times include the start latency, which
/// dominates shorter ones.
const MIN_MEDIAN_MS: u64 = 500;
/// Longest horizon, in percent of the median run time. Five of six runs are shorter.
const MAX_HORIZON_PERCENT: u64 = 135;
/// Run time at which a run counts that is longer than the horizon, in percent of the horizon: the mean
/// of such run times. Single tasks take up to 7 times as long as others and count no more than this.
const LONG_RUN_PERCENT: u64 = 120;
/// Shortest run time that counts, in percent of the median.
const SHORT_RUN_PERCENT: u64 = 50;

/// Weight of the assumption that an instance is as fast as the others, in thousandths of a run. It is
/// the ratio of the variances of run times within a step (0.3 squared) and of instances' speeds (0.12
/// squared, if a third of them takes 1.3 times as long).
const PRIOR_WEIGHT: u64 = 6_000;
/// Weight above which older runs count less, in thousandths of a run: about ten minutes of runs.
const MAX_WEIGHT: u64 = 64_000;
/// Relative run time from which an instance is slower than the others, in thousandths: half-way to 1.25.
/// On simulated loads about 5 % of equal instances are beyond this limit or the next after a minute.
const SLOWER_PERMILLE: u64 = 1_110;
/// Relative run time up to which an instance is faster than the others, in thousandths.
const FASTER_PERMILLE: u64 = 900;

/// Time for which a worker runs slowly before it is reported, in ms.
const SLOW_DETECTION_MS: u64 = 3_000;
/// Time for which a worker counts as slow after a report, in ms: the interval between reports.
const SLOW_REPORT_MS: u64 = 2_000;
/// Maximum time between two reports of one slow phase, in ms. Runs that they disturbed are compared
/// within this time.
const SLOW_PHASE_GAP_MS: u64 = 30_000;
/// How long the profile of an instance without a worker is kept, in ms.
const PROFILE_RETENTION_MS: u64 = 600_000;
/// Maximum number of instances with a profile.
const MAX_PROFILES: usize = 1_024;

/// Speed of an instance relative to the others of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Tasks take clearly less time than on the median instance.
    Faster,
    /// Any other instance.
    #[default]
    Typical,
    /// Tasks take clearly more time than on the median instance.
    Slower,
}

/// What is known of the speed of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct InstanceProfile {
    /// Weight of the runs compared, in thousandths of a run.
    weight: u64,
    /// Sum of the runs' relative run times, in thousandths, times their weights.
    weighted_sum: u64,
    /// Start of the latest phase in which the worker was reported as slow, in ms since the Unix epoch.
    slow_from_ms: u64,
    /// End of that phase, in ms since the Unix epoch.
    slow_until_ms: u64,
    /// When the worker was removed, in ms since the Unix epoch; `None` while there is one.
    gone_ms: Option<u64>,
}

impl InstanceProfile {
    /// Relative run time in thousandths, weighted towards 1,000 while few runs have been compared.
    fn relative_time(&self) -> u64 {
        (self.weighted_sum + PRIOR_WEIGHT * 1_000) / (self.weight + PRIOR_WEIGHT)
    }

    fn add(&mut self, weight: u64, relative_time: u64) {
        self.weight += weight;
        self.weighted_sum += weight * relative_time;
        if self.weight > MAX_WEIGHT {
            self.weighted_sum = self.weighted_sum * MAX_WEIGHT / self.weight;
            self.weight = MAX_WEIGHT;
        }
    }

    /// Whether the worker was slow during a part of the run.
    fn is_disturbed(&self, run: &RunSample) -> bool {
        let ended_ms = run.placed_ms + run.run_ms;
        run.placed_ms <= self.slow_until_ms && ended_ms + SLOW_DETECTION_MS >= self.slow_from_ms
    }

    fn record_slow(&mut self, now_ms: u64) {
        if now_ms > self.slow_until_ms + SLOW_PHASE_GAP_MS {
            self.slow_from_ms = now_ms;
        }
        self.slow_until_ms = now_ms + SLOW_REPORT_MS;
    }
}

/// Run time of one run from its placement, so far if it has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RunSample {
    worker: WorkerKey,
    /// When the run was placed, in ms since the Unix epoch.
    placed_ms: u64,
    /// Run time, in ms.
    run_ms: u64,
}

/// Runs of one step that have not been compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StepSamples {
    /// Runs placed up to this time have been compared, in ms since the Unix epoch.
    compared_to_ms: u64,
    /// Runs that ended and have not been compared.
    ended: Vec<RunSample>,
}

impl StepSamples {
    /// Removes the runs that can be compared now and returns them, with their run times limited to
    /// the range that counts. `is_done` says that no task is left.
    fn take_cohort(
        &mut self,
        running: &[RunSample],
        now_ms: u64,
        is_done: bool,
    ) -> Option<Vec<RunSample>> {
        let all = self.ended.iter().chain(running);
        let mut cohort: Vec<RunSample> =
            all.filter(|run| run.placed_ms > self.compared_to_ms).copied().collect();
        cohort.sort_unstable_by_key(|run| run.placed_ms);
        if !is_done {
            cohort.truncate(cohort_size(&cohort, now_ms)?);
        }
        let last_ms = cohort.last()?.placed_ms;
        self.compared_to_ms = last_ms;
        self.ended.retain(|run| run.placed_ms > last_ms);
        let mut times: Vec<u64> = cohort.iter().map(|run| run.run_ms).collect();
        times.sort_unstable();
        let median_ms = times.get(times.len() / 2).copied()?;
        let age_ms = if is_done { u64::MAX } else { now_ms.saturating_sub(last_ms) };
        let horizon_ms = age_ms.min(median_ms * MAX_HORIZON_PERCENT / 100);
        for run in &mut cohort {
            run.run_ms = if run.run_ms < horizon_ms {
                run.run_ms.max(median_ms * SHORT_RUN_PERCENT / 100)
            } else {
                horizon_ms * LONG_RUN_PERCENT / 100
            };
        }
        (median_ms >= MIN_MEDIAN_MS).then_some(cohort)
    }
}

/// Largest number of runs, from the first placed, most of which ended before they were as old as the
/// last of them is now. Those that have not ended are at least that old.
fn cohort_size(runs: &[RunSample], now_ms: u64) -> Option<usize> {
    let is_comparable = |size: &usize| {
        let Some((last, earlier)) = runs.get(..*size).and_then(<[RunSample]>::split_last) else {
            return false;
        };
        let next = runs.get(*size);
        let age_ms = now_ms.saturating_sub(last.placed_ms);
        let ended = earlier.iter().chain([last]).filter(|run| run.run_ms < age_ms).count();
        next.is_none_or(|next| next.placed_ms > last.placed_ms)
            && ended * 100 >= size * MIN_ENDED_PERCENT
    };
    (MIN_COHORT_RUNS..=runs.len()).rev().find(is_comparable)
}

/// Speeds of all instances, and the runs from which they are learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedProfiles {
    instances: BTreeMap<SmolStr, InstanceProfile>,
    steps: BTreeMap<StepKey, StepSamples>,
    /// Runs placed before this time are not compared, in ms since the Unix epoch.
    valid_from_ms: u64,
}

impl SpeedProfiles {
    /// Relative run time of an instance's tasks, in thousandths; 1,000 if it is not known.
    pub fn relative_time(&self, instance: &str) -> u64 {
        self.instances.get(instance).map_or(1_000, InstanceProfile::relative_time)
    }

    /// Discards all runs in progress, whose run times a jump of the clock falsifies.
    pub(crate) fn record_clock_jump(&mut self, now_ms: u64) {
        self.valid_from_ms = now_ms;
        self.steps.clear();
    }

    /// Records that the worker of an instance is slow for some time, or was until now.
    pub(crate) fn record_slow(&mut self, instance: &SmolStr, now_ms: u64) {
        if let Some(profile) = self.profile_mut(instance) {
            profile.record_slow(now_ms);
        }
    }

    /// Records that an instance has a worker, or none any more.
    pub(crate) fn record_presence(&mut self, instance: &str, is_present: bool, now_ms: u64) {
        if let Some(profile) = self.instances.get_mut(instance) {
            profile.gone_ms = (!is_present).then_some(now_ms);
        }
        self.remove_expired(now_ms);
    }

    /// Drops the runs of a job that has ended.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let first = StepKey { job, occurrence: 0, step: 0 };
        let last = StepKey { job, occurrence: u32::MAX, step: u16::MAX };
        let steps: Vec<StepKey> = self.steps.range(first..=last).map(|(step, _)| *step).collect();
        steps.iter().for_each(|step| drop(self.steps.remove(step)));
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_kept = |profile: &InstanceProfile| {
            profile.gone_ms.is_none_or(|gone_ms| now_ms < gone_ms + PROFILE_RETENTION_MS)
        };
        self.instances.retain(|_, profile| is_kept(profile));
    }

    fn profile_mut(&mut self, instance: &SmolStr) -> Option<&mut InstanceProfile> {
        if !self.instances.contains_key(instance) && self.instances.len() >= MAX_PROFILES {
            return None;
        }
        Some(self.instances.entry(instance.clone()).or_default())
    }

    /// Compares runs of a step by instance, as far as that is possible now.
    fn compare_step<'a, F>(
        &mut self,
        step: StepKey,
        running: &[RunSample],
        now_ms: u64,
        is_done: bool,
        instance_of: F,
    ) where
        F: Fn(WorkerKey) -> Option<&'a SmolStr>,
    {
        let Some(samples) = self.steps.get_mut(&step) else { return };
        let Some(cohort) = samples.take_cohort(running, now_ms, is_done) else { return };
        let mut totals: BTreeMap<&SmolStr, (u64, u64)> = BTreeMap::new();
        for run in &cohort {
            let Some(instance) = instance_of(run.worker) else { continue };
            let profile = self.instances.get(instance);
            if profile.is_none_or(|profile| !profile.is_disturbed(run)) {
                let (count, total_ms) = totals.entry(instance).or_default();
                *count += 1;
                *total_ms += run.run_ms;
            }
        }
        // The other instances may be slow themselves, so their run times count as if they were not.
        let equalized =
            |instance: &str, total_ms: u64| total_ms * 1_000 / self.relative_time(instance).max(1);
        let sums = totals
            .iter()
            .map(|(instance, (count, total_ms))| (*count, equalized(instance.as_str(), *total_ms)));
        let (all_count, all_ms) = sums.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let mut comparisons = Vec::new();
        for (instance, (count, total_ms)) in &totals {
            let other_count = all_count - count;
            let other_ms = all_ms - equalized(instance.as_str(), *total_ms);
            if other_count == 0 || other_ms == 0 {
                continue;
            }
            let relative_time = total_ms * other_count * 1_000 / (count * other_ms);
            let weight = count * other_count * 1_000 / all_count;
            comparisons.push((*instance, weight, relative_time));
        }
        for (instance, weight, relative_time) in comparisons {
            if let Some(profile) = self.profile_mut(instance) {
                profile.add(weight, relative_time);
            }
        }
        self.remove_expired(now_ms);
    }
}

impl GraphState {
    /// Records the run time of a task that is about to be marked as done, and compares the step's
    /// runs as far as that is possible.
    pub(crate) fn record_run_time(&mut self, worker: WorkerKey, end: &RunEnd, held: &HeldRun) {
        let now_ms = self.clock_ms;
        let step = end.run.task.step;
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(spec) = job.step_spec(step.step).filter(|spec| is_comparable(spec)) else {
            return;
        };
        let Some(state) = job.steps.get(&(step.occurrence, step.step)) else { return };
        let index = end.run.task.index;
        let compared = spec.count.min(MAX_COMPARED_TASKS);
        let valid_from_ms = self.speed_profiles.valid_from_ms;
        let sample = |worker, held: &HeldRun| {
            let run_ms = now_ms.saturating_sub(held.placed_ms);
            let sample = RunSample { worker, placed_ms: held.placed_ms, run_ms };
            (held.placed_ms >= valid_from_ms).then_some(sample)
        };
        let Some(task) = state.task(index).filter(|_| index < compared) else { return };
        let is_done = (0..compared).all(|other| state.is_task_done(other) || other == index);
        let ended = sample(worker, held).filter(|_| is_whole_run(spec, task, end.run.run));
        let others = state.tasks().take_while(|(other, _)| *other < compared);
        let others = others.filter(|(other, _)| *other != index);
        let placed = others.flat_map(|(other, task)| {
            let whole = task.current.iter().filter(|placed| is_whole_run(spec, task, placed.run));
            whole.map(move |placed| (RunKey { task: step.task(other), run: placed.run }, placed))
        });
        let running: Vec<RunSample> = placed
            .filter_map(|(run, placed)| {
                let held = self.workers.get(&placed.worker)?.runs.get(&run)?;
                sample(placed.worker, held).filter(|_| held.stop_cause.is_none())
            })
            .collect();
        let samples = self.speed_profiles.steps.entry(step).or_default();
        samples.ended.extend(ended.filter(|run| run.placed_ms > samples.compared_to_ms));
        let workers = &self.workers;
        let instance_of = |key| workers.get(&key).map(|worker| &worker.spec.instance);
        self.speed_profiles.compare_step(step, &running, now_ms, is_done, instance_of);
        if is_done {
            self.speed_profiles.steps.remove(&step);
        }
    }

    /// Classes of the workers' instances, relative to the median instance of the service.
    pub fn speed_classes(&self) -> BTreeMap<WorkerKey, SpeedClass> {
        let time_of = |instance: &SmolStr| self.speed_profiles.relative_time(instance);
        let mut times: BTreeMap<&SmolStr, Vec<u64>> = BTreeMap::new();
        for worker in self.workers.values() {
            times.entry(&worker.spec.service).or_default().push(time_of(&worker.spec.instance));
        }
        times.values_mut().for_each(|times| times.sort_unstable());
        let class_of = |service, instance| {
            let times = times.get(service).map(Vec::as_slice).unwrap_or_default();
            let median = times.get(times.len() / 2).copied().unwrap_or(1_000).max(1);
            match time_of(instance) * 1_000 / median {
                SLOWER_PERMILLE.. => SpeedClass::Slower,
                ..=FASTER_PERMILLE => SpeedClass::Faster,
                _ => SpeedClass::Typical,
            }
        };
        let workers = self.workers.iter();
        workers
            .map(|(key, worker)| (*key, class_of(&worker.spec.service, &worker.spec.instance)))
            .collect()
    }
}

/// Whether run times of a step's tasks tell the speeds of instances. Members of a gang end together,
/// and tasks that prefer a rack are slower elsewhere.
fn is_comparable(spec: &StepSpec) -> bool {
    spec.runs_to_completion() && !spec.gang && !spec.same_rack && spec.preferred_rack.is_none()
}

/// Whether a run began at the start of its task and not at a checkpoint, and is not a copy that ends
/// only if it is the fastest.
fn is_whole_run(spec: &StepSpec, task: &TaskState, run: u32) -> bool {
    run == 1 || (task.checkpoint.is_empty() && !spec.speculative)
}
