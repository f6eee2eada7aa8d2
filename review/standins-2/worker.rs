//! Stand-in of a worker, as the users' page of the protocol describes it. The payload of a job tells how
//! long a task of each step works: `work-ms=4000,12000;`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::http;
use super::http::Reply;
use super::http::Request;
use super::json::Value;
use super::json::quote;
use super::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);

#[derive(Clone)]
pub struct WorkerTerms {
    pub address: SocketAddr,
    /// Address to which the worker reports.
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    /// Labels of the worker: its kind and its rack.
    pub kind: String,
    pub rack: String,
    /// Thousandths of a core, MB and accelerators.
    pub room: (u64, u64, u64),
    pub max_hold_ms: u64,
}

struct Run {
    number: u64,
    began: Instant,
    work_ms: u64,
}

struct Life {
    id: String,
    born_ms: u64,
    began: Instant,
    sequence: u64,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    /// Ends that were not taken note of: number, task, run and how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
}

impl Life {
    fn begin(id: String) -> Self {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        Self {
            id,
            born_ms: born.as_millis() as u64,
            began: Instant::now(),
            sequence: 0,
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.running.remove(task) else { return };
        self.last_end += 1;
        self.ended.push((self.last_end, task.to_owned(), run.number, how));
        let over = self.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
        record.line(format!("worker {}: run {} of {task} ended {how}", self.id, run.number));
    }
}

struct State {
    life: Option<Life>,
    lives: u64,
    /// Answers 503 to starts while its reports are good.
    is_grey: bool,
}

/// A start that the worker carried out.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub at_ms: u64,
}

pub struct Worker {
    name: String,
    terms: WorkerTerms,
    state: Mutex<State>,
    ended: Condvar,
    record: Record,
    starts: Mutex<Vec<Start>>,
}

impl Worker {
    pub fn start(name: &str, terms: WorkerTerms, record: Record) -> Arc<Self> {
        let state = State { life: None, lives: 0, is_grey: false };
        let worker = Arc::new(Self {
            name: name.to_owned(),
            terms,
            state: Mutex::new(state),
            ended: Condvar::new(),
            record,
            starts: Mutex::default(),
        });
        worker.power_on();
        let served = Arc::clone(&worker);
        http::serve(worker.terms.address, Arc::new(move |request| served.answer(&request)));
        let reporting = Arc::clone(&worker);
        thread::spawn(move || reporting.report());
        let working = Arc::clone(&worker);
        thread::spawn(move || working.work());
        worker
    }

    /// Ends the worker's life: it runs nothing and answers nothing.
    pub fn power_off(&self) {
        if let Some(life) = self.state().life.take() {
            self.record.line(format!(
                "worker {}: loses power with {} runs",
                life.id,
                life.running.len()
            ));
        }
        self.ended.notify_all();
    }

    pub fn power_on(&self) {
        let mut state = self.state();
        state.lives += 1;
        state.life = Some(Life::begin(format!("{}-{}", self.name, state.lives)));
    }

    pub fn set_grey(&self, is_grey: bool) {
        self.state().is_grey = is_grey;
        let how = if is_grey { "refuses starts from now on" } else { "takes starts again" };
        self.record.line(format!("worker {}: {how}", self.name));
    }

    pub fn running_count(&self) -> usize {
        self.state().life.as_ref().map_or(0, |life| life.running.len())
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let state = self.state();
        state.life.iter().flat_map(|life| life.running.keys().cloned()).collect()
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn report(&self) {
        loop {
            let report = self.state().life.as_mut().map(|life| {
                life.sequence += 1;
                let WorkerTerms { address, service, zone, kind, rack, room, .. } = &self.terms;
                let (cpu, memory, accelerators) = room;
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\
                     \"room\":{{\"cpu\":{cpu},\"mem-mb\":{memory},\"gpu\":{accelerators}}},\
                     \"labels\":[\"{kind}\",\"{rack}\"],\"clock-ms\":{},\"born\":{},\"seq\":{}}}",
                    life.clock_ms(),
                    life.born_ms,
                    life.sequence
                );
                (life.id.clone(), body)
            });
            let mut is_acknowledged = true;
            if let Some((id, body)) = report {
                let path = format!("/cuminbarrow/instances/{id}");
                let answer = http::call(
                    self.terms.control,
                    "PUT",
                    &path,
                    &[],
                    &body,
                    Duration::from_secs(1),
                );
                is_acknowledged = answer.is_some_and(|(status, _)| (200..300).contains(&status));
            }
            thread::sleep(if is_acknowledged { HEARTBEAT } else { HEARTBEAT / 5 });
        }
    }

    fn work(&self) {
        loop {
            thread::sleep(TICK);
            let mut state = self.state();
            let Some(life) = &mut state.life else { continue };
            let is_lapsed = life.clock_ms() >= life.deadline_ms;
            let done = |run: &Run| run.began.elapsed().as_millis() as u64 >= run.work_ms;
            let over: Vec<(String, &'static str)> = life
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let how = if done(run) { "done" } else { "lapsed" };
                    (done(run) || is_lapsed).then(|| (task.clone(), how))
                })
                .collect();
            for (task, how) in &over {
                life.end(task, how, &self.record);
            }
            drop(state);
            if !over.is_empty() {
                self.ended.notify_all();
            }
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let mut state = self.state();
        let is_grey = state.is_grey;
        let Some(life) = &mut state.life else { return Reply::Close };
        if request.header("target-instance").is_some_and(|target| target != life.id) {
            return Reply::json(421, "{}");
        }
        let Some(body) = Value::parse(&request.body) else { return Reply::json(400, "{}") };
        let is_start = request.path == "/cuminbarrow/run-start";
        if is_grey && is_start {
            let task = body.text("task").unwrap_or_default();
            self.record.line(format!("worker {}: answers 503 to the start of {task}", life.id));
            return Reply::json(503, "{}");
        }
        let fence = body.number("fence").unwrap_or(0);
        let clock_ms = life.clock_ms();
        if fence < life.fence {
            return Reply::json(409, format!("{{\"clock-ms\":{clock_ms},\"reason\":\"fence\"}}"));
        }
        life.fence = fence;
        let own_ms = clock_ms + self.terms.max_hold_ms;
        let deadline_ms = body.number("deadline-ms").map(|deadline_ms| deadline_ms.min(own_ms));
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.number("run").unwrap_or(0);
        match request.path.as_str() {
            "/cuminbarrow/run-start" => {
                let deadline_ms = deadline_ms.unwrap_or(0);
                if deadline_ms <= clock_ms {
                    return Reply::json(
                        409,
                        format!("{{\"clock-ms\":{clock_ms},\"reason\":\"late\"}}"),
                    );
                }
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                if life.over.get(&task).is_some_and(|over| run <= *over) {
                    return Reply::json(
                        409,
                        format!("{{\"clock-ms\":{clock_ms},\"reason\":\"old\"}}"),
                    );
                }
                if !life.running.contains_key(&task) {
                    let work_ms = work_ms_of(body.text("spec").unwrap_or_default(), &task);
                    self.record.line(format!("worker {}: starts run {run} of {task}", life.id));
                    let start = Start { task: task.clone(), run, at_ms: self.record.now_ms() };
                    self.starts.lock().unwrap().push(start);
                    life.running.insert(task, Run { number: run, began: Instant::now(), work_ms });
                }
                Reply::json(200, format!("{{\"clock-ms\":{clock_ms}}}"))
            }
            "/cuminbarrow/run-stop" => {
                let over = life.over.entry(task.clone()).or_default();
                *over = run.max(*over);
                if life.running.get(&task).is_some_and(|known| known.number <= run) {
                    life.end(&task, "stopped", &self.record);
                    self.ended.notify_all();
                }
                Reply::json(200, format!("{{\"clock-ms\":{clock_ms}}}"))
            }
            "/cuminbarrow/hold" => {
                let acked_through = body.number("acked-through").unwrap_or(0);
                life.ended.retain(|(number, ..)| *number > acked_through);
                life.deadline_ms = life.deadline_ms.max(deadline_ms.unwrap_or(0));
                let wait_ms = body.number("wait-ms").unwrap_or(0).min(2_000);
                self.answer_hold(state, wait_ms)
            }
            _ => Reply::json(404, "{}"),
        }
    }

    fn answer_hold(&self, mut state: MutexGuard<'_, State>, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let id = state.life.as_ref().map(|life| life.id.clone());
        loop {
            let Some(life) = state.life.as_ref().filter(|life| Some(&life.id) == id.as_ref())
            else {
                return Reply::Close;
            };
            let now = Instant::now();
            if !life.ended.is_empty() || now >= until {
                return Reply::json(200, lists_of(life));
            }
            state = self.ended.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn lists_of(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|(task, run)| {
            let elapsed_ms = run.began.elapsed().as_millis() as u64;
            let percent = (elapsed_ms * 100 / run.work_ms.max(1)).min(99);
            format!("[{},{},\"\",{percent},0]", quote(task), run.number)
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)))
        .collect();
    format!(
        "{{\"clock-ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        ended.join(",")
    )
}

/// Work of a task in ms, by the number of its step in the payload's list.
fn work_ms_of(payload: &str, task: &str) -> u64 {
    let step: usize = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
    let list = payload.strip_prefix("work-ms=").and_then(|rest| rest.split(';').next());
    let works: Vec<u64> =
        list.unwrap_or("1000").split(',').filter_map(|work| work.parse().ok()).collect();
    works.get(step).or(works.last()).copied().unwrap_or(1_000)
}
