//! A version of the configuration removes a route and adds one of another name for the same address.

use std::thread;
use std::time::Duration;

use crate::deploy::configuration;
use crate::deploy::Deployment;
use crate::deploy::Route;
use crate::deploy::Trouble;
use crate::deploy::WorkerPlace;
use crate::Case;
use crate::Verdict;

const SERVICE: &str = "huvo11a";
/// Longer than `config-apply-ms` and `visible_ms`.
const SETTLE: Duration = Duration::from_secs(4);
const CANCEL: Duration = Duration::from_millis(3_000);

fn route(name: &'static str) -> [Route; 1] {
    [Route { name, prefix: "/lohu930/", service: SERVICE, more: "" }]
}

pub fn run(case: &Case) -> Result<Verdict, Trouble> {
    let config = configuration(1, &route("r-ce7ejsm"), &[SERVICE]);
    let places: Vec<_> = (0..3).map(|_| WorkerPlace { service: SERVICE, gpu: 8 }).collect();
    let deployment = Deployment::start(&case.root, &config, 3, &places, &case.record)?;
    thread::sleep(Duration::from_secs(4));
    let body = "{\"spec\":\"run_ms=20000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"gpu\":1,\"estimate-ms\":20000}]}";
    let path = "/lohu930/00000000000000a1";
    let (status, _) = deployment.call(0, "POST", path, body);
    if status != 200 {
        return Err(Trouble(format!("the job was not accepted: {status}")));
    }
    thread::sleep(SETTLE);
    let name = if case.has_trouble { "r-newname" } else { "r-ce7ejsm" };
    deployment.store.configure(&configuration(2, &route(name), &[SERVICE]));
    case.record.line(&format!("operator writes version 2: /lohu930/ is route {name}"));
    thread::sleep(SETTLE);
    let answers: Vec<(u16, String)> =
        (0..3).map(|entry| deployment.call(entry, "GET", path, "")).collect();
    let (repeated, _) = deployment.call(1, "POST", path, body);
    let gone = answers.iter().filter(|(status, _)| *status == 410).count();
    let (cancelled, _) = deployment.call(0, "DELETE", path, "");
    thread::sleep(CANCEL);
    let running = deployment.workers.iter().flat_map(|worker| worker.running()).count();
    case.record.line(&format!("the DELETE was answered {cancelled}; {running} units run 3 s later; a repeated POST was answered {repeated}"));
    if gone > 0 {
        let what = format!(
            "{gone} of 3 entries answer 410 for an accepted job that nobody has cancelled; a DELETE was \
             answered {cancelled}, and {running} units run on"
        );
        return Ok(Verdict::Broken(what));
    }
    Ok(Verdict::Held)
}
