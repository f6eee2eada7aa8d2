//! Another writer sends liveness reports under a worker's id, and the process beside the worker is killed
//! and started again once.

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

const SERVICE: &str = "huvo11a";
/// The worker with the label that the jobs require: the fourth one, alone in its rack.
const PLACE: usize = 3;
const LABEL: &str = "r1-1";
const RUN_MS: u64 = 1_000;
/// Pause between the reports of the other writer.
const WRITING_PAUSE: Duration = Duration::from_millis(100);
/// How much later than the worker the other writer says that it was born.
const LATER_MS: u64 = 5_000;
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which an undisturbed process is in touch: `contact-ms`.
const CONTACT: Duration = Duration::from_secs(4);
/// Time after the job's acceptance from which it is judged: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time without a run that counts.
const IDLE: Duration = Duration::from_secs(3);
/// Time from the job's submission to the verdict.
const LENGTH: Duration = Duration::from_secs(45);

pub fn run(case: &Case) -> Result<Verdict, Trouble> {
    let routes = [Route { name: "r-ce7ejsm", prefix: "/lohu930/", service: SERVICE, more: "" }];
    let config = configuration(1, &routes, &[SERVICE]);
    let places: Vec<_> = (0..=PLACE).map(|_| WorkerPlace { service: SERVICE, gpu: 8 }).collect();
    let mut deployment = Deployment::start(&case.root, &config, 3, &places, &case.record)?;
    let body = format!(
        "{{\"spec\":\"run_ms={RUN_MS}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"gpu\":2,\
         \"requires\":\"{LABEL}\",\"estimate-ms\":{RUN_MS}}}]}}"
    );
    thread::sleep(Duration::from_secs(4));
    let (status, _) = deployment.call(0, "POST", "/lohu930/00000000000000a1", &body);
    thread::sleep(Duration::from_secs(4));
    let (_, text) = deployment.call(1, "GET", "/lohu930/00000000000000a1", "");
    if status != 200 || !text.contains("completed") {
        return Err(Trouble(format!("the first job was not done: {status}, {text}")));
    }
    let worker = deployment.workers[PLACE].clone();
    let is_set = |name: &str| std::env::var(name).as_deref() != Ok("0");
    let (writes, kills) = (is_set("REPORTS"), is_set("KILL"));
    if case.has_trouble && writes {
        // Ends with the program.
        thread::spawn(move || {
            for sequence in 1_000.. {
                worker.report_as_other(LATER_MS, sequence);
                thread::sleep(WRITING_PAUSE);
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
    if case.has_trouble && kills {
        let agent = &mut deployment.agents[PLACE];
        agent.kill();
        case.record.line(&format!("{} is killed", agent.name));
        thread::sleep(RESTART_DELAY);
        agent.start()?;
        case.record.line(&format!("{} is started again", agent.name));
        thread::sleep(CONTACT);
    }
    let submitted = Instant::now();
    let path = "/lohu930/00000000000000a2";
    let (status, _) = deployment.call(0, "POST", path, &body);
    if status != 200 {
        return Err(Trouble(format!("the second job was not accepted: {status}")));
    }
    let mut state = String::new();
    while submitted.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(1));
        state = deployment.call(1, "GET", path, "").1;
        if state.contains("completed") {
            return Ok(Verdict::Held);
        }
        let busy = deployment.workers.iter().any(|worker| !worker.running().is_empty());
        if busy && submitted.elapsed() > FINISH - IDLE {
            return Err(Trouble("something runs although nothing was sent".to_owned()));
        }
    }
    Ok(Verdict::Broken(format!(
        "a job that only worker {PLACE} can run has nothing running for {} s beside four empty workers, \
         {} s after its acceptance; it is shown as {state}",
        (LENGTH - FINISH).as_secs(),
        LENGTH.as_secs(),
    )))
}
