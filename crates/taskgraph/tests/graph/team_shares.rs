//! Teams that ask for more than their share of a full service.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::plan_round::Plan;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use smol_str::SmolStr;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::terms;
use crate::played_load::Arrival;
use crate::played_load::count;
use crate::played_load::play;

fn options(team_shares: bool, cost_order: bool) -> PlanningOptions {
    PlanningOptions { team_shares, cost_order, ..PlanningOptions::default() }
}

/// Submits jobs of one step to four workers and plans one round; returns it with the number of tasks
/// placed by team.
fn placed(
    guarantees: &[(&str, u32)],
    jobs: &[(&str, u8, StepSpec)],
) -> (Plan, BTreeMap<SmolStr, usize>) {
    let mut graph = GraphBuilder::new(1, 4);
    graph.options = options(true, false);
    graph.guarantees = guarantees.iter().map(|(team, count)| ((*team).into(), *count)).collect();
    for (id, (team, priority, step)) in (0..).zip(jobs) {
        let spec = JobSpec { steps: vec![step.clone()], ..JobSpec::default() };
        graph.submit_on(id, spec, JobTerms { team: (*team).into(), ..terms(*priority) });
    }
    let plan = graph.plan();
    let mut by_team = BTreeMap::new();
    for (run, _) in graph.runs() {
        let JobId(id) = run.task.step.job;
        *by_team.entry(jobs[id as usize].0.into()).or_default() += 1;
    }
    (plan, by_team)
}

/// Guards against one team's flood that makes the jobs of all others late.
#[test]
fn flood_of_one_team_does_not_make_quiet_teams_late() {
    let of = |team, at_ms, count| Arrival { team, ..Arrival::new(at_ms, vec![tasks(count, 1)]) };
    let mut load: Vec<Arrival> = (0..100).map(|index| of("flood", index * 200, 8)).collect();
    for at_ms in [4_000, 10_000, 16_000] {
        load.extend(["north", "south", "west"].map(|team| of(team, at_ms, 6)));
    }
    for cost_order in [false, true] {
        let [off, on] =
            [false, true].map(|shares| play(4, options(shares, cost_order), &load, 70_000));
        let on_time = |served: &[JobOutcome]| count(&served[100..], JobOutcome::OnTime);
        assert!(on_time(&off) <= 3, "{off:?}");
        assert_eq!(on_time(&on), 9, "{on:?}");
        assert!(count(&on[..100], JobOutcome::OnTime) > 0);
    }
}

/// Guards against a quiet team's large job that is dropped so that more of a flood's small ones are on time,
/// and against one that is wider than its team's share and never begins.
#[test]
fn large_job_of_a_quiet_team_is_not_dropped_for_a_flood() {
    let of = |team, count| Arrival { team, ..Arrival::new(0, vec![tasks(count, 1)]) };
    let mut load = vec![of("flood", 8); 30];
    load.push(of("quiet", 24));
    let [off, on] = [false, true].map(|shares| play(4, options(shares, true), &load, 60_000));
    assert_eq!((off[30], on[30]), (JobOutcome::Late, JobOutcome::OnTime));
}

/// Guards against shares that leave capacity idle: a team alone may use all, and so may a team above its share
/// while what other teams wait with does not fit.
#[test]
fn team_above_its_share_uses_what_no_other_can() {
    let flood = vec![("flood", 1, tasks(1, 1)); 60];
    let (plan, by_team) = placed(&[("quiet", 24)], &flood);
    assert_eq!(by_team, [("flood".into(), 32)].into());
    assert_eq!(plan.delayed, []);
    let mut jobs = flood;
    jobs.push(("quiet", 1, gang(5, 8)));
    let (_, by_team) = placed(&[("quiet", 24)], &jobs);
    assert_eq!(by_team, [("flood".into(), 32)].into());
}

/// Guards against shares that do not follow the guarantees, or that take from a team what the others do
/// not need.
#[test]
fn teams_share_by_their_guarantees_what_others_do_not_need() {
    let mut jobs = vec![("large", 1, tasks(1, 1)); 40];
    jobs.extend(vec![("small", 1, tasks(1, 1)); 40]);
    let by_team = |guarantees, jobs: &[_]| placed(guarantees, jobs).1;
    let guarantees = [("large", 24), ("small", 8)];
    let expected = [("large".into(), 24), ("small".into(), 8)].into();
    assert_eq!(by_team(&guarantees, &jobs), expected);
    let expected = [("large".into(), 16), ("small".into(), 16)].into();
    assert_eq!(by_team(&[], &jobs), expected);
    jobs.extend(vec![("few", 1, tasks(1, 1)); 4]);
    let expected = [("few".into(), 4), ("large".into(), 21), ("small".into(), 7)].into();
    assert_eq!(by_team(&guarantees, &jobs), expected);
}

/// Guards against shares that put work behind that of a less urgent priority.
#[test]
fn more_urgent_work_precedes_teams_below_their_share() {
    let mut jobs = vec![("flood", 1, tasks(1, 1)); 40];
    jobs.push(("quiet", 2, tasks(4, 1)));
    let (plan, by_team) = placed(&[], &jobs);
    assert_eq!(by_team, [("flood".into(), 32)].into());
    assert_eq!(plan.delayed, [], "no team's step is behind another's");
}
