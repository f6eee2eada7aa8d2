//! Upper bound of the leases that a worker may hold.
//!
//! A lease counts as granted before the order that carries it is sent, because an order without an
//! answer may have been carried out. Only an order that was certainly not sent grants no lease.

use std::collections::BTreeMap;

/// Identifies an order in flight that carries a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantNumber(u64);

/// Leases granted to one incarnation of a worker.
#[derive(Debug, Default)]
pub(crate) struct LeaseGrants {
    /// Latest end of the leases whose orders are no longer in flight, on the boot-time clock in ms.
    settled_until_ms: u64,
    in_flight: BTreeMap<GrantNumber, u64>,
    last_number: u64,
}

impl LeaseGrants {
    /// Starts with leases that may last until `until_ms`.
    pub(crate) fn new(until_ms: u64) -> Self {
        Self { settled_until_ms: until_ms, ..Self::default() }
    }

    /// Records an order with a lease until `until_ms`, before it is sent.
    pub(crate) fn grant(&mut self, until_ms: u64) -> GrantNumber {
        self.last_number += 1;
        let grant = GrantNumber(self.last_number);
        self.in_flight.insert(grant, until_ms);
        grant
    }

    /// Records whether the order may have been sent.
    pub(crate) fn settle(&mut self, grant: GrantNumber, may_be_sent: bool) {
        let until_ms = self.in_flight.remove(&grant).filter(|_| may_be_sent);
        self.settled_until_ms = self.settled_until_ms.max(until_ms.unwrap_or(0));
    }

    /// Records a lease that may last until `until_ms`.
    pub(crate) fn record(&mut self, until_ms: u64) {
        self.settled_until_ms = self.settled_until_ms.max(until_ms);
    }

    /// Latest end of all leases that may have been granted, on the boot-time clock in ms.
    pub(crate) fn until_ms(&self) -> u64 {
        self.in_flight.values().copied().fold(self.settled_until_ms, u64::max)
    }
}
