//! Filling tasks beside tasks that serve.

use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::task_key::RunKey;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::throttle_control::ThrottleClass;
use cuminbarrow_taskgraph::throttle_control::ThrottleControl;

/// A serving task may miss its target for this long, in ms.
const HARM_MS: u64 = 4_000;
/// Time between looks, in ms.
const LOOK_MS: u64 = 500;
const TARGET_MS: u32 = 100;

fn run(job: u64) -> RunKey {
    let step = StepKey { job: JobId(job), occurrence: 0, step: 0 };
    RunKey { task: step.task(0), run: 1 }
}

fn serving(latency_ms: u32) -> (RunKey, ThrottleClass) {
    (run(1), ThrottleClass::LatencySensitive { latency_ms, target_ms: TARGET_MS })
}

/// A worker with one serving and one filling task. The filling one adds to the latency by its pace,
/// and the figures told are those of the look before.
struct Worker {
    control: ThrottleControl,
    now_ms: u64,
    alone_ms: u32,
    harm_ms: u32,
    pace: u32,
    latency_ms: u32,
}

impl Worker {
    fn new(alone_ms: u32, harm_ms: u32) -> Self {
        let control = ThrottleControl::default();
        let latency_ms = alone_ms + harm_ms;
        Self { control, now_ms: 10_000, alone_ms, harm_ms, pace: 100, latency_ms }
    }

    fn look(&mut self) {
        self.now_ms += LOOK_MS;
        let told = self.latency_ms;
        self.latency_ms = self.alone_ms + self.harm_ms * self.pace / 100;
        self.control.observe(&[serving(told), (run(2), ThrottleClass::BestEffort)], self.now_ms);
        for (run, percent) in self.control.next_orders() {
            self.control.answered(run, percent, true);
            self.pace = percent;
        }
    }
}

#[test]
fn a_missed_target_is_met_long_before_it_counts_as_harm() {
    for (alone_ms, harm_ms) in [(40, 100), (80, 400), (95, 2_000)] {
        let mut worker = Worker::new(alone_ms, harm_ms);
        let began_ms = worker.now_ms;
        while worker.latency_ms >= TARGET_MS {
            worker.look();
            let took_ms = worker.now_ms - began_ms;
            assert!(took_ms < HARM_MS, "{alone_ms} ms and {harm_ms}: over for {took_ms} ms");
        }
    }
}

#[test]
fn filling_tasks_go_on_where_there_is_room_for_them() {
    let mut worker = Worker::new(40, 100);
    let mut paces = Vec::new();
    for _ in 0..60 {
        worker.look();
        paces.push(worker.pace);
    }
    let lately = &paces[20..];
    let mean = lately.iter().sum::<u32>() / lately.len() as u32;
    assert!(mean >= 20, "a pace of 20 leaves 40 % of the target unused: {lately:?}");
}

#[test]
fn alone_and_beside_calm_tasks_they_work_at_full_pace() {
    let mut control = ThrottleControl::default();
    control.observe(&[(run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!((control.next_orders(), control.is_needed()), (vec![], false));
    control.observe(&[serving(50), (run(2), ThrottleClass::BestEffort)], 2_000);
    assert_eq!((control.next_orders(), control.is_needed()), (vec![], true));
}

#[test]
fn a_task_that_comes_later_is_slowed_too_and_all_are_freed_when_serving_ends() {
    let mut control = ThrottleControl::default();
    control.observe(&[serving(150), (run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!(control.next_orders(), [(run(2), 25)]);
    control.answered(run(2), 25, true);
    control.observe(
        &[serving(80), (run(2), ThrottleClass::BestEffort), (run(3), ThrottleClass::BestEffort)],
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
fn an_order_without_an_answer_is_repeated_but_none_overtakes_another() {
    let mut control = ThrottleControl::default();
    control.observe(&[serving(150), (run(2), ThrottleClass::BestEffort)], 1_000);
    assert_eq!(control.next_orders(), [(run(2), 25)]);
    control.observe(&[serving(150), (run(2), ThrottleClass::BestEffort)], 2_000);
    assert_eq!(control.next_orders(), [], "the first is under way");
    control.answered(run(2), 25, false);
    assert_eq!(control.next_orders(), [(run(2), 0)]);
}
