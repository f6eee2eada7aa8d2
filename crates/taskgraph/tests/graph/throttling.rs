//! Throttling of best-effort tasks beside latency-sensitive tasks.

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::throttle_control::ThrottleClass;
use cuminbarrow_taskgraph::throttle_control::ThrottleControl;

/// How long a latency-sensitive task may miss its target, in ms.
const MAX_MISS_MS: u64 = 4_000;
/// Interval between two polls, in ms.
const POLL_INTERVAL_MS: u64 = 500;
const TARGET_MS: u32 = 100;

fn run(job: u64) -> RunKey {
    let step = StepKey { job: JobId(job), occurrence: 0, step: 0 };
    RunKey { task: step.task(0), run: 1 }
}

fn latency_sensitive(latency_ms: u32) -> (RunKey, ThrottleClass) {
    (run(1), ThrottleClass::LatencySensitive { latency_ms, target_ms: TARGET_MS })
}

/// A worker with one latency-sensitive and one best-effort task. The best-effort task adds to the
/// latency in proportion to its speed, and each poll reports the latency of the previous one.
struct Worker {
    control: ThrottleControl,
    now_ms: u64,
    base_latency_ms: u32,
    interference_ms: u32,
    speed_percent: u32,
    latency_ms: u32,
}

impl Worker {
    fn new(base_latency_ms: u32, interference_ms: u32) -> Self {
        let control = ThrottleControl::default();
        let latency_ms = base_latency_ms + interference_ms;
        Self {
            control,
            now_ms: 10_000,
            base_latency_ms,
            interference_ms,
            speed_percent: 100,
            latency_ms,
        }
    }

    fn poll(&mut self) {
        self.now_ms += POLL_INTERVAL_MS;
        let reported_ms = self.latency_ms;
        self.latency_ms = self.base_latency_ms + self.interference_ms * self.speed_percent / 100;
        self.control.observe(
            &[latency_sensitive(reported_ms), (run(2), ThrottleClass::BestEffort)],
            self.now_ms,
        );
        for (run, percent) in self.control.next_orders() {
            self.control.answered(run, percent, true);
            self.speed_percent = percent;
        }
    }
}

#[test]
fn missed_latency_target_is_met_within_the_allowed_time() {
    for (base_latency_ms, interference_ms) in [(40, 100), (80, 400), (95, 2_000)] {
        let mut worker = Worker::new(base_latency_ms, interference_ms);
        let started_ms = worker.now_ms;
        while worker.latency_ms >= TARGET_MS {
            worker.poll();
            let took_ms = worker.now_ms - started_ms;
            assert!(
                took_ms < MAX_MISS_MS,
                "{base_latency_ms} ms and {interference_ms}: above the target for {took_ms} ms"
            );
        }
    }
}

#[test]
fn best_effort_tasks_keep_running_if_the_target_allows_it() {
    let mut worker = Worker::new(40, 100);
    let mut speeds = Vec::new();
    for _ in 0..60 {
        worker.poll();
        speeds.push(worker.speed_percent);
    }
    let recent = &speeds[20..];
    let mean = recent.iter().sum::<u32>() / recent.len() as u32;
    assert!(mean >= 20, "a speed of 20 % leaves 40 % of the target unused: {recent:?}");
}

#[test]
fn best_effort_task_runs_at_full_speed_alone_or_at_low_latency() {
    let mut control = ThrottleControl::default();
    control.observe(&[(run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!((control.next_orders(), control.is_needed()), (vec![], false));
    control.observe(&[latency_sensitive(50), (run(2), ThrottleClass::BestEffort)], 2_000);
    assert_eq!((control.next_orders(), control.is_needed()), (vec![], true));
}

#[test]
fn later_task_is_throttled_and_all_are_released_without_latency_sensitive_runs() {
    let mut control = ThrottleControl::default();
    control.observe(&[latency_sensitive(150), (run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!(control.next_orders(), [(run(2), 25)]);
    control.answered(run(2), 25, true);
    control.observe(
        &[
            latency_sensitive(80),
            (run(2), ThrottleClass::BestEffort),
            (run(3), ThrottleClass::BestEffort),
        ],
        2_000,
    );
    assert_eq!(control.next_orders(), [(run(3), 25)]);
    control.answered(run(3), 25, true);
    control.observe(
        &[(run(2), ThrottleClass::BestEffort), (run(3), ThrottleClass::BestEffort)],
        2_100,
    );
    assert_eq!(control.next_orders(), [(run(2), 100), (run(3), 100)]);
}

#[test]
fn unanswered_order_is_repeated_but_never_sent_while_in_flight() {
    let mut control = ThrottleControl::default();
    control.observe(&[latency_sensitive(150), (run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!(control.next_orders(), [(run(2), 25)]);
    control.observe(&[latency_sensitive(150), (run(2), ThrottleClass::BestEffort)], 2_000);
    assert_eq!(control.next_orders(), [], "the first order is in flight");
    control.answered(run(2), 25, false);
    assert_eq!(control.next_orders(), [(run(2), 0)]);
}
