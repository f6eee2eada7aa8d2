//! Until when a worker may hold a lease.
//!
//! A lease counts as granted before the order that carries it is sent, since an order without an
//! answer may have been carried out. Only an order that certainly was not sent grants nothing.

use std::collections::BTreeMap;

/// An order under way that carries a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GrantNumber(u64);

/// Leases granted to one incarnation of a worker.
#[derive(Debug, Default)]
pub(crate) struct LeaseBook {
    /// When the last lease ends that was granted for certain, on the boot-time clock in ms.
    settled_ms: u64,
    open: BTreeMap<GrantNumber, u64>,
    grants: u64,
}

impl LeaseBook {
    /// A book that knows of leases until `until_ms`.
    pub(crate) fn new(until_ms: u64) -> Self {
        Self { settled_ms: until_ms, ..Self::default() }
    }

    /// Notes an order that is about to be sent with a lease until `until_ms`.
    pub(crate) fn grant(&mut self, until_ms: u64) -> GrantNumber {
        self.grants += 1;
        let grant = GrantNumber(self.grants);
        self.open.insert(grant, until_ms);
        grant
    }

    /// Notes whether the order was sent.
    pub(crate) fn settle(&mut self, grant: GrantNumber, is_sent: bool) {
        let until_ms = self.open.remove(&grant).filter(|_| is_sent);
        self.settled_ms = self.settled_ms.max(until_ms.unwrap_or(0));
    }

    /// Notes a lease that may last until `until_ms`.
    pub(crate) fn note(&mut self, until_ms: u64) {
        self.settled_ms = self.settled_ms.max(until_ms);
    }

    /// When the last lease that may have been granted ends, on the boot-time clock in ms.
    pub(crate) fn until_ms(&self) -> u64 {
        self.open.values().copied().fold(self.settled_ms, u64::max)
    }
}
