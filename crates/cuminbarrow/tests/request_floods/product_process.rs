//! Settings and requests of the product's entry and agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;
use std::time::Instant;

use cuminbarrow_model::digest::Digest;
use cuminbarrow_standin::platform_server::PlatformServer;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::flood::request_head;
use crate::served_process::Backend;
use crate::served_process::Role;
use crate::served_process::SHARED_KEY;
use crate::served_process::ServedProcess;
use crate::served_process::free_address;
use crate::served_process::spawn_process;
use crate::served_process::write_settings;

/// Path of a submission.
pub(crate) const JOBS_PATH: &str = "/v1/jobs";
/// Program of the product's agent.
const AGENT_PROGRAM: &str = env!("CARGO_BIN_EXE_cuminbarrow-agent");
/// Path of the sheet.
pub(crate) const SHEET_PATH: &str = "/v1/sheet";
/// Limit of the wait for a new entry to take its first sheet.
const SHEET_TIMEOUT: Duration = Duration::from_secs(20);

/// Services that a process of the product uses.
pub(crate) struct ProductBackend {
    /// Runs the stand-in of the log service and workers.
    _runtime: Runtime,
    /// Agent of an entry's only worker, without which no job would be accepted.
    agent: Option<(Child, PathBuf)>,
}

impl Drop for ProductBackend {
    fn drop(&mut self) {
        let Some((agent, settings)) = &mut self.agent else { return };
        let _ = agent.kill();
        let _ = agent.wait();
        let _ = std::fs::remove_file(settings);
    }
}

/// Starts the stand-in of the log service and workers, and an agent for an entry. Returns it with the
/// program and settings of a process that uses it.
pub(crate) fn start_backend(
    role: Role,
    address: SocketAddr,
    links: SocketAddr,
) -> (Backend, &'static str, Value) {
    let runtime = Runtime::new().unwrap();
    let platform = free_address();
    runtime.block_on(async {
        let listener = TcpListener::bind(platform).await.unwrap();
        tokio::spawn(PlatformServer::spawn().serve(listener));
    });
    let platform = format!("http://{platform}");
    if role == Role::ProductAgent {
        let mut settings = agent_settings(links, &platform, "127.0.0.1:1");
        settings["probe_listen"] = json!(address);
        let backend = ProductBackend { _runtime: runtime, agent: None };
        return (Backend::Product { _backend: backend }, AGENT_PROGRAM, settings);
    }
    let path = write_settings(&agent_settings(free_address(), &platform, &links.to_string()));
    let agent = spawn_process(AGENT_PROGRAM, &path);
    let backend = ProductBackend { _runtime: runtime, agent: Some((agent, path)) };
    let settings = json!({
        "region": "region", "listen": address, "link_listen": links, "platform": platform,
        "shared_key": SHARED_KEY, "team_submissions_per_s": 100_000,
        "tokens": [
            { "name": "operator", "role": "operator",
              "token_sha256": Digest::of(b"operator").to_string() },
            { "name": "caller", "role": "team", "team": "team",
              "token_sha256": Digest::of(b"caller").to_string() },
        ],
    });
    (Backend::Product { _backend: backend }, env!("CARGO_BIN_EXE_cuminbarrow-entry"), settings)
}

fn agent_settings(listen: SocketAddr, platform: &str, entry: &str) -> Value {
    json!({
        "worker": "w1", "listen": listen, "platform": platform,
        "location": { "region": "region", "data_centre": "dc", "rack": "r1" },
        "capacity": { "cores": 8, "memory_gib": 8, "accelerators": 8, "slots": 1,
                      "connections": 8 },
        "entries": [entry], "shared_key": SHARED_KEY,
    })
}

/// Applies a sheet with the caller's team and `others` more, once the entry takes it. `base` is the
/// version of the sheet before.
pub(crate) fn apply_sheet(entry: &ServedProcess, base: u64, others: usize) {
    let team = |name: &str| json!({ "name": name, "guarantees": [], "max_pending": 5_000 });
    let mut teams = vec![team("team")];
    teams.extend((0..others).map(|number| team(&format!("team-{number}"))));
    let sheet = json!({ "sheet": { "base": base, "teams": teams, "jobs": [] } }).to_string();
    let field = format!("content-length: {}", sheet.len());
    let head = request_head("PUT", SHEET_PATH, &field).replace("Bearer caller", "Bearer operator");
    let started = Instant::now();
    loop {
        let status = entry.send(&head, sheet.as_bytes());
        if status == Some(200) {
            return;
        }
        assert!(started.elapsed() < SHEET_TIMEOUT, "the sheet is not taken, last {status:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Body of a submission of the caller's team, for a job that outlasts the test.
pub(crate) fn job_body() -> String {
    let per_member =
        json!({ "cores": 1, "memory_gib": 1, "accelerators": 0, "slots": 1, "connections": 1 });
    json!({
        "team": "team",
        "job": {
            "shape": { "members": 1, "per_member": per_member, "span": "data_centre" },
            "repeatable": true, "checkpointable": false, "urgent": false, "deadline_ms": null,
            "declared_run_ms": 200, "payload": "run_ms=600000",
        },
    })
    .to_string()
}

/// Submits a small job with an idempotency key, and returns the status of the answer.
pub(crate) fn submit(entry: &ServedProcess, key: &str) -> Option<u16> {
    let body = job_body();
    let field = format!("content-length: {}", body.len());
    let head = request_head("POST", JOBS_PATH, &field)
        .replace("idempotency-key: flood", &format!("idempotency-key: {key}"));
    entry.send(&head, body.as_bytes())
}
