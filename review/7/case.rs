//! A wide job comes, and no other job is placed any more.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::Deployment;
use standins::deployment::Terms;
use standins::deployment::case_folder;
use standins::deployment::has_trouble;
use standins::record::Record;

/// Steps of the wide job and tasks of each, which is the most that the system accepts.
const STEPS: usize = 8;
const TASKS: usize = 10_000;
/// Ordinary jobs, submitted after it.
const JOBS: usize = 6;
/// `finish_s` of the site, after the end of the traffic.
const FINISH_MS: u64 = 14_000;
/// A job must not wait for so long beside free capacity.
const LONGEST_WAIT_MS: u64 = 3_000;
/// How long the case looks on after that.
const OBSERVED_MS: u64 = 30_000;
const KEEP: Duration = Duration::from_secs(20);

fn main() {
    let record = Record::create(&case_folder());
    let zones = [
        ("bacau-yard", "moldova-east"),
        ("roman-yard", "moldova-east"),
        ("buzau-yard", "muntenia"),
    ];
    let terms = Terms {
        entries: zones.to_vec(),
        workers: (0..11).map(|number| zones[number % 3]).collect(),
        special_workers: 0,
        room: (32_000, 65_536, 8),
        max_hold_ms: 6_000,
        keep: KEEP,
    };
    let mut deployment = Deployment::start(terms, record.clone());
    if has_trouble() {
        let id = "a0aa7a21d94b36f8";
        let step = format!("{{\"count\":{TASKS},\"cpu\":1,\"estimate-ms\":1000}}");
        let body =
            format!("{{\"spec\":\"work-ms=1000;\",\"steps\":[{}]}}", vec![step; STEPS].join(","));
        let (status, _) = deployment.consumer_call(0, "POST", id, &body, Duration::from_secs(3));
        record
            .line(format!("POST {id}, {STEPS} steps of {TASKS} tasks of 0.001 cores -> {status}"));
        if status != 200 {
            deployment.finish(2, "the case could not run: the wide job was not accepted");
        }
        thread::sleep(Duration::from_secs(2));
    }
    let body = "{\"spec\":\"work-ms=2500;\",\"steps\":[{\"count\":1,\"cpu\":3700,\"mem-mb\":1024,\"gpu\":2,\"estimate-ms\":2500}]}";
    let mut accepted: Vec<String> = Vec::new();
    for number in 0..JOBS * 5 {
        let id = format!("a0bb7a21d9{number:06x}");
        let (status, _) =
            deployment.consumer_call(number % 3, "POST", &id, body, Duration::from_secs(3));
        record.line(format!("POST {id} -> {status}"));
        if status == 200 {
            accepted.push(id);
        }
        if accepted.len() == JOBS {
            break;
        }
    }
    if accepted.len() < JOBS {
        deployment.finish(2, "the case could not run: too few jobs were accepted");
    }
    let accepted_ms = record.now_ms();
    let waiting = |deployment: &Deployment| {
        let begun: Vec<String> = deployment
            .workers
            .iter()
            .flat_map(|worker| worker.starts())
            .map(|start| start.task)
            .collect();
        let is_waiting = |id: &&String| !begun.iter().any(|task| task.starts_with(id.as_str()));
        accepted.iter().filter(is_waiting).count()
    };
    // Less than half of the capacity is in use as long as no task runs.
    let mut waited_ms = 0;
    while record.now_ms() < accepted_ms + FINISH_MS + OBSERVED_MS && waiting(&deployment) > 0 {
        thread::sleep(Duration::from_millis(100));
        let is_idle = deployment.workers.iter().all(|worker| worker.running_count() == 0);
        if is_idle && record.now_ms() > accepted_ms + FINISH_MS {
            waited_ms += 100;
        }
        deployment.check_time();
    }
    for id in &accepted {
        let (status, body) = deployment.consumer_call(1, "GET", id, "", Duration::from_secs(3));
        let state = body.as_ref().and_then(|body| body.text("state")).unwrap_or("none").to_owned();
        record.line(format!("GET {id} at entry 1 -> {status} {state}"));
    }
    let text = format!(
        "{} of {JOBS} ordinary jobs have not begun; they waited for {waited_ms} ms beside idle workers, counted from \
         finish_s after the last submission",
        waiting(&deployment)
    );
    deployment.finish(i32::from(waited_ms > LONGEST_WAIT_MS), &text);
}
