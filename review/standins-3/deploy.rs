//! A small deployment: entries and agents as separate processes, with the deploy file's commands and
//! templates, and stand-ins of the store and the workers.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::WorkerSpec;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The case couldn't run.
#[derive(Debug)]
pub struct Trouble(pub String);

/// One process of the system.
pub struct Process {
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
    pub memory_mb: u64,
    /// Address of callers for an entry, of reports for an agent.
    pub address: SocketAddr,
    ready: Option<SocketAddr>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), Trouble> {
        let open = || File::options().append(true).create(true).open(&self.output);
        let output = open().map_err(|error| Trouble(error.to_string()))?;
        let errors = open().map_err(|error| Trouble(error.to_string()))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| Trouble(format!("{}: {error}", self.program.display())))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            None => true,
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
        }
    }

    /// Resident memory, in MB.
    pub fn resident_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_024
    }

    fn is_ready(&self) -> bool {
        let Some(ready) = self.ready else { return true };
        let answer = http::call(ready, "GET", "/cuminbarrow/readiness", &[], b"", CALL_TIMEOUT);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where a worker stands and what it is.
pub struct WorkerPlace {
    pub service: &'static str,
    pub gpu: u64,
}

/// A running deployment.
pub struct Deployment {
    pub store: Store,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    pub record: Record,
    folder: PathBuf,
}

/// Figures of the small site that the settings are like.
pub const MAX_HOLD_MS: u64 = 6_000;
pub const ENTRY_MEMORY_MB: u64 = 260;
pub const AGENT_MEMORY_MB: u64 = 128;

impl Deployment {
    /// Starts the store, `entries` entries and an agent with a worker for each place.
    pub fn start(
        root: &Path,
        configuration: &str,
        entries: usize,
        places: &[WorkerPlace],
        record: &Record,
    ) -> Result<Self, Trouble> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| Trouble(error.to_string()))?;
        let store = Store::start();
        store.configure(configuration);
        let mut deployment = Deployment {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            record: record.clone(),
            folder,
        };
        for index in 0..entries {
            let process = deployment.entry(root, index)?;
            deployment.entries.push(process);
        }
        for (index, place) in places.iter().enumerate() {
            let address = free_address();
            let process = deployment.agent(root, index, address)?;
            let spec = WorkerSpec {
                id: format!("i-{index:08x}"),
                service: place.service.to_owned(),
                zone: zone(index).to_owned(),
                rack: format!("r1-{}", index / 3),
                gpu: place.gpu,
                max_hold_ms: MAX_HOLD_MS,
            };
            deployment.workers.push(Worker::start(spec, address, process.address, record));
            deployment.agents.push(process);
        }
        for process in deployment.entries.iter_mut().chain(&mut deployment.agents) {
            process.start()?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn entry(&self, root: &Path, index: usize) -> Result<Process, Trouble> {
        let name = format!("front-{}-{index}", zone(index));
        let (address, ready, link) = (free_address(), free_address(), free_address());
        let fields = [
            ("listen.front", address.to_string()),
            ("listen.ready", ready.to_string()),
            ("internal-ports", format!("{},{}", link.port(), link.port())),
            ("limits.cpu-share", "0.25".to_owned()),
            ("limits.memory-mb", ENTRY_MEMORY_MB.to_string()),
        ];
        let settings = self.settings(root, "deploy/entry.yaml", &name, index, &fields)?;
        Ok(Process {
            program: root.join("target/release/cuminbarrow-platform-entry"),
            output: self.folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
            memory_mb: ENTRY_MEMORY_MB,
            address,
            ready: Some(ready),
        })
    }

    fn agent(&self, root: &Path, index: usize, worker: SocketAddr) -> Result<Process, Trouble> {
        let name = format!("side-{}-{index}", zone(index));
        let address = free_address();
        let fields = [
            ("listen.control", address.to_string()),
            ("app", worker.to_string()),
            ("limits.memory-mb", AGENT_MEMORY_MB.to_string()),
        ];
        let settings = self.settings(root, "deploy/agent.yaml", &name, index, &fields)?;
        Ok(Process {
            program: root.join("target/release/cuminbarrow-platform-agent"),
            output: self.folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
            memory_mb: AGENT_MEMORY_MB,
            address,
            ready: None,
        })
    }

    /// Fills in a template of the deploy file as the platform does.
    fn settings(
        &self,
        root: &Path,
        template: &str,
        name: &str,
        index: usize,
        fields: &[(&str, String)],
    ) -> Result<PathBuf, Trouble> {
        let path = root.join(template);
        let text = fs::read_to_string(&path)
            .map_err(|error| Trouble(format!("{}: {error}", path.display())))?;
        // No advice service in these cases.
        let text = match (text.find("{{#advice}}"), text.find("{{/advice}}")) {
            (Some(from), Some(to)) => text[..from].to_owned() + &text[to + "{{/advice}}".len()..],
            _ => text,
        };
        let metrics = free_address();
        let mut text = text.replace("\"{{ip}}:9464\"", &format!("\"{metrics}\""));
        let common = [
            ("node", name.to_owned()),
            ("region", region(index).to_owned()),
            ("zone", zone(index).to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("platform.address", self.store.address.to_string()),
            ("bounds.max-hold-ms", MAX_HOLD_MS.to_string()),
            ("bounds.grace-s", "6".to_owned()),
        ];
        for (field, value) in common.iter().chain(fields) {
            text = text.replace(&format!("{{{{{field}|json}}}}"), &format!("\"{value}\""));
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        if text.contains("{{") {
            return Err(Trouble(format!("a field of {template} is not known:\n{text}")));
        }
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, text).map_err(|error| Trouble(error.to_string()))?;
        Ok(path)
    }

    /// Waits until every entry is ready.
    pub fn wait_until_ready(&self) -> Result<(), Trouble> {
        let until = Instant::now() + START_TIMEOUT;
        while !self.entries.iter().all(Process::is_ready) {
            if Instant::now() > until {
                return Err(Trouble("an entry does not become ready".to_owned()));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Sends a caller's request to an entry and records it with its answer; 0 for none.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.call_with(entry, method, path, body, &[("Key", KEY)])
    }

    pub fn call_with(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> (u16, String) {
        let mut all = vec![("Host", HOST), ("Deadline-Ms", "3000")];
        all.extend(headers);
        let address = self.entries[entry].address;
        let answer = http::call(address, method, path, &all, body.as_bytes(), CALL_TIMEOUT);
        let (status, text) = answer.unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let shown =
            if body.len() > 200 { format!("({} bytes)", body.len()) } else { body.to_owned() };
        self.record
            .line(&format!("caller {method} {path} at entry {entry} {shown} -> {status} {text}"));
        (status, text)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const HOST: &str = "nony24.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";

fn zone(index: usize) -> &'static str {
    ["bacau-yard", "roman-yard", "buzau-yard"][index % 3]
}

fn region(index: usize) -> &'static str {
    ["moldova-east", "moldova-east", "muntenia"][index % 3]
}

/// A loopback address with a port that is free now, outside the range that connections take theirs from.
pub fn free_address() -> SocketAddr {
    let offset = std::process::id() as u16 % 100 * 100;
    loop {
        let port = FIRST_PORT + offset + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if let Ok(address) =
            TcpListener::bind(("127.0.0.1", port)).and_then(|bound| bound.local_addr())
        {
            return address;
        }
    }
}

const FIRST_PORT: u16 = 20_000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// One route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub more: &'static str,
}

/// A configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path-prefix\":\"{}\",\"kind\":\"unsafe\",\
                 \"timeout-ms\":3000,\"target-latency-ms\":1200,\"priority\":1,\"service\":\"{}\",\
                 \"max-attempts\":3,\"stretch\":3.0,\"public\":false{}}}",
                route.name, route.prefix, route.service, route.more
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\
                 \"tls\":false,\"enforces-capacity\":false,\"spare\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"api-keys\":[\"{KEY}\"],\
         \"priority\":1,\"guaranteed\":{{\"gpu\":4}}}}]}}",
        routes.join(","),
        services.join(",")
    )
}
