//! Memory of a process together with the bytes that its sockets have received and it has not read. The
//! users' platform counts both towards the memory of a machine.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::flood::FloodClients;
use crate::flood::FloodRequest;
use crate::served_process::Role;
use crate::served_process::ServedProcess;
use crate::served_process::resident_bytes;

/// Number of clients of a flood.
const CLIENTS: usize = 1_000;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// Path of a submission.
const JOB_PATH: &str = "/q1/00000000000000b1";
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Highest sum of resident memory and unread bytes, sampled by a thread.
struct MemoryWatch {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<MemorySample>,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemorySample {
    resident: u64,
    unread: u64,
}

impl MemorySample {
    fn total(self) -> u64 {
        self.resident + self.unread
    }
}

impl MemoryWatch {
    fn start(process: u32, address: SocketAddr) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let is_stopped_seen = Arc::clone(&is_stopped);
        let thread = std::thread::spawn(move || {
            let mut peak = MemorySample::default();
            while !is_stopped_seen.load(Ordering::Relaxed) {
                let sample = MemorySample {
                    resident: resident_bytes(process),
                    unread: unread_bytes(address),
                };
                if sample.total() > peak.total() {
                    peak = sample;
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { is_stopped, thread }
    }

    /// Stops sampling and returns the highest sample.
    fn close(self) -> MemorySample {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Bytes that the connections to an address have received and that were not read, accepted or not.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { panic!("{address} is not an IPv4 address") };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let lines = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let of_connections = lines.filter(|fields| {
        const LISTEN: &str = "0A";
        fields[1] == kernel_form(address) && fields[3] != LISTEN
    });
    of_connections
        .map(|fields| {
            let (_, received) = fields[4].split_once(':').unwrap();
            u64::from_str_radix(received, 16).unwrap()
        })
        .sum()
}

/// An address as the kernel's table of connections shows it.
fn kernel_form(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn flood_entry(name: &str, request: &FloodRequest) {
    let mut entry = ServedProcess::start(Role::Entry);
    let allowed = Role::Entry.memory_bytes();
    let watch = MemoryWatch::start(entry.id(), entry.address);
    let clients = FloodClients::send(entry.address, CLIENTS, request);
    let peak = watch.close();
    println!(
        "{name}: {} KB resident and {} KB unread of {} KB",
        peak.resident / 1024,
        peak.unread / 1024,
        allowed / 1024
    );
    assert!(peak.total() <= allowed, "{name}: {peak:?} of {allowed} bytes");
    entry.assert_unharmed(name);
    drop(clients);
    entry.assert_serves();
}

/// Guards against bodies that wait unread in more sockets than fit into the memory.
#[test]
fn bodies_that_wait_in_sockets() {
    let request = FloodRequest::with_length("POST", JOB_PATH, MAX_BODY_BYTES, 1);
    flood_entry("entry, unread bodies", &request);
}

/// The same with bodies whose length is not declared.
#[test]
fn large_chunks_that_wait_in_sockets() {
    let request = FloodRequest::in_chunks("POST", JOB_PATH, 26_000, 10);
    flood_entry("entry, unread large chunks", &request);
}

/// The same with chunks that cost more time to decode than to send.
#[test]
fn small_chunks_that_wait_in_sockets() {
    let request = FloodRequest::in_chunks("POST", JOB_PATH, 1, 40_000);
    flood_entry("entry, unread small chunks", &request);
}
