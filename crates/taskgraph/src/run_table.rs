//! The runs that an agent's worker has and should have, and the orders that follow from that.
//!
//! The log states which runs the worker should have, and the worker's own lists state which it has.
//! An order may time out and still be carried out later. A run therefore counts as gone only if the
//! worker no longer lists it in a poll that was sent after an order for the run was acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::record::EndKind;
use crate::record::RunEnd;
use crate::task_key::RunKey;
use crate::worker::HeldRun;

/// Progress of a run that has finished its work, in percent.
const DONE_PERCENT: u32 = 100;

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Number of the end, unique within the worker's incarnation.
    pub number: u64,
    /// How the run ended.
    pub end: RunEnd,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// Key of the run.
    pub run: RunKey,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress, in percent.
    pub percent: u32,
    /// Tail latency in ms for latency-sensitive tasks, processor time in use for others.
    pub load: u32,
}

impl ReportedRun {
    /// Whether the run has finished its work. A gang member then waits for the other members.
    pub fn is_done(&self) -> bool {
        self.percent >= DONE_PERCENT
    }
}

/// Order to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    /// Start a run.
    Start(RunKey),
    /// Stop a run.
    Stop(RunKey),
}

/// Outcome of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is running, or ran before.
    Started,
    /// The worker refused the order permanently; nothing runs.
    Refused,
    /// A later run of the same task was already stopped or ended on this worker.
    Outdated,
    /// The order's deadline had passed by the worker's clock; nothing runs.
    TooLate,
    /// The order was certainly not sent.
    NotSent,
    /// The outcome is unknown, for example after a timeout.
    Unknown,
}

/// Number of a poll of the worker's lists. Polls are numbered in the order in which they are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(u64);

#[derive(Clone, Debug, Default)]
struct LocalRun {
    is_stop_requested: bool,
    pending_order: Option<Order>,
    /// Whether an order to start that is no longer in flight may have been carried out.
    may_be_running: bool,
    /// Number of orders to start in flight.
    starts_in_flight: u32,
    /// Whether an order to start got no answer. The worker may still carry it out.
    has_unanswered_start: bool,
    /// Whether the worker refused an order to start while another one may still be carried out. The run
    /// is stopped first and then reported as refused.
    is_refused: bool,
    /// First poll sent after a start was acknowledged or the run was listed. A run that is missing
    /// from this poll or a later one is gone.
    confirmed_from: Option<PollNumber>,
    /// First poll sent after a stop was acknowledged; 0 if no order to start was ever sent.
    stopped_from: Option<PollNumber>,
    /// Whether an end of the run was returned to the caller for the log.
    is_end_emitted: bool,
    /// Whether the last poll listed the run as running.
    is_listed: bool,
}

impl LocalRun {
    /// Whether the run is to be stopped: the log requests it, the run must not start any more because
    /// the worker refused it or is draining, or the worker is shutting down.
    fn is_unwanted(&self, is_draining: bool, is_stopping_all: bool) -> bool {
        let must_not_start = self.is_refused || is_draining && self.confirmed_from.is_none();
        self.is_stop_requested || must_not_start || is_stopping_all
    }
}

/// Runs of one worker incarnation.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunKey, LocalRun>,
    orphans_to_stop: BTreeSet<RunKey>,
    /// Whether the last poll listed orphaned runs. They hold resources until they have ended.
    has_orphans: bool,
    last_poll: u64,
    has_polled: bool,
    is_draining: bool,
    is_stopping_all: bool,
}

impl RunTable {
    /// Updates the runs that the log assigns to the worker.
    pub fn sync(&mut self, assigned: &BTreeMap<RunKey, HeldRun>) {
        self.runs.retain(|run, _| assigned.contains_key(run));
        for (run, held) in assigned {
            let local = self.runs.entry(*run).or_insert_with(|| LocalRun {
                // After a restart the previous agent may already have started the run.
                may_be_running: !self.has_polled,
                ..LocalRun::default()
            });
            local.is_stop_requested = held.stop_cause.is_some();
        }
    }

    /// Sets whether the worker is draining. Runs that are not known to have started are then
    /// stopped and reported, so that they can be placed elsewhere.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Stops all runs because the worker is shutting down.
    pub fn stop_all(&mut self) {
        self.is_stopping_all = true;
    }

    /// Runs that the log assigns to the worker.
    pub fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.runs.keys().copied()
    }

    /// Whether the log assigns `run` to the worker.
    pub fn is_assigned(&self, run: RunKey) -> bool {
        self.runs.contains_key(&run)
    }

    /// Whether the worker neither has nor should have any runs.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.orphans_to_stop.is_empty() && self.has_polled
    }

    /// Whether a run is to be stopped that the worker did not list in the last poll. Nothing may end
    /// there that would wake a waiting poll, but only a later poll shows that the run is gone.
    pub fn awaits_proof(&self) -> bool {
        self.runs.values().any(|local| {
            local.is_unwanted(self.is_draining, self.is_stopping_all)
                && !local.is_listed
                && !local.is_end_emitted
        })
    }

    /// Orders to send now. An order is not repeated while its answer is pending.
    pub fn next_orders(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        if !self.has_polled {
            return orders;
        }
        for (run, local) in &mut self.runs {
            if local.is_end_emitted {
                continue;
            }
            let is_unwanted = local.is_unwanted(self.is_draining, self.is_stopping_all);
            if is_unwanted && !local.may_be_running && local.starts_in_flight == 0 {
                local.stopped_from.get_or_insert(PollNumber::default());
            }
            // A stop is sent even while a start is unanswered: once the stop is acknowledged, the
            // worker rejects the start.
            let order = if is_unwanted {
                let is_pending = local.pending_order == Some(Order::Stop(*run));
                (local.stopped_from.is_none() && !is_pending).then_some(Order::Stop(*run))
            } else if local.pending_order.is_some() {
                None
            } else {
                // The end of a run that needs no stop order is reported with the next poll, even if it is
                // wanted again by then.
                let is_over = local.confirmed_from.is_some() || local.stopped_from.is_some();
                (!is_over && !self.has_orphans).then_some(Order::Start(*run))
            };
            if let Some(order) = order {
                local.pending_order = Some(order);
                local.starts_in_flight += u32::from(matches!(order, Order::Start(_)));
                orders.push(order);
            }
        }
        orders.extend(self.orphans_to_stop.iter().map(|run| Order::Stop(*run)));
        self.orphans_to_stop.clear();
        orders
    }

    /// Records the outcome of an order to start. Returns an end to report if the run will never
    /// start.
    pub fn start_answered(&mut self, run: RunKey, answer: StartAnswer) -> Option<RunEnd> {
        let next_poll = PollNumber(self.last_poll + 1);
        let local = self.runs.get_mut(&run)?;
        if local.pending_order == Some(Order::Start(run)) {
            local.pending_order = None;
        }
        local.starts_in_flight = local.starts_in_flight.saturating_sub(1);
        local.may_be_running |= answer != StartAnswer::NotSent;
        match answer {
            StartAnswer::Started => {
                local.confirmed_from.get_or_insert(next_poll);
                None
            }
            StartAnswer::Refused if local.has_unanswered_start || local.starts_in_flight > 0 => {
                local.is_refused = true;
                None
            }
            StartAnswer::Refused if !local.is_stop_requested && !local.is_end_emitted => {
                local.is_end_emitted = true;
                Some(end_of(run, EndKind::Refused))
            }
            // The run can't start any more, so a later poll finds it missing.
            StartAnswer::Outdated => {
                local.confirmed_from.get_or_insert(next_poll);
                None
            }
            StartAnswer::Unknown => {
                local.has_unanswered_start = true;
                None
            }
            StartAnswer::Refused | StartAnswer::TooLate | StartAnswer::NotSent => None,
        }
    }

    /// Records the outcome of an order to stop.
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

    /// Assigns the number of a poll that is about to be sent.
    pub fn begin_poll(&mut self) -> PollNumber {
        self.last_poll += 1;
        PollNumber(self.last_poll)
    }

    /// Records the worker's lists. Returns the ends that are not in the log yet: those that the
    /// worker lists, and those of runs that the worker no longer knows.
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
            local.is_listed = listed.contains(run);
            if local.is_listed || local.is_end_emitted {
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

    /// Orphaned runs, which the last poll listed although the log does not assign them to the
    /// worker. Runs that were already ordered to stop are left out.
    pub fn orphaned_runs(&self) -> impl Iterator<Item = RunKey> {
        self.orphans_to_stop.iter().copied()
    }

    /// Allows an end to be returned again, because it could not be written to the log.
    pub fn requeue_end(&mut self, run: RunKey) {
        if let Some(local) = self.runs.get_mut(&run) {
            local.is_end_emitted = false;
        }
    }
}

fn end_of(run: RunKey, kind: EndKind) -> RunEnd {
    RunEnd { run, kind, checkpoint: SmolStr::default() }
}
