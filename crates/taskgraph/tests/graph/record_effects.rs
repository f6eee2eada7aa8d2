//! Effects of records on the state.

use cuminbarrow_taskgraph::graph_state::GraphEffect;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_state::JobPhase;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::RemovalCause;
use cuminbarrow_taskgraph::record::RunEnd;
use cuminbarrow_taskgraph::record::TaskPlacement;
use cuminbarrow_taskgraph::refusal::GraphRefusal;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::task_key::TaskKey;
use cuminbarrow_taskgraph::worker::StopCause;
use cuminbarrow_taskgraph::worker::WorkerKey;

use crate::graph_builder::GraphBuilder;
use crate::graph_builder::gang;
use crate::graph_builder::tasks;
use crate::graph_builder::worker_spec;

#[test]
fn task_keys_are_parsed_and_formatted() {
    let name = "5c0e7a21d94b36f8.0.1.17";
    let task: TaskKey = name.parse().unwrap();
    assert_eq!(task.to_string(), name);
    assert_eq!(task.step.job, JobId(0x5c0e_7a21_d94b_36f8));
    for bad in [
        "",
        "5c0e7a21d94b36f8.0.1",
        "5C0E7A21D94B36F8.0.1.17",
        "5c0e.0.1.17",
        "5c0e7a21d94b36f8.0.1.17.3",
    ] {
        assert!(bad.parse::<TaskKey>().is_err(), "{bad}");
    }
}

#[test]
fn repeated_submission_creates_one_job() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.submit(1, 1, vec![tasks(9, 1)]);
    assert_eq!(graph.state.jobs[&job].spec.steps[0].count, 1);
    assert_eq!(graph.state.active.len(), 1);
}

#[test]
fn job_completes_when_every_step_is_done() {
    let mut graph = GraphBuilder::new(1, 1);
    let mut second = tasks(1, 1);
    second.depends_on = vec![0];
    let job = graph.submit(1, 1, vec![tasks(2, 1), second]);
    graph.plan();
    let first_runs = graph.runs_of(job);
    assert_eq!(first_runs.iter().map(|(run, _)| run.task.step.step).collect::<Vec<_>>(), [0, 0]);
    graph.end_all(job, EndKind::Done);
    assert_eq!(graph.state.jobs[&job].phase, JobPhase::Active);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 1);
    graph.end_all(job, EndKind::Done);
    assert_eq!(graph.state.jobs[&job].phase, JobPhase::Completed { at_ms: graph.now_ms });
    assert_eq!(graph.state.workers[&WorkerKey(0)].used, Default::default());
}

#[test]
fn step_is_not_placed_before_its_dependencies_are_done() {
    let mut graph = GraphBuilder::new(1, 1);
    let mut second = tasks(1, 1);
    second.depends_on = vec![0];
    let job = graph.submit(1, 1, vec![tasks(1, 1), second]);
    let step = StepKey { job, occurrence: 0, step: 1 };
    let tasks = vec![TaskPlacement { index: 0, run: 1, worker: WorkerKey(0) }];
    let refusal = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks }).unwrap_err();
    assert_eq!(
        refusal.to_string(),
        format!("step {step} can't be placed: its dependencies are not done")
    );
}

#[test]
fn gang_is_placed_as_a_whole_and_completes_with_its_first_member() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![gang(3, 4)]);
    let step = StepKey { job, occurrence: 0, step: 0 };
    let part = vec![TaskPlacement { index: 0, run: 1, worker: WorkerKey(0) }];
    assert!(graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks: part }).is_err());
    graph.plan();
    let runs = graph.runs_of(job);
    assert_eq!(runs.len(), 3);
    graph.end(runs[0].0, runs[0].1, EndKind::Done).unwrap();
    assert!(matches!(graph.state.jobs[&job].phase, JobPhase::Completed { .. }));
    assert_eq!(
        graph.runs_of(job).len(),
        2,
        "the other members hold their resources until they are listed as ended"
    );
}

#[test]
fn failed_member_stops_its_gang_and_counts_as_one_failure() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![gang(3, 4)]);
    graph.plan();
    let runs = graph.runs_of(job);
    graph.end(runs[0].0, runs[0].1, EndKind::Failed).unwrap();
    for (run, worker) in &runs[1..] {
        assert_eq!(graph.state.workers[worker].runs[run].stop_cause, Some(StopCause::GangBroken));
    }
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 2, "nothing is placed while a member holds resources");
    graph.end(runs[1].0, runs[1].1, EndKind::Failed).unwrap();
    graph.end(runs[2].0, runs[2].1, EndKind::Broken).unwrap();
    assert_eq!(
        graph.state.jobs[&job].phase,
        JobPhase::Active,
        "the gang counts one failed run, not two"
    );
    graph.plan();
    assert!(graph.runs_of(job).iter().all(|(run, _)| run.run == 2));
}

#[test]
fn job_fails_when_a_task_uses_up_its_attempts() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![tasks(2, 1)]);
    for attempt in 1..=2 {
        graph.plan();
        let runs = graph.runs_of(job);
        let (run, worker) = runs.iter().find(|(run, _)| run.task.index == 0).unwrap();
        assert_eq!(run.run, attempt);
        graph.end(*run, *worker, EndKind::Failed).unwrap();
    }
    assert!(matches!(graph.state.jobs[&job].phase, JobPhase::Failed { .. }));
    let (run, worker) = graph.runs_of(job)[0];
    assert_eq!(graph.state.workers[&worker].runs[&run].stop_cause, Some(StopCause::JobFailed));
}

#[test]
fn long_running_task_is_restarted_after_any_end() {
    let mut graph = GraphBuilder::new(1, 2);
    let mut step = tasks(1, 1);
    step.long_running = true;
    let job = graph.submit(1, 1, vec![step]);
    for kind in [EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Done, EndKind::Lapsed]
    {
        graph.plan();
        assert_eq!(graph.runs_of(job).len(), 1);
        graph.end_all(job, kind);
    }
    assert_eq!(graph.state.jobs[&job].phase, JobPhase::Active);
}

#[test]
fn cancelled_job_is_stopped_and_never_placed_again() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(2, 1)]);
    graph.plan();
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    for (run, worker) in graph.runs_of(job) {
        assert_eq!(graph.state.workers[&worker].runs[&run].stop_cause, Some(StopCause::Cancelled));
    }
    graph.obey_stops();
    assert_eq!(graph.plan().records, []);
    let refusal = graph.apply(GraphRecord::JobCancelled { job }).unwrap_err();
    assert_eq!(refusal, GraphRefusal::JobEnded { job });
}

#[test]
fn occurrences_run_when_due_and_may_overlap() {
    let mut graph = GraphBuilder::new(1, 2);
    let spec = JobSpec {
        steps: vec![tasks(1, 1)],
        occurrence_count: 2,
        start_at_ms: graph.now_ms + 1_000,
        interval_ms: 500,
        ..JobSpec::default()
    };
    let job = graph.submit_spec(1, 1, spec);
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 0);
    graph.now_ms += 1_000;
    graph.plan();
    graph.now_ms += 500;
    graph.plan();
    let occurrences: Vec<u32> =
        graph.runs_of(job).iter().map(|(run, _)| run.task.step.occurrence).collect();
    assert_eq!(occurrences, [0, 1]);
    graph.end_all(job, EndKind::Done);
    assert!(matches!(graph.state.jobs[&job].phase, JobPhase::Completed { .. }));
}

#[test]
fn resources_are_held_until_the_run_has_ended() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 8)]);
    let other = graph.submit(2, 1, vec![tasks(1, 8)]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[0];
    let runs = vec![run];
    let cause = StopCause::Stalled;
    graph.apply(GraphRecord::RunsStopped { epoch: 1, cause, runs }).unwrap();
    let step = StepKey { job: other, occurrence: 0, step: 0 };
    let tasks = vec![TaskPlacement { index: 0, run: 1, worker }];
    let refusal = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks }).unwrap_err();
    assert_eq!(refusal, GraphRefusal::NoRoom { worker, step });
}

/// Guards against a task that is placed a second time while the next incarnation of its worker may
/// still carry out an order that was sent to the earlier incarnation.
#[test]
fn new_worker_incarnation_holds_the_earlier_runs_until_they_are_stopped() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let first = graph.runs_of(job)[0].0;
    let mut spec = worker_spec("r0w0", "r0");
    spec.started_ms = 2;
    let effect = graph.apply(GraphRecord::WorkerRegistered { agent: 8, spec }).unwrap();
    assert_eq!(effect, GraphEffect::Worker { worker: WorkerKey(1) });
    assert_eq!(graph.runs(), [(first, WorkerKey(1))]);
    assert_eq!(graph.state.worker_of(first), Some(WorkerKey(1)));
    let worker = &graph.state.workers[&WorkerKey(1)];
    assert_eq!(worker.runs[&first].stop_cause, Some(StopCause::WorkerReplaced));
    assert_eq!(worker.used, worker.runs[&first].resources);
    graph.plan();
    assert_eq!(graph.runs(), [(first, WorkerKey(1))], "it is not placed again yet");
    graph.obey_stops();
    graph.plan();
    assert_eq!(graph.runs_of(job)[0].0.run, 2);
    let old = worker_spec("r0w0", "r0");
    assert!(graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec: old }).is_err());
}

/// Guards against the other members of a gang running on after one member's worker was replaced by
/// a new incarnation.
#[test]
fn gang_is_stopped_when_the_worker_of_a_member_is_replaced() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![gang(2, 8)]);
    graph.plan();
    let mut spec = worker_spec("r0w0", "r0");
    spec.started_ms = 2;
    graph.apply(GraphRecord::WorkerRegistered { agent: 8, spec }).unwrap();
    let runs = graph.runs_of(job);
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(run, on)| graph.state.workers[on].runs[run].stop_cause.is_some()));
    graph.plan();
    assert_eq!(graph.runs_of(job), runs, "it is placed again only after all members have ended");
}

/// Guards against counting a job as started that was only placed: no run of it may ever begin.
#[test]
fn placed_job_is_pending_until_a_task_has_started() {
    for kind in [EndKind::Refused, EndKind::Stopped, EndKind::Vanished] {
        let mut graph = GraphBuilder::new(1, 1);
        let job = graph.submit(1, 1, vec![tasks(2, 1)]);
        graph.plan();
        assert_eq!(graph.state.pending_jobs().count(), 1, "the tasks are placed");
        graph.end_all(job, kind);
        assert_eq!(graph.state.pending_jobs().count(), 1, "no task has started: {kind:?}");
        graph.plan();
        let (run, worker) = graph.runs_of(job)[0];
        graph.apply(GraphRecord::RunsStarted { runs: vec![run] }).unwrap();
        assert_eq!(graph.state.pending_jobs().count(), 0, "a task has started");
        graph.end(run, worker, kind).unwrap();
        assert_eq!(graph.state.pending_jobs().count(), 0, "it had started");
    }
}

/// Guards against a job that is pending although one of its tasks ended before its start was recorded.
#[test]
fn job_with_a_task_that_ran_is_not_pending() {
    let ran = [EndKind::Done, EndKind::Failed, EndKind::Lapsed, EndKind::Broken, EndKind::Alone];
    for kind in ran {
        let mut graph = GraphBuilder::new(1, 1);
        let job = graph.submit(1, 1, vec![tasks(2, 1)]);
        graph.plan();
        let (run, worker) = graph.runs_of(job)[0];
        graph.end(run, worker, kind).unwrap();
        assert_eq!(graph.state.pending_jobs().count(), 0, "{kind:?}");
    }
}

/// Guards against reports of runs that were never placed.
#[test]
fn start_of_a_run_that_was_not_placed_is_ignored() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let (run, _) = graph.runs_of(job)[0];
    let later = RunKey { run: run.run + 1, ..run };
    graph.apply(GraphRecord::RunsStarted { runs: vec![later] }).unwrap();
    assert!(!graph.state.jobs[&job].has_started);
}

/// Guards against cancellations of unknown jobs that are kept without bounds.
#[test]
fn cancellations_of_unknown_jobs_are_bounded_in_number_and_time() {
    let mut graph = GraphBuilder::new(1, 1);
    let cancel = |job: u64, team: &str| GraphRecord::UnknownJobCancelled {
        job: JobId(job),
        queue: "queue".into(),
        team: team.into(),
    };
    let mut kept = 0;
    while graph.apply(cancel(1_000 + kept, "team")).is_ok() {
        kept += 1;
        assert!(kept <= 10_000, "no bound");
    }
    let refusal = GraphRefusal::TooManyCancellations { team: "team".into() };
    assert_eq!(graph.apply(cancel(1, "team")), Err(refusal));
    assert_eq!(graph.apply(cancel(1, "other")), Ok(GraphEffect::CancelledEarly));
    assert_eq!(graph.apply(cancel(1_000, "team")), Ok(GraphEffect::CancelledEarly), "again");
    graph.renew_for(200_000);
    assert_eq!(graph.state.early_cancellations, Default::default());
    let job = graph.submit(1_000, 1, vec![tasks(1, 1)]);
    assert_eq!(graph.state.jobs[&job].phase, JobPhase::Active);
}

/// Guards against records of a replaced agent that reach the log after its successor has
/// registered: they would release resources of runs that are still running.
#[test]
fn records_of_a_replaced_agent_are_refused() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[0];
    let spec = worker_spec("r0w0", "r0");
    graph.apply(GraphRecord::WorkerRegistered { agent: 8, spec }).unwrap();
    let kind = EndKind::Refused;
    let ends = vec![RunEnd { run, kind, checkpoint: Default::default() }];
    let late_end = GraphRecord::RunsEnded { worker, ends };
    let refusal = GraphRefusal::Superseded { worker };
    assert_eq!(graph.apply_from(7, late_end.clone()), Err(refusal.clone()));
    let cause = RemovalCause::Lapsed;
    let late_removal = GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 };
    assert_eq!(graph.apply_from(7, late_removal), Err(refusal));
    assert_eq!(graph.runs_of(job), [(run, worker)]);
    graph.apply_from(8, late_end).unwrap();
    assert_eq!(graph.runs_of(job), []);
}

#[test]
fn registering_again_keeps_the_runs_and_raises_the_fencing_token() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let worker = WorkerKey(0);
    let before = graph.state.workers[&worker].fencing_token;
    graph.apply(GraphRecord::WorkerSuspected { epoch: 1, worker, agent: 7 }).unwrap();
    let suspicion_offset = graph.state.offset - 1;
    let spec = worker_spec("r0w0", "r0");
    graph.apply(GraphRecord::WorkerRegistered { agent: 8, spec }).unwrap();
    assert!(graph.state.workers[&worker].fencing_token > before);
    let cause = RemovalCause::Lapsed;
    let refusal =
        graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset }).unwrap_err();
    assert_eq!(refusal, GraphRefusal::NotSuspected { worker });
    assert_eq!(graph.runs_of(job).len(), 1);
}

#[test]
fn end_of_an_abandoned_run_counts_unless_its_task_was_restarted() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![tasks(2, 1)]);
    graph.plan();
    let runs = graph.runs_of(job);
    let worker = runs[0].1;
    assert!(runs.iter().all(|(_, on)| *on == worker));
    let cause = RemovalCause::Lapsed;
    graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    let spec = worker_spec("r0w0", "r0");
    let GraphEffect::Worker { worker } =
        graph.apply(GraphRecord::WorkerRegistered { agent: 7, spec }).unwrap()
    else {
        panic!("expected a registered worker");
    };
    let finish = |run: RunKey| RunEnd { run, kind: EndKind::Done, checkpoint: Default::default() };
    let ends = vec![finish(runs[0].0)];
    let effect = graph.apply(GraphRecord::RunsEnded { worker, ends }).unwrap();
    assert_eq!(effect, GraphEffect::Ended { superseded: vec![] });
    graph.plan();
    assert_eq!(graph.runs_of(job).len(), 1, "the finished task is not placed again");
    let ends = vec![finish(runs[1].0)];
    let effect = graph.apply(GraphRecord::RunsEnded { worker, ends }).unwrap();
    assert_eq!(effect, GraphEffect::Ended { superseded: vec![runs[1].0] });
    assert_eq!(graph.state.jobs[&job].phase, JobPhase::Active);
}

#[test]
fn checkpoint_survives_the_removal_of_its_worker() {
    let mut graph = GraphBuilder::new(1, 2);
    let mut step = gang(2, 1);
    step.saves_progress = true;
    let job = graph.submit(1, 1, vec![step]);
    graph.plan();
    let (run, worker) = graph.runs_of(job)[1];
    let saved = vec![(run, "0abc".into())];
    graph.apply(GraphRecord::CheckpointsSaved { worker, saved }).unwrap();
    let cause = RemovalCause::Lapsed;
    graph.apply(GraphRecord::WorkerRemoved { worker, cause, suspicion_offset: 0 }).unwrap();
    let state = &graph.state.jobs[&job];
    let representative = state.steps[&(0, 0)].representative(&state.spec.steps[0], 1).unwrap();
    assert_eq!(representative.checkpoint, "0abc", "a gang shares the checkpoints of its members");
}

#[test]
fn ended_jobs_are_removed_after_their_retention() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    graph.renew_for(120_000);
    assert!(graph.state.jobs.contains_key(&job));
    graph.renew_for(60_000);
    assert!(!graph.state.jobs.contains_key(&job));
}

/// Guards against a second run of a job that is done and submitted again after the clock of one
/// writer jumped ahead.
#[test]
fn ended_job_is_not_started_again_after_a_writer_s_clock_jumped_ahead() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    graph.end_all(job, EndKind::Done);
    for jump_ms in [300_000, 600_000, 86_400_000] {
        graph.now_ms += jump_ms;
        graph.apply(GraphRecord::ProcessDown { incarnation: 5 }).unwrap();
        graph.now_ms -= jump_ms;
        graph.renew_for(10_000);
        graph.submit(1, 1, vec![tasks(1, 1)]);
        graph.plan();
        assert_eq!(graph.runs_of(job), [], "a finished job runs again");
    }
    assert!(matches!(graph.state.jobs[&job].phase, JobPhase::Completed { .. }));
}

/// Guards against two runs of a task at the same time, where a job is submitted again while a run of
/// it is being stopped and the clock of one writer jumped ahead.
#[test]
fn run_that_is_being_stopped_gets_no_second_one_after_a_clock_jump() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    let runs = graph.runs_of(job);
    let until_ms = graph.now_ms + 9_000;
    graph.apply(GraphRecord::WorkerDraining { worker: runs[0].1, until_ms }).unwrap();
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    graph.now_ms += 300_000;
    graph.apply(GraphRecord::ProcessDown { incarnation: 5 }).unwrap();
    graph.now_ms -= 300_000;
    graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.plan();
    assert_eq!(graph.runs_of(job), runs, "the task has two runs");
}

/// Guards against jobs that are kept too briefly, or for good, after a jump of the clock.
#[test]
fn ended_jobs_are_kept_for_their_retention_across_a_clock_jump() {
    let mut graph = GraphBuilder::new(1, 1);
    let job = graph.submit(1, 1, vec![tasks(1, 1)]);
    graph.apply(GraphRecord::JobCancelled { job }).unwrap();
    graph.renew_for(30_000);
    graph.now_ms += 300_000;
    graph.renew_for(90_000);
    assert!(graph.state.jobs.contains_key(&job));
    graph.renew_for(60_000);
    assert!(!graph.state.jobs.contains_key(&job));
}

#[test]
fn task_is_not_placed_while_it_runs_or_after_it_is_done() {
    let mut graph = GraphBuilder::new(1, 2);
    let job = graph.submit(1, 1, vec![tasks(2, 1)]);
    graph.plan();
    let step = StepKey { job, occurrence: 0, step: 0 };
    let place = |run| vec![TaskPlacement { index: 0, run, worker: WorkerKey(1) }];
    let refusal = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks: place(2) });
    let reason = "the task already has a run";
    assert_eq!(refusal, Err(GraphRefusal::StepNotReady { step, reason }));
    let (run, worker) = graph.runs_of(job)[0];
    graph.end(run, worker, EndKind::Done).unwrap();
    let refusal = graph.apply(GraphRecord::RunsPlaced { epoch: 1, step, tasks: place(2) });
    let reason = "the task is done";
    assert_eq!(refusal, Err(GraphRefusal::StepNotReady { step, reason }));
}
