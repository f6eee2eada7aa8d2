//! Floods against the HTTP API of the product's entry, and the probe listener of its agent.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::flood::FloodClients;
use crate::flood::FloodRequest;
use crate::flood::request_head;
use crate::product_process::JOBS_PATH;
use crate::product_process::SHEET_PATH;
use crate::product_process::apply_sheet;
use crate::product_process::job_body;
use crate::served_process::Role;
use crate::served_process::ServedProcess;
use crate::served_process::read_status;

/// Number of clients of a flood with jobs: enough that their bodies exceed the bound.
const JOB_CLIENTS: usize = 600;
/// Number of clients of other floods.
const CLIENTS: usize = 300;
/// Number of teams of a sheet of about 1 MB.
const SHEET_TEAMS: usize = 16_000;
/// Number of clients that read no sheets: few, since an unoptimized entry takes ms to encode each.
const SHEET_READERS: usize = 80;
/// Time in which the socket buffers of these clients' connections become full, so that the process
/// holds the rest.
const SHEET_READ_TIME: Duration = Duration::from_secs(3);
/// Largest legal body of a job, in bytes.
const MAX_JOB_BYTES: usize = 65_536;
/// Length of a sheet, in bytes. Legal ones have up to 3 MiB with the lowered limits.
const SHEET_BYTES: usize = 1_000_000;

fn flood_entry(name: &str, clients: usize, request: &FloodRequest) {
    let mut entry = ServedProcess::start(Role::ProductEntry);
    let flood = FloodClients::send(entry.address, clients, request);
    entry.assert_unharmed(name);
    drop(flood);
    entry.assert_serves();
}

/// Guards against buffering as many whole bodies at once as there are connections.
#[test]
fn whole_jobs_at_once() {
    let request = FloodRequest::with_length("POST", JOBS_PATH, MAX_JOB_BYTES, 0);
    flood_entry("product, whole jobs", JOB_CLIENTS, &request);
}

/// Guards against holding bodies that never end for as long as the client likes.
#[test]
fn jobs_that_stop_one_byte_short() {
    let request = FloodRequest::with_length("POST", JOBS_PATH, MAX_JOB_BYTES, 1);
    flood_entry("product, jobs one byte short", JOB_CLIENTS, &request);
}

/// Guards against chunked bodies, whose length is not declared, passing the budget by.
#[test]
fn jobs_in_large_chunks_that_stop_short() {
    let request = FloodRequest::in_chunks("POST", JOBS_PATH, 26_000, 2);
    flood_entry("product, jobs in large chunks", JOB_CLIENTS, &request);
}

/// Guards against keeping each received piece of a body as an allocation of its own.
#[test]
fn jobs_in_chunks_of_one_byte_that_stop_short() {
    let request = FloodRequest::in_chunks("POST", JOBS_PATH, 1, 40_000);
    flood_entry("product, jobs in chunks of one byte", CLIENTS, &request);
}

/// Guards against reading sheets, which are much larger than jobs, of callers that may not send any.
#[test]
fn sheets_of_a_team() {
    let request = FloodRequest::with_length("PUT", SHEET_PATH, SHEET_BYTES, 1);
    flood_entry("product, sheets of a team", CLIENTS, &request);
}

/// Guards against sheets that together exceed the memory.
#[test]
fn sheets_of_an_operator() {
    let request = FloodRequest::with_length("PUT", SHEET_PATH, SHEET_BYTES, 1).of_operator();
    flood_entry("product, sheets one byte short", CLIENTS, &request);
    let request = FloodRequest::with_length("PUT", SHEET_PATH, SHEET_BYTES, 0).of_operator();
    flood_entry("product, whole sheets", CLIENTS, &request);
}

/// Guards against memory that a flood leaves behind, so that the next one exceeds the bound.
#[test]
fn product_floods_that_come_again() {
    let mut entry = ServedProcess::start(Role::ProductEntry);
    let jobs = FloodRequest::with_length("POST", JOBS_PATH, MAX_JOB_BYTES, 1);
    let chunks = FloodRequest::in_chunks("PUT", SHEET_PATH, 26_000, 40).of_operator();
    for round in 0..3 {
        for request in [&jobs, &chunks] {
            drop(FloodClients::send(entry.address, CLIENTS, request));
        }
        entry.assert_unharmed(&format!("product, round {round}"));
    }
}

/// Guards against large answers that are held for clients which do not read them.
#[test]
fn slow_readers_of_a_large_sheet() {
    let mut entry = ServedProcess::start(Role::ProductEntry);
    apply_sheet(&entry, 1, SHEET_TEAMS);
    let request = FloodRequest::pipelined(SHEET_PATH, 40).of_operator();
    let flood = FloodClients::send(entry.address, SHEET_READERS, &request);
    std::thread::sleep(SHEET_READ_TIME);
    entry.assert_unharmed("product, slow readers of a large sheet");
    drop(flood);
    entry.assert_serves();
}

/// Guards against read buffers that grow while a client sends requests and reads no answers.
#[test]
fn product_slow_readers_that_send_large_heads() {
    let field = format!("x: {}", "x".repeat(8_000));
    let request = FloodRequest::pipelined_with_field(JOBS_PATH, &field, 400);
    flood_entry("product, slow readers with large heads", 100, &request);
}

/// Guards against error answers that quote the request, for clients which do not read them.
#[test]
fn slow_readers_of_errors() {
    let body = format!("{{\"{}\":1}}", "x".repeat(MAX_JOB_BYTES - 6)).into_bytes();
    let head = request_head("POST", JOBS_PATH, &format!("content-length: {}", body.len()));
    let body = [head.as_bytes(), &body].concat().repeat(40);
    let request = FloodRequest { head: String::new(), body };
    flood_entry("product, slow readers of errors", CLIENTS, &request);
}

/// Guards against read buffers that grow with a header that does not end.
#[test]
fn product_heads_that_do_not_end() {
    let request = FloodRequest::endless_head(JOBS_PATH, 400_000);
    flood_entry("product, endless heads", CLIENTS, &request);
}

/// Guards against idle connections that take all places of a listener.
#[test]
fn product_idle_connections() {
    flood_entry("product, idle connections", CLIENTS, &FloodRequest::nothing());
}

/// Guards against waits for the end of a job, of up to 30 s, that take all places of a listener.
#[test]
fn waits_for_a_job() {
    let request = FloodRequest::pipelined("/v1/jobs/team/ordinary/wait", 1);
    flood_entry("product, waits", CLIENTS, &request);
}

/// Guards against probes that are not answered while callers take all connections and memory.
#[test]
fn probes_are_answered_during_a_flood() {
    let entry = ServedProcess::start(Role::ProductEntry);
    let request = FloodRequest::with_length("POST", JOBS_PATH, MAX_JOB_BYTES, 1);
    let flood = FloodClients::send(entry.address, JOB_CLIENTS, &request);
    let metrics = entry.metrics_text();
    assert!(metrics.contains("requests_refused_total{reason=\"no_memory\""), "{metrics}");
    drop(flood);
}

/// Guards against reads with a body, which outlive their client and hold the memory of submissions.
#[test]
fn reads_take_no_body() {
    let entry = ServedProcess::start(Role::ProductEntry);
    assert_eq!(entry.call("GET", JOBS_PATH, b""), Some(200));
    assert_eq!(entry.call("GET", JOBS_PATH, b"{}"), Some(413));
}

/// Guards against limits that refuse one large or slow request although nothing else is there.
#[test]
fn one_product_request_within_the_limits_is_served() {
    let entry = ServedProcess::start(Role::ProductEntry);
    let mut body = job_body().into_bytes();
    body.resize(MAX_JOB_BYTES, b' ');
    assert_eq!(entry.call("POST", JOBS_PATH, &body), Some(201));
    let mut stream = TcpStream::connect(entry.address).unwrap();
    let head = request_head("POST", JOBS_PATH, &format!("content-length: {}", body.len()));
    stream.write_all(head.replace("key: flood", "key: slow").as_bytes()).unwrap();
    for piece in body.chunks(MAX_JOB_BYTES / 12) {
        std::thread::sleep(Duration::from_millis(110));
        stream.write_all(piece).unwrap();
    }
    assert_eq!(read_status(&mut stream), Some(201));
}

fn flood_agent(name: &str, request: &FloodRequest) {
    let mut agent = ServedProcess::start(Role::ProductAgent);
    let flood = FloodClients::send(agent.address, CLIENTS, request);
    agent.assert_unharmed(name);
    drop(flood);
    agent.assert_serves();
}

/// Guards against probe connections without a limit of their buffers.
#[test]
fn probes_whose_heads_do_not_end() {
    flood_agent("product agent, endless heads", &FloodRequest::endless_head("/ready", 400_000));
}

/// Guards against probe connections without a limit of their number.
#[test]
fn slow_readers_of_probes() {
    flood_agent("product agent, slow readers", &FloodRequest::pipelined("/metrics", 2_000));
}
