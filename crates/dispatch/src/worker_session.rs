//! State that an agent holds about one incarnation of its worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_state::JobState;
use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::lease_terms::LEASE_EXPIRY_MARGIN_MS;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::progress_watch::ProgressWatch;
use cuminbarrow_taskgraph::progress_watch::RunExpectation;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::MAX_RUNS_PER_RECORD;
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
use crate::lease_obstacle::LeaseObstacle;
use crate::worker_port::RenewalAnswer;

/// A change of the worker's speed that is to be recorded in the log.
#[derive(Clone, Debug)]
pub(crate) struct SpeedUpdate {
    /// Whether the worker is slow.
    pub(crate) is_slow: bool,
    /// Progress of runs in percent, up to what one record holds; empty unless the worker is slow.
    pub(crate) progress: Vec<(RunKey, u8)>,
}

impl SpeedUpdate {
    pub(crate) fn new(is_slow: bool, running: &[ReportedRun]) -> Self {
        let percent = |entry: &ReportedRun| u8::try_from(entry.percent).unwrap_or(u8::MAX);
        let runs = running.iter().filter(|_| is_slow).take(MAX_RUNS_PER_RECORD);
        Self { is_slow, progress: runs.map(|entry| (entry.run, percent(entry))).collect() }
    }
}

/// State of one incarnation of the worker.
#[derive(Default)]
pub(crate) struct WorkerSession {
    pub(crate) worker: Option<WorkerKey>,
    pub(crate) table: RunTable,
    pub(crate) clock_sample: Option<ClockSample>,
    /// When the first unanswered poll was sent, on the boot-time clock in ms.
    pub(crate) unanswered_since_ms: Option<u64>,
    pub(crate) leases: LeaseGrants,
    /// What the starts that wait for a lease were last logged to wait for; `None` if none waits.
    pub(crate) logged_obstacle: Option<LeaseObstacle>,
    /// Whether the worker's data centre was evacuated when that was last logged.
    logged_evacuation: bool,
    /// Set once the worker has announced its shutdown. It gets no more leases.
    pub(crate) has_left: bool,
    /// Set while another incarnation answers at the worker's address.
    pub(crate) is_replaced: bool,
    /// Whether the last poll was answered by this incarnation.
    is_answering: bool,
    /// Set once the worker's removal is being written to the log. No orders are sent from then on.
    pub(crate) is_being_removed: bool,
    /// Highest number of a listed run end.
    pub(crate) listed_through: u64,
    /// Numbers of listed ends that must not be acknowledged: they are not in the log yet, or their runs
    /// were superseded.
    pub(crate) unrecorded: BTreeSet<u64>,
    /// Run ends to be recorded in the log, with their numbers if the worker listed them.
    pub(crate) outgoing_ends: Vec<(Option<u64>, RunEnd)>,
    /// Numbers of the ends already processed, so that each is recorded only once.
    pub(crate) known_ends: BTreeSet<u64>,
    pub(crate) new_checkpoints: BTreeMap<RunKey, SmolStr>,
    pub(crate) saved_checkpoints: BTreeMap<RunKey, SmolStr>,
    pub(crate) progress: ProgressWatch,
    pub(crate) speed: SpeedWatch,
    /// Change of the worker's speed to be recorded in the log.
    pub(crate) speed_update: Option<SpeedUpdate>,
    pub(crate) throttle: ThrottleControl,
    /// Stalled runs to be recorded in the log.
    pub(crate) stalled: Vec<RunKey>,
    /// Started runs to be recorded in the log, one for each job that has not started so far.
    pub(crate) started: BTreeMap<JobId, RunKey>,
    /// Set when the worker has rejected this agent's fencing token as outdated; the agent then
    /// registers the worker again.
    pub(crate) is_fenced: bool,
    /// Numbers of listed ends whose runs were superseded. They are among the unrecorded ones.
    pub(crate) superseded: BTreeSet<u64>,
    /// Whether the last answer may have omitted ends.
    may_omit_ends: bool,
    /// The latest poll that was answered with an incomplete list of runs. Neither its answer nor those
    /// to earlier polls show that a run is gone.
    pub(crate) incomplete_through: PollNumber,
}

impl WorkerSession {
    /// Creates the state of `worker`, which may hold a lease until `leased_until_ms`.
    pub(crate) fn new(worker: WorkerKey, leased_until_ms: u64) -> Self {
        let leases = LeaseGrants::new(leased_until_ms);
        Self { worker: Some(worker), leases, ..Self::default() }
    }

    /// Records that any run may have an unanswered order to start, by an earlier agent, sent at
    /// `now_ms` at the latest.
    pub(crate) fn suspect_unanswered_starts(&mut self, now_ms: u64) {
        for run in self.table.runs() {
            self.leases.record_unanswered_start(run, now_ms);
        }
    }

    /// Latest end of all leases that the worker may have been granted, on the boot-time clock in ms.
    pub(crate) fn leased_until_ms(&self, lease: LeaseTerms) -> u64 {
        self.leases.until_ms(lease, |run| self.table.is_assigned(run))
    }

    /// Highest number up to which all ends may be acknowledged; 0 while it is uncertain which
    /// incarnation answers. The next incarnation numbers its ends from 1 again and would drop ends that
    /// were never read.
    pub(crate) fn acked_through(&self) -> u64 {
        if !self.is_answering {
            return 0;
        }
        self.unrecorded.first().map_or(self.listed_through, |first| first.saturating_sub(1))
    }

    /// Records that a poll got no answer.
    pub(crate) fn record_no_answer(&mut self) {
        self.is_answering = false;
    }

    /// Records that another incarnation answered a poll.
    pub(crate) fn record_replaced(&mut self) {
        self.is_answering = false;
        self.is_replaced = true;
    }

    /// What keeps the worker from being granted a lease, whatever the log says.
    pub(crate) fn lease_obstacle(&self) -> Option<LeaseObstacle> {
        if self.is_being_removed {
            Some(LeaseObstacle::BeingRemoved)
        } else if self.has_left {
            Some(LeaseObstacle::HasLeft)
        } else if self.is_replaced {
            Some(LeaseObstacle::Replaced)
        } else if self.has_blocked_ends() {
            Some(LeaseObstacle::EndsBlocked)
        } else {
            None
        }
    }

    /// Whether a superseded end, which can't be acknowledged before the worker's lease has lapsed, keeps
    /// later ends from being listed.
    fn has_blocked_ends(&self) -> bool {
        let first = self.unrecorded.first();
        self.may_omit_ends && first.is_some_and(|first| self.superseded.contains(first))
    }

    /// Allows superseded ends that hide later ones to be acknowledged once the worker's lease has lapsed.
    /// An end counts as taken note of only within the lease in which it came.
    pub(crate) fn release_blocked_ends(&mut self, lease: LeaseTerms, now_ms: u64) {
        let lapsed_ms = self.leased_until_ms(lease).saturating_add(LEASE_EXPIRY_MARGIN_MS);
        if self.has_blocked_ends() && now_ms >= lapsed_ms {
            let released = std::mem::take(&mut self.superseded);
            self.unrecorded.retain(|number| !released.contains(number));
        }
    }

    /// Begins the worker's shutdown: stops all its runs.
    pub(crate) fn begin_leave(&mut self) {
        self.has_left = true;
        self.table.stop_all();
    }

    /// Logs when starts begin or cease to be held back because the worker's data centre is evacuated.
    pub(crate) fn log_evacuation(&mut self, is_evacuated: bool) {
        if self.logged_evacuation == is_evacuated {
            return;
        }
        self.logged_evacuation = is_evacuated;
        let worker = self.worker.unwrap_or_default();
        if is_evacuated {
            log::info!(worker:% = worker; "starts are held back: the data centre is evacuated");
        } else {
            log::info!(worker:% = worker; "starts are held back no longer: the evacuation is withdrawn");
        }
    }

    /// Whether the worker has announced its shutdown and runs nothing any more.
    pub(crate) fn has_left_idle(&self) -> bool {
        self.has_left && self.table.is_idle()
    }

    /// Marks ends that the log did not accept as not recorded, so that later answers of the worker
    /// queue them again.
    pub(crate) fn requeue_ends(&mut self, worker: WorkerKey, outgoing: &[(Option<u64>, RunEnd)]) {
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

    /// Queues a started run to be recorded in the log, unless its job has started before.
    pub(crate) fn record_start(&mut self, state: &GraphState, run: RunKey) {
        let job = run.task.step.job;
        if state.jobs.get(&job).is_some_and(JobState::is_pending) {
            self.started.insert(job, run);
        }
    }

    /// Processes the worker's lists of runs, and queues the ends that have to be recorded in the log.
    pub(crate) fn apply_renewal_answer(&mut self, poll: PollNumber, answer: &RenewalAnswer) {
        self.is_answering = true;
        self.is_replaced = false;
        self.may_omit_ends = answer.may_omit_ends();
        if answer.has_unreadable_runs || self.may_omit_ends {
            self.incomplete_through = self.incomplete_through.max(poll);
        }
        // A run that is not listed may be the one whose name can't be parsed, or may have ended without
        // being listed yet. The list is therefore processed as the answer to a poll before all others,
        // which can't prove that a run that was ever ordered here is gone.
        let poll = if poll <= self.incomplete_through { PollNumber::default() } else { poll };
        let mut ends = self.table.polled(poll, &answer.running, &answer.ended);
        let orphaned = self.orphaned_ends(&answer.ended, &ends);
        for end in &orphaned {
            log::warn!(run:% = end.run; "an abandoned run finished");
        }
        ends.extend(orphaned);
        self.record_ends(&answer.ended, ends);
        // An end that can't be parsed is acknowledged. Otherwise the worker would list it forever, and
        // it would eventually hide later ends.
        for number in answer.unreadable_ends.iter().flatten() {
            self.listed_through = self.listed_through.max(*number);
        }
        for entry in answer.running.iter().filter(|entry| !entry.checkpoint.is_empty()) {
            self.new_checkpoints.insert(entry.run, entry.checkpoint.clone());
        }
    }

    /// Listed ends of orphaned runs that finished. The log no longer places these runs here, but may
    /// still accept their results.
    fn orphaned_ends(&self, listed: &[ReportedEnd], ends: &[RunEnd]) -> Vec<RunEnd> {
        listed
            .iter()
            .filter(|entry| entry.end.kind == EndKind::Done)
            .filter(|entry| !self.known_ends.contains(&entry.number))
            .filter(|entry| !ends.iter().any(|end| end.run == entry.end.run))
            .map(|entry| entry.end.clone())
            .collect()
    }

    /// Records the ends that the worker listed, and queues those that have to be recorded in the log.
    fn record_ends(&mut self, listed: &[ReportedEnd], ends: Vec<RunEnd>) {
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
            self.outgoing_ends.push((number, end));
        }
    }
}

/// Throttle class of a run; `None` if it is neither best-effort nor latency-sensitive.
pub(crate) fn throttle_class_of(
    state: &GraphState,
    entry: &ReportedRun,
) -> Option<(RunKey, ThrottleClass)> {
    let step = entry.run.task.step;
    let spec = state.jobs.get(&step.job)?.step_spec(step.step)?;
    if spec.best_effort {
        Some((entry.run, ThrottleClass::BestEffort))
    } else if spec.latency_target_ms > 0 {
        let class = ThrottleClass::LatencySensitive {
            latency_ms: entry.load,
            target_ms: spec.latency_target_ms,
        };
        Some((entry.run, class))
    } else {
        None
    }
}

/// Typical duration of a run; `None` for one that does not run to completion.
pub(crate) fn typical_duration_of(state: &GraphState, run: RunKey) -> Option<TypicalDuration> {
    let job = state.jobs.get(&run.task.step.job)?;
    let spec = job.step_spec(run.task.step.step)?;
    if !spec.runs_to_completion() {
        return None;
    }
    let typical_ms = state.typical_run_ms(job, spec);
    let estimate_ms = u64::from(spec.estimate_ms);
    Some(TypicalDuration {
        shorter_ms: typical_ms.min(estimate_ms),
        longer_ms: typical_ms.max(estimate_ms),
    })
}

/// Expected behaviour of a run, against which stalls are detected.
pub(crate) fn expectation_of(state: &GraphState, run: RunKey) -> Option<RunExpectation> {
    let spec = state.jobs.get(&run.task.step.job)?.step_spec(run.task.step.step)?;
    Some(RunExpectation {
        estimate_ms: spec.estimate_ms,
        is_gang: spec.gang,
        is_open_ended: !spec.runs_to_completion(),
    })
}
