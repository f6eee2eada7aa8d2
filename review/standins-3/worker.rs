//! Stand-in of a worker, as the users' pages describe: runs work units under a lease and reports itself.
//!
//! A work unit's `spec` tells how long it runs: `run_ms=2500`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::record::Record;

const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a stop takes.
const STOP_MS: u64 = 100;
const MAX_LISTED_ENDS: usize = 500;

/// What a worker is and has.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub gpu: u64,
    pub max_hold_ms: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    started_ms: u64,
    duration_ms: u64,
    stops_at_ms: Option<u64>,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    is_up: bool,
    state: &'static str,
    remaining_ms: u64,
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run of each work unit that was stopped or ended.
    over: BTreeMap<String, u64>,
    seq: u64,
}

impl Life {
    fn new(id: &str) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self {
            id: id.to_owned(),
            born,
            began: Instant::now(),
            is_up: true,
            state: "ready",
            remaining_ms: 0,
            fence: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            over: BTreeMap::new(),
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64, max_hold_ms: u64) {
        let latest = self.clock_ms() + max_hold_ms;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(latest));
    }

    fn is_over(&self, task: &str, run: u64) -> bool {
        self.over.get(task).is_some_and(|known| run <= *known)
    }
}

struct Shared {
    spec: WorkerSpec,
    record: Record,
    life: Mutex<Life>,
    agent: SocketAddr,
    is_closed: AtomicBool,
}

/// A running stand-in of a worker.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a worker that is called at `address` and reports itself to the agent.
    pub fn start(
        spec: WorkerSpec,
        address: SocketAddr,
        agent: SocketAddr,
        record: &Record,
    ) -> Self {
        let shared = Arc::new(Shared {
            life: Mutex::new(Life::new(&spec.id)),
            spec,
            record: record.clone(),
            agent,
            is_closed: AtomicBool::new(false),
        });
        let worker = Worker { shared, address };
        let handler = worker.clone();
        http::serve(Some(address), move |request| handler.handle(request));
        let reporter = worker.clone();
        thread::spawn(move || {
            while !reporter.shared.is_closed.load(Ordering::Relaxed) {
                reporter.report();
                thread::sleep(REPORT_INTERVAL);
            }
        });
        let ticker = worker.clone();
        thread::spawn(move || {
            while !ticker.shared.is_closed.load(Ordering::Relaxed) {
                drop(ticker.life());
                thread::sleep(Duration::from_millis(10));
            }
        });
        worker
    }

    /// The present life, with all ends up to now.
    fn life(&self) -> MutexGuard<'_, Life> {
        let mut life = self.shared.life.lock().unwrap();
        let now = life.clock_ms();
        let is_lapsed = now > life.lease_end_ms;
        let mut ends = Vec::new();
        for (task, run) in &life.running {
            let how = if now >= run.started_ms + run.duration_ms {
                "done"
            } else if run.stops_at_ms.is_some_and(|at| now >= at) {
                "stopped"
            } else if is_lapsed {
                "lapsed"
            } else {
                continue;
            };
            ends.push((task.clone(), run.run, how));
        }
        for (task, run, how) in ends {
            life.running.remove(&task);
            let known = life.over.get(&task).copied().unwrap_or(0);
            life.over.insert(task.clone(), known.max(run));
            let number = life.next_end;
            life.next_end += 1;
            self.shared.record.line(&format!("worker {} run {task}#{run} ended {how}", life.id));
            life.ended.push((number, task, run, how));
        }
        life
    }

    /// Sends a liveness report.
    fn report(&self) {
        let (path, body) = {
            let mut life = self.life();
            if !life.is_up {
                return;
            }
            life.seq += 1;
            let spec = &self.shared.spec;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{}\",\"cold-left-ms\":0,\"remaining-ms\":{},\
                 \"room\":{{\"cpu\":128000,\"mem-mb\":262144,\"gpu\":{}}},\"labels\":[\"a\",\"{}\"],\
                 \"clock-ms\":{},\"born\":{},\"seq\":{}}}",
                spec.service, self.address, spec.zone, life.state, life.remaining_ms, spec.gpu,
                spec.rack, life.clock_ms(), life.born, life.seq
            );
            (format!("/cuminbarrow/instances/{}", life.id), body)
        };
        http::call(self.shared.agent, "PUT", &path, &[], body.as_bytes(), REPORT_TIMEOUT);
    }

    /// Sends the report of another writer under the worker's id, of a service that nobody named.
    pub fn report_as_other(&self, later_ms: u64, sequence: u64) {
        let (path, body) = {
            let life = self.life();
            let spec = &self.shared.spec;
            let body = format!(
                "{{\"service\":\"no-such-service\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"room\":{{\"cpu\":128000,\"mem-mb\":262144,\"gpu\":{}}},\"labels\":[\"a\",\"{}\"],\
                 \"clock-ms\":{},\"born\":{},\"seq\":{sequence}}}",
                self.address,
                spec.zone,
                spec.gpu,
                spec.rack,
                life.clock_ms(),
                life.born + later_ms,
            );
            (format!("/cuminbarrow/instances/{}", life.id), body)
        };
        let answer =
            http::call(self.shared.agent, "PUT", &path, &[], body.as_bytes(), REPORT_TIMEOUT);
        let status = answer.map_or(0, |(status, _)| status);
        if sequence % 100 == 0 {
            self.shared.record.line(&format!(
                "another writer PUT {path} {body} -> {status}; each hundredth is shown"
            ));
        }
    }

    /// Announces that the worker leaves, and ends it after `remaining`.
    pub fn leave(&self, remaining: Duration) {
        {
            let mut life = self.life();
            life.state = "draining";
            life.remaining_ms = remaining.as_millis() as u64;
        }
        self.shared.record.line(&format!("worker {} reports draining", self.shared.spec.id));
        self.report();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(remaining);
            let path = format!("/cuminbarrow/instances/{}", worker.shared.spec.id);
            let answer = http::call(worker.shared.agent, "DELETE", &path, &[], b"", REPORT_TIMEOUT);
            worker.end();
            let status = answer.map_or(0, |(status, _)| status);
            worker.shared.record.line(&format!(
                "worker {} left, acknowledged with {status}",
                worker.shared.spec.id
            ));
        });
    }

    /// Ends the worker: everything that runs there is gone.
    pub fn end(&self) {
        let mut life = self.life();
        life.is_up = false;
        life.running.clear();
        self.shared.is_closed.store(true, Ordering::Relaxed);
    }

    /// Work units that run now, with their runs.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.life().running.iter().map(|(task, run)| (task.clone(), run.run)).collect()
    }

    fn handle(&self, request: &Request) -> Reply {
        if !self.life().is_up {
            return Reply::Reset;
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match request.path.as_str() {
            "/cuminbarrow/run-start" => self.start_run(request, &body),
            "/cuminbarrow/run-stop" => self.stop_run(request, &body),
            "/cuminbarrow/hold" => self.hold(request, &body),
            "/cuminbarrow/pace" => {
                let life = self.life();
                Reply::json(200, format!("{{\"clock-ms\":{}}}", life.clock_ms()))
            }
            "/health" => Reply::json(200, "{}"),
            _ => Reply::json(404, "{}"),
        }
    }

    /// Refusal of an order that is for another life or carries an outdated fence.
    fn refusal(&self, life: &mut Life, request: &Request, body: &Json) -> Option<Reply> {
        let target = request.headers.get("target-instance");
        if target.is_some_and(|target| *target != life.id) {
            return Some(Reply::json(421, "{}"));
        }
        let fence = body.get("fence").number();
        if fence < life.fence {
            return Some(conflict(life, "fence"));
        }
        life.fence = fence;
        None
    }

    fn start_run(&self, request: &Request, body: &Json) -> Reply {
        let mut life = self.life();
        if let Some(refusal) = self.refusal(&mut life, request, body) {
            return refusal;
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let deadline_ms = body.get("deadline-ms").number();
        if deadline_ms <= life.clock_ms() {
            return conflict(&life, "late");
        }
        life.extend(deadline_ms, self.shared.spec.max_hold_ms);
        if life.running.get(&task).is_some_and(|known| known.run == run) {
            return Reply::json(200, format!("{{\"clock-ms\":{}}}", life.clock_ms()));
        }
        if life.is_over(&task, run) || life.running.contains_key(&task) {
            return conflict(&life, "old");
        }
        let duration_ms = value_in(body.get("spec").text(), "run_ms").unwrap_or(1_000);
        let started_ms = life.clock_ms();
        life.running.insert(task.clone(), Run { run, started_ms, duration_ms, stops_at_ms: None });
        self.shared.record.line(&format!("worker {} run {task}#{run} started", life.id));
        Reply::json(200, format!("{{\"clock-ms\":{}}}", life.clock_ms()))
    }

    fn stop_run(&self, request: &Request, body: &Json) -> Reply {
        let mut life = self.life();
        if let Some(refusal) = self.refusal(&mut life, request, body) {
            return refusal;
        }
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
        let stops_at_ms = life.clock_ms() + STOP_MS;
        match life.running.get_mut(&task) {
            Some(known) if known.run == run => {
                known.stops_at_ms.get_or_insert(stops_at_ms);
            }
            _ => {
                let known = life.over.get(&task).copied().unwrap_or(0);
                life.over.insert(task, known.max(run));
            }
        }
        Reply::json(200, format!("{{\"clock-ms\":{}}}", life.clock_ms()))
    }

    fn hold(&self, request: &Request, body: &Json) -> Reply {
        {
            let mut life = self.life();
            if let Some(refusal) = self.refusal(&mut life, request, body) {
                return refusal;
            }
            let acked = body.get("acked-through").number();
            life.ended.retain(|(number, ..)| *number > acked);
            if let Json::Int(deadline_ms) = body.get("deadline-ms") {
                life.extend(*deadline_ms, self.shared.spec.max_hold_ms);
            }
        }
        let wait = Duration::from_millis(body.get("wait-ms").number().min(2_000));
        let until = Instant::now() + wait;
        loop {
            let life = self.life();
            if !life.is_up {
                return Reply::Reset;
            }
            if !life.ended.is_empty() || Instant::now() >= until {
                return Reply::json(200, lists(&life));
            }
            drop(life);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|(task, run)| {
            let worked_ms = life.clock_ms().saturating_sub(run.started_ms);
            let percent = (worked_ms * 100 / run.duration_ms.max(1)).min(99);
            format!("[\"{task}\",{},\"\",{percent},1000]", run.run)
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(MAX_LISTED_ENDS)
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.join(","),
        ended.join(",")
    )
}

fn conflict(life: &Life, reason: &str) -> Reply {
    Reply::json(409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", life.clock_ms()))
}

/// Number after `NAME=` in a text.
pub fn value_in(text: &str, name: &str) -> Option<u64> {
    let words = text.split_whitespace().filter_map(|word| word.split_once('='));
    words.filter(|(known, _)| *known == name).find_map(|(_, value)| value.parse().ok())
}
