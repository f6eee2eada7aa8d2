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
pub(crate) struct KnownWork {
    pub(crate) is_gang: bool,
    pub(crate) room: ResourceAmounts,
}

#[derive(Debug)]
struct DoneMark {
    at: Instant,
    is_acknowledged: bool,
}

/// Index of a worker's host in the fleet.
pub(crate) type PlaceIndex = usize;

/// Record of all starts and ends in the fleet.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    pub(crate) work: BTreeMap<u64, KnownWork>,
    running: BTreeMap<PlaceIndex, BTreeSet<RunKey>>,
    done: BTreeMap<WorkUnit, Vec<DoneMark>>,
    starts: BTreeMap<WorkUnit, Vec<(Instant, RunKey)>>,
    pub(crate) faults: Vec<String>,
    /// Log of events, one line each, with the time since the first event.
    pub(crate) history: Vec<String>,
    since: Option<Instant>,
}

impl Observer {
    fn known(&self, run: RunKey) -> KnownWork {
        self.work[&run.task.step.job.0]
    }

    /// Adds an event to the history with the current time.
    pub(crate) fn note(&mut self, what: &str) {
        let since = *self.since.get_or_insert_with(Instant::now);
        let line = format!("{:7.3} {what}", since.elapsed().as_secs_f64());
        log::info!(target: "cuminbarrow_dispatch::fleet", "{line}");
        self.history.push(line);
    }

    fn fault(&mut self, what: String) {
        self.note(&what);
        self.faults.push(what);
    }

    /// Whether a run fits on a host beside what actually runs there.
    pub(crate) fn has_room(&self, place: PlaceIndex, run: RunKey, room: ResourceAmounts) -> bool {
        let runs = self.running.get(&place).into_iter().flatten().chain([&run]);
        let held = runs.map(|run| self.known(*run).room);
        room.covers(&held.fold(ResourceAmounts::default(), |sum, one| sum.plus(&one)))
    }

    fn unit_of(&self, run: RunKey) -> WorkUnit {
        let is_gang = self.known(run).is_gang;
        WorkUnit(if is_gang { run.task.step.task(0) } else { run.task })
    }

    pub(crate) fn began(&mut self, place: PlaceIndex, run: RunKey, room: ResourceAmounts) {
        self.note(&format!("{run} starts on {place}"));
        let unit = self.unit_of(run);
        let is_gang = self.known(run).is_gang;
        let elsewhere = self.running.iter();
        let beside = elsewhere.flat_map(|(other, runs)| runs.iter().map(move |run| (*other, *run)));
        let doubles = beside
            .filter(|(_, beside)| self.unit_of(*beside) == unit)
            .filter(|(_, beside)| !is_gang || beside.run != run.run || beside.task == run.task);
        let faults: Vec<String> = doubles
            .map(|(other, beside)| {
                format!("TWICE: {run} started on {place} while {beside} runs on {other}")
            })
            .collect();
        faults.into_iter().for_each(|fault| self.fault(fault));
        let is_gang_mate = |begun: &RunKey| is_gang && begun.run == run.run;
        let done = self.done.entry(unit).or_default();
        if done.iter().any(|mark| mark.is_acknowledged) {
            self.fault(format!(
                "TWICE: {run} started on {place} after it was done and acknowledged"
            ));
        }
        let starts = self.starts.entry(unit).or_default();
        if !starts.iter().any(|(_, begun)| is_gang_mate(begun)) {
            starts.push((Instant::now(), run));
        }
        if !self.has_room(place, run, room) {
            self.fault(format!("LIMIT: {run} started on {place} without free capacity"));
        }
        self.running.entry(place).or_default().insert(run);
    }

    pub(crate) fn ended(&mut self, place: PlaceIndex, run: RunKey, how: &str) {
        self.note(&format!("{run} ends on {place}: {how}"));
        self.running.entry(place).or_default().remove(&run);
    }

    pub(crate) fn done(&mut self, run: RunKey) -> Instant {
        let at = Instant::now();
        let unit = self.unit_of(run);
        self.done.entry(unit).or_default().push(DoneMark { at, is_acknowledged: false });
        at
    }

    /// Records that a completion was acknowledged to a worker whose lease has not lapsed since.
    /// Later starts of the same work are violations.
    pub(crate) fn acknowledged(&mut self, run: RunKey, at: Instant) {
        let unit = self.unit_of(run);
        for mark in self.done.entry(unit).or_default().iter_mut().filter(|mark| mark.at == at) {
            mark.is_acknowledged = true;
        }
        let starts = self.starts.get(&unit).cloned().unwrap_or_default();
        for (_, later) in starts.iter().filter(|(begun, later)| *begun > at && *later != run) {
            self.fault(format!(
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
    pub(crate) fn running_at(&self, place: PlaceIndex) -> Vec<RunKey> {
        self.running.get(&place).into_iter().flatten().copied().collect()
    }
}
