//! Floods against the report address of an agent.

use crate::flood::FloodClients;
use crate::flood::FloodRequest;
use crate::served_process::Role;
use crate::served_process::ServedProcess;

/// Number of clients of a flood.
const CLIENTS: usize = 200;
/// Length of each report, in bytes. Legal ones have up to 4 MiB.
const REPORT_BYTES: usize = 1_000_000;
/// Path of a worker's report.
const REPORT_PATH: &str = "/cuminbarrow/instances/w1";

fn flood_agent(name: &str, request: &FloodRequest) {
    let mut agent = ServedProcess::start(Role::Agent);
    let flood = FloodClients::send(agent.address, CLIENTS, request);
    agent.assert_unharmed(name);
    drop(flood);
    agent.assert_serves();
}

/// Guards against holding reports that never end for the full time limit.
#[test]
fn reports_that_stop_one_byte_short() {
    let request = FloodRequest::with_length("PUT", REPORT_PATH, REPORT_BYTES, 1);
    flood_agent("agent, one byte short", &request);
}

/// Guards against chunked reports, whose length is not declared, passing the budget by.
#[test]
fn reports_in_large_chunks_that_stop_short() {
    let request = FloodRequest::in_chunks("PUT", REPORT_PATH, 26_000, 40);
    flood_agent("agent, large chunks", &request);
}

/// Guards against keeping each received piece of a report as an allocation of its own.
#[test]
fn reports_in_chunks_of_one_byte_that_stop_short() {
    let request = FloodRequest::in_chunks("PUT", REPORT_PATH, 1, 40_000);
    flood_agent("agent, chunks of one byte", &request);
}
