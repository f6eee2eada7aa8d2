//! What an agent knows of one incarnation of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::progress_watch::ProgressWatch;
use cuminbarrow_taskgraph::progress_watch::RunExpectation;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::run_table::PollNumber;
use cuminbarrow_taskgraph::run_table::ReportedEnd;
use cuminbarrow_taskgraph::run_table::ReportedRun;
use cuminbarrow_taskgraph::run_table::RunTable;
use cuminbarrow_taskgraph::speed_watch::SpeedWatch;
use cuminbarrow_taskgraph::speed_watch::TypicalDuration;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::throttle_control::ThrottleClass;
use cuminbarrow_taskgraph::throttle_control::ThrottleControl;
use cuminbarrow_taskgraph::worker::WorkerKey;
use smol_str::SmolStr;

use crate::lease_grants::LeaseGrants;
use crate::worker_port::RenewalAnswer;

/// What the log is told of the worker's speed.
#[derive(Clone, Debug)]
pub(crate) struct SpeedNews {
    /// Whether the worker is slow.
    pub(crate) is_slow: bool,
    /// How far its runs have come in percent, while it is slow.
    pub(crate) progress: Vec<(RunKey, u8)>,
}

impl SpeedNews {
    pub(crate) fn new(is_slow: bool, running: &[ReportedRun]) -> Self {
        let percent = |entry: &ReportedRun| u8::try_from(entry.percent).unwrap_or(u8::MAX);
        let runs = running.iter().filter(|_| is_slow);
        Self { is_slow, progress: runs.map(|entry| (entry.run, percent(entry))).collect() }
    }
}

/// What belongs to one incarnation of the worker.
#[derive(Default)]
pub(crate) struct WorkerSession {
    pub(crate) worker: Option<WorkerKey>,
    pub(crate) table: RunTable,
    pub(crate) sample: Option<ClockSample>,
    /// When the first question was asked that is not answered, on the boot-time clock in ms.
    pub(crate) unanswered_since_ms: Option<u64>,
    pub(crate) leases: LeaseGrants,
    /// Set once the worker said that it ends. It gets no more leases.
    pub(crate) has_left: bool,
    /// Set while another incarnation answers in its place.
    pub(crate) is_replaced: bool,
    /// Whether the last poll was answered by this incarnation.
    is_answering: bool,
    /// Set once the log is told that the worker is gone. Nothing is ordered from then on.
    pub(crate) is_given_up: bool,
    /// Highest end that the worker listed.
    pub(crate) listed_through: u64,
    /// Ends listed that are not in the log yet, or must not be acknowledged.
    pub(crate) unrecorded: BTreeSet<u64>,
    /// Ends to be written.
    pub(crate) outgoing: Vec<(Option<u64>, RunEnd)>,
    /// Numbers of the ends seen, so that each is handed out once.
    pub(crate) known_ends: BTreeSet<u64>,
    pub(crate) checkpoints: BTreeMap<RunKey, SmolStr>,
    pub(crate) saved: BTreeMap<RunKey, SmolStr>,
    pub(crate) progress: ProgressWatch,
    pub(crate) speed: SpeedWatch,
    /// Whether the worker is slow, to be told to the log.
    pub(crate) speed_news: Option<SpeedNews>,
    pub(crate) pace: ThrottleControl,
    /// Runs that stand still, to be told to the log.
    pub(crate) stalled: Vec<RunKey>,
    pub(crate) is_fenced: bool,
    /// The latest poll that was answered with a list which is not whole. No run counts as gone by the
    /// answer to it, or to one before it.
    pub(crate) unread_through: PollNumber,
}

impl WorkerSession {
    /// What an agent knows of `worker` that may hold a lease until `leased_until_ms`.
    pub(crate) fn new(worker: WorkerKey, leased_until_ms: u64) -> Self {
        let leases = LeaseGrants::new(leased_until_ms);
        Self { worker: Some(worker), leases, ..Self::default() }
    }

    /// Highest number up to which every end is in the log; 0 while it is not certain which incarnation
    /// answers. The next one numbers its ends from 1 and would forget those that nobody read.
    pub(crate) fn acked_through(&self) -> u64 {
        if !self.is_answering {
            return 0;
        }
        self.unrecorded.first().map_or(self.listed_through, |first| first.saturating_sub(1))
    }

    /// A poll brought no list of this incarnation.
    pub(crate) fn note_no_answer(&mut self) {
        self.is_answering = false;
    }

    /// Another incarnation answered.
    pub(crate) fn note_replaced(&mut self) {
        self.is_answering = false;
        self.is_replaced = true;
    }

    /// Whether the worker may get a lease.
    pub(crate) fn may_lease(&self) -> bool {
        !self.has_left && !self.is_given_up && !self.is_replaced
    }

    /// The worker said that it ends.
    pub(crate) fn note_left(&mut self) {
        self.has_left = true;
        self.table.stop_all();
    }

    /// Whether the worker said that it ends, and nothing runs there any more.
    pub(crate) fn is_left_empty(&self) -> bool {
        self.has_left && self.table.is_idle()
    }

    /// Ends that the log did not take are told again.
    pub(crate) fn take_back(&mut self, worker: WorkerKey, outgoing: &[(Option<u64>, RunEnd)]) {
        if self.worker != Some(worker) {
            return;
        }
        for (number, end) in outgoing {
            self.table.requeue_end(end.run);
            if let Some(number) = number {
                self.known_ends.remove(number);
            }
        }
    }

    /// Takes what the worker lists. Ends that the log has to get are put out.
    pub(crate) fn take_lists(&mut self, poll: PollNumber, lists: &RenewalAnswer) {
        self.is_answering = true;
        self.is_replaced = false;
        if lists.has_unreadable_runs {
            self.unread_through = self.unread_through.max(poll);
        }
        // A run that is not listed may be the one that can't be read. As an answer to a poll before
        // all others, the list proves of no run that was ever ordered here that it is gone.
        let poll = if poll <= self.unread_through { PollNumber::default() } else { poll };
        let mut ends = self.table.polled(poll, &lists.running, &lists.ended);
        ends.extend(self.stray_ends(&lists.ended, &ends));
        self.note_ends(&lists.ended, ends);
        // Such an end would be listed again for good, and in time hide those after it.
        for number in lists.unreadable_ends.iter().flatten() {
            self.listed_through = self.listed_through.max(*number);
        }
        for entry in lists.running.iter().filter(|entry| !entry.checkpoint.is_empty()) {
            self.checkpoints.insert(entry.run, entry.checkpoint.clone());
        }
    }

    /// Listed ends of runs that the log no longer has here, but may yet count: those that finished.
    fn stray_ends(&self, listed: &[ReportedEnd], ends: &[RunEnd]) -> Vec<RunEnd> {
        listed
            .iter()
            .filter(|entry| entry.end.kind == EndKind::Done)
            .filter(|entry| !self.known_ends.contains(&entry.number))
            .filter(|entry| !ends.iter().any(|end| end.run == entry.end.run))
            .map(|entry| entry.end.clone())
            .collect()
    }

    /// Notes the ends that the worker listed, and which of them the log has to get.
    fn note_ends(&mut self, listed: &[ReportedEnd], ends: Vec<RunEnd>) {
        for entry in listed {
            self.listed_through = self.listed_through.max(entry.number);
            self.known_ends.insert(entry.number);
        }
        for end in ends {
            let listed = listed.iter().find(|entry| entry.end.run == end.run);
            let number = listed.map(|entry| entry.number);
            if let Some(number) = number {
                self.unrecorded.insert(number);
            }
            self.outgoing.push((number, end));
        }
    }
}

/// What a run is to the others on its worker; nothing where it neither serves nor fills.
pub(crate) fn pace_role_of(
    state: &GraphState,
    entry: &ReportedRun,
) -> Option<(RunKey, ThrottleClass)> {
    let step = entry.run.task.step;
    let spec = state.jobs.get(&step.job)?.step_spec(step.step)?;
    if spec.best_effort {
        Some((entry.run, ThrottleClass::BestEffort))
    } else if spec.latency_target_ms > 0 {
        let role = ThrottleClass::LatencySensitive {
            latency_ms: entry.load,
            target_ms: spec.latency_target_ms,
        };
        Some((entry.run, role))
    } else {
        None
    }
}

/// What a run may be expected to take; nothing for one that has no end.
pub(crate) fn usual_time_of(state: &GraphState, run: RunKey) -> Option<TypicalDuration> {
    let job = state.jobs.get(&run.task.step.job)?;
    let spec = job.step_spec(run.task.step.step)?;
    if !spec.runs_to_completion() {
        return None;
    }
    let usual_ms = state.typical_run_ms(job, spec);
    let estimate_ms = u64::from(spec.estimate_ms);
    Some(TypicalDuration {
        shorter_ms: usual_ms.min(estimate_ms),
        longer_ms: usual_ms.max(estimate_ms),
    })
}

/// What is expected of a run.
pub(crate) fn outlook_of(state: &GraphState, run: RunKey) -> Option<RunExpectation> {
    let spec = state.jobs.get(&run.task.step.job)?.step_spec(run.task.step.step)?;
    Some(RunExpectation {
        estimate_ms: spec.estimate_ms,
        is_gang: spec.gang,
        is_open_ended: !spec.runs_to_completion(),
    })
}
