//! An entry or agent as a child process on loopback addresses.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::flood::request_head;
use crate::product_process;
use crate::product_process::ProductBackend;
use crate::store_standin::StoreStandin;
use crate::wire_fixtures::configuration;
use crate::wire_fixtures::job;

/// Lowered limit of the bodies that an entry of the users' platform or of the product holds, in bytes.
const ENTRY_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// Lowered limit of the bodies that an agent holds, in bytes. A single one may have 4 MiB.
const AGENT_BODY_BYTES: u64 = 6 * 1024 * 1024;
/// Lowered limit of the connections of a listener.
const CONNECTIONS: u64 = 96;
/// Lowered memory of an entry of the users' platform, in MB: twice what its lowered limits permit requests.
const ENTRY_MEMORY_MB: u64 = 36;
/// Lowered memory of the other processes, in MB.
const MEMORY_MB: u64 = 64;
/// Lowered limit of the links that have not proved possession of the key.
const UNPROVED_LINKS: u64 = 32;
/// Upper bound of what one connection costs: buffers of the HTTP library and the state of its task.
const CONNECTION_BYTES: u64 = 56 * 1024;
/// Allowance for code pages that are touched first during the flood, log lines and the replica.
const OTHER_BYTES: u64 = 10 * 1024 * 1024;
/// Descriptors that a process uses beside its callers' connections.
const OTHER_DESCRIPTORS: usize = 64;
/// Key of links between processes.
pub(crate) const SHARED_KEY: &str = "key";
/// Limit of the waits for a process to serve.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the process to read what a flood has sent, so that the peak is measured after it.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Omits the limits from the settings, to show the fault on a release that does not know them.
const OMIT_LIMITS: &str = "CUMINBARROW_FLOOD_OMIT_LIMITS";

/// Role of a process under test, on the users' platform or of the product.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Entry,
    Agent,
    ProductEntry,
    ProductAgent,
}

/// Services that a process under test calls.
pub(crate) enum Backend {
    Store { _store: StoreStandin },
    Product { _backend: ProductBackend },
}

impl Role {
    fn body_bytes(self) -> u64 {
        match self {
            Self::Agent => AGENT_BODY_BYTES,
            Self::Entry | Self::ProductAgent | Self::ProductEntry => ENTRY_BODY_BYTES,
        }
    }

    fn memory_mb(self) -> u64 {
        if self == Self::Entry { ENTRY_MEMORY_MB } else { MEMORY_MB }
    }

    /// Memory of the machine that the process runs on, in bytes.
    pub(crate) fn memory_bytes(self) -> u64 {
        self.memory_mb() * 1024 * 1024
    }

    fn is_product(self) -> bool {
        matches!(self, Self::ProductAgent | Self::ProductEntry)
    }

    /// Growth of the resident memory that the limits allow, in bytes. Bodies count twice: as received,
    /// and for what is derived from them. At the product's entry they count a third time, as in the check of
    /// the limits, since answers take from the same budget.
    fn max_growth_bytes(self) -> u64 {
        let copies = if self.is_product() { 3 } else { 2 };
        copies * self.body_bytes() + CONNECTIONS * CONNECTION_BYTES + OTHER_BYTES
    }
}

/// A running process with the store that it uses.
pub(crate) struct ServedProcess {
    /// Address under test: of callers for an entry, of reports for an agent, of probes for the
    /// product's agent.
    pub(crate) address: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Address for links from other processes, of an entry.
    pub(crate) links: SocketAddr,
    child: Child,
    role: Role,
    settings: PathBuf,
    resident_before: u64,
    _backend: Backend,
    _serial: MutexGuard<'static, ()>,
}

impl ServedProcess {
    /// Starts a process and waits until it answers. Only one runs at a time, so that floods do not
    /// disturb each other.
    pub(crate) fn start(role: Role) -> Self {
        static SERIAL: Mutex<()> = Mutex::new(());
        let serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
        let (address, metrics, links) = (free_address(), free_address(), free_address());
        let (backend, program, mut settings) = if role.is_product() {
            product_process::start_backend(role, address, links)
        } else {
            platform_settings(role, address, metrics, links)
        };
        if std::env::var_os(OMIT_LIMITS).is_none() {
            extend(
                &mut settings,
                &json!({
                    "memory_mb": role.memory_mb(),
                    "requests": {
                        "body_bytes": role.body_bytes(), "small_part_bytes": role.body_bytes() / 4,
                        "connections": CONNECTIONS, "probe_connections": 8,
                    },
                }),
            );
            if matches!(role, Role::Entry | Role::ProductEntry) {
                extend(&mut settings, &json!({ "links": { "unproved": UNPROVED_LINKS } }));
            }
            if role == Role::ProductEntry {
                extend(&mut settings, &json!({ "probe_listen": metrics }));
            }
        }
        let path = write_settings(&settings);
        let child = spawn_process(program, &path);
        let mut process = Self {
            address,
            metrics,
            links,
            child,
            role,
            settings: path,
            resident_before: 0,
            _backend: backend,
            _serial: serial,
        };
        if role == Role::ProductEntry {
            product_process::apply_sheet(&process, 0, 0);
        }
        process.assert_serves();
        process.resident_before = process.status_bytes("VmRSS:");
        process
    }

    /// Checks what every flood must leave intact: the process lives, its memory and descriptors are
    /// bounded, and an ordinary request is answered.
    pub(crate) fn assert_unharmed(&mut self, flood: &str) {
        std::thread::sleep(SETTLE_TIME);
        let exit = self.child.try_wait().unwrap();
        assert!(exit.is_none(), "{flood}: the process ended: {exit:?}");
        let peak = self.status_bytes("VmHWM:");
        let growth = peak.saturating_sub(self.resident_before);
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count();
        println!(
            "{flood}: before {} KB, peak {} KB, now {} KB, growth {} KB of {} KB, {descriptors} descriptors",
            self.resident_before / 1024,
            peak / 1024,
            self.status_bytes("VmRSS:") / 1024,
            growth / 1024,
            self.role.max_growth_bytes() / 1024
        );
        assert!(growth <= self.role.max_growth_bytes(), "{flood}: memory grew by {growth} bytes");
        let max_descriptors = usize::try_from(CONNECTIONS).unwrap() + OTHER_DESCRIPTORS;
        assert!(descriptors <= max_descriptors, "{flood}: {descriptors} descriptors are open");
        self.assert_serves();
    }

    /// Waits until an ordinary request is answered as it should be.
    pub(crate) fn assert_serves(&mut self) {
        let started = Instant::now();
        loop {
            let exit = self.child.try_wait().unwrap();
            assert!(exit.is_none(), "the process ended: {exit:?}");
            let status = match self.role {
                Role::Entry => self.submit_small_job(),
                Role::Agent => self.call("DELETE", "/cuminbarrow/instances/w1", b""),
                Role::ProductEntry => product_process::submit(self, "ordinary"),
                Role::ProductAgent => self.call("GET", "/ready", b""),
            };
            if matches!(status, Some(200 | 201)) {
                return;
            }
            assert!(started.elapsed() < SERVE_TIMEOUT, "no ordinary answer, last {status:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn submit_small_job(&self) -> Option<u16> {
        let body = job("", 1, false);
        self.call("POST", "/q1/00000000000000a1", body.to_string().as_bytes())
    }

    /// Sends a whole request and returns the status of its answer, if there is one.
    pub(crate) fn call(&self, method: &str, path: &str, body: &[u8]) -> Option<u16> {
        self.send(&request_head(method, path, &format!("content-length: {}", body.len())), body)
    }

    /// Like [`ServedProcess::call`], with a head that the caller writes.
    pub(crate) fn send(&self, head: &str, body: &[u8]) -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(3)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
        read_status(&mut stream)
    }

    /// Text of the process's metrics.
    pub(crate) fn metrics_text(&self) -> String {
        let mut stream = TcpStream::connect(self.metrics).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Number of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    fn status_bytes(&self, key: &str) -> u64 {
        status_bytes(self.child.id(), key)
    }
}

/// Resident memory of a process, in bytes.
pub(crate) fn resident_bytes(process: u32) -> u64 {
    status_bytes(process, "VmRSS:")
}

fn status_bytes(process: u32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(key)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}

impl Drop for ServedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Program and settings of a process on the users' platform, and the store that it uses.
fn platform_settings(
    role: Role,
    address: SocketAddr,
    metrics: SocketAddr,
    links: SocketAddr,
) -> (Backend, &'static str, Value) {
    let store = StoreStandin::start();
    store.configure(&configuration(1));
    let mut settings = json!({
        "instance": "instance-1", "region": "region", "data_centre": "dc",
        "listen_metrics": metrics, "store": { "address": store.add_endpoint().address },
        "shared_key": SHARED_KEY, "max_lease_ms": 2_500,
    });
    let (program, own) = if role == Role::Entry {
        (
            env!("CARGO_BIN_EXE_cuminbarrow-platform-entry"),
            json!({
                "listen_callers": address, "listen_ready": free_address(), "ip": links.ip(),
                "link_ports": [links.port()], "grace_ms": 1_000,
            }),
        )
    } else {
        (
            env!("CARGO_BIN_EXE_cuminbarrow-platform-agent"),
            json!({ "listen_reports": address, "worker": free_address() }),
        )
    };
    extend(&mut settings, &own);
    (Backend::Store { _store: store }, program, settings)
}

/// Reads the status of an answer, if there is one.
pub(crate) fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..]).ok()?.parse().ok()
}

fn extend(settings: &mut Value, more: &Value) {
    let more = more.as_object().unwrap().clone();
    settings.as_object_mut().unwrap().extend(more);
}

/// Writes a process's settings to a file.
pub(crate) fn write_settings(settings: &Value) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cuminbarrow-flood-{}", free_address().ip()));
    // JSON is a subset of YAML.
    std::fs::write(&path, settings.to_string()).unwrap();
    path
}

/// Starts a program with the settings in a file.
pub(crate) fn spawn_process(program: &str, settings: &Path) -> Child {
    let mut command = Command::new(program);
    command.arg("--config").arg(settings).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().unwrap()
}

/// An address that nothing else uses: each call returns another loopback IP address. The adapter's tests
/// use those up to 127.200.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::new([127, 201 + high % 50, low, number].into(), 7_000)
}
