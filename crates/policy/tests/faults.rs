//! Each fault at the border of fold and policy, on a clock that the test moves.

#![allow(clippy::unwrap_used, reason = "a test may fail where it stands")]

mod fault_bench;

use cuminbarrow_ledger::capacity_sample::SAMPLE_INTERVAL_MS;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_policy::placement_policy::Decision;
use cuminbarrow_policy::placement_policy::WaitReason;

use crate::fault_bench::BORROWER;
use crate::fault_bench::FaultBench;
use crate::fault_bench::OWNER;
use crate::fault_bench::RUN_MS;
use crate::fault_bench::join;
use crate::fault_bench::spec;

/// Time after which a failed job has surely been tried again, in ms.
const BACKOFF_MS: u64 = 61_000;
/// Longest time for which a stop may take: grace and lease, in ms.
const RECLAIM_MS: u64 = 30_000;

/// A full deployment of borrowers, and the owner's gang that wants its room back; gives the jobs
/// that are asked to stop and the owner's.
fn reclaim(bench: &mut FaultBench, workers: u16) -> (Vec<JobKey>, JobKey) {
    (0..workers).for_each(|_| {
        bench.submit(BORROWER, spec(1, 8));
    });
    bench.run();
    bench.now_ms += 1_000;
    let wanted = bench.submit(OWNER, spec(3, 8));
    let decisions = bench.round();
    assert!(matches!(decisions[..], [Decision::Preempt { .. }]), "{decisions:?}");
    (bench.stopping(), wanted)
}

#[test]
fn poisoned_job_ends_and_closes_no_worker() {
    let mut bench = FaultBench::new(3, 0);
    let poisoned = bench.submit(OWNER, spec(1, 8));
    let mut tries = 0;
    while bench.job(poisoned).outcome().is_none() {
        bench.run();
        bench.fail(poisoned);
        bench.now_ms += BACKOFF_MS;
        tries += 1;
        assert!(tries <= 3, "it fails on at most three workers");
    }
    let outcome = bench.job(poisoned).outcome().unwrap();
    assert!(matches!(outcome, JobOutcome::Failed { .. }), "{outcome:?}");
    assert_eq!(tries, 3);
    assert!((0..9).all(|index| bench.worker(index).quarantined_ms.is_none()));
}

#[test]
fn many_poisoned_jobs_close_at_most_a_fifth_of_the_workers() {
    let mut bench = FaultBench::new(5, 0);
    for _ in 0..60 {
        bench.submit(BORROWER, spec(1, 8));
    }
    let good = bench.submit(OWNER, spec(1, 8));
    for _ in 0..40 {
        bench.run();
        let placed: Vec<JobKey> = bench.state.placed.iter().copied().collect();
        for key in placed {
            if key == good { bench.complete(key) } else { bench.fail(key) }
        }
        let closed = (0..15).filter(|index| bench.worker(*index).quarantined_ms.is_some()).count();
        assert!(closed <= 3, "{closed} of 15 workers are in quarantine");
        bench.now_ms += BACKOFF_MS;
    }
    let outcome = bench.job(good).outcome();
    assert!(matches!(outcome, Some(JobOutcome::Completed { .. })), "{outcome:?}");
    assert!(bench.state.pending.is_empty(), "each poisoned job has ended");
}

#[test]
fn worker_that_fails_everything_is_closed_probed_and_trusted_again() {
    let mut bench = FaultBench::new(3, 0);
    let bad = WorkerKey(0);
    let mut jobs: Vec<JobKey> = Vec::new();
    for _ in 0..12 {
        jobs.extend((0..9).map(|_| bench.submit(OWNER, spec(1, 8))));
        bench.run();
        let placed: Vec<JobKey> = bench.state.placed.iter().copied().collect();
        for key in placed {
            if bench.lead(key) == bad { bench.fail(key) } else { bench.complete(key) }
        }
        bench.now_ms += BACKOFF_MS;
    }
    assert!(bench.worker(0).quarantined_ms.is_some(), "it failed distinct jobs");
    let failed = jobs.iter().filter(|key| !bench.job(**key).failed_workers.is_empty()).count();
    assert!(failed <= 3 + 2, "three failures close it, then single probes: {failed}");
    for _ in 0..8 {
        bench.run();
        let placed: Vec<JobKey> = bench.state.placed.iter().copied().collect();
        let probes = placed.iter().filter(|key| bench.lead(**key) == bad).count();
        let is_closed = bench.worker(0).quarantined_ms.is_some();
        assert!(!is_closed || probes <= 1, "{probes} probes at once");
        placed.into_iter().for_each(|key| bench.complete(key));
        bench.submit(OWNER, spec(1, 8));
        bench.now_ms += 310_000;
    }
    assert!(bench.worker(0).quarantined_ms.is_none(), "a probe that completes opens it");
    for key in jobs {
        let outcome = bench.job(key).outcome();
        assert!(matches!(outcome, Some(JobOutcome::Completed { .. })), "{outcome:?}");
    }
}

#[test]
fn rack_lost_in_mid_reclaim_moves_the_guarantee() {
    let mut bench = FaultBench::new(2, 3);
    let (victims, wanted) = reclaim(&mut bench, 6);
    let home = bench.lead(victims[0]).0 / 3 * 3;
    bench.lose(&[home, home + 1, home + 2]);
    for victim in &victims {
        assert!(bench.job(*victim).is_pending(), "a repeatable job waits again");
    }
    let began_ms = bench.now_ms;
    while bench.job(wanted).placement().is_none() {
        bench.run();
        bench.stopping().into_iter().for_each(|key| bench.stop(key));
        bench.now_ms += 1_000;
        assert!(bench.now_ms <= began_ms + RECLAIM_MS, "the owner gets its shape elsewhere");
    }
    assert_ne!(bench.lead(wanted).0 / 3 * 3, home);
}

#[test]
fn planner_killed_in_mid_reclaim_is_followed_by_one_that_finishes_it() {
    let mut bench = FaultBench::new(1, 3);
    let (victims, wanted) = reclaim(&mut bench, 3);
    let old = Record::JobPlaced {
        epoch: bench.epoch,
        attempt: cuminbarrow_model::keys::AttemptKey { job: wanted, attempt: 1 },
        members: Vec::new(),
        reservation: None,
    };
    bench.replace_planner();
    let report = bench.apply(vec![old]);
    assert!(report.results[0].is_err(), "a record of the old epoch changes nothing");
    bench.stop(victims[0]);
    bench.run();
    assert!(bench.job(wanted).placement().is_none(), "no part of the gang is placed");
    assert!(bench.job(victims[0]).placement().is_none(), "the freed room is not lent again");
    bench.stop(victims[1]);
    bench.stop(victims[2]);
    bench.run();
    let placement = bench.job(wanted).placement().expect("the owner has its shape");
    assert!(placement.reservation.is_some());
    let preempted: u8 = victims.iter().map(|key| bench.job(*key).preemptions).sum();
    assert_eq!(preempted, 3, "each victim was stopped once");
}

#[test]
fn work_lent_in_the_round_of_a_reclaim_does_not_hold_it_up() {
    let mut bench = FaultBench::new(1, 3);
    bench.submit(BORROWER, spec(1, 8));
    bench.submit(BORROWER, spec(1, 8));
    bench.run();
    bench.submit(BORROWER, JobSpec { urgent: true, ..spec(1, 8) });
    let wanted = bench.submit(OWNER, spec(3, 8));
    let began_ms = bench.now_ms;
    while bench.job(wanted).placement().is_none() {
        bench.run();
        bench.stopping().into_iter().for_each(|key| bench.stop(key));
        bench.now_ms += 1_000;
        assert!(bench.now_ms <= began_ms + 3_000, "each victim stops at once");
    }
}

#[test]
fn victim_that_does_not_stop_is_lapsed_and_the_reclaim_ends() {
    let mut bench = FaultBench::new(1, 3);
    let (victims, wanted) = reclaim(&mut bench, 3);
    bench.stop(victims[0]);
    bench.stop(victims[1]);
    bench.now_ms += RECLAIM_MS - 1_000;
    bench.round();
    assert!(bench.job(wanted).placement().is_none(), "the other victim holds its part");
    let worker = bench.lead(victims[2]);
    bench.end(victims[2], AttemptEnd::Lapsed { worker });
    bench.run();
    assert!(bench.job(wanted).placement().is_some(), "within grace and lease");
}

#[test]
fn wave_of_cancellations_leaves_nothing_behind() {
    let mut bench = FaultBench::new(3, 3);
    let jobs: Vec<JobKey> = (0..1_000).map(|_| bench.submit(BORROWER, spec(1, 4))).collect();
    bench.run();
    let running = bench.state.placed.len();
    assert!(running > 0);
    let cancels = jobs.iter().map(|job| Record::JobCancelled { job: *job }).collect();
    let report = bench.apply(cancels);
    assert!(report.results.iter().all(Result::is_ok));
    assert_eq!((bench.state.pending.len(), bench.stopping().len()), (0, running));
    let again = jobs.iter().map(|job| Record::JobCancelled { job: *job }).collect();
    bench.apply(again);
    bench.stopping().into_iter().for_each(|key| bench.stop(key));
    assert_eq!(bench.state.placed.len(), 0);
    assert!((0..9).all(|index| bench.worker(index).used_accelerators.is_empty()));
    let not_run = jobs
        .iter()
        .filter(|key| matches!(bench.job(**key).outcome(), Some(JobOutcome::NotRun { .. })));
    assert_eq!(not_run.count(), 1_000 - running, "just those that had not started");
}

/// Small jobs arrive without end and all declare a tenth, or ten times, of what they run.
fn large_gang_wait_ms(declared_ms: u64, run_ms: u64) -> u64 {
    let mut bench = FaultBench::new(3, 0);
    let small = JobSpec { declared_run_ms: declared_ms, ..spec(1, 4) };
    let mut ends: Vec<(u64, JobKey)> = Vec::new();
    let mut large = None;
    let step_ms = run_ms / 20;
    for step in 0..2_000_u64 {
        if bench.state.pending.len() < 40 {
            bench.submit(BORROWER, small.clone());
            bench.submit(BORROWER, small.clone());
        }
        if step == 100 {
            large = Some((bench.submit(OWNER, spec(3, 8)), bench.now_ms));
        }
        bench.run();
        if let Some((key, from_ms)) = large
            && bench.job(key).placement().is_some()
        {
            return bench.now_ms - from_ms;
        }
        let known: Vec<JobKey> = ends.iter().map(|(_, key)| *key).collect();
        let new = bench.state.placed.iter().filter(|key| !known.contains(key));
        ends.extend(new.map(|key| (bench.now_ms + run_ms, *key)));
        bench.now_ms += step_ms;
        let due = |end: &(u64, JobKey)| end.0 <= bench.now_ms;
        let (over, rest): (Vec<_>, Vec<_>) = ends.iter().partition(|end| due(end));
        ends = rest;
        over.into_iter().for_each(|(_, key)| bench.complete(key));
    }
    u64::MAX
}

#[test]
fn large_gang_starts_though_run_times_are_declared_wrong() {
    // The shield begins after its delay; all placed work ends within one run, and the choice of
    // room is made anew as estimates are learnt.
    for (declared_ms, run_ms) in [(RUN_MS / 10, RUN_MS), (RUN_MS * 10, RUN_MS), (RUN_MS, RUN_MS)] {
        let wait_ms = large_gang_wait_ms(declared_ms, run_ms);
        let bound_ms = cuminbarrow_policy::policy_weights::PolicyWeights::COMPLETION
            .shield_after_ms
            + 4 * run_ms;
        assert!(wait_ms <= bound_ms, "{wait_ms} ms with {declared_ms} declared, {run_ms} run");
    }
}

#[test]
fn lost_worker_that_returns_is_used_again() {
    let mut bench = FaultBench::new(1, 3);
    bench.lose(&[0]);
    assert!(bench.state.reservations.values().all(|held| held.members.is_none()));
    bench.apply(vec![join(0, 2)]);
    assert!(bench.state.reservations.values().all(|held| held.members.is_some()));
    let job = bench.submit(OWNER, spec(3, 8));
    bench.run();
    assert!(bench.job(job).placement().is_some());
}

#[test]
fn waiting_behind_a_large_job_names_it() {
    let mut bench = FaultBench::new(1, 0);
    let long = JobSpec { declared_run_ms: 40 * RUN_MS, ..spec(1, 8) };
    let first = bench.submit(BORROWER, long.clone());
    let second = bench.submit(BORROWER, long);
    bench.run();
    let large = bench.submit(OWNER, spec(3, 8));
    bench.now_ms += 11 * RUN_MS;
    let small = bench.submit(BORROWER, JobSpec { declared_run_ms: 100 * RUN_MS, ..spec(1, 4) });
    let plan = bench.plan();
    assert_eq!(plan.starving_job, Some(large));
    let note = plan.waiting.iter().find(|note| note.job == small).unwrap();
    assert_eq!(note.reason, WaitReason::BehindLargeJob);
    bench.complete(first);
    bench.complete(second);
    bench.run();
    assert!(bench.job(large).placement().is_some(), "it gets the room kept for it");
    assert!(bench.job(small).placement().is_none());
}

#[test]
fn room_on_a_lost_worker_does_not_count_as_usable() {
    let mut bench = FaultBench::new(1, 0);
    let filling = [spec(1, 5), spec(1, 5)].map(|spec| bench.submit(BORROWER, spec));
    bench.run();
    let used = filling.map(|key| bench.lead(key).0);
    let idle = (0..3).find(|index| !used.contains(index)).expect("two of three are used");
    bench.submit(OWNER, spec(1, 6));
    bench.now_ms += SAMPLE_INTERVAL_MS;
    bench.lose(&[idle]);
    let sample = bench.state.capacity_samples.back().unwrap();
    assert_eq!((sample.free, sample.fragmented), (6, 6), "three and three for a shape of six");
}
