//! Many large jobs of legal size at once, as the operators met them. The platform kills a process that
//! exceeds its memory and starts it again.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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

/// Largest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// Number of jobs, in both variants.
const JOBS: usize = 400;
/// Callers that submit at once.
const CALLERS: usize = 8;
const ENTRIES: usize = 3;
/// Time from the start of the traffic to the verdict.
const LENGTH: Duration = Duration::from_secs(75);
/// Time until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of processes by themselves on one machine that count for the rule.
const MAX_ENDS: usize = 3;
/// Machines with that many ends that count for the rule: a tenth of those in use, two at least.
const MAX_MACHINES: usize = 2;

/// A job whose steps depend on up to `width` steps before them.
fn job(steps: usize, width: usize) -> String {
    let mut text = "{\"spec\":\"run_ms=2000\",\"steps\":[".to_owned();
    for step in 0..steps {
        if step > 0 {
            text.push(',');
        }
        text.push_str("{\"count\":1,\"cpu\":1000,\"gpu\":1,\"estimate-ms\":2000");
        if step > 0 {
            let earlier = step.saturating_sub(width)..step;
            let earlier: Vec<String> = earlier.map(|number| number.to_string()).collect();
            text.push_str(&format!(",\"depends-on\":[{}]", earlier.join(",")));
        }
        text.push('}');
    }
    text.push_str("]}");
    text
}

pub fn run(case: &Case) -> Result<Verdict, Trouble> {
    let routes = [Route { name: "r-ce7ejsm", prefix: "/lohu930/", service: "huvo11a", more: "" }];
    let config = configuration(1, &routes, &["huvo11a"]);
    let places: Vec<_> = (0..3).map(|_| WorkerPlace { service: "huvo11a", gpu: 8 }).collect();
    let mut deployment = Deployment::start(&case.root, &config, ENTRIES, &places, &case.record)?;
    thread::sleep(Duration::from_secs(4));
    let body = if case.has_trouble { job(900, 56) } else { job(10, 1) };
    if body.len() > MAX_BODY_BYTES {
        return Err(Trouble("the body is larger than the configuration allows".to_owned()));
    }
    case.record.line(&format!("{JOBS} jobs of {} bytes each, {CALLERS} at once", body.len()));
    let next = AtomicUsize::new(0);
    let accepted = AtomicUsize::new(0);
    let began = Instant::now();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let addresses: Vec<_> = deployment.entries.iter().map(|entry| entry.address).collect();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while began.elapsed() < LENGTH {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= JOBS {
                        return;
                    }
                    let path = format!("/lohu930/{number:016x}");
                    let status = case.submit(addresses[number % ENTRIES], &path, &body);
                    accepted.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                }
            });
        }
        enforce_memory(case, &mut deployment, began, LENGTH, &mut ends);
    });
    let accepted = accepted.load(Ordering::Relaxed);
    case.record.line(&format!("{accepted} of {JOBS} jobs accepted"));
    judge(case, &ends)
}

/// The rule "Fault".
pub fn judge(case: &Case, ends: &BTreeMap<String, usize>) -> Result<Verdict, Trouble> {
    case.record.line(&format!("ends by memory: {ends:?}"));
    let machines = ends.values().filter(|count| **count >= MAX_ENDS).count();
    if machines >= MAX_MACHINES {
        let what = format!("processes ended {MAX_ENDS} times on {machines} machines: {ends:?}");
        return Ok(Verdict::Broken(what));
    }
    Ok(Verdict::Held)
}

/// Plays the platform: kills processes that exceed their memory, and starts ended ones again.
pub fn enforce_memory(
    case: &Case,
    deployment: &mut Deployment,
    began: Instant,
    length: Duration,
    ends: &mut BTreeMap<String, usize>,
) {
    let mut peaks: BTreeMap<String, u64> = BTreeMap::new();
    let mut restarts: BTreeMap<String, Instant> = BTreeMap::new();
    while began.elapsed() < length {
        for process in deployment.entries.iter_mut().chain(&mut deployment.agents) {
            if let Some(at) = restarts.get(&process.name) {
                if Instant::now() >= *at {
                    restarts.remove(&process.name);
                    if let Err(Trouble(error)) = process.start() {
                        case.record.line(&format!("{} does not start: {error}", process.name));
                    }
                }
                continue;
            }
            let resident_mb = process.resident_mb();
            let peak = peaks.entry(process.name.clone()).or_default();
            *peak = (*peak).max(resident_mb);
            let is_over = resident_mb > process.memory_mb;
            if !is_over && !process.has_ended() {
                continue;
            }
            process.kill();
            *ends.entry(process.name.clone()).or_default() += 1;
            let (name, limit) = (&process.name, process.memory_mb);
            let why = if is_over { "exceeds its memory and is killed" } else { "has ended" };
            case.record.line(&format!("{name} {why}: {resident_mb} MB of {limit} MB"));
            restarts.insert(process.name.clone(), Instant::now() + RESTART_DELAY);
        }
        thread::sleep(Duration::from_millis(20));
    }
    case.record.line(&format!("peaks of the resident memory in MB: {peaks:?}"));
}
