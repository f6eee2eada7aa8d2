//! Tracks what actually runs on every worker and records violations of the invariants: a task
//! never runs twice, and no worker exceeds its capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::TaskKey;
use tokio::time::Instant;

/// Unit of work that must not run twice: a task, or a gang as a whole (then the key of its first
/// task).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkUnit(TaskKey);

/// Properties of a job that the observer needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobInfo {
    pub(crate) is_gang: bool,
    pub(crate) resources: ResourceAmounts,
}

#[derive(Debug)]
struct Completion {
    at: Instant,
    is_acknowledged: bool,
}

/// Index of a worker's host in the fleet.
pub(crate) type HostIndex = usize;

/// Record of all starts and ends in the fleet.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    pub(crate) jobs: BTreeMap<u64, JobInfo>,
    running: BTreeMap<HostIndex, BTreeSet<RunKey>>,
    completions: BTreeMap<WorkUnit, Vec<Completion>>,
    starts: BTreeMap<WorkUnit, Vec<(Instant, RunKey)>>,
    pub(crate) violations: Vec<String>,
    /// Log of events, one line each, with the time since the first event.
    pub(crate) history: Vec<String>,
    first_event_at: Option<Instant>,
}

impl Observer {
    fn job_info(&self, run: RunKey) -> JobInfo {
        self.jobs[&run.task.step.job.0]
    }

    /// Adds an event to the history with the current time.
    pub(crate) fn record_event(&mut self, what: &str) {
        let first_event_at = *self.first_event_at.get_or_insert_with(Instant::now);
        let line = format!("{:7.3} {what}", first_event_at.elapsed().as_secs_f64());
        log::info!(target: "cuminbarrow_dispatch::fleet", "{line}");
        self.history.push(line);
    }

    fn record_violation(&mut self, what: String) {
        self.record_event(&what);
        self.violations.push(what);
    }

    /// Whether a run fits on a host beside what actually runs there.
    pub(crate) fn has_capacity(
        &self,
        host: HostIndex,
        run: RunKey,
        capacity: ResourceAmounts,
    ) -> bool {
        let runs = self.running.get(&host).into_iter().flatten().chain([&run]);
        let held = runs.map(|run| self.job_info(*run).resources);
        capacity.covers(&held.fold(ResourceAmounts::default(), |sum, one| sum.plus(&one)))
    }

    fn unit_of(&self, run: RunKey) -> WorkUnit {
        let is_gang = self.job_info(run).is_gang;
        WorkUnit(if is_gang { run.task.step.task(0) } else { run.task })
    }

    pub(crate) fn record_start(&mut self, host: HostIndex, run: RunKey, capacity: ResourceAmounts) {
        self.record_event(&format!("{run} starts on {host}"));
        let unit = self.unit_of(run);
        let is_gang = self.job_info(run).is_gang;
        let hosts = self.running.iter();
        let active = hosts.flat_map(|(other, runs)| runs.iter().map(move |run| (*other, *run)));
        let duplicates = active
            .filter(|(_, active)| self.unit_of(*active) == unit)
            .filter(|(_, active)| !is_gang || active.run != run.run || active.task == run.task);
        let violations: Vec<String> = duplicates
            .map(|(other, active)| {
                format!("TWICE: {run} started on {host} while {active} runs on {other}")
            })
            .collect();
        violations.into_iter().for_each(|violation| self.record_violation(violation));
        let is_same_gang_run = |started: &RunKey| is_gang && started.run == run.run;
        let completions = self.completions.entry(unit).or_default();
        if completions.iter().any(|completion| completion.is_acknowledged) {
            self.record_violation(format!(
                "TWICE: {run} started on {host} after it was done and acknowledged"
            ));
        }
        let starts = self.starts.entry(unit).or_default();
        if !starts.iter().any(|(_, started)| is_same_gang_run(started)) {
            starts.push((Instant::now(), run));
        }
        if !self.has_capacity(host, run, capacity) {
            self.record_violation(format!("LIMIT: {run} started on {host} without free capacity"));
        }
        self.running.entry(host).or_default().insert(run);
    }

    pub(crate) fn record_end(&mut self, host: HostIndex, run: RunKey, end_kind: &str) {
        self.record_event(&format!("{run} ends on {host}: {end_kind}"));
        self.running.entry(host).or_default().remove(&run);
    }

    pub(crate) fn record_completion(&mut self, run: RunKey) -> Instant {
        let at = Instant::now();
        let unit = self.unit_of(run);
        self.completions.entry(unit).or_default().push(Completion { at, is_acknowledged: false });
        at
    }

    /// Records that a completion was acknowledged to a worker whose lease has not lapsed since.
    /// Later starts of the same work are violations.
    pub(crate) fn record_acknowledgement(&mut self, run: RunKey, at: Instant) {
        let unit = self.unit_of(run);
        for completion in self
            .completions
            .entry(unit)
            .or_default()
            .iter_mut()
            .filter(|completion| completion.at == at)
        {
            completion.is_acknowledged = true;
        }
        let starts = self.starts.get(&unit).cloned().unwrap_or_default();
        for (_, later) in starts.iter().filter(|(started, later)| *started > at && *later != run) {
            self.record_violation(format!(
                "TWICE: {later} started after {run} was done, which was acknowledged later"
            ));
        }
    }

    /// Number of starts of a job's tasks. The members of one run of a gang count once.
    pub(crate) fn starts_of(&self, job: u64) -> usize {
        let of_job = |unit: &&WorkUnit| unit.0.step.job.0 == job;
        self.starts.keys().filter(of_job).map(|unit| self.starts[unit].len()).sum()
    }

    /// Runs that are actually active on a host.
    pub(crate) fn running_at(&self, host: HostIndex) -> Vec<RunKey> {
        self.running.get(&host).into_iter().flatten().copied().collect()
    }
}
