//! Starts the platform stand-in, entries and agents as processes, with fault proxies between them.

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
use cuminbarrow_requests::request_limits::RequestLimits;
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

/// Time within which an expected condition must hold; after it the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Team that submits the jobs; also the token of its API clients.
pub(crate) const TEAM: &str = "museum";
/// Gang lease of all agents, in ms.
pub(crate) const LEASE_MS: u64 = 2_000;

/// Port of every process. Each process has its own loopback address, so the ports do not collide.
const PORT: u16 = 7_100;
/// First loopback address in use, 127.128.0.0; lower ones are left to tests of other packages.
const FIRST_ADDRESS: u32 = 0x7f80_0000;
/// Number of loopback addresses of one run of the tests.
const RUN_ADDRESSES: u32 = 1 << 12;
/// Number of loopback addresses of all runs.
const ALL_ADDRESSES: u32 = 1 << 22;

static NEXT_CLUSTER: AtomicU64 = AtomicU64::new(0);
static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// A process of the deployment, killed when it is dropped.
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

    /// Waits until the process exits by itself. Returns false after [`WAIT_TIMEOUT`].
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

/// Exit code and output of a run of the command-line client.
#[derive(Debug)]
pub(crate) struct ClientRun {
    pub(crate) exit_code: Option<i32>,
    pub(crate) output: String,
    pub(crate) errors: String,
}

/// Size and settings of a deployment.
pub(crate) struct ClusterBuilder {
    agents: usize,
    entries: usize,
    remote_entries: usize,
    has_region_reader: bool,
    session_timeout_ms: u64,
    connections: usize,
}

impl ClusterBuilder {
    pub(crate) fn new() -> Self {
        Self {
            agents: 6,
            entries: 2,
            remote_entries: 0,
            has_region_reader: true,
            session_timeout_ms: 2_000,
            connections: RequestLimits::default().connections,
        }
    }

    /// Sets the limit of each entry's connections.
    pub(crate) fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
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

    /// Adds entries in another region, which reach the platform only through the cluster's region
    /// link.
    pub(crate) fn remote_entries(mut self, entries: usize) -> Self {
        self.remote_entries = entries;
        self
    }

    /// Makes each entry of the other region read the log itself, instead of one for all.
    pub(crate) fn without_region_reader(mut self) -> Self {
        self.has_region_reader = false;
        self
    }

    pub(crate) fn agents(mut self, agents: usize) -> Self {
        self.agents = agents;
        self
    }

    /// Starts all processes, waits until the workers are up and applies the first sheet.
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
            connections: self.connections,
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
    /// Proxy between the entries of the other region and the platform.
    pub(crate) region_link: FaultProxy,
    has_region_reader: bool,
    session_timeout_ms: u64,
    connections: usize,
    _platform_process: Process,
    pub(crate) entries: Vec<Process>,
    entry_addresses: Vec<SocketAddr>,
    /// Proxies in front of the entries' link listeners, by entry.
    pub(crate) entry_proxies: Vec<FaultProxy>,
    pub(crate) agents: Vec<Process>,
    /// Proxies in front of the agents' link listeners, by agent.
    pub(crate) agent_proxies: Vec<FaultProxy>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    async fn wait_for_platform(&self) {
        let client = HttpClient::new(self.platform_url());
        eventually("the platform answers", async || {
            let request = CallRequest::get("/v1/admin/spans");
            client.call(request, Duration::from_secs(1)).await.is_ok().then_some(())
        })
        .await;
    }

    /// Starts one more entry, with the earlier ones as peers from which it may fetch the state.
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
             peers: [{}]\nlog_timeout_ms: 1000\nmemory_mb: 512\n\
             requests: {{connections: {}}}\ntokens:\n\
             - {{name: operator, token_sha256: \"{operator}\", role: operator}}\n\
             - {{name: caller, token_sha256: \"{team}\", role: team, team: {TEAM}}}\n",
            peers.join(", "),
            self.connections
        );
        let file = self.folder.join(format!("entry-{}.yaml", self.entries.len()));
        std::fs::write(&file, settings).expect("the temporary folder can be written");
        let config = file.display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-entry");
        self.entries.push(Process::spawn(program, &["--config", &config]));
        self.entry_addresses.push(listen);
        self.entry_proxies.push(proxy);
    }

    /// Starts an entry's process again with the same settings, as a new instance without state.
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

    /// Starts an agent's process again with the same settings, as a new incarnation.
    pub(crate) fn restart_agent(&mut self, index: usize) {
        let config = self.folder.join(format!("agent-{index}.yaml")).display().to_string();
        let program = env!("CARGO_BIN_EXE_cuminbarrow-agent");
        self.agents[index] = Process::spawn(program, &["--config", &config]);
    }

    /// Waits until every entry sees `count` workers up and knows a planner.
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

    /// URLs of the entries' HTTP API.
    pub(crate) fn urls(&self) -> Vec<String> {
        self.entry_addresses.iter().map(|address| format!("http://{address}")).collect()
    }

    /// Client of all entries with the operator's token.
    pub(crate) fn operator(&self) -> ApiClient {
        ApiClient::new(&self.urls(), "operator")
    }

    /// Runs the command-line client with the operator's token.
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

    /// Client of all entries with the team's token.
    pub(crate) fn caller(&self) -> ApiClient {
        ApiClient::new(&self.urls(), TEAM)
    }

    /// Client of a single entry, without failover.
    pub(crate) fn client_of(&self, entry: usize, token: &str) -> ApiClient {
        ApiClient::new(&self.urls()[entry..=entry], token)
    }

    /// URL of the platform stand-in.
    pub(crate) fn platform_url(&self) -> String {
        format!("http://{}", self.platform)
    }

    /// Replaces the faults of the log service.
    pub(crate) async fn set_log_faults(&self, faults: LogFaults) {
        let body = serde_json::to_vec(&faults).expect("faults have a JSON form");
        self.admin("/v1/admin/log", body).await;
    }

    /// Replaces the faults of a worker.
    pub(crate) async fn set_worker_faults(&self, worker: &str, faults: WorkerFaults) {
        let body = serde_json::to_vec(&faults).expect("faults have a JSON form");
        self.admin(&format!("/v1/admin/workers/{worker}"), body).await;
    }

    async fn admin(&self, path: &str, body: Vec<u8>) {
        let client = HttpClient::new(self.platform_url());
        let request = CallRequest::post(path, body).with_header("content-type", "application/json");
        let response = client.call(request, WAIT_TIMEOUT).await.expect("the stand-in answers");
        assert!(response.status.is_success(), "{path}: {}", response.status);
    }

    /// All periods in which a task ran on a worker.
    pub(crate) async fn spans(&self) -> Vec<TaskSpan> {
        let client = HttpClient::new(self.platform_url());
        let request = CallRequest::get("/v1/admin/spans");
        let response = client.call(request, WAIT_TIMEOUT).await.expect("the stand-in answers");
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

    /// Index of the agent that leads a job's gang.
    pub(crate) fn lead_index(view: &JobView) -> usize {
        worker_index(&view.members[0].worker)
    }
}

/// Index of the agent that serves a worker.
pub(crate) fn worker_index(name: &str) -> usize {
    name.trim_start_matches('w').parse().expect("workers are named w0, w1, ...")
}

/// Returns an address that nothing else uses. Outgoing connections cannot take it either, since
/// they use ports of 127.0.0.1.
fn unique_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(RUN_ADDRESSES);
    let offset = first.wrapping_add(NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed)) % ALL_ADDRESSES;
    SocketAddr::new(Ipv4Addr::from(FIRST_ADDRESS + offset).into(), PORT)
}

/// Polls `condition` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually<T, F>(what: &str, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let started_at = Instant::now();
    loop {
        if let Some(found) = condition().await {
            return found;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A sheet with [`TEAM`] as the only team and without guarantees.
pub(crate) fn plain_sheet(base: u64, max_pending: u32) -> SheetBody {
    let team = TeamSpec { name: SmolStr::new(TEAM), guarantees: Vec::new(), max_pending };
    let sheet = Sheet { base, teams: vec![team], jobs: Vec::new() };
    SheetBody { sheet, allow_removals: false }
}

/// A repeatable job of [`TEAM`]. The payload may hold instructions to the stand-in's workers.
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

/// Waits until a job of [`TEAM`] has ended.
pub(crate) async fn wait_for_end(caller: &ApiClient, key: &str) -> JobView {
    let view = tokio::time::timeout(WAIT_TIMEOUT, caller.wait(TEAM, key)).await;
    view.unwrap_or_else(|_| panic!("{key} did not end in {WAIT_TIMEOUT:?}"))
        .expect("an entry returns the job")
}
