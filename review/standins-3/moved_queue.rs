//! A queue is moved to another service, and the worker of the first is emptied and taken away: one of
//! twelve workers.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deploy::configuration;
use crate::deploy::Deployment;
use crate::deploy::Route;
use crate::deploy::Trouble;
use crate::deploy::WorkerPlace;
use crate::Case;
use crate::Verdict;

const OLD: &str = "huvo11a";
const NEW: &str = "huvo12b";
const NEW_WORKERS: usize = 11;
const JOBS: usize = 6;
const RUN_MS: u64 = 4_000;
/// Configurations are in force everywhere after `config-apply-ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// How long a leaving worker serves on: `drain-ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(4_000);
/// Time after the last change from which the jobs are judged: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time without a run that counts.
const IDLE: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(60);

fn route(service: &'static str) -> [Route; 1] {
    [Route { name: "r-ce7ejsm", prefix: "/lohu930/", service, more: "" }]
}

pub fn run(case: &Case) -> Result<Verdict, Trouble> {
    let config = configuration(1, &route(OLD), &[OLD, NEW]);
    let mut places = vec![WorkerPlace { service: OLD, gpu: 2 }];
    places.extend((0..NEW_WORKERS).map(|_| WorkerPlace { service: NEW, gpu: 2 }));
    let deployment = Deployment::start(&case.root, &config, 3, &places, &case.record)?;
    thread::sleep(Duration::from_secs(4));
    let body = format!(
        "{{\"spec\":\"run_ms={RUN_MS}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"gpu\":2,\"estimate-ms\":{RUN_MS}}}]}}"
    );
    let ids: Vec<String> = (0..JOBS).map(|number| format!("{:016x}", 0xa0 + number)).collect();
    for (number, id) in ids.iter().enumerate() {
        let (status, _) = deployment.call(number % 3, "POST", &format!("/lohu930/{id}"), &body);
        if status != 200 {
            return Err(Trouble(format!("job {id} was not accepted: {status}")));
        }
    }
    if case.has_trouble {
        deployment.store.configure(&configuration(2, &route(NEW), &[OLD, NEW]));
        case.record.line(&format!("operator moves the queue from {OLD} to {NEW}: version 2"));
        thread::sleep(CONFIG_APPLY);
        deployment.workers[0].leave(DRAIN);
        thread::sleep(DRAIN);
    }
    // A new job shows that the queue is served.
    let (status, _) = deployment.call(0, "POST", "/lohu930/00000000000000ff", &body);
    case.record.line(&format!("a job submitted now: {status}"));
    let changed = Instant::now();
    let mut idle_since: BTreeMap<&String, Instant> = BTreeMap::new();
    while changed.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(200));
        let running: Vec<(String, u64)> =
            deployment.workers.iter().flat_map(|worker| worker.running()).collect();
        let busy = running.len();
        let mut open = 0;
        for id in &ids {
            let is_running = running.iter().any(|(task, _)| task.starts_with(id.as_str()));
            // Under half of the service's capacity is in use for sure if no unit runs.
            if is_running || busy > 0 {
                idle_since.remove(id);
            }
        }
        for (number, id) in ids.iter().enumerate() {
            if changed.elapsed() < FINISH {
                continue;
            }
            let since = *idle_since.entry(id).or_insert_with(Instant::now);
            if since.elapsed() < IDLE || busy > 0 {
                open += 1;
                continue;
            }
            let (status, text) = deployment.call(number % 3, "GET", &format!("/lohu930/{id}"), "");
            if status == 200 && text.contains("completed") {
                continue;
            }
            let what = format!(
                "job {id} has nothing running for {} s while all workers of {} are empty; it is shown as {text}",
                since.elapsed().as_secs(),
                if case.has_trouble { NEW } else { OLD },
            );
            return Ok(Verdict::Broken(what));
        }
        if changed.elapsed() > FINISH + IDLE && open == 0 {
            return Ok(Verdict::Held);
        }
    }
    Ok(Verdict::Held)
}
