//! A worker refuses what it is told to start while the others are full, and a queue is counted.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::Deployment;
use standins::deployment::PREFIX;
use standins::deployment::Terms;
use standins::deployment::case_folder;
use standins::deployment::has_trouble;
use standins::record::Record;

/// How long the worker refuses; a site has up to 6.5 s.
const GREY: Duration = Duration::from_millis(6_500);
/// `visible_ms` and 2 s: jobs accepted before that are judged.
const JUDGED_AGE_MS: u64 = 5_000;
const WORKERS: usize = 11;
const JOBS: usize = 12;
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
        workers: (0..WORKERS).map(|number| zones[number % 3]).collect(),
        special_workers: 0,
        room: (32_000, 65_536, 8),
        max_hold_ms: 6_000,
        keep: KEEP,
    };
    let mut deployment = Deployment::start(terms, record.clone());
    let body = |work_ms: u32, gpu: u32| {
        format!(
            "{{\"spec\":\"work-ms={work_ms};\",\"steps\":[{{\"count\":1,\"cpu\":3700,\"mem-mb\":1024,\"gpu\":{gpu},\"estimate-ms\":{work_ms}}}]}}"
        )
    };
    for number in 0..WORKERS - 1 {
        let id = format!("9a0e7a21d9{number:06x}");
        let (status, _) =
            deployment.consumer_call(0, "POST", &id, &body(60_000, 8), Duration::from_secs(3));
        record.line(format!("POST {id} -> {status}"));
    }
    deployment.wait_until("all workers but one are full", Duration::from_secs(8), |deployment| {
        deployment.workers.iter().filter(|worker| worker.running_count() == 1).count()
            == WORKERS - 1
    });
    let idle =
        deployment.workers.iter().find(|worker| worker.running_count() == 0).cloned().unwrap();
    if has_trouble() {
        idle.set_grey(true);
    }
    let grey_ms = record.now_ms();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("9b0e7a21d9{number:06x}");
        let (status, _) =
            deployment.consumer_call(0, "POST", &id, &body(60_000, 2), Duration::from_secs(3));
        record.line(format!("POST {id} -> {status}"));
        if status == 200 {
            accepted.push((id, record.now_ms()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    while record.now_ms() < grey_ms + GREY.as_millis() as u64 {
        thread::sleep(Duration::from_millis(50));
    }
    if has_trouble() {
        idle.set_grey(false);
    }
    let mut broken = 0;
    let mut checks = 0;
    for _ in 0..20 {
        for entry in 0..3 {
            let now_ms = record.now_ms();
            let (status, body) =
                deployment.consumer_call(entry, "GET", "", "", Duration::from_secs(3));
            let Some(pending) = body.as_ref().and_then(|body| body.number("pending")) else {
                record.line(format!("GET {PREFIX} at entry {entry} -> {status}"));
                continue;
            };
            // Jobs that begin while the call is answered don't count.
            let begun: Vec<String> = deployment
                .workers
                .iter()
                .flat_map(|worker| worker.starts())
                .map(|start| start.task)
                .collect();
            let waiting = accepted
                .iter()
                .filter(|(id, at_ms)| {
                    at_ms + JUDGED_AGE_MS < now_ms
                        && !begun.iter().any(|task| task.starts_with(id.as_str()))
                })
                .count() as u64;
            record.line(format!("GET {PREFIX} at entry {entry} -> {status}, pending {pending}, {waiting} jobs have waited for over {JUDGED_AGE_MS} ms"));
            checks += 1;
            broken += i32::from(pending * 2 < waiting);
        }
        thread::sleep(Duration::from_millis(500));
        deployment.check_time();
    }
    let text =
        format!("{broken} of {checks} counts were under half of the jobs that had not begun");
    deployment.finish(i32::from(broken > 0), &text);
}
