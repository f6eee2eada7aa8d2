//! The store forgets its history while all machines are dark.

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

/// Jobs, one every 100 ms.
const JOBS: usize = 100;
const INTERVAL: Duration = Duration::from_millis(100);
/// How long the machines are dark, in s; a site has up to 9.5 s. `DARK_S` sets another time.
const DARK_S: u64 = 5;
/// `recovery-s` and `finish_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
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
    let body = |work_ms: u32| {
        format!(
            "{{\"spec\":\"work-ms={work_ms};\",\"steps\":[{{\"count\":1,\"cpu\":3700,\"mem-mb\":1024,\"gpu\":2,\"estimate-ms\":{work_ms}}}]}}"
        )
    };
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("7a0e7a21d9{number:06x}");
        let (status, _) =
            deployment.consumer_call(number % 3, "POST", &id, &body(2_500), Duration::from_secs(3));
        record.line(format!("POST {id} -> {status}"));
        if status == 200 {
            accepted.push(id);
        }
        thread::sleep(INTERVAL);
    }
    // `KILL=0` and `FORGET=0` leave out one half of the disruption.
    let dark_s = std::env::var("DARK_S").ok().and_then(|text| text.parse().ok()).unwrap_or(DARK_S);
    let half = Duration::from_secs(dark_s) / 2;
    let is_on =
        |name: &str| has_trouble() && std::env::var(name).map_or(true, |value| value != "0");
    if is_on("KILL") {
        deployment.kill_processes();
        deployment.workers.iter().for_each(|worker| worker.power_off());
    }
    thread::sleep(half);
    if is_on("FORGET") {
        deployment.store.forget_history();
    }
    thread::sleep(half);
    if is_on("KILL") {
        deployment.workers.iter().for_each(|worker| worker.power_on());
        deployment.start_processes();
    }
    thread::sleep(RECOVERY);
    let mut served = 0;
    for number in 0..12 {
        let id = format!("7b0e7a21d9{number:06x}");
        let (status, _) =
            deployment.consumer_call(number % 3, "POST", &id, &body(2_500), Duration::from_secs(3));
        record.line(format!("POST {id} after the recovery -> {status}"));
        served += usize::from(status == 200);
    }
    // The newest jobs are asked for first. A job counts as known once any entry tells its state; the others
    // are asked for again.
    let until = Instant::now() + FINISH;
    let mut open: Vec<(String, bool)> =
        accepted.iter().rev().map(|id| (id.clone(), false)).collect();
    while !open.is_empty() && Instant::now() < until {
        let (id, _) = open.remove(0);
        let is_known = (0..3).any(|entry| {
            let (status, body) =
                deployment.consumer_call(entry, "GET", &id, "", Duration::from_secs(3));
            let state =
                body.as_ref().and_then(|body| body.text("state")).unwrap_or("none").to_owned();
            record.line(format!("GET {id} at entry {entry} -> {status} {state}"));
            status == 200 && ["queued", "running", "completed"].contains(&state.as_str())
        });
        if !is_known {
            open.push((id, true));
        }
        deployment.check_time();
    }
    let unknown = open.iter().filter(|(_, is_asked)| *is_asked).count();
    let asked = accepted.len() - open.len() + unknown;
    let ready = deployment.ready_entries().len();
    let text = format!(
        "{unknown} of {asked} accepted jobs asked for are not known at any entry; {served} of 12 later submissions were \
         accepted; {ready} of 3 entries are ready"
    );
    deployment.finish(i32::from(unknown > 0), &text);
}
