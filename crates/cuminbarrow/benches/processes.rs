//! Measures real processes: memory and processor time of each role when idle, and the time from
//! losing an entry or an agent to service by another, with the short times of the tests (session
//! timeout 1.6 s to 2 s, planner timeout 1.5 s, gang lease 2 s).
//!
//! `cargo bench -p cuminbarrow --bench processes`

#![allow(clippy::unwrap_used, reason = "a measurement may fail where it stands")]

#[allow(dead_code, reason = "the builder serves the tests first")]
#[path = "../tests/integration/cluster_builder.rs"]
mod cluster_builder;

use std::time::Duration;
use std::time::Instant;

use cuminbarrow_entry::api_types::PhaseName;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::Process;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::body;

/// Time over which processor time is counted.
const IDLE: Duration = Duration::from_secs(20);
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Losses measured of each kind.
const LOSSES: usize = 3;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        idle().await;
        for _ in 0..LOSSES {
            lose_entry().await;
        }
        for _ in 0..LOSSES {
            lose_agent().await;
        }
    });
}

/// Processor time in s and memory in MiB.
fn process_use(process: &Process) -> (f64, f64) {
    let id = process.id();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kib: f64 = rss.split_whitespace().next().unwrap().parse().unwrap();
    ((ticks(11) + ticks(12)) / TICKS_PER_S, kib / 1_024.0)
}

async fn idle() {
    let cluster = ClusterBuilder::new().start().await;
    let roles = [("entry", &cluster.entries), ("agent", &cluster.agents)];
    let before: Vec<Vec<f64>> = roles
        .iter()
        .map(|(_, processes)| processes.iter().map(|process| process_use(process).0).collect())
        .collect();
    tokio::time::sleep(IDLE).await;
    for ((role, processes), before) in roles.iter().zip(before) {
        for (process, before) in processes.iter().zip(before) {
            let (cpu_s, mib) = process_use(process);
            let share = (cpu_s - before) / IDLE.as_secs_f64() * 100.0;
            println!("idle process: {role}: {share:.2}% of a core, {mib:.1} MiB");
        }
    }
}

/// From the death of the entry that plans, or of the other one, to an answer by the one left.
async fn lose_entry() {
    let mut cluster = ClusterBuilder::new().start().await;
    cluster.entries[0].kill();
    let began = Instant::now();
    let caller = cluster.client_of(1, TEAM);
    caller.submit("after", &body(2, 8, "run_ms=1")).await.unwrap();
    let accepted = began.elapsed();
    caller.wait(TEAM, "after").await.unwrap();
    println!(
        "lost entry: job accepted after {:.3} s, answered after {:.2} s",
        accepted.as_secs_f64(),
        began.elapsed().as_secs_f64()
    );
}

/// From the death of the lead's agent to the gang running elsewhere.
async fn lose_agent() {
    let mut cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    caller.submit("gang", &body(2, 8, "run_ms=60000")).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    cluster.agents[Cluster::lead_of(&view)].kill();
    let began = Instant::now();
    loop {
        let path = cuminbarrow::api_client::job_path(TEAM, "gang");
        let view: cuminbarrow_entry::api_types::JobView = caller.get(&path).await.unwrap();
        if view.attempts > 1 && view.phase == PhaseName::Running {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("lost agent: gang runs elsewhere after {:.2} s", began.elapsed().as_secs_f64());
}
