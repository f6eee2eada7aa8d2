//! Starts a stand-in, entries and agents as processes, with fault proxies between them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cuminbarrow::api_client::ApiClient;
use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_resources::http_client::CallRequest;
use cuminbarrow_resources::http_client::HttpClient;
use cuminbarrow_standin::fault_proxy::FaultProxy;
use cuminbarrow_standin::log_service::LogFaults;
use cuminbarrow_standin::worker_fleet::TaskSpan;
use cuminbarrow_standin::worker_fleet::WorkerFaults;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use smol_str::SmolStr;

/// Longest wait for something that must come about.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The team of the tests.
pub(crate) const TEAM: &str = "museum";
/// Gang lease in the tests, in ms.
pub(crate) const LEASE_MS: u64 = 2_000;

/// Port of every process; each has a loopback number of its own.
const PORT: u16 = 7_100;
/// Loopback numbers from this on; lower ones are left to tests of other packages.
const FIRST_ADDRESS: u32 = 0x7f80_0000;
/// Loopback numbers of one run of the tests, and of all runs.
const RUN_ADDRESSES: u32 = 1 << 12;
const ALL_ADDRESSES: u32 = 1 << 22;

static NEXT_CLUSTER: AtomicU64 = AtomicU64::new(0);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// A process of the deployment, ended with it.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    fn spawn(program: &str, arguments: &[&str]) -> Self {
        let child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program was built for this test");
        Self { child }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("process ids fit");
        kill(Pid::from_raw(id), signal).expect("the process was started by this test");
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("the process was started by this test");
        self.child.wait().expect("the process was started by this test");
    }

    /// Waits for the process to end by itself.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
            if self.child.try_wait().expect("the process was started by this test").is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A run of the client's program.
#[derive(Debug)]
pub(crate) struct ClientRun {
    pub(crate) exit_code: Option<i32>,
    pub(crate) output: String,
    pub(crate) errors: String,
}

/// How large a deployment is.
pub(crate) struct ClusterBuilder {
    agents: usize,
    entries: usize,
    remote_entries: usize,
    has_region_reader: bool,
    session_timeout_ms: u64,
}

impl ClusterBuilder {
    pub(crate) fn new() -> Self {
        Self {
            agents: 6,
            entries: 2,
            remote_entries: 0,
            has_region_reader: true,
            session_timeout_ms: 2_000,
        }
    }

    /// Sets the entries' session timeout, in ms.
    pub(crate) fn session_timeout_ms(mut self, session_timeout_ms: u64) -> Self {
        self.session_timeout_ms = session_timeout_ms;
        self
    }

    pub(crate) fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Adds entries in another region, whose way to the platform is the cluster's region link.
    pub(crate) fn remote_entries(mut self, entries: usize) -> Self {
        self.remote_entries = entries;
        self
    }

    /// Lets each far entry read the log itself.
    pub(crate) fn without_region_reader(mut self) -> Self {
        self.has_region_reader = false;
        self
    }

    pub(crate) fn agents(mut self, agents: usize) -> Self {
        self.agents = agents;
        self
    }

    /// Starts everything and waits until the sheet is in force.
    pub(crate) async fn start(self) -> Cluster {
        let folder = std::env::temp_dir().join(format!(
            "cuminbarrow-{}-{}",
            std::process::id(),
            NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let platform = unique_address();
        let platform_process = Process::spawn(
            env!("CARGO_BIN_EXE_cuminbarrow-standin"),
            &["--listen", &platform.to_string()],
        );
        let region_link = FaultProxy::start(platform).await.expect("loopback has ports");
        let mut cluster = Cluster {
            folder,
            platform,
            region_link,
            has_region_reader: self.has_region_reader,
            session_timeout_ms: self.session_timeout_ms,
            _platform_process: platform_process,
            entries: Vec::new(),
            entry_addresses: Vec::new(),
            entry_proxies: Vec::new(),
            agents: Vec::new(),
            agent_proxies: Vec::new(),
        };
        cluster.wait_for_platform().await;
        for _ in 0..self.entries {
            cluster.start_entry().await;
        }
        for _ in 0..self.remote_entries {
            cluster.start_remote_entry().await;
        }
        for index in 0..self.agents {
            cluster.start_agent(index).await;
        }
        cluster.wait_for_workers(self.agents).await;
        cluster.apply_first_sheet().await;
        cluster
    }
}

/// A running deployment.
pub(crate) struct Cluster {
    folder: PathBuf,
    platform: SocketAddr,
    /// Between far entries and the platform.
    pub(crate) region_link: FaultProxy,
    has_region_reader: bool,
    session_timeout_ms: u64,
    _platform_process: Process,
    pub(crate) entries: Vec<Process>,
    entry_addresses: Vec<SocketAddr>,
    /// Between agents and entries.
    pub(crate) entry_proxies: Vec<FaultProxy>,
    pub(crate) agents: Vec<Process>,
    /// Between agents.
    pub(crate) agent_proxies: Vec<FaultProxy>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    async fn wait_for_platform(&self) {
        let caller = HttpClient::new(self.platform_url());
        eventually("the platform answers", async || {
            let request = CallRequest::get("/v1/admin/spans");
            caller.call(request, Duration::from_secs(1)).await.is_ok().then_some(())
        })
        .await;
    }

    /// Starts one more entry, which may ask the earlier ones for their state.
    pub(crate) async fn start_entry(&mut self) {
        self.add_entry("zapad", self.platform).await;
    }

    async fn start_remote_entry(&mut self) {
        self.add_entry("vychod", self.region_link.address).await;
    }

    async fn add_entry(&mut self, region: &str, platform: SocketAddr) {
        let listen = unique_address();
        let link = unique_address();
        let proxy = FaultProxy::start(link).await.expect("loopback has ports");
        let peers: Vec<String> =
            self.entry_proxies.iter().map(|proxy| proxy.address.to_string()).collect();
        let session_timeout_ms = self.session_timeout_ms;
        let log_region = if self.has_region_reader { "zapad" } else { region };
        let (operator, team) = (Digest::of(b"operator"), Digest::of(TEAM.as_bytes()));
        let settings = format!(
            "region: {region}\nlisten: {listen}\nlink_listen: {link}\n\
             platform: http://{platform}\nlog_region: {log_region}\nshared_key: test\nsession_timeout_ms: {session_timeout_ms}\n\
             planner_timeout_ms: 1500\nteam_submissions_per_s: 100000\nlog: {{level: error}}\n\
             peers: [{}]\nlog_timeout_ms: 1000\ntokens:\n\
             - {{name: operator, token_sha256: \"{operator}\", role: operator}}\n\
             - {{name: caller, token_sha256: \"{team}\", role: team, team: {TEAM}}}\n",
            peers.join(", ")
        );
        let file = self.folder.join(format!("entry-{}.yaml", self.entries.len()));
        std::fs::write(&file, settings).expect("the temporary folder can be written");
        let config = file.display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-entry");
        self.entries.push(Process::spawn(program, &["--config", &config]));
        self.entry_addresses.push(listen);
        self.entry_proxies.push(proxy);
    }

    /// Starts an entry's process again, as a new instance without state.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        let config = self.folder.join(format!("entry-{index}.yaml")).display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-entry");
        self.entries[index] = Process::spawn(program, &["--config", &config]);
    }

    async fn start_agent(&mut self, index: usize) {
        let listen = unique_address();
        let proxy = FaultProxy::start(listen).await.expect("loopback has ports");
        let mut entries: Vec<String> =
            self.entry_proxies.iter().map(|proxy| proxy.address.to_string()).collect();
        let count = entries.len();
        entries.rotate_left(index % count);
        let settings = format!(
            "worker: w{index}\nlisten: {listen}\nadvertise: {}\nplatform: http://{}\nshared_key: test\n\
             location: {{region: zapad, data_centre: bratislava, rack: r{}}}\n\
             capacity: {{cores: 130, memory_gib: 250, accelerators: 8, slots: 8, \
             connections: 60}}\n\
             entries: [{}]\nheartbeat_ms: 400\nsession_timeout_ms: 1600\ndrain_ms: 5000\n\
             timing: {{lease_ms: {LEASE_MS}, renew_ms: 500, resend_ms: 100, hold_ms: 4000, \
             stop_grace_ms: 500}}\nlog: {{level: error}}\n",
            proxy.address,
            self.platform,
            index / 3,
            entries.join(", ")
        );
        let file = self.folder.join(format!("agent-{index}.yaml"));
        std::fs::write(&file, settings).expect("the temporary folder can be written");
        let config = file.display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-agent");
        self.agents.push(Process::spawn(program, &["--config", &config]));
        self.agent_proxies.push(proxy);
    }

    /// Starts an agent's process again, as a fresh incarnation.
    pub(crate) fn restart_agent(&mut self, index: usize) {
        let config = self.folder.join(format!("agent-{index}.yaml")).display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-agent");
        self.agents[index] = Process::spawn(program, &["--config", &config]);
    }

    pub(crate) async fn wait_for_workers(&self, count: usize) {
        let client = self.operator();
        eventually("all workers are up on all entries", async || {
            for index in 0..self.entry_addresses.len() {
                let status: StatusView =
                    self.client_of(index, "operator").get("/v1/status").await.ok()?;
                if status.workers_up != count || status.planner.is_none() {
                    return None;
                }
            }
            client.get::<StatusView>("/v1/status").await.ok()
        })
        .await;
    }

    async fn apply_first_sheet(&self) {
        let body = plain_sheet(0, 5_000);
        let view = self.operator().apply_sheet(&body).await.expect("the first sheet is valid");
        assert_eq!(view.version, 1);
    }

    /// Addresses of the entries for callers.
    pub(crate) fn urls(&self) -> Vec<String> {
        self.entry_addresses.iter().map(|address| format!("http://{address}")).collect()
    }

    /// An operator that asks any entry.
    pub(crate) fn operator(&self) -> ApiClient {
        ApiClient::new(&self.urls(), "operator")
    }

    /// Runs the client's program as an operator; gives its exit code and what it printed.
    pub(crate) fn run_client(&self, arguments: &[&str]) -> ClientRun {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cuminbarrow"));
        command.env("CUMINBARROW_TOKEN", "operator");
        for url in self.urls() {
            command.args(["--entry", &url]);
        }
        let output = command.args(arguments).output().expect("the client was built for this test");
        ClientRun {
            exit_code: output.status.code(),
            output: String::from_utf8_lossy(&output.stdout).into_owned(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// A caller of the team that asks any entry.
    pub(crate) fn caller(&self) -> ApiClient {
        ApiClient::new(&self.urls(), TEAM)
    }

    /// A client that asks only one entry.
    pub(crate) fn client_of(&self, entry: usize, token: &str) -> ApiClient {
        ApiClient::new(&self.urls()[entry..=entry], token)
    }

    /// Address of the platform's stand-in.
    pub(crate) fn platform_url(&self) -> String {
        format!("http://{}", self.platform)
    }

    /// Makes the log service misbehave.
    pub(crate) async fn set_log_faults(&self, faults: LogFaults) {
        let body = serde_json::to_vec(&faults).expect("faults have a JSON form");
        self.admin("/v1/admin/log", body).await;
    }

    /// Makes a worker misbehave.
    pub(crate) async fn set_worker_faults(&self, worker: &str, faults: WorkerFaults) {
        let body = serde_json::to_vec(&faults).expect("faults have a JSON form");
        self.admin(&format!("/v1/admin/workers/{worker}"), body).await;
    }

    async fn admin(&self, path: &str, body: Vec<u8>) {
        let caller = HttpClient::new(self.platform_url());
        let request = CallRequest::post(path, body).with_header("content-type", "application/json");
        let response = caller.call(request, WAIT_TIMEOUT).await.expect("the stand-in answers");
        assert!(response.status.is_success(), "{path}: {}", response.status);
    }

    /// Every span of time in which a task ran at a worker.
    pub(crate) async fn spans(&self) -> Vec<TaskSpan> {
        let caller = HttpClient::new(self.platform_url());
        let request = CallRequest::get("/v1/admin/spans");
        let response = caller.call(request, WAIT_TIMEOUT).await.expect("the stand-in answers");
        serde_json::from_slice(&response.body).expect("spans are JSON")
    }

    /// Waits until a job of the team is in a phase.
    pub(crate) async fn wait_for_phase(&self, key: &str, phase: PhaseName) -> JobView {
        let caller = self.caller();
        let path = cuminbarrow::api_client::job_path(TEAM, key);
        eventually(&format!("{key} is {phase:?}"), async || {
            let view: JobView = caller.get(&path).await.ok()?;
            (view.phase == phase).then_some(view)
        })
        .await
    }

    /// The worker index of a job's lead.
    pub(crate) fn lead_index(view: &JobView) -> usize {
        worker_index(&view.members[0].worker)
    }
}

/// Index of the agent beside a worker.
pub(crate) fn worker_index(name: &str) -> usize {
    name.trim_start_matches('w').parse().expect("workers are named w0, w1, ...")
}

/// An address that nothing else uses, outgoing connections included: those take ports of 127.0.0.1.
fn unique_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(RUN_ADDRESSES);
    let offset = first.wrapping_add(NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed)) % ALL_ADDRESSES;
    SocketAddr::new(Ipv4Addr::from(FIRST_ADDRESS + offset).into(), PORT)
}

/// Waits for something that must come about.
pub(crate) async fn eventually<T, F>(what: &str, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let started_at = Instant::now();
    loop {
        if let Some(found) = condition().await {
            return found;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A sheet with the team of the tests alone.
pub(crate) fn plain_sheet(base: u64, max_pending: u32) -> SheetBody {
    let team = TeamSpec { name: SmolStr::new(TEAM), guarantees: Vec::new(), max_pending };
    let sheet = Sheet { base, teams: vec![team], jobs: Vec::new() };
    SheetBody { sheet, allow_removals: false }
}

/// A job of the team.
pub(crate) fn job_body(members: u8, accelerators: u8, payload: &str) -> SubmitBody {
    let per_member = Resources { cores: 1, memory_gib: 1, accelerators, slots: 1, connections: 1 };
    SubmitBody {
        team: SmolStr::new(TEAM),
        job: JobSpec {
            shape: Shape { members, per_member, span: Span::DataCentre },
            repeatable: true,
            checkpointable: false,
            urgent: false,
            deadline_ms: None,
            declared_run_ms: 200,
            payload: SmolStr::new(payload),
        },
    }
}

/// The same job, not repeatable.
pub(crate) fn not_repeatable(mut body: SubmitBody) -> SubmitBody {
    body.job.repeatable = false;
    body
}

/// Waits until a job of the team ended.
pub(crate) async fn wait_for_end(caller: &ApiClient, key: &str) -> JobView {
    let view = tokio::time::timeout(WAIT_TIMEOUT, caller.wait(TEAM, key)).await;
    view.unwrap_or_else(|_| panic!("{key} did not end in {WAIT_TIMEOUT:?}"))
        .expect("some entry tells")
}
