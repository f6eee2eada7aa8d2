//! What an entry records of the operator's evacuation requests, by when and how it has read them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeSet;

use cuminbarrow_dispatch::evacuation_view::EvacuationView;
use cuminbarrow_taskgraph::evacuations::Evacuations;
use cuminbarrow_taskgraph::evacuations::MAX_EVACUATED_DATA_CENTRES;
use smol_str::SmolStr;
use smol_str::format_smolstr;

fn names(names: &[&str]) -> BTreeSet<SmolStr> {
    names.iter().map(SmolStr::new).collect()
}

fn evacuations(as_of: u64, data_centres: &[&str]) -> Evacuations {
    Evacuations { as_of, data_centres: names(data_centres) }
}

/// A view after a complete list of the keys, which was asked for at the recorded position `confirmed`.
fn listed(end: u64, confirmed: u64, data_centres: &[&str]) -> EvacuationView {
    let mut view = EvacuationView::default();
    view.replace(end, names(data_centres), true);
    view.confirm(confirmed);
    view
}

fn update(view: &EvacuationView, recorded: &Evacuations) -> Option<Evacuations> {
    view.update_of(recorded, &BTreeSet::new())
}

/// Guards against records in the log of deployments whose operators evacuate nothing.
#[test]
fn nothing_is_recorded_without_requests() {
    assert_eq!(update(&EvacuationView::default(), &Evacuations::default()), None);
    assert_eq!(update(&listed(9, 0, &[]), &Evacuations::default()), None);
}

#[test]
fn request_and_withdrawal_are_recorded_once() {
    let mut view = listed(4, 0, &[]);
    view.request("a".into());
    view.advance(5);
    let recorded = update(&view, &Evacuations::default()).unwrap();
    assert_eq!(recorded, evacuations(5, &["a"]));
    assert_eq!(update(&view, &recorded), None);
    view.withdraw("a".into());
    view.advance(6);
    assert_eq!(update(&view, &recorded), Some(evacuations(6, &[])));
}

/// Guards against an entry that reads late and records what has been withdrawn or requested since.
#[test]
fn older_view_records_nothing() {
    let view = listed(5, 0, &["a"]);
    assert_eq!(update(&view, &evacuations(6, &[])), None);
    assert_eq!(update(&view, &evacuations(5, &["a", "b"])), None);
}

/// Guards against a withdrawal by a list that lacks keys because some of its items can't be read.
#[test]
fn incomplete_list_withdraws_nothing() {
    let mut view = listed(5, 0, &["a"]);
    view.replace(7, names(&["b"]), false);
    let recorded = evacuations(5, &["a", "c"]);
    assert_eq!(update(&view, &recorded), Some(evacuations(7, &["a", "b", "c"])));
    view.withdraw("c".into());
    view.advance(8);
    assert_eq!(update(&view, &recorded), Some(evacuations(8, &["a", "b"])), "by its record");
}

/// Guards against an evacuation without end: a key that is gone without a record leaves the topic's end as
/// it was.
#[test]
fn key_that_two_lists_lack_is_withdrawn_without_a_record() {
    let mut view = listed(5, 0, &["a"]);
    let recorded = update(&view, &Evacuations::default()).unwrap();
    view.confirm(recorded.as_of);
    view.replace(5, names(&[]), true);
    assert_eq!(update(&view, &recorded), None, "a single list may be outdated");
    view.replace(5, names(&[]), true);
    assert_eq!(update(&view, &recorded), Some(evacuations(6, &[])));
}

/// Guards against a topic that was created again, whose offsets are lower than the recorded position.
#[test]
fn topic_that_was_created_again_is_recorded_as_later() {
    let recorded = evacuations(40, &["a"]);
    let mut view = listed(44, 40, &["a"]);
    view.replace(2, names(&["b"]), true);
    let added = update(&view, &recorded).unwrap();
    assert_eq!(added, evacuations(45, &["a", "b"]), "later than all that was read before");
    assert_eq!(update(&view, &added), None);
    // An entry that knows only the new topic comes to the same, once its reads are later than the record.
    let mut fresh = listed(2, 40, &["b"]);
    assert_eq!(update(&fresh, &added), None);
    view.confirm(45);
    view.replace(2, names(&["b"]), true);
    let settled = update(&view, &added).unwrap();
    assert_eq!(settled, evacuations(46, &["b"]));
    fresh.request("c".into());
    fresh.advance(3);
    assert_eq!(update(&fresh, &settled), None);
    fresh.confirm(46);
    assert_eq!(update(&fresh, &settled), Some(evacuations(47, &["b", "c"])));
    fresh.withdraw("b".into());
    assert_eq!(update(&fresh, &settled), Some(evacuations(47, &["c"])));
}

/// Guards against data centres with workers that are left out for others that do not exist.
#[test]
fn data_centres_with_workers_come_first_where_too_many_are_requested() {
    let many: BTreeSet<SmolStr> =
        (0..MAX_EVACUATED_DATA_CENTRES).map(|number| format_smolstr!("a{number}")).collect();
    let mut view = EvacuationView::default();
    view.replace(3, many, true);
    view.request("z".into());
    view.advance(4);
    let own = SmolStr::new("z");
    let update = view.update_of(&Evacuations::default(), &BTreeSet::from([&own])).unwrap();
    assert_eq!(update.data_centres.len(), MAX_EVACUATED_DATA_CENTRES);
    assert!(update.contains("z"));
}
