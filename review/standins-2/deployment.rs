//! A small deployment: the project's entries and agents as processes, with the stand-ins around them.

use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::json::Value;
use super::record::Record;
use super::store::Store;
use super::worker::Worker;
use super::worker::WorkerTerms;

/// A case ends itself after this time.
const TIME_LIMIT: Duration = Duration::from_secs(116);
const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/jobs/";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
pub const SERVICE: &str = "label-svc";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Size of a deployment and its bounds.
pub struct Terms {
    /// Zone and region of each entry.
    pub entries: Vec<(&'static str, &'static str)>,
    /// Zone and region of each worker.
    pub workers: Vec<(&'static str, &'static str)>,
    /// Number of workers, the first ones, of kind "b"; the others are of kind "a".
    pub special_workers: usize,
    pub room: (u64, u64, u64),
    pub max_hold_ms: u64,
    pub keep: Duration,
}

struct Process {
    name: String,
    command: Vec<String>,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self, folder: &Path) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)));
        let log = log.expect("a log can't be created");
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).stdin(Stdio::null());
        command.env("CUMINBARROW_CONFIG", &self.settings);
        command.stdout(log.try_clone().expect("a log can't be shared")).stderr(log);
        // SAFETY: `prctl` may be called between fork and exec. The process ends with the case, however that
        // ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("a program can't be started"));
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    process: Process,
}

pub struct Agent {
    process: Process,
}

pub struct Deployment {
    pub record: Record,
    pub store: Arc<Store>,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub workers: Vec<Arc<Worker>>,
    /// Accelerators of a worker.
    accelerators: u64,
    folder: PathBuf,
    started: Instant,
}

impl Deployment {
    /// Starts the stand-ins and the programs, and waits until all entries are ready and have the workers.
    pub fn start(terms: Terms, record: Record) -> Self {
        let folder =
            std::env::temp_dir().join(format!("cuminbarrow-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let mut ports = Ports::new();
        let store_address = ports.next();
        let store = Store::start(store_address, terms.keep, record.clone());
        store.write_key("keyed.op", "config", &configuration());
        let (entry_command, agent_command) = (run_line("entry"), run_line("agent"));
        let mut entries = Vec::new();
        for (number, (zone, region)) in (1..).zip(&terms.entries) {
            let name = format!("front-{zone}-{number}");
            let (callers, ready, link, metrics) =
                (ports.next(), ports.next(), ports.next(), ports.next());
            let settings = format!(
                "instance: {name}\nregion: {region}\ndata_centre: {zone}\nlisten_callers: \"{callers}\"\n\
                 listen_ready: \"{ready}\"\nip: 127.0.0.1\nlink_ports: [{}]\nlisten_metrics: \"{metrics}\"\n\
                 store:\n  address: \"{store_address}\"\nshared_key: cuminbarrow\nmax_lease_ms: {}\n\
                 grace_ms: 6000\nprocessor_share: 0.25\nlog:\n  format: json\n",
                link.port(),
                terms.max_hold_ms
            );
            let process = process_of(&folder, &name, &entry_command, &settings);
            entries.push(Entry { callers, ready, process });
        }
        let mut agents = Vec::new();
        let mut workers = Vec::new();
        for (number, (zone, region)) in (1..).zip(&terms.workers) {
            let name = format!("side-{zone}-{number}");
            let (address, control, metrics) = (ports.next(), ports.next(), ports.next());
            let settings = format!(
                "instance: {name}\nregion: {region}\ndata_centre: {zone}\nlisten_reports: \"{control}\"\n\
                 worker: \"{address}\"\nlisten_metrics: \"{metrics}\"\nstore:\n  address: \"{store_address}\"\n\
                 shared_key: cuminbarrow\nmax_lease_ms: {}\nlog:\n  format: json\n",
                terms.max_hold_ms
            );
            agents.push(Agent { process: process_of(&folder, &name, &agent_command, &settings) });
            let worker_terms = WorkerTerms {
                address,
                control,
                service: SERVICE.to_owned(),
                zone: (*zone).to_owned(),
                kind: if number <= terms.special_workers { "b" } else { "a" }.to_owned(),
                rack: format!("r1-{}", number / 3),
                room: terms.room,
                max_hold_ms: terms.max_hold_ms,
            };
            workers.push(Worker::start(&format!("w{number}"), worker_terms, record.clone()));
        }
        let started = Instant::now();
        let accelerators = terms.room.2;
        let mut deployment =
            Self { record, store, entries, agents, workers, accelerators, folder, started };
        deployment.start_processes();
        deployment.wait_until("all entries are ready", Duration::from_secs(20), |deployment| {
            deployment.ready_entries().len() == deployment.entries.len()
        });
        deployment.warm_up();
        deployment
    }

    /// Has every worker run a short job, which shows that the system knows all of them.
    fn warm_up(&mut self) {
        let is_used = |worker: &Arc<Worker>| !worker.starts().is_empty();
        for round in 0..20 {
            for number in 0..self.workers.len() {
                let id = format!("0a0e7a21{round:04x}{number:04x}");
                let accelerators = self.accelerators;
                let body = format!(
                    "{{\"spec\":\"work-ms=700;\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\
                     \"gpu\":{accelerators},\"estimate-ms\":700}}]}}"
                );
                self.consumer_call(0, "POST", &id, &body, Duration::from_secs(3));
            }
            thread::sleep(Duration::from_secs(2));
            if self.workers.iter().all(is_used) {
                self.wait_until("the first jobs are done", Duration::from_secs(30), |deployment| {
                    deployment.workers.iter().all(|worker| worker.running_count() == 0)
                });
                thread::sleep(Duration::from_secs(2));
                self.record.line("every worker has run a job; the case begins");
                return;
            }
        }
        self.finish(2, "the case could not run: not all workers are used");
    }

    pub fn start_processes(&mut self) {
        self.record.line("all processes of the system start");
        for entry in &mut self.entries {
            entry.process.start(&self.folder);
        }
        for agent in &mut self.agents {
            agent.process.start(&self.folder);
        }
    }

    /// Kills all processes of the system at once.
    pub fn kill_processes(&mut self) {
        self.record.line("all processes of the system are killed");
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        let agents = self.agents.iter_mut().map(|agent| &mut agent.process);
        let mut processes: Vec<&mut Process> = entries.chain(agents).collect();
        for process in &mut processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
            }
        }
        processes.iter_mut().for_each(|process| process.kill());
    }

    /// Stops an entry in order and starts it again once it has ended.
    pub fn restart_entry(&mut self, number: usize) {
        let record = self.record.clone();
        let process = &mut self.entries[number].process;
        let Some(mut child) = process.child.take() else { return };
        record.line(format!("{}: SIGTERM", process.name));
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(child.id() as i32, SIGTERM) };
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        process.start(&self.folder);
        record.line(format!("{}: starts again", process.name));
    }

    /// Numbers of the entries that report themselves ready.
    pub fn ready_entries(&self) -> BTreeSet<usize> {
        let is_ready = |entry: &Entry| {
            let path = "/cuminbarrow/readiness";
            let answer = http::call(entry.ready, "GET", path, &[], "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        (0..self.entries.len()).filter(|number| is_ready(&self.entries[*number])).collect()
    }

    /// Ends the case with exit code 2 if the condition does not hold in time.
    pub fn wait_until<C>(&mut self, what: &str, limit: Duration, condition: C)
    where
        C: Fn(&Self) -> bool,
    {
        let until = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() >= until {
                self.finish(2, &format!("the case could not run: not in time: {what}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// A call of a consumer at an entry. The status is 0 if there is no answer in time.
    pub fn consumer_call(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &str,
        timeout: Duration,
    ) -> (u16, Option<Value>) {
        let deadline_ms = "3000";
        let headers = [("Host", HOST), ("Key", KEY), ("Deadline-Ms", deadline_ms)];
        let path = format!("{PREFIX}{id}");
        let answer =
            http::call(self.entries[entry].callers, method, &path, &headers, body, timeout);
        answer.map_or((0, None), |(status, body)| (status, Value::parse(&body)))
    }

    pub fn check_time(&mut self) {
        if self.started.elapsed() > TIME_LIMIT {
            self.finish(2, "the case could not run: it took too long");
        }
    }

    /// Ends all processes and the case.
    pub fn finish(&mut self, code: i32, text: &str) -> ! {
        self.record.line(format!("result {code}: {text}"));
        println!("{code}: {text}");
        self.kill_processes();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
        std::process::exit(code)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_processes();
    }
}

fn process_of(folder: &Path, name: &str, command: &[String], settings: &str) -> Process {
    let path = folder.join(format!("{name}.yaml"));
    fs::write(&path, settings).expect("settings can't be written");
    let place = |word: &String| {
        if word == "/etc/cuminbarrow/local.conf" {
            path.display().to_string()
        } else {
            word.clone()
        }
    };
    let command = command.iter().map(place).collect();
    Process { name: name.to_owned(), command, settings: path.clone(), child: None }
}

/// The words of a role's `run` line in the deploy file.
fn run_line(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("no deploy file");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("no such role");
    let line = section.lines().find(|line| line.starts_with("run = ")).expect("no run line");
    let line = line.trim_start_matches("run = ").trim_matches('"');
    line.split(' ').map(str::to_owned).collect()
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3ajwyy7\",\"host\":\"{HOST}\",\"path-prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":1200,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max-attempts\":3,\"stretch\":3.0,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"enforces-capacity\":false,\"spare\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":0}}}}]}}"
    )
}

/// Free ports of the loopback address, below those that the system gives to outgoing connections. Cases that
/// run at the same time take different ones.
struct Ports {
    next: u16,
}

impl Ports {
    fn new() -> Self {
        Self { next: 12_000 + (std::process::id() % 200) as u16 * 100 }
    }

    fn next(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

/// Whether the case includes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

/// Folder of the case, given as the only argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the folder of the case is missing"))
}
