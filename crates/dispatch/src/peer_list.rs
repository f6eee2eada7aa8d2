//! Selects the entries through which a process relays its calls to the log, nearest first.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::graph_state::ProcessState;
use cuminbarrow_taskgraph::record::ProcessRole;
use smol_str::SmolStr;

use crate::entry_directory::EntryAddress;

/// Role and location of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLocation {
    /// Role of the process.
    pub role: ProcessRole,
    /// Instance on which it runs.
    pub instance: SmolStr,
    /// Region in which it runs.
    pub region: SmolStr,
    /// Data centre in which it runs.
    pub data_centre: SmolStr,
}

/// Entries through which a process relays its calls, in order of preference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerChoice {
    /// Entries to read through before the log is read directly.
    pub readers: Vec<SocketAddr>,
    /// Entries to append through before the log is called directly: the entry that reads the log for
    /// the region groups the appends of all its processes.
    pub appenders: Vec<SocketAddr>,
    /// Entries to call when the log does not answer this process.
    pub fallbacks: Vec<SocketAddr>,
}

impl PeerChoice {
    /// Selects peers for an agent at `location` from the entry directory alone; `spread` balances
    /// agents over entries at the same distance.
    pub fn from_directory(
        entries: &[EntryAddress],
        location: &ProcessLocation,
        spread: u64,
    ) -> Self {
        let mut ranked: Vec<(u8, u64, SocketAddr)> = (spread..)
            .zip(entries)
            .map(|(number, entry)| {
                let distance = distance(location, &entry.region, &entry.data_centre);
                (distance, number % (entries.len() as u64), entry.address)
            })
            .collect();
        ranked.sort_unstable();
        let readers: Vec<SocketAddr> = ranked.into_iter().map(|(_, _, address)| address).collect();
        Self { fallbacks: readers.clone(), appenders: Vec::new(), readers }
    }

    /// Selects peers for the process `incarnation` at `location`.
    ///
    /// Agents read through entries. Of the entries of a region, the one whose instance name sorts
    /// first reads the log directly and the others read through it. Instance names survive restarts,
    /// so two entries with stale state never read through each other.
    pub fn of(state: &GraphState, incarnation: u64, location: &ProcessLocation) -> Self {
        let mut ranked: Vec<(u8, u64, &ProcessState)> = state
            .processes
            .iter()
            .filter(|(_, process)| is_other_entry(location, process))
            .map(|(other, process)| {
                (
                    distance(location, &process.region, &process.data_centre),
                    other.wrapping_add(incarnation),
                    process,
                )
            })
            .collect();
        ranked.sort_by_key(|(distance, spread, _)| (*distance, *spread));
        let fallbacks: Vec<SocketAddr> =
            ranked.iter().map(|(_, _, process)| process.address).collect();
        let appenders: Vec<SocketAddr> = region_reader(state, location).into_iter().collect();
        let readers = match location.role {
            ProcessRole::Agent => fallbacks.clone(),
            ProcessRole::Entry => appenders.clone(),
        };
        Self { readers, appenders, fallbacks }
    }
}

/// Whether a process is an entry on another instance. An entry on the same instance is this process
/// or a previous incarnation of it that is still recorded in the log.
fn is_other_entry(location: &ProcessLocation, process: &ProcessState) -> bool {
    process.role == ProcessRole::Entry && process.instance != location.instance
}

/// Distance between a process and an entry: 0 in the same data centre, 1 in the same region, else 2.
fn distance(location: &ProcessLocation, region: &str, data_centre: &str) -> u8 {
    if data_centre == location.data_centre {
        0
    } else if region == location.region {
        1
    } else {
        2
    }
}

/// The entry that reads the log for the region of `location`; `None` for that entry itself.
fn region_reader(state: &GraphState, location: &ProcessLocation) -> Option<SocketAddr> {
    let entries = state
        .processes
        .values()
        .filter(|process| is_other_entry(location, process) && process.region == location.region);
    let first = entries.min_by_key(|process| &process.instance)?;
    let is_before = location.role == ProcessRole::Agent || first.instance < location.instance;
    is_before.then_some(first.address)
}

/// The current choice of peers, shared between a replica and its log client.
#[derive(Debug, Default)]
pub struct PeerList {
    choice: Mutex<PeerChoice>,
    is_reading_through: AtomicBool,
}

impl PeerList {
    /// The current choice.
    pub fn choice(&self) -> PeerChoice {
        self.lock().clone()
    }

    /// Whether this process's last read went through an entry.
    pub fn is_reading_through(&self) -> bool {
        self.is_reading_through.load(Ordering::Acquire)
    }

    /// Sets whether the last read went through an entry.
    pub fn set_reading_through(&self, is_reading_through: bool) {
        self.is_reading_through.store(is_reading_through, Ordering::Release);
    }

    /// Replaces the choice.
    pub fn set(&self, choice: PeerChoice) {
        *self.lock() = choice;
    }

    fn lock(&self) -> MutexGuard<'_, PeerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
