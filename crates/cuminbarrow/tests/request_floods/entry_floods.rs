//! Floods against the callers' and metrics addresses of an entry.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::flood::FloodClients;
use crate::flood::FloodRequest;
use crate::served_process::Role;
use crate::served_process::ServedProcess;
use crate::served_process::read_status;
use crate::wire_fixtures::job;

/// Number of clients of a flood.
const CLIENTS: usize = 300;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// Length of a large header field that fits into the smallest read buffer, in bytes.
const LARGE_FIELD_BYTES: usize = 8_000;
/// Path of a submission.
const JOB_PATH: &str = "/q1/00000000000000b1";

fn flood_entry(name: &str, clients: usize, request: &FloodRequest) {
    let mut entry = ServedProcess::start(Role::Entry);
    let flood = FloodClients::send(entry.address, clients, request);
    entry.assert_unharmed(name);
    drop(flood);
    entry.assert_serves();
}

/// Guards against refusals that the operator does not see.
#[test]
fn refusals_are_counted_and_memory_is_released() {
    let mut entry = ServedProcess::start(Role::Entry);
    let request = FloodRequest::with_length("POST", JOB_PATH, MAX_BODY_BYTES, 1);
    drop(FloodClients::send(entry.address, CLIENTS, &request));
    entry.assert_unharmed("entry, metrics");
    let metrics = entry.metrics_text();
    let value = |name: &str| {
        let line = metrics.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split(' ').next_back()?.parse::<f64>().ok())
    };
    assert!(value("requests_refused_total{reason=\"no_memory\"") > Some(0.0), "{metrics}");
    assert_eq!(value("request_bytes_held"), Some(0.0), "{metrics}");
    assert!(value("request_connections{listener=\"main\"").is_some(), "{metrics}");
}

/// Guards against buffering as many whole bodies at once as there are connections.
#[test]
fn whole_bodies_at_once() {
    let request = FloodRequest::with_length("POST", JOB_PATH, MAX_BODY_BYTES, 0);
    flood_entry("entry, whole bodies", CLIENTS, &request);
}

/// Guards against holding bodies that never end for the full time limit.
#[test]
fn bodies_that_stop_one_byte_short() {
    let request = FloodRequest::with_length("POST", JOB_PATH, MAX_BODY_BYTES, 1);
    flood_entry("entry, one byte short", CLIENTS, &request);
}

/// Guards against chunked bodies, whose length is not declared, passing the budget by.
#[test]
fn large_chunks_that_stop_short() {
    let request = FloodRequest::in_chunks("POST", JOB_PATH, 26_000, 10);
    flood_entry("entry, large chunks", CLIENTS, &request);
}

/// Guards against keeping each received piece of a body as an allocation of its own.
#[test]
fn chunks_of_one_byte_that_stop_short() {
    let request = FloodRequest::in_chunks("POST", JOB_PATH, 1, 40_000);
    flood_entry("entry, chunks of one byte", CLIENTS, &request);
}

/// Guards against memory that a flood leaves behind, so that the next one exceeds the bound.
#[test]
fn floods_that_come_again() {
    let mut entry = ServedProcess::start(Role::Entry);
    let short = FloodRequest::with_length("POST", JOB_PATH, MAX_BODY_BYTES, 1);
    let chunks = FloodRequest::in_chunks("POST", JOB_PATH, 26_000, 10);
    for round in 0..3 {
        for request in [&short, &chunks] {
            drop(FloodClients::send(entry.address, CLIENTS, request));
        }
        entry.assert_unharmed(&format!("entry, round {round}"));
    }
}

/// Guards against answers and pipelined requests that pile up behind a client that does not read.
#[test]
fn slow_readers_of_answers() {
    let request = FloodRequest::pipelined("/q1/", 40_000);
    flood_entry("entry, slow readers", 100, &request);
}

/// Guards against read buffers that grow while a client sends requests and reads no answers: each
/// read of the HTTP library is twice as large as the one before while reads fill its buffer.
#[test]
fn slow_readers_that_send_large_heads() {
    let field = format!("x: {}", "x".repeat(LARGE_FIELD_BYTES));
    let request = FloodRequest::pipelined_with_field("/q1/", &field, 400);
    flood_entry("entry, slow readers with large heads", 100, &request);
}

/// Guards against read buffers that grow with a header that does not end.
#[test]
fn heads_that_do_not_end() {
    let request = FloodRequest::endless_head("/q1/", 400_000);
    flood_entry("entry, endless heads", CLIENTS, &request);
}

/// Guards against idle connections that take all places of a listener.
#[test]
fn idle_connections() {
    flood_entry("entry, idle connections", CLIENTS, &FloodRequest::nothing());
}

/// Guards against metrics pages that pile up behind clients that do not read.
#[test]
fn slow_readers_of_metrics() {
    let mut entry = ServedProcess::start(Role::Entry);
    let request = FloodRequest::pipelined("/metrics", 2_000);
    let flood = FloodClients::send(entry.metrics, 100, &request);
    entry.assert_unharmed("entry, slow readers of metrics");
    drop(flood);
}

/// Guards against small bodies whose parsed form is many times as large.
#[test]
fn jobs_of_many_steps() {
    let steps = vec![r#"{"count":1}"#; 1_000].join(",");
    let mut body = format!(r#"{{"steps":[{steps}]}}"#).into_bytes();
    let mut request = FloodRequest::with_length("POST", JOB_PATH, body.len(), 0);
    request.body.clear();
    request.body.append(&mut body);
    flood_entry("entry, many steps", CLIENTS, &request);
}

/// Guards against limits that refuse one large or slow request although nothing else is there.
#[test]
fn one_request_within_the_limits_is_served() {
    let entry = ServedProcess::start(Role::Entry);
    let mut body = job("", 1, false).to_string().into_bytes();
    body.resize(MAX_BODY_BYTES, b' ');
    assert_eq!(entry.call("POST", "/q1/00000000000000c1", &body), Some(200));
    let mut stream = TcpStream::connect(entry.address).unwrap();
    let head = format!(
        "POST /q1/00000000000000c2 HTTP/1.1\r\nhost: queues.example\r\nkey: key-1\r\n\
         deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    for piece in body.chunks(MAX_BODY_BYTES / 12) {
        std::thread::sleep(Duration::from_millis(110));
        stream.write_all(piece).unwrap();
    }
    assert_eq!(read_status(&mut stream), Some(200));
}

/// Guards against a read buffer that does not hold the header fields which the platform allows.
#[test]
fn header_of_the_largest_size_is_served() {
    let entry = ServedProcess::start(Role::Entry);
    let mut stream = TcpStream::connect(entry.address).unwrap();
    let head = format!(
        "GET /q1/ HTTP/1.1\r\nhost: queues.example\r\nkey: key-1\r\nx: {}\r\n\r\n",
        "x".repeat(16_384 - 60)
    );
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(read_status(&mut stream), Some(200));
}
