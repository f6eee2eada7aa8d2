//! One job of legal size with many wide steps, of each of which few work units find a place at once.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deploy::configuration;
use crate::deploy::Deployment;
use crate::deploy::Route;
use crate::deploy::Trouble;
use crate::deploy::WorkerPlace;
use crate::flood;
use crate::Case;
use crate::Verdict;

/// Work units of a step, in the variant with the disruption and the one without.
const COUNTS: [usize; 2] = [10_000, 20];
const STEPS: usize = 250;
const WORKERS: usize = 11;
const ENTRIES: usize = 3;
/// Time from the job's acceptance to the verdict.
const LENGTH: Duration = Duration::from_secs(60);

fn job(steps: usize, count: usize) -> String {
    let step = format!("{{\"count\":{count},\"cpu\":1,\"anti-affinity\":1,\"estimate-ms\":30000}}");
    format!("{{\"spec\":\"run_ms=30000\",\"steps\":[{}]}}", vec![step; steps].join(","))
}

pub fn run(case: &Case) -> Result<Verdict, Trouble> {
    let routes = [Route { name: "r-ce7ejsm", prefix: "/lohu930/", service: "huvo11a", more: "" }];
    let config = configuration(1, &routes, &["huvo11a"]);
    let places: Vec<_> = (0..WORKERS).map(|_| WorkerPlace { service: "huvo11a", gpu: 8 }).collect();
    let mut deployment = Deployment::start(&case.root, &config, ENTRIES, &places, &case.record)?;
    thread::sleep(Duration::from_secs(4));
    let count = if case.has_trouble { COUNTS[0] } else { COUNTS[1] };
    let body = job(STEPS, count);
    let (status, _) = deployment.call(0, "POST", "/lohu930/00000000000000a1", &body);
    case.record.line(&format!("one job of {STEPS} steps of {count} work units each: {status}"));
    if status != 200 {
        return Err(Trouble(format!("the job was not accepted: {status}")));
    }
    let addresses: Vec<_> = deployment.entries.iter().map(|entry| entry.address).collect();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0..5 {
                thread::sleep(Duration::from_secs(10));
                let path = format!("/lohu930/{:016x}", 0xb0 + number);
                case.submit(addresses[number % ENTRIES], &path, &job(1, 1));
            }
        });
        flood::enforce_memory(case, &mut deployment, began, LENGTH, &mut ends);
    });
    for entry in 0..ENTRIES {
        deployment.call(entry, "GET", "/lohu930/00000000000000a1", "");
    }
    flood::judge(case, &ends)
}
