//! What an agent knows of the runs on its worker, and what it has to do about them.
//!
//! The log says which runs the worker should have; the worker's own lists say which it has. Orders
//! may get no answer and be carried out later, so a run counts as gone only when the worker no
//! longer lists it in an answer to a question asked after an order for it was acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::record::EndKind;
use crate::record::RunEnd;
use crate::task_key::RunKey;
use crate::worker::HeldRun;

/// Progress of a run that has nothing left to do.
const DONE_PERCENT: u32 = 100;

/// What a worker said of a run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Number of the end within the worker's incarnation.
    pub number: u64,
    /// The end.
    pub end: RunEnd,
}

/// What a worker said of a run that goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// The run.
    pub run: RunKey,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: SmolStr,
    /// Progress, in percent.
    pub percent: u32,
    /// Of a task that serves, its tail latency in ms; of others, the processor time in use.
    pub load: u32,
}

impl ReportedRun {
    /// Whether it has nothing left to do; a member then waits for the others of its gang.
    pub fn is_done(&self) -> bool {
        self.percent >= DONE_PERCENT
    }
}

/// An order to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Start a run.
    Start(RunKey),
    /// Stop a run.
    Stop(RunKey),
}

/// What the worker answered to an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs, or ran before.
    Started,
    /// The worker refused for good; nothing runs.
    Refused,
    /// A higher run of the task was stopped or ended there.
    Outdated,
    /// The order came too late by the worker's clock; nothing runs.
    TooLate,
    /// Nothing is known.
    Unknown,
}

/// One poll of the worker's lists. Polls are numbered in the order in which they were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(u64);

#[derive(Clone, Debug, Default)]
struct LocalRun {
    is_stop_requested: bool,
    pending_order: Option<Order>,
    /// Set once an order to start was sent that may have been carried out.
    may_be_running: bool,
    /// Set once an order to start got no answer. The worker may carry it out later.
    has_unanswered_start: bool,
    /// Set once the worker refused a later order to start. The run is stopped, and given back then.
    is_refused: bool,
    /// First poll asked for after a start was acknowledged or the run was listed.
    confirmed_from: Option<PollNumber>,
    /// First poll asked for after a stop was acknowledged.
    stopped_from: Option<PollNumber>,
    /// Whether an end was handed out for the log.
    is_end_emitted: bool,
}

/// Runs of one worker incarnation.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunKey, LocalRun>,
    orphans_to_stop: BTreeSet<RunKey>,
    /// Whether the worker listed strays last. They hold room until they have ended.
    has_orphans: bool,
    last_poll: u64,
    has_polled: bool,
    is_draining: bool,
    is_stopping_all: bool,
}

impl RunTable {
    /// Takes over which runs the log wants on the worker.
    pub fn sync(&mut self, wanted: &BTreeMap<RunKey, HeldRun>) {
        self.runs.retain(|run, _| wanted.contains_key(run));
        for (run, held) in wanted {
            let local = self.runs.entry(*run).or_insert_with(|| LocalRun {
                // After a restart the run may have been started by the agent before this one.
                may_be_running: !self.has_polled,
                ..LocalRun::default()
            });
            local.is_stop_requested = held.stop_cause.is_some();
        }
    }

    /// Whether the worker takes no new runs, since it leaves. What was not started is given back.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Stops all runs, since the worker ends.
    pub fn stop_all(&mut self) {
        self.is_stopping_all = true;
    }

    /// Whether there is anything to watch.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.orphans_to_stop.is_empty() && self.has_polled
    }

    /// Orders to send now; each is out until it is answered.
    pub fn next_orders(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        if !self.has_polled {
            return orders;
        }
        for (run, local) in &mut self.runs {
            if local.is_end_emitted {
                continue;
            }
            let is_returned =
                local.is_refused || self.is_draining && local.confirmed_from.is_none();
            let is_stop_requested = local.is_stop_requested || is_returned || self.is_stopping_all;
            if is_stop_requested && !local.may_be_running {
                local.stopped_from.get_or_insert(PollNumber::default());
            }
            // A stop goes out beside an unanswered start: once it is acknowledged, the worker
            // rejects the start.
            let order = if is_stop_requested {
                let is_pending = local.pending_order == Some(Order::Stop(*run));
                (local.stopped_from.is_none() && !is_pending).then_some(Order::Stop(*run))
            } else if local.pending_order.is_some() {
                None
            } else {
                let may_start = local.confirmed_from.is_none() && !self.has_orphans;
                may_start.then_some(Order::Start(*run))
            };
            if let Some(order) = order {
                local.pending_order = Some(order);
                local.may_be_running |= matches!(order, Order::Start(_));
                orders.push(order);
            }
        }
        orders.extend(self.orphans_to_stop.iter().map(|run| Order::Stop(*run)));
        self.orphans_to_stop.clear();
        orders
    }

    /// Takes the answer to an order to start. Gives an end for the log where nothing runs.
    pub fn start_answered(&mut self, run: RunKey, answer: StartAnswer) -> Option<RunEnd> {
        let next_poll = PollNumber(self.last_poll + 1);
        let local = self.runs.get_mut(&run)?;
        if local.pending_order == Some(Order::Start(run)) {
            local.pending_order = None;
        }
        match answer {
            StartAnswer::Started => {
                local.confirmed_from.get_or_insert(next_poll);
                None
            }
            StartAnswer::Refused if local.has_unanswered_start => {
                local.is_refused = true;
                None
            }
            StartAnswer::Refused if !local.is_stop_requested && !local.is_end_emitted => {
                local.is_end_emitted = true;
                Some(end_of(run, EndKind::Refused))
            }
            StartAnswer::Outdated => {
                local.confirmed_from.get_or_insert(next_poll);
                None
            }
            StartAnswer::Unknown => {
                local.has_unanswered_start = true;
                None
            }
            StartAnswer::Refused | StartAnswer::TooLate => None,
        }
    }

    /// Takes the answer to an order to stop.
    pub fn stop_answered(&mut self, run: RunKey, is_acknowledged: bool) {
        let next_poll = PollNumber(self.last_poll + 1);
        let Some(local) = self.runs.get_mut(&run) else { return };
        if local.pending_order == Some(Order::Stop(run)) {
            local.pending_order = None;
        }
        if is_acknowledged {
            local.stopped_from.get_or_insert(next_poll);
        }
    }

    /// Numbers a poll that is about to be asked for.
    pub fn begin_poll(&mut self) -> PollNumber {
        self.last_poll += 1;
        PollNumber(self.last_poll)
    }

    /// Takes what the worker lists. Gives the ends that the log does not have: those listed, and
    /// those of runs that the worker no longer knows.
    pub fn polled(
        &mut self,
        poll: PollNumber,
        running: &[ReportedRun],
        ended: &[ReportedEnd],
    ) -> Vec<RunEnd> {
        self.has_polled = true;
        let listed: BTreeSet<RunKey> = running.iter().map(|entry| entry.run).collect();
        let mut ends = Vec::new();
        for entry in ended {
            if let Some(local) = self.runs.get_mut(&entry.end.run)
                && !local.is_end_emitted
            {
                local.is_end_emitted = true;
                ends.push(entry.end.clone());
            }
        }
        self.has_orphans = listed.iter().any(|run| !self.runs.contains_key(run));
        for run in &listed {
            match self.runs.get_mut(run) {
                None => {
                    self.orphans_to_stop.insert(*run);
                }
                Some(local) => {
                    local.confirmed_from.get_or_insert(PollNumber(poll.0 + 1));
                }
            }
        }
        for (run, local) in &mut self.runs {
            let is_listed = listed.contains(run);
            if is_listed || local.is_end_emitted {
                continue;
            }
            let is_confirmed_gone =
                |since: Option<PollNumber>| since.is_some_and(|since| since <= poll);
            if is_confirmed_gone(local.stopped_from) {
                local.is_end_emitted = true;
                let kind = if local.is_refused { EndKind::Refused } else { EndKind::Stopped };
                ends.push(end_of(*run, kind));
            } else if is_confirmed_gone(local.confirmed_from) {
                local.is_end_emitted = true;
                ends.push(end_of(*run, EndKind::Vanished));
            }
        }
        ends
    }

    /// Runs listed last that the log does not want on the worker, until they are ordered to stop.
    pub fn orphaned_runs(&self) -> impl Iterator<Item = RunKey> {
        self.orphans_to_stop.iter().copied()
    }

    /// Hands out an end again, since the log did not take it.
    pub fn requeue_end(&mut self, run: RunKey) {
        if let Some(local) = self.runs.get_mut(&run) {
            local.is_end_emitted = false;
        }
    }
}

fn end_of(run: RunKey, kind: EndKind) -> RunEnd {
    RunEnd { run, kind, checkpoint: SmolStr::default() }
}
