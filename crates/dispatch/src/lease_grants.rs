//! Upper bound of the leases that a worker may hold.
//!
//! A lease counts as granted before the order that carries it is sent, because an order without an
//! answer may have been carried out. Only an order that was certainly not sent grants no lease.
//!
//! An order without an answer may also be carried out later. Should the worker start again under the
//! same name, its next incarnation may do so too: its clock and fencing token started over, so neither
//! rejects the order. While a run may still begin in this way, its lease is bounded only by when the order
//! can arrive.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::task_key::RunKey;

/// Maximum time after which an order without an answer is carried out, in ms.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// Identifies an order in flight that carries a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantNumber(u64);

/// What is known of an order that carried a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It was certainly not sent.
    NotSent,
    /// The worker answered it.
    Answered,
    /// It may have been carried out, or may be later.
    Unanswered,
}

/// An order that carries a lease. Times are on the boot-time clock in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseOrder {
    /// The run that the order starts; `None` if it starts none.
    pub(crate) started_run: Option<RunKey>,
    /// When the order is sent.
    pub(crate) sent_ms: u64,
    /// End of its lease; 0 if it carries none.
    pub(crate) until_ms: u64,
}

/// Leases granted to one incarnation of a worker.
#[derive(Debug, Default)]
pub(crate) struct LeaseGrants {
    /// Latest end of the leases whose orders are no longer in flight, on the boot-time clock in ms.
    settled_until_ms: u64,
    in_flight: BTreeMap<GrantNumber, LeaseOrder>,
    last_number: u64,
    /// When the last unanswered order with a lease was sent, on the boot-time clock in ms.
    unanswered_ms: u64,
    /// Runs that an unanswered order may still start, with the time when it was sent.
    unanswered_starts: BTreeMap<RunKey, u64>,
}

impl LeaseGrants {
    /// Starts with leases that may last until `until_ms`.
    pub(crate) fn new(until_ms: u64) -> Self {
        Self { settled_until_ms: until_ms, ..Self::default() }
    }

    /// Records an order with a lease, before it is sent.
    pub(crate) fn grant(&mut self, order: LeaseOrder) -> GrantNumber {
        self.last_number += 1;
        let grant = GrantNumber(self.last_number);
        self.in_flight.insert(grant, order);
        grant
    }

    /// Records what became of an order.
    pub(crate) fn settle(&mut self, grant: GrantNumber, delivery: Delivery) {
        let Some(order) = self.in_flight.remove(&grant) else { return };
        if delivery != Delivery::NotSent {
            self.record(order.until_ms);
        }
        if delivery == Delivery::Unanswered {
            self.record_unanswered(order);
        }
    }

    /// Records a lease that may last until `until_ms`.
    pub(crate) fn record(&mut self, until_ms: u64) {
        self.settled_until_ms = self.settled_until_ms.max(until_ms);
    }

    fn record_unanswered(&mut self, order: LeaseOrder) {
        if order.until_ms == 0 {
            return;
        }
        self.unanswered_ms = self.unanswered_ms.max(order.sent_ms);
        if let Some(run) = order.started_run {
            self.record_unanswered_start(run, order.sent_ms);
        }
    }

    /// Records that an order to start `run`, sent at `sent_ms` at the latest, may have no answer.
    pub(crate) fn record_unanswered_start(&mut self, run: RunKey, sent_ms: u64) {
        self.unanswered_ms = self.unanswered_ms.max(sent_ms);
        self.unanswered_starts.insert(run, sent_ms);
    }

    /// Records that the incarnation answered an order sent at `sent_ms`. Orders that could not be
    /// carried out any more by then are over.
    pub(crate) fn record_answer(&mut self, sent_ms: u64) {
        self.unanswered_starts
            .retain(|_, start_ms| sent_ms < start_ms.saturating_add(MAX_ORDER_DELAY_MS));
    }

    /// Takes over the unanswered orders to the previous incarnation of the worker, which the next one
    /// may carry out as well.
    pub(crate) fn inherit(&mut self, earlier: Self) {
        self.unanswered_ms = earlier.unanswered_ms;
        self.unanswered_starts = earlier.unanswered_starts;
        for order in earlier.in_flight.into_values() {
            self.record_unanswered(order);
        }
    }

    /// Latest end of all leases that may have been granted, on the boot-time clock in ms. Runs for
    /// which `is_held` is false have ended as far as the log is concerned.
    pub(crate) fn until_ms<H>(&self, lease: LeaseTerms, is_held: H) -> u64
    where
        H: Fn(RunKey) -> bool,
    {
        let in_flight = self.in_flight.values().filter(|order| order.until_ms > 0);
        let granted_ms =
            in_flight.clone().map(|order| order.until_ms).fold(self.settled_until_ms, u64::max);
        let starts_in_flight = in_flight.clone().filter_map(|order| order.started_run);
        let mut starts = self.unanswered_starts.keys().copied().chain(starts_in_flight);
        if !starts.any(is_held) {
            return granted_ms;
        }
        // A late renewal extends the lease of a run that a late start has begun.
        let sent_ms = in_flight.map(|order| order.sent_ms).fold(self.unanswered_ms, u64::max);
        let arrives_ms = sent_ms.saturating_add(MAX_ORDER_DELAY_MS);
        granted_ms.max(lease.latest_expiry_ms(arrives_ms))
    }
}
