//! Who plans: claims and releases of the planner role.

use std::time::Duration;

use cuminbarrow_dispatch::planner_role::EntrySize;
use cuminbarrow_dispatch::planner_role::RoleDecision;
use cuminbarrow_dispatch::planner_role::RoleView;

const MS: Duration = Duration::from_millis(1);

/// An entry of regular size that reads the log while another entry plans.
fn follower() -> RoleView {
    RoleView {
        is_own: false,
        free_for: None,
        silence: 20 * MS,
        read_age: 20 * MS,
        path_broken_for: None,
        has_other_entries: true,
        size: EntrySize::Regular,
    }
}

#[test]
fn role_of_a_live_planner_is_left_alone() {
    assert_eq!(follower().decide(), RoleDecision::Wait);
    assert_eq!(RoleView { silence: 1_600 * MS, ..follower() }.decide(), RoleDecision::Wait);
}

#[test]
fn silent_planner_is_replaced() {
    assert_eq!(RoleView { silence: 1_700 * MS, ..follower() }.decide(), RoleDecision::Claim);
}

/// Load pattern: a planner is cut off from the log, and all that it decides goes through others.
#[test]
fn planner_cut_off_from_the_log_releases_the_role_to_entries_that_reach_it() {
    let planner = RoleView { is_own: true, ..follower() };
    assert_eq!(planner.decide(), RoleDecision::Plan);
    let broken_for = |ms: u32| RoleView { path_broken_for: Some(ms * MS), ..planner };
    assert_eq!(broken_for(400).decide(), RoleDecision::Plan);
    assert_eq!(broken_for(1_000).decide(), RoleDecision::Release);
    let lone = RoleView { has_other_entries: false, ..broken_for(1_000) };
    assert_eq!(lone.decide(), RoleDecision::Plan);
}

/// Load pattern: the log answers nobody. A release would take effect once it is back, and cost the
/// time of a hand-over.
#[test]
fn planner_keeps_the_role_while_the_log_answers_nobody() {
    let read_age = 1_500 * MS;
    let planner =
        RoleView { is_own: true, path_broken_for: Some(1_000 * MS), read_age, ..follower() };
    assert_eq!(planner.decide(), RoleDecision::Plan);
}

#[test]
fn entry_cut_off_from_the_log_claims_only_what_no_other_entry_takes() {
    let cut = RoleView { path_broken_for: Some(300 * MS), ..follower() };
    let free_for = |ms: u32| RoleView { free_for: Some(ms * MS), ..cut };
    assert_eq!(free_for(1_900).decide(), RoleDecision::Wait);
    assert_eq!(free_for(2_000).decide(), RoleDecision::Claim);
    assert_eq!(RoleView { silence: 3_600 * MS, ..cut }.decide(), RoleDecision::Wait);
    assert_eq!(RoleView { silence: 3_700 * MS, ..cut }.decide(), RoleDecision::Claim);
}

/// Load pattern: large and small entries start together, and the fleet is planned by one of them.
#[test]
fn small_entry_leaves_a_free_role_to_larger_ones() {
    let free = RoleView { free_for: Some(Duration::ZERO), ..follower() };
    assert_eq!(free.decide(), RoleDecision::Claim);
    let small = RoleView { size: EntrySize::of_processor_share(0.12), ..free };
    assert_eq!(small.decide(), RoleDecision::Wait);
    let small = RoleView { free_for: Some(200 * MS), ..small };
    assert_eq!(small.decide(), RoleDecision::Claim);
    assert_eq!(EntrySize::of_processor_share(0.25), EntrySize::Regular);
}
