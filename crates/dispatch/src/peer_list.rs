//! Entries that pass calls on to the log, nearest first.

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

/// Where a process stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLocation {
    /// Its role.
    pub role: ProcessRole,
    /// Instance.
    pub instance: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
}

/// Entries to go through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerChoice {
    /// Entries to read through before the log itself is asked.
    pub readers: Vec<SocketAddr>,
    /// Entries to append through before the log itself is asked: the one that reads the log for
    /// the region combines what all its processes write.
    pub appenders: Vec<SocketAddr>,
    /// Entries to go through when the log does not answer this process.
    pub fallbacks: Vec<SocketAddr>,
}

impl PeerChoice {
    /// The choice of an agent at `place` that knows no more than the directory.
    pub fn from_directory(entries: &[EntryAddress], place: &ProcessLocation, spread: u64) -> Self {
        let mut ranked: Vec<(u8, u64, SocketAddr)> = (spread..)
            .zip(entries)
            .map(|(number, entry)| {
                let distance = distance(place, &entry.region, &entry.data_centre);
                (distance, number % (entries.len() as u64), entry.address)
            })
            .collect();
        ranked.sort_unstable();
        let readers: Vec<SocketAddr> = ranked.into_iter().map(|(_, _, address)| address).collect();
        Self { fallbacks: readers.clone(), appenders: Vec::new(), readers }
    }

    /// The choice of the process `incarnation` at `place`.
    ///
    /// Agents read through entries. Of the entries of a region, the one whose instance has the first
    /// name reads the log and the others read through it. Names stay the same when a process is
    /// restarted, so two entries never read through each other for want of news.
    pub fn of(state: &GraphState, incarnation: u64, place: &ProcessLocation) -> Self {
        let mut ranked: Vec<(u8, u64, &ProcessState)> = state
            .processes
            .iter()
            .filter(|(_, process)| is_other_entry(place, process))
            .map(|(other, process)| {
                (
                    distance(place, &process.region, &process.data_centre),
                    other.wrapping_add(incarnation),
                    process,
                )
            })
            .collect();
        ranked.sort_by_key(|(distance, spread, _)| (*distance, *spread));
        let fallbacks: Vec<SocketAddr> =
            ranked.iter().map(|(_, _, process)| process.address).collect();
        let appenders: Vec<SocketAddr> = region_reader(state, place).into_iter().collect();
        let readers = match place.role {
            ProcessRole::Agent => fallbacks.clone(),
            ProcessRole::Entry => appenders.clone(),
        };
        Self { readers, appenders, fallbacks }
    }
}

/// Whether a process is an entry on another instance. One on this instance is this process or a
/// predecessor of it, which the log has not forgotten yet.
fn is_other_entry(place: &ProcessLocation, process: &ProcessState) -> bool {
    process.role == ProcessRole::Entry && process.instance != place.instance
}

/// Distance between a process and an entry: same data centre, same region, other region.
fn distance(place: &ProcessLocation, region: &str, data_centre: &str) -> u8 {
    if data_centre == place.data_centre {
        0
    } else if region == place.region {
        1
    } else {
        2
    }
}

/// The entry through which the others of its region read; nothing for that entry itself.
fn region_reader(state: &GraphState, place: &ProcessLocation) -> Option<SocketAddr> {
    let entries = state
        .processes
        .values()
        .filter(|process| is_other_entry(place, process) && process.region == place.region);
    let first = entries.min_by_key(|process| &process.instance)?;
    let is_before = place.role == ProcessRole::Agent || first.instance < place.instance;
    is_before.then_some(first.address)
}

/// The choice as of the newest state, shared between a replica and its log.
#[derive(Debug, Default)]
pub struct PeerList {
    choice: Mutex<PeerChoice>,
    is_reading_through: AtomicBool,
}

impl PeerList {
    /// The newest choice.
    pub fn choice(&self) -> PeerChoice {
        self.lock().clone()
    }

    /// Whether this process's last read went through an entry.
    pub fn is_reading_through(&self) -> bool {
        self.is_reading_through.load(Ordering::Acquire)
    }

    /// Notes which way the last read went.
    pub fn note_reading_through(&self, is_reading_through: bool) {
        self.is_reading_through.store(is_reading_through, Ordering::Release);
    }

    /// Takes a newer choice.
    pub fn set(&self, choice: PeerChoice) {
        *self.lock() = choice;
    }

    fn lock(&self) -> MutexGuard<'_, PeerChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
