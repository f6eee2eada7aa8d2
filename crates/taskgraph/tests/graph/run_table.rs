//! The agent's bookkeeping, against a worker that answers late, not at all, or carries out late.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::progress_watch::ProgressWatch;
use cuminbarrow_taskgraph::progress_watch::RunExpectation;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::run_table::Order;
use cuminbarrow_taskgraph::run_table::ReportedEnd;
use cuminbarrow_taskgraph::run_table::ReportedRun;
use cuminbarrow_taskgraph::run_table::RunTable;
use cuminbarrow_taskgraph::run_table::StartAnswer;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::worker::HeldRun;
use cuminbarrow_taskgraph::worker::StopCause;

fn run(number: u32) -> RunKey {
    RunKey { run: number, ..RunKey::default() }
}

fn wanted(runs: &[(RunKey, Option<StopCause>)]) -> BTreeMap<RunKey, HeldRun> {
    let held =
        |stop_cause| HeldRun { resources: ResourceAmounts::default(), placed_ms: 0, stop_cause };
    runs.iter().map(|(run, stop_cause)| (*run, held(*stop_cause))).collect()
}

fn running(run: RunKey) -> ReportedRun {
    ReportedRun { run, checkpoint: Default::default(), percent: 10, load: 0 }
}

fn end(run: RunKey, kind: EndKind) -> RunEnd {
    RunEnd { run, kind, checkpoint: Default::default() }
}

/// A table whose agent has looked at an empty worker.
fn table() -> RunTable {
    let mut table = RunTable::default();
    let look = table.begin_poll();
    assert_eq!(table.polled(look, &[], &[]), []);
    table
}

#[test]
fn nothing_is_ordered_before_the_first_look() {
    let mut table = RunTable::default();
    table.sync(&wanted(&[(run(1), None)]));
    assert_eq!(table.next_orders(), []);
    let look = table.begin_poll();
    table.polled(look, &[running(run(1))], &[]);
    assert_eq!(table.next_orders(), [], "what runs is adopted");
}

#[test]
fn an_unanswered_start_is_sent_again_and_not_given_up() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    assert_eq!(table.next_orders(), [Order::Start(run(1))]);
    assert_eq!(table.next_orders(), [], "one order at a time");
    assert_eq!(table.start_answered(run(1), StartAnswer::Unknown), None);
    let look = table.begin_poll();
    assert_eq!(table.polled(look, &[], &[]), [], "it may begin yet");
    assert_eq!(table.next_orders(), [Order::Start(run(1))]);
}

#[test]
fn a_run_is_gone_only_by_a_look_asked_for_after_its_start_was_acknowledged() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    table.next_orders();
    let early = table.begin_poll();
    table.start_answered(run(1), StartAnswer::Started);
    assert_eq!(table.polled(early, &[], &[]), []);
    let late = table.begin_poll();
    assert_eq!(table.polled(late, &[], &[]), [end(run(1), EndKind::Vanished)]);
    let again = table.begin_poll();
    assert_eq!(table.polled(again, &[], &[]), [], "it is told once");
}

#[test]
fn a_stop_goes_out_beside_an_unanswered_start() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    table.next_orders();
    table.sync(&wanted(&[(run(1), Some(StopCause::Cancelled))]));
    assert_eq!(table.next_orders(), [Order::Stop(run(1))]);
    let early = table.begin_poll();
    assert_eq!(table.polled(early, &[], &[]), [], "the start may be carried out yet");
    table.stop_answered(run(1), true);
    let late = table.begin_poll();
    assert_eq!(table.polled(late, &[], &[]), [end(run(1), EndKind::Stopped)]);
}

#[test]
fn a_run_never_ordered_needs_no_order_to_stop() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), Some(StopCause::Cancelled))]));
    assert_eq!(table.next_orders(), []);
    let look = table.begin_poll();
    assert_eq!(table.polled(look, &[], &[]), [end(run(1), EndKind::Stopped)]);
}

#[test]
fn a_refused_start_is_given_back() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    table.next_orders();
    let given_back = table.start_answered(run(1), StartAnswer::Refused);
    assert_eq!(given_back, Some(end(run(1), EndKind::Refused)));
}

/// Guards against a run that is given back while its unanswered start may be carried out yet.
#[test]
fn a_refused_start_is_given_back_only_once_an_earlier_unanswered_one_is_stopped() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    table.next_orders();
    table.start_answered(run(1), StartAnswer::Unknown);
    table.next_orders();
    assert_eq!(table.start_answered(run(1), StartAnswer::Refused), None);
    assert_eq!(table.next_orders(), [Order::Stop(run(1))]);
    let early = table.begin_poll();
    table.stop_answered(run(1), true);
    assert_eq!(table.polled(early, &[], &[]), [], "the stop was acknowledged after this look");
    let late = table.begin_poll();
    assert_eq!(table.polled(late, &[], &[]), [end(run(1), EndKind::Refused)]);
}

/// Guards against a worker over its room: a run that is not wanted holds room until it has ended.
#[test]
fn nothing_is_started_beside_a_run_that_is_not_wanted() {
    let mut table = table();
    let look = table.begin_poll();
    table.polled(look, &[running(run(9))], &[]);
    table.sync(&wanted(&[(run(1), None)]));
    assert_eq!(table.next_orders(), [Order::Stop(run(9))]);
    assert_eq!(table.next_orders(), []);
    let look = table.begin_poll();
    table.polled(look, &[], &[]);
    assert_eq!(table.next_orders(), [Order::Start(run(1))]);
}

#[test]
fn a_worker_that_leaves_gives_back_what_it_has_not_begun() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None), (run(2), None)]));
    table.next_orders();
    table.start_answered(run(1), StartAnswer::Started);
    table.start_answered(run(2), StartAnswer::Unknown);
    table.set_draining(true);
    assert_eq!(table.next_orders(), [Order::Stop(run(2))]);
    table.stop_answered(run(2), true);
    let look = table.begin_poll();
    let ends = table.polled(look, &[running(run(1))], &[]);
    assert_eq!(ends, [end(run(2), EndKind::Stopped)]);
}

#[test]
fn a_run_that_makes_no_progress_stands_still() {
    let mut watch = ProgressWatch::default();
    let outlook =
        |_| Some(RunExpectation { estimate_ms: 4_000, is_gang: false, is_open_ended: false });
    let at = |percent| [ReportedRun { percent, ..running(run(1)) }];
    assert_eq!(watch.observe(&at(10), 0, outlook), []);
    assert_eq!(watch.observe(&at(20), 2_000, outlook), []);
    assert_eq!(watch.observe(&at(20), 4_000, outlook), []);
    assert_eq!(watch.observe(&at(20), 4_500, outlook), [run(1)]);
    assert_eq!(watch.observe(&at(20), 4_600, outlook), [], "it is told once for a while");
}

#[test]
fn long_runs_and_gangs_that_gather_are_given_time() {
    let mut watch = ProgressWatch::default();
    let long =
        |_| Some(RunExpectation { estimate_ms: 3_600_000, is_gang: false, is_open_ended: false });
    assert_eq!(watch.observe(&[running(run(1))], 0, long), []);
    assert_eq!(watch.observe(&[running(run(1))], 600_000, long), []);
    let gang = |_| Some(RunExpectation { estimate_ms: 1_000, is_gang: true, is_open_ended: false });
    let waiting = [ReportedRun { percent: 0, ..running(run(2)) }];
    assert_eq!(watch.observe(&waiting, 600_000, gang), []);
    assert_eq!(watch.observe(&waiting, 606_000, gang), []);
    assert_eq!(watch.observe(&waiting, 606_500, gang), [run(2)]);
    let ready = [ReportedRun { percent: 100, ..running(run(2)) }];
    assert_eq!(watch.observe(&ready, 700_000, gang), []);
    assert_eq!(watch.observe(&ready, 800_000, gang), [], "it waits for the others");
}

#[test]
fn listed_ends_are_told_once_and_strays_are_stopped() {
    let mut table = table();
    table.sync(&wanted(&[(run(1), None)]));
    table.next_orders();
    table.start_answered(run(1), StartAnswer::Started);
    let listed = [ReportedEnd { number: 4, end: end(run(1), EndKind::Done) }];
    let look = table.begin_poll();
    assert_eq!(table.polled(look, &[running(run(9))], &listed), [end(run(1), EndKind::Done)]);
    assert_eq!(table.next_orders(), [Order::Stop(run(9))]);
    let look = table.begin_poll();
    assert_eq!(table.polled(look, &[], &listed), []);
}
