//! Answers of the store are lost, and a caller that gives up cancels its job.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;

use standins::deployment::Deployment;
use standins::deployment::Terms;
use standins::deployment::case_folder;
use standins::deployment::has_trouble;
use standins::record::Record;

/// When the caller leaves: half the objective of its queue, 1,200 ms.
const LEAVES: Duration = Duration::from_millis(600);
/// Late appends are carried out after 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_500);
/// Length and share of the lost answers: a site has up to 4.5 s and 0.35 of the writes.
const TROUBLE_MS: u64 = 4_500;
const MAX_LOST_PERCENT: u64 = 35;
/// `cancel_ms`, `stop-grace-ms` and `contact-ms` of the site.
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 400;
const CONTACT_MS: u64 = 4_000;
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
        workers: zones.to_vec(),
        special_workers: 0,
        room: (32_000, 65_536, 8),
        max_hold_ms: 6_000,
        keep: KEEP,
    };
    let mut deployment = Deployment::start(terms, record.clone());
    // Two steps of 11 s: the second begins long after the disruption.
    let id = "8c0e7a21d94b36f8";
    let body = format!(
        "{{\"spec\":\"work-ms=11000,11000;{id}\",\"steps\":[{{\"count\":1,\"cpu\":13000,\"mem-mb\":1024,\"gpu\":1,\"estimate-ms\":11000}},\
         {{\"count\":1,\"cpu\":13000,\"mem-mb\":1024,\"gpu\":1,\"estimate-ms\":11000,\"depends-on\":[0]}}]}}"
    );
    let (writes_before, _) = deployment.store.write_counts();
    if has_trouble() {
        let spec = format!("work-ms=11000,11000;{id}");
        deployment.store.delay_appends(&spec, 2, LATE);
    }
    let trouble_ms = record.now_ms();
    let (status, _) = deployment.consumer_call(0, "POST", id, &body, LEAVES);
    record
        .line(format!("POST {id} at entry 0 -> {status} (0: the caller leaves without an answer)"));
    if has_trouble() && status != 0 {
        deployment.finish(2, "the case could not run: the submission was answered");
    }
    let mut cancelled_ms = None;
    for entry in [1, 2, 0, 1, 2, 0] {
        let (status, _) = deployment.consumer_call(entry, "DELETE", id, "", Duration::from_secs(3));
        record.line(format!("DELETE {id} at entry {entry} -> {status}"));
        if (200..300).contains(&status) || status == 410 {
            cancelled_ms = Some(record.now_ms());
            break;
        }
    }
    let Some(cancelled_ms) = cancelled_ms else {
        deployment.finish(2, "the case could not run: no cancel was acknowledged");
    };
    // The last late append is carried out within 6 s of its call, which precedes the acknowledgement.
    let calm_ms = cancelled_ms.max(trouble_ms) + LATE.as_millis() as u64 + 500;
    let mut runs_on = 0;
    let mut is_counted = false;
    while record.now_ms() < cancelled_ms + 30_000 {
        thread::sleep(Duration::from_millis(200));
        let now_ms = record.now_ms();
        if !is_counted && now_ms >= trouble_ms + TROUBLE_MS {
            is_counted = true;
            let (writes, unanswered) = deployment.store.write_counts();
            let writes = writes - writes_before;
            record
                .line(format!("{unanswered} of {writes} appends in {TROUBLE_MS} ms got no answer"));
            if unanswered * 100 > writes * MAX_LOST_PERCENT {
                deployment.finish(2, "the case could not run: too many answers were lost");
            }
        }
        let is_due =
            now_ms > cancelled_ms + CANCEL_MS + STOP_GRACE_MS && now_ms > calm_ms + CONTACT_MS;
        let is_running = deployment
            .workers
            .iter()
            .any(|worker| worker.running().iter().any(|task| task.starts_with(id)));
        runs_on += u64::from(is_due && is_running) * 200;
        deployment.check_time();
    }
    let starts = deployment.workers.iter().flat_map(|worker| worker.starts());
    let late: Vec<String> = starts
        .filter(|start| start.task.starts_with(id))
        .filter(|start| {
            start.at_ms > cancelled_ms + CANCEL_MS && start.at_ms > calm_ms + CONTACT_MS
        })
        .map(|start| {
            format!("{} {} ms after the acknowledgement", start.task, start.at_ms - cancelled_ms)
        })
        .collect();
    for entry in 0..3 {
        let (status, body) = deployment.consumer_call(entry, "GET", id, "", Duration::from_secs(3));
        let state = body.as_ref().and_then(|body| body.text("state")).unwrap_or("none").to_owned();
        record.line(format!("GET {id} at entry {entry} -> {status} {state}"));
    }
    let is_broken = !late.is_empty() || runs_on > 0;
    let text =
        format!("starts of the cancelled job in calm: {late:?}; it ran for {runs_on} ms in calm");
    deployment.finish(i32::from(is_broken), &text);
}
