//! Fault scenarios for the replicated state together with the guaranteed policy, on a simulated
//! clock.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod test_deployment;

use cuminbarrow_ledger::capacity_sample::SAMPLE_INTERVAL_MS;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_policy::placement_policy::Decision;
use cuminbarrow_policy::placement_policy::WaitReason;

use crate::test_deployment::BORROWER;
use crate::test_deployment::OWNER;
use crate::test_deployment::RUN_MS;
use crate::test_deployment::TestDeployment;
use crate::test_deployment::join;
use crate::test_deployment::spec;

/// Longer than the longest retry delay of a failed job, in ms.
const BACKOFF_MS: u64 = 61_000;
/// Maximum duration of a stop, in ms: the grace period plus the gang's lease.
const RECLAIM_MS: u64 = 30_000;

/// Fills the workers with the borrower's jobs and submits a gang of the owner that reclaims its
/// reservation. Returns the jobs that are asked to stop, and the owner's job.
fn start_reclaim(deployment: &mut TestDeployment, workers: u16) -> (Vec<JobKey>, JobKey) {
    (0..workers).for_each(|_| {
        deployment.submit(BORROWER, spec(1, 8));
    });
    deployment.run();
    deployment.now_ms += 1_000;
    let owner_job = deployment.submit(OWNER, spec(3, 8));
    let decisions = deployment.round();
    assert!(matches!(decisions[..], [Decision::Preempt { .. }]), "{decisions:?}");
    (deployment.stopping(), owner_job)
}

#[test]
fn poisoned_job_fails_without_quarantining_workers() {
    let mut deployment = TestDeployment::new(3, 0);
    let poisoned = deployment.submit(OWNER, spec(1, 8));
    let mut attempts = 0;
    while deployment.job(poisoned).outcome().is_none() {
        deployment.run();
        deployment.fail(poisoned);
        deployment.now_ms += BACKOFF_MS;
        attempts += 1;
        assert!(attempts <= 3, "the job is tried on at most three workers");
    }
    let outcome = deployment.job(poisoned).outcome().unwrap();
    assert!(matches!(outcome, JobOutcome::Failed { .. }), "{outcome:?}");
    assert_eq!(attempts, 3);
    assert!((0..9).all(|index| deployment.worker(index).quarantined_ms.is_none()));
}

#[test]
fn poisoned_jobs_quarantine_at_most_a_fifth_of_the_workers() {
    let mut deployment = TestDeployment::new(5, 0);
    for _ in 0..60 {
        deployment.submit(BORROWER, spec(1, 8));
    }
    let healthy_job = deployment.submit(OWNER, spec(1, 8));
    for _ in 0..40 {
        deployment.run();
        let placed: Vec<JobKey> = deployment.state.placed.iter().copied().collect();
        for key in placed {
            if key == healthy_job { deployment.complete(key) } else { deployment.fail(key) }
        }
        let quarantined =
            (0..15).filter(|index| deployment.worker(*index).quarantined_ms.is_some()).count();
        assert!(quarantined <= 3, "{quarantined} of 15 workers are quarantined");
        deployment.now_ms += BACKOFF_MS;
    }
    let outcome = deployment.job(healthy_job).outcome();
    assert!(matches!(outcome, Some(JobOutcome::Completed { .. })), "{outcome:?}");
    assert!(deployment.state.pending.is_empty(), "every poisoned job has ended");
}

#[test]
fn failing_worker_is_quarantined_probed_and_restored() {
    let mut deployment = TestDeployment::new(3, 0);
    let failing_worker = WorkerKey(0);
    let mut jobs: Vec<JobKey> = Vec::new();
    for _ in 0..12 {
        jobs.extend((0..9).map(|_| deployment.submit(OWNER, spec(1, 8))));
        deployment.run();
        let placed: Vec<JobKey> = deployment.state.placed.iter().copied().collect();
        for key in placed {
            if deployment.lead(key) == failing_worker {
                deployment.fail(key)
            } else {
                deployment.complete(key)
            }
        }
        deployment.now_ms += BACKOFF_MS;
    }
    assert!(
        deployment.worker(0).quarantined_ms.is_some(),
        "failures of distinct jobs quarantine the worker"
    );
    let failed = jobs.iter().filter(|key| !deployment.job(**key).failed_workers.is_empty()).count();
    assert!(failed <= 3 + 2, "three failures, then single probes: {failed}");
    for _ in 0..8 {
        deployment.run();
        let placed: Vec<JobKey> = deployment.state.placed.iter().copied().collect();
        let probes = placed.iter().filter(|key| deployment.lead(**key) == failing_worker).count();
        let is_quarantined = deployment.worker(0).quarantined_ms.is_some();
        assert!(!is_quarantined || probes <= 1, "{probes} concurrent probes");
        placed.into_iter().for_each(|key| deployment.complete(key));
        deployment.submit(OWNER, spec(1, 8));
        deployment.now_ms += 310_000;
    }
    assert!(deployment.worker(0).quarantined_ms.is_none(), "a completed probe ends the quarantine");
    for key in jobs {
        let outcome = deployment.job(key).outcome();
        assert!(matches!(outcome, Some(JobOutcome::Completed { .. })), "{outcome:?}");
    }
}

#[test]
fn rack_loss_during_a_reclaim_moves_the_reservation() {
    let mut deployment = TestDeployment::new(2, 3);
    let (victims, owner_job) = start_reclaim(&mut deployment, 6);
    let rack_start = deployment.lead(victims[0]).0 / 3 * 3;
    deployment.lose(&[rack_start, rack_start + 1, rack_start + 2]);
    for victim in &victims {
        assert!(deployment.job(*victim).is_pending(), "a repeatable job is pending again");
    }
    let reclaim_started_ms = deployment.now_ms;
    while deployment.job(owner_job).placement().is_none() {
        deployment.run();
        deployment.stopping().into_iter().for_each(|key| deployment.stop(key));
        deployment.now_ms += 1_000;
        assert!(
            deployment.now_ms <= reclaim_started_ms + RECLAIM_MS,
            "the owner is placed in another rack in time"
        );
    }
    assert_ne!(deployment.lead(owner_job).0 / 3 * 3, rack_start);
}

#[test]
fn new_planner_finishes_the_reclaim_of_a_killed_planner() {
    let mut deployment = TestDeployment::new(1, 3);
    let (victims, owner_job) = start_reclaim(&mut deployment, 3);
    let stale_record = Record::JobPlaced {
        epoch: deployment.epoch,
        attempt: cuminbarrow_model::keys::AttemptKey { job: owner_job, attempt: 1 },
        members: Vec::new(),
        reservation: None,
    };
    deployment.replace_planner();
    let report = deployment.apply(vec![stale_record]);
    assert!(report.results[0].is_err(), "a record of an old epoch is refused");
    deployment.stop(victims[0]);
    deployment.run();
    assert!(deployment.job(owner_job).placement().is_none(), "the gang is not placed in part");
    assert!(
        deployment.job(victims[0]).placement().is_none(),
        "the freed capacity is not lent again"
    );
    deployment.stop(victims[1]);
    deployment.stop(victims[2]);
    deployment.run();
    let placement = deployment.job(owner_job).placement().expect("the owner's gang is placed");
    assert!(placement.reservation.is_some());
    let preempted: u8 = victims.iter().map(|key| deployment.job(*key).preemptions).sum();
    assert_eq!(preempted, 3, "each victim is preempted once");
}

#[test]
fn lending_in_the_same_round_does_not_delay_a_reclaim() {
    let mut deployment = TestDeployment::new(1, 3);
    deployment.submit(BORROWER, spec(1, 8));
    deployment.submit(BORROWER, spec(1, 8));
    deployment.run();
    deployment.submit(BORROWER, JobSpec { urgent: true, ..spec(1, 8) });
    let owner_job = deployment.submit(OWNER, spec(3, 8));
    let reclaim_started_ms = deployment.now_ms;
    while deployment.job(owner_job).placement().is_none() {
        deployment.run();
        deployment.stopping().into_iter().for_each(|key| deployment.stop(key));
        deployment.now_ms += 1_000;
        assert!(
            deployment.now_ms <= reclaim_started_ms + 3_000,
            "the reclaim is not delayed, as each victim stops immediately"
        );
    }
}

#[test]
fn lapse_of_an_unresponsive_victim_completes_the_reclaim() {
    let mut deployment = TestDeployment::new(1, 3);
    let (victims, owner_job) = start_reclaim(&mut deployment, 3);
    deployment.stop(victims[0]);
    deployment.stop(victims[1]);
    deployment.now_ms += RECLAIM_MS - 1_000;
    deployment.round();
    assert!(
        deployment.job(owner_job).placement().is_none(),
        "the last victim still holds its capacity"
    );
    let worker = deployment.lead(victims[2]);
    deployment.end(victims[2], AttemptEnd::Lapsed { worker });
    deployment.run();
    assert!(
        deployment.job(owner_job).placement().is_some(),
        "placed within the grace period and lease"
    );
}

#[test]
fn mass_cancellation_releases_all_resources() {
    let mut deployment = TestDeployment::new(3, 3);
    let jobs: Vec<JobKey> = (0..1_000).map(|_| deployment.submit(BORROWER, spec(1, 4))).collect();
    deployment.run();
    let running = deployment.state.placed.len();
    assert!(running > 0);
    let cancels = jobs.iter().map(|job| Record::JobCancelled { job: *job }).collect();
    let report = deployment.apply(cancels);
    assert!(report.results.iter().all(Result::is_ok));
    assert_eq!((deployment.state.pending.len(), deployment.stopping().len()), (0, running));
    let repeated_cancels = jobs.iter().map(|job| Record::JobCancelled { job: *job }).collect();
    deployment.apply(repeated_cancels);
    deployment.stopping().into_iter().for_each(|key| deployment.stop(key));
    assert_eq!(deployment.state.placed.len(), 0);
    assert!((0..9).all(|index| deployment.worker(index).used_accelerators.is_empty()));
    let not_run = jobs
        .iter()
        .filter(|key| matches!(deployment.job(**key).outcome(), Some(JobOutcome::NotRun { .. })));
    assert_eq!(not_run.count(), 1_000 - running, "exactly the jobs that had not started");
}

/// Waiting time of a large gang, in ms, while small jobs that declare `declared_ms` and run for
/// `run_ms` arrive continuously; `u64::MAX` if it never starts.
fn large_gang_wait_ms(declared_ms: u64, run_ms: u64) -> u64 {
    let mut deployment = TestDeployment::new(3, 0);
    let small = JobSpec { declared_run_ms: declared_ms, ..spec(1, 4) };
    let mut run_ends: Vec<(u64, JobKey)> = Vec::new();
    let mut large = None;
    let tick_ms = run_ms / 20;
    for step in 0..2_000_u64 {
        if deployment.state.pending.len() < 40 {
            deployment.submit(BORROWER, small.clone());
            deployment.submit(BORROWER, small.clone());
        }
        if step == 100 {
            large = Some((deployment.submit(OWNER, spec(3, 8)), deployment.now_ms));
        }
        deployment.run();
        if let Some((key, from_ms)) = large
            && deployment.job(key).placement().is_some()
        {
            return deployment.now_ms - from_ms;
        }
        let known_jobs: Vec<JobKey> = run_ends.iter().map(|(_, key)| *key).collect();
        let newly_placed = deployment.state.placed.iter().filter(|key| !known_jobs.contains(key));
        run_ends.extend(newly_placed.map(|key| (deployment.now_ms + run_ms, *key)));
        deployment.now_ms += tick_ms;
        let is_due = |end: &(u64, JobKey)| end.0 <= deployment.now_ms;
        let (ended, still_running): (Vec<_>, Vec<_>) = run_ends.iter().partition(|end| is_due(end));
        run_ends = still_running;
        ended.into_iter().for_each(|(_, key)| deployment.complete(key));
    }
    u64::MAX
}

#[test]
fn large_gang_starts_despite_wrong_declared_run_times() {
    // The gang gets a planned start once it counts as starving; all placed work ends within one run
    // time, and the planned start is computed again as run time estimates improve. Declared run
    // times are a tenth of the real ones, ten times as long, or equal.
    for (declared_ms, run_ms) in [(RUN_MS / 10, RUN_MS), (RUN_MS * 10, RUN_MS), (RUN_MS, RUN_MS)] {
        let wait_ms = large_gang_wait_ms(declared_ms, run_ms);
        let bound_ms = cuminbarrow_policy::policy_weights::PolicyWeights::COMPLETION
            .starvation_threshold_ms
            + 4 * run_ms;
        assert!(
            wait_ms <= bound_ms,
            "waited {wait_ms} ms with {declared_ms} ms declared, {run_ms} ms run"
        );
    }
}

#[test]
fn rejoined_worker_is_used_again() {
    let mut deployment = TestDeployment::new(1, 3);
    deployment.lose(&[0]);
    assert!(deployment.state.reservations.values().all(|held| held.members.is_none()));
    deployment.apply(vec![join(0, 2)]);
    assert!(deployment.state.reservations.values().all(|held| held.members.is_some()));
    let job = deployment.submit(OWNER, spec(3, 8));
    deployment.run();
    assert!(deployment.job(job).placement().is_some());
}

#[test]
fn plan_names_the_large_job_that_a_small_one_waits_for() {
    let mut deployment = TestDeployment::new(1, 0);
    let long = JobSpec { declared_run_ms: 40 * RUN_MS, ..spec(1, 8) };
    let first = deployment.submit(BORROWER, long.clone());
    let second = deployment.submit(BORROWER, long);
    deployment.run();
    let large = deployment.submit(OWNER, spec(3, 8));
    deployment.now_ms += 11 * RUN_MS;
    let small =
        deployment.submit(BORROWER, JobSpec { declared_run_ms: 100 * RUN_MS, ..spec(1, 4) });
    let plan = deployment.plan();
    assert_eq!(plan.starving_job, Some(large));
    let waiting = plan.waiting.iter().find(|waiting| waiting.job == small).unwrap();
    assert_eq!(waiting.reason, WaitReason::BehindLargeJob);
    deployment.complete(first);
    deployment.complete(second);
    deployment.run();
    assert!(deployment.job(large).placement().is_some(), "the gang gets the capacity kept for it");
    assert!(deployment.job(small).placement().is_none());
}

#[test]
fn free_capacity_of_a_lost_worker_is_not_sampled() {
    let mut deployment = TestDeployment::new(1, 0);
    let initial_jobs = [spec(1, 5), spec(1, 5)].map(|spec| deployment.submit(BORROWER, spec));
    deployment.run();
    let used = initial_jobs.map(|key| deployment.lead(key).0);
    let idle = (0..3).find(|index| !used.contains(index)).expect("one of three workers is idle");
    deployment.submit(OWNER, spec(1, 6));
    deployment.now_ms += SAMPLE_INTERVAL_MS;
    deployment.lose(&[idle]);
    let sample = deployment.state.capacity_samples.back().unwrap();
    assert_eq!(
        (sample.free, sample.fragmented),
        (6, 6),
        "two workers with three free accelerators each, too few for a member of six"
    );
}
