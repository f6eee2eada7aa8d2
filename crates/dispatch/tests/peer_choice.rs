//! Selection of the entries that a process reads and appends through.

use cuminbarrow_dispatch::peer_list::PeerChoice;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_taskgraph::graph_state::GraphState;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::ProcessRole;

fn location(role: ProcessRole, instance: &str, region: &str) -> ProcessLocation {
    ProcessLocation {
        role,
        instance: instance.into(),
        region: region.into(),
        data_centre: format!("{region}-{instance}").into(),
    }
}

/// A state with these entries, given by instance, region and incarnation. The port of an entry is its
/// incarnation.
fn state(entries: &[(&str, &str, u16)]) -> GraphState {
    let mut state = GraphState::default();
    let records = entries.iter().map(|(instance, region, incarnation)| GraphRecord::ProcessUp {
        incarnation: u64::from(*incarnation),
        role: ProcessRole::Entry,
        instance: (*instance).into(),
        region: (*region).into(),
        data_centre: format!("{region}-{instance}").into(),
        address: ([127, 0, 0, 1], *incarnation).into(),
    });
    let batch = Batch { writer: 1, sequence: 1, at_ms: 1, records: records.collect() };
    state.apply(0, &batch);
    state
}

fn readers(state: &GraphState, incarnation: u64, location: &ProcessLocation) -> Vec<u16> {
    let choice = PeerChoice::of(state, incarnation, location);
    choice.readers.iter().map(|address| address.port()).collect()
}

#[test]
fn one_entry_of_a_region_reads_the_log_and_the_others_read_through_it() {
    let state = state(&[("a", "west", 3), ("b", "west", 2), ("c", "east", 1)]);
    assert_eq!(readers(&state, 3, &location(ProcessRole::Entry, "a", "west")), [] as [u16; 0]);
    assert_eq!(readers(&state, 2, &location(ProcessRole::Entry, "b", "west")), [3]);
    assert_eq!(readers(&state, 1, &location(ProcessRole::Entry, "c", "east")), [] as [u16; 0]);
}

/// After a power cut each entry knows only the previous incarnations of the others.
#[test]
fn entries_with_stale_state_never_read_through_each_other() {
    let old = state(&[("a", "west", 9), ("b", "west", 1)]);
    let seen_by_a = readers(&old, 4, &location(ProcessRole::Entry, "a", "west"));
    let seen_by_b = readers(&old, 5, &location(ProcessRole::Entry, "b", "west"));
    assert_eq!((seen_by_a, seen_by_b), (vec![], vec![9]));
}

#[test]
fn an_entry_never_reads_through_its_own_previous_incarnation() {
    let old = state(&[("a", "west", 9)]);
    let choice = PeerChoice::of(&old, 4, &location(ProcessRole::Entry, "a", "west"));
    assert_eq!(choice, PeerChoice::default());
}

#[test]
fn agents_read_through_the_nearest_entry_and_append_through_the_regions_reader() {
    let state = state(&[("a", "west", 3), ("b", "west", 2), ("c", "east", 1)]);
    let mut agent = location(ProcessRole::Agent, "worker", "west");
    agent.data_centre = "west-b".into();
    let choice = PeerChoice::of(&state, 7, &agent);
    let ports = |addresses: &[std::net::SocketAddr]| -> Vec<u16> {
        addresses.iter().map(|address| address.port()).collect()
    };
    assert_eq!(ports(&choice.readers), [2, 3, 1]);
    assert_eq!(ports(&choice.appenders), [3]);
}
