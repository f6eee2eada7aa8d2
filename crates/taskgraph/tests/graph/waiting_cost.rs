//! Loads that exceed the service, with the order by the cost of waiting and without it.

use cuminbarrow_taskgraph::capacity_forecast::CapacityForecast;
use cuminbarrow_taskgraph::capacity_forecast::WHOLE_CAPACITY;
use cuminbarrow_taskgraph::estimate_errors::EstimateErrors;
use cuminbarrow_taskgraph::job_outcomes::JobOutcome;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::waiting_cost::CostClass;
use cuminbarrow_taskgraph::waiting_cost::WaitingWork;
use cuminbarrow_taskgraph::waiting_cost::waiting_costs;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::played_load::Arrival;
use crate::played_load::count;
use crate::played_load::play;

fn cost_order() -> PlanningOptions {
    PlanningOptions { cost_order: true, ..PlanningOptions::default() }
}

/// Plays a load on two workers with 16 accelerators, without the rule and with it.
fn play_both(arrivals: &[Arrival], until_ms: u64) -> [Vec<JobOutcome>; 2] {
    let options = [PlanningOptions::default(), cost_order()];
    options.map(|options| play(2, options, arrivals, until_ms))
}

/// Guards against a job that is late in any case in front of jobs that would be on time.
#[test]
fn job_that_is_late_anyway_does_not_make_small_jobs_late() {
    let mut load = vec![Arrival::new(0, vec![tasks(200, 1)])];
    load.extend(vec![Arrival::new(1_000, vec![tasks(3, 1)]); 10]);
    let [off, on] = play_both(&load, 90_000);
    assert_eq!(count(&off[1..], JobOutcome::OnTime), 0);
    assert_eq!(count(&on[1..], JobOutcome::OnTime), 10);
    assert_eq!((off[0], on[0]), (JobOutcome::TooLate, JobOutcome::TooLate));
}

/// Guards against a burst that is served in an order in which few of its callers are on time.
#[test]
fn burst_that_cannot_all_be_on_time_is_served_for_most_callers() {
    let mut load = vec![Arrival::new(0, vec![tasks(32, 1)]); 3];
    load.extend(vec![Arrival::new(0, vec![gang(4, 1)]); 10]);
    let [off, on] = play_both(&load, 60_000);
    assert_eq!(count(&off, JobOutcome::OnTime), 1);
    assert_eq!(count(&on, JobOutcome::OnTime), 10);
    assert_eq!(count(&on, JobOutcome::TooLate), 0, "the others are late, but of use");
}

/// Guards against a large job that is never served while small ones keep arriving.
#[test]
fn large_job_does_not_starve_behind_a_stream_of_small_ones() {
    let mut load = vec![Arrival::new(200, vec![tasks(40, 1)])];
    let stream = (0..300).map(|index| Arrival::new(index * 200, vec![tasks(1, 1)]));
    load.extend(stream);
    let [_, on] = play_both(&load, 60_000);
    assert_eq!(on[0], JobOutcome::Late);
}

/// Guards against a chain of steps that counts as on time while its next step alone would be.
#[test]
fn chain_that_is_late_anyway_does_not_make_a_short_job_late() {
    let after = |earlier| StepSpec { depends_on: vec![earlier], ..tasks(1, 8) };
    let blocker = StepSpec { estimate_ms: 26_000, ..tasks(2, 8) };
    let chain = vec![tasks(1, 8), after(0), after(1)];
    let mut load = vec![Arrival::new(0, vec![blocker]), Arrival::new(200, chain)];
    load.push(Arrival::new(24_400, vec![gang(2, 8)]));
    let [off, on] = play_both(&load, 60_000);
    assert_eq!(off, [JobOutcome::OnTime, JobOutcome::Late, JobOutcome::Late]);
    assert_eq!(on, [JobOutcome::OnTime, JobOutcome::Late, JobOutcome::OnTime]);
}

/// Guards against work that is put behind work of a less urgent priority, however late it will be.
#[test]
fn more_urgent_work_that_will_be_late_precedes_less_urgent_work() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.options = cost_order();
    let wide = graph.submit(1, 1, vec![tasks(200, 1)]);
    let sweep = graph.submit(2, 2, vec![tasks(3, 1)]);
    let plan = graph.plan();
    assert_eq!((graph.runs_of(wide).len(), graph.runs_of(sweep).len()), (16, 0));
    let delayed: Vec<_> = plan.delayed.iter().map(|step| (step.step.job, step.reason)).collect();
    assert_eq!(delayed, [(wide, "can't be useful"), (sweep, "can't be useful")]);
}

/// Guards against an order that changes while there is capacity for everything.
#[test]
fn nothing_is_delayed_while_there_is_capacity() {
    let mut graph = GraphBuilder::new(1, 2);
    graph.options = cost_order();
    graph.submit(1, 1, vec![tasks(12, 1)]);
    graph.now_ms += 12_900;
    graph.submit(2, 1, vec![tasks(4, 1)]);
    assert_eq!(graph.plan().delayed, []);
    assert_eq!(graph.runs().len(), 16);
}

/// Work in ms of the whole service, with an objective at 1,000 ms.
fn work(work_ms: u128, useless_at_ms: u64) -> WaitingWork {
    let work = work_ms * u128::from(WHOLE_CAPACITY);
    WaitingWork { objective_at_ms: 1_000, useless_at_ms, work, ..WaitingWork::default() }
}

/// Guards against a new job that is begun in place of one that holds capacity elsewhere or was stopped.
#[test]
fn begun_job_is_finished_rather_than_a_new_one_begun() {
    let forecast = CapacityForecast::new(Vec::new());
    let begun = WaitingWork { is_begun: true, ..work(700, 3_000) };
    for works in [[work(700, 3_000), begun], [begun, work(700, 3_000)]] {
        let costs = waiting_costs(&forecast, 0, 0, &works, 0);
        let is_on_time = costs.iter().map(|cost| cost.class == CostClass::OnTime);
        assert!(is_on_time.eq(works.iter().map(|work| work.is_begun)), "{costs:?}");
    }
}

/// Guards against a forecast that trusts estimates: tasks run for twice their estimates, so only half of
/// a burst can be on time, and all of it would be late together.
#[test]
fn burst_whose_estimates_are_half_is_served_for_most_callers() {
    let double = |arrival| Arrival { run_percent: 200, ..arrival };
    let mut load = vec![double(Arrival::new(0, vec![tasks(8, 1)])); 2];
    load.extend(vec![double(Arrival::new(8_000, vec![tasks(16, 1)])); 2]);
    load.extend(vec![double(Arrival::new(8_000, vec![tasks(8, 1)])); 2]);
    let [off, on] = play_both(&load, 60_000);
    assert_eq!(count(&off[2..], JobOutcome::OnTime), 1);
    assert_eq!(count(&on[2..], JobOutcome::OnTime), 2);
}

/// Guards against a forecast that takes the mean of a queue for tasks that differ in length as their
/// estimates say, and against one that corrects estimates that say nothing.
#[test]
fn run_times_are_predicted_by_what_was_closer() {
    let predicted = |runs: &[(u32, u64)], estimate_ms| {
        let mut errors = EstimateErrors::default();
        for (estimate_ms, run_ms) in runs.iter().cycle().take(20) {
            errors.record(&"queue".into(), &"team".into(), *estimate_ms, 5_000, *run_ms);
        }
        errors.predicted_ms(&"queue".into(), &"new team".into(), estimate_ms, 5_000)
    };
    assert_eq!(predicted(&[(500, 1_000), (4_500, 9_000)], 2_000), Some(4_000));
    assert_eq!(predicted(&[(9_000, 5_100), (500, 4_900)], 2_000), Some(5_000));
    assert_eq!(predicted(&[], 2_000), None);
}

/// Guards against aging that takes the capacity of what can be on time, while twice as much arrives as the
/// service can do.
#[test]
fn late_jobs_of_a_lasting_flood_are_served_beside_those_on_time() {
    let load: Vec<Arrival> =
        (0..100).map(|index| Arrival::new(index * 200, vec![tasks(8, 1)])).collect();
    let [off, on] =
        [PlanningOptions::default(), cost_order()].map(|options| play(4, options, &load, 70_000));
    let counts =
        |served| [JobOutcome::OnTime, JobOutcome::Late].map(|wanted| count(served, wanted));
    let ([off_on_time, off_late], [on_time, late]) = (counts(&off), counts(&on));
    assert!(on_time + 2 >= off_on_time, "{on:?}");
    assert!(late >= 2 * off_late, "{on:?}");
}

/// Guards against late work that is served by objective, while its results lose worth at rates of their own.
#[test]
fn least_late_work_for_the_worth_it_saves_goes_first() {
    let works = [work(200, 9_000), work(100, 9_000), work(100, 5_000)];
    let costs = waiting_costs(&CapacityForecast::new(Vec::new()), 0, 0, &works, 2_000);
    assert!(costs.iter().all(|cost| cost.class == CostClass::Late), "{costs:?}");
    assert!(costs.is_sorted_by(|before, after| before.key > after.key), "{costs:?}");
}
