//! Jobs accepted up to the design size, then the entries are stopped and started in turn.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::deployment::Deployment;
use standins::deployment::Terms;
use standins::deployment::case_folder;
use standins::deployment::has_trouble;
use standins::record::Record;

/// Jobs at the size of the users' letter 1.
const JOBS: usize = 550;
/// Longest payload that the users' page allows, in bytes.
const SPEC_BYTES: usize = 4_000;
/// Number of jobs asked for at the end.
const ASKED: usize = 25;
/// `finish_s` of the site: jobs are asked for until then.
const FINISH: Duration = Duration::from_secs(14);
/// History of the store, by the sheet of the site.
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
    // Each job takes all accelerators of a worker, so three run and the others wait.
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("5c0e7a21d9{number:06x}");
        let mut spec = String::from("work-ms=90000;");
        while spec.len() < SPEC_BYTES {
            spec.push_str(&format!(
                "{:x}",
                (spec.len() * 2_654_435_761 + number * 40_503) % 65_536
            ));
        }
        spec.truncate(SPEC_BYTES);
        let body = format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":13000,\"mem-mb\":4096,\"gpu\":8,\"estimate-ms\":90000}}]}}"
        );
        let (status, _) =
            deployment.consumer_call(number % 3, "POST", &id, &body, Duration::from_secs(3));
        if status == 200 {
            accepted.push(id);
        } else {
            record.line(format!("POST {id} -> {status}"));
        }
        deployment.check_time();
    }
    record.line(format!("{} of {JOBS} jobs were accepted", accepted.len()));
    if accepted.len() < JOBS * 9 / 10 {
        deployment.finish(2, "the case could not run: too few jobs were accepted");
    }
    thread::sleep(KEEP + Duration::from_secs(5));
    if has_trouble() {
        for number in 0..deployment.entries.len() {
            deployment.restart_entry(number);
            thread::sleep(Duration::from_millis(1_300));
        }
    }
    // A job counts as known once any entry tells its state.
    let until = Instant::now() + FINISH;
    let asked: Vec<String> = accepted.iter().step_by(accepted.len() / ASKED).cloned().collect();
    let mut unknown = asked.clone();
    while !unknown.is_empty() && Instant::now() < until {
        let id = unknown.remove(0);
        let is_known = (0..3).any(|entry| {
            let (status, body) =
                deployment.consumer_call(entry, "GET", &id, "", Duration::from_secs(3));
            let state =
                body.as_ref().and_then(|body| body.text("state")).unwrap_or("none").to_owned();
            record.line(format!("GET {id} at entry {entry} -> {status} {state}"));
            status == 200 && ["queued", "running"].contains(&state.as_str())
        });
        if !is_known {
            unknown.push(id);
        }
        deployment.check_time();
    }
    let ready = deployment.ready_entries().len();
    let text = format!(
        "{} of {} accepted jobs asked for are not known at any entry after {} s; {ready} of 3 entries are ready",
        unknown.len(),
        asked.len(),
        FINISH.as_secs()
    );
    deployment.finish(i32::from(!unknown.is_empty()), &text);
}
