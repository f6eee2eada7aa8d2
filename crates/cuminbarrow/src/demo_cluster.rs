//! A deployment in one process, on loopback addresses and an in-memory platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use cuminbarrow_agent::agent_daemon;
use cuminbarrow_agent::agent_settings::AgentSettings;
use cuminbarrow_agent::gang_timing::GangTiming;
use cuminbarrow_entry::entry_daemon;
use cuminbarrow_entry::entry_settings::EntrySettings;
use cuminbarrow_entry::entry_settings::PolicyGoal;
use cuminbarrow_entry::entry_settings::PolicyName;
use cuminbarrow_entry::entry_settings::RoleName;
use cuminbarrow_entry::entry_settings::TokenSettings;
use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::topology::Location;
use cuminbarrow_protocol::byte_counter::ByteCounter;
use cuminbarrow_protocol::link_limits::LinkLimits;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_standin::platform_server::PlatformServer;
use cuminbarrow_telemetry::log_settings::LogSettings;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::api_client::ApiClient;

/// Bearer token of the operator.
pub const OPERATOR_TOKEN: &str = "demo-operator";
/// Number of workers in each rack.
const WORKERS_PER_RACK: usize = 3;

/// First port of the range for listeners.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 18_000;
/// Distance between the first ports that processes with adjacent ids try, so that deployments that
/// run at once rarely collide.
const PORT_STRIDE: u32 = 997;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with one worker.
    pub agents: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
}

impl ClusterSize {
    /// Capacity of a worker in the archive's deployment.
    pub const ARCHIVE_WORKER: Resources =
        Resources { cores: 130, memory_gib: 250, accelerators: 8, slots: 8, connections: 60 };
}

/// A running deployment in one process.
pub struct DemoCluster {
    /// In-memory platform: the log service and the workers.
    pub platform: PlatformServer,
    /// URLs of the entries' HTTP API.
    pub entries: Vec<String>,
    shutdown: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    agent_bytes: Arc<ByteCounter>,
}

impl DemoCluster {
    /// Starts a deployment.
    ///
    /// # Errors
    /// If no loopback port is free.
    pub fn start(size: ClusterSize) -> std::io::Result<Self> {
        let platform = PlatformServer::spawn();
        let (shutdown, receiver) = watch::channel(false);
        let mut cluster = Self {
            platform,
            entries: Vec::new(),
            shutdown,
            tasks: Vec::new(),
            agent_bytes: Arc::default(),
        };
        let mut link_addresses = Vec::new();
        for _ in 0..size.entries {
            let (listen, link_listen) = (free_address()?, free_address()?);
            cluster.start_entry(listen, link_listen, &receiver);
            link_addresses.push(link_listen);
        }
        for index in 0..size.agents {
            cluster.start_agent(index, free_address()?, size.capacity, &link_addresses, &receiver);
        }
        Ok(cluster)
    }

    /// Creates a client of all entries with the operator's token.
    pub fn client(&self) -> ApiClient {
        ApiClient::new(&self.entries, OPERATOR_TOKEN)
    }

    /// Bytes sent and received over the links of all agents. A byte between two agents counts
    /// twice, once at each end.
    pub fn agent_link_bytes(&self) -> u64 {
        self.agent_bytes.received() + self.agent_bytes.sent()
    }

    /// Shuts down all entries and agents and waits for them.
    pub async fn close(self) {
        let _ = self.shutdown.send(true);
        for task in self.tasks {
            let _ = task.await;
        }
    }

    fn start_entry(
        &mut self,
        listen: SocketAddr,
        link_listen: SocketAddr,
        shutdown: &watch::Receiver<bool>,
    ) {
        let store: Arc<dyn LogStore> = self.platform.log.clone();
        let daemon =
            entry_daemon::run(entry_settings(listen, link_listen), store, shutdown.clone());
        self.entries.push(format!("http://{listen}"));
        self.tasks.push(tokio::spawn(async move {
            if let Err(error) = daemon.await {
                log::error!("an entry of the demo failed: {error}");
            }
        }));
    }

    fn start_agent(
        &mut self,
        index: usize,
        listen: SocketAddr,
        capacity: Resources,
        link_addresses: &[SocketAddr],
        shutdown: &watch::Receiver<bool>,
    ) {
        let settings = agent_settings(index, listen, capacity, link_addresses);
        let worker = self.platform.fleet.worker(settings.worker.clone());
        let counter = Arc::clone(&self.agent_bytes);
        let daemon = agent_daemon::run(settings, worker, counter, shutdown.clone());
        self.tasks.push(tokio::spawn(async move {
            if let Err(error) = daemon.await {
                log::error!("an agent of the demo failed: {error}");
            }
        }));
    }
}

/// Returns a loopback address that was free when checked. Its port lies outside the system's range
/// for outgoing connections, so no such connection can take it in the meantime.
///
/// # Errors
/// If no port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let seed = std::process::id() * PORT_STRIDE;
    for _ in 0..PORT_COUNT {
        let index = seed.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(index).unwrap_or_default();
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr();
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

fn entry_settings(listen: SocketAddr, link_listen: SocketAddr) -> EntrySettings {
    let operator = TokenSettings {
        name: SmolStr::new("operator"),
        token_sha256: Digest::of(OPERATOR_TOKEN.as_bytes()).to_smolstr(),
        role: RoleName::Operator,
        team: None,
    };
    EntrySettings {
        region: SmolStr::new("zapad"),
        listen,
        probe_listen: None,
        link_listen,
        platform: String::new(),
        shared_key: SharedKey::new("demo"),
        tokens: vec![operator],
        log_region: None,
        peers: Vec::new(),
        log_timeout_ms: 2_000,
        write_timeout_ms: 5_000,
        session_timeout_ms: 15_000,
        planner_timeout_ms: 3_000,
        snapshot_batches: 5_000,
        drain_ms: 5_000,
        max_removed_permille: 200,
        team_submissions_per_s: 100_000,
        max_requests: 4_000,
        memory_mb: 1_024,
        requests: None,
        links: LinkLimits::default(),
        policy: PolicyName::Guaranteed,
        goal: PolicyGoal::Completion,
        log: LogSettings::default(),
    }
}

/// Settings of the agent `index`. Agents prefer different entries, and three agents share a rack.
pub fn agent_settings(
    index: usize,
    listen: SocketAddr,
    capacity: Resources,
    link_addresses: &[SocketAddr],
) -> AgentSettings {
    let mut entries = link_addresses.to_vec();
    if !entries.is_empty() {
        entries.rotate_left(index % link_addresses.len());
    }
    let rack = index / WORKERS_PER_RACK;
    let location = Location {
        region: SmolStr::new("zapad"),
        data_centre: SmolStr::new("bratislava"),
        rack: format_smolstr!("r{rack}"),
    };
    AgentSettings {
        worker: format_smolstr!("w{index:03}"),
        location,
        capacity,
        listen,
        advertise: None,
        probe_listen: None,
        memory_mb: 1_024,
        requests: None,
        links: LinkLimits::default(),
        entries,
        platform: String::new(),
        shared_key: SharedKey::new("demo"),
        heartbeat_ms: 5_000,
        session_timeout_ms: 15_000,
        drain_ms: 1_000,
        timing: GangTiming::default(),
        log: LogSettings::default(),
    }
}
