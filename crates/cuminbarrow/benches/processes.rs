//! Measures real processes: memory and processor time of idle entries and agents, and the time from
//! the loss of an entry or an agent until another one serves, with the short timeouts of the tests
//! (session timeout 1.6 s to 2 s, planner timeout 1.5 s, gang lease 2 s).
//!
//! Also measures the time until a sheet is active on all entries, the traffic over the region link,
//! and an entry under the state of the target deployment.
//!
//! `cargo bench -p cuminbarrow --bench processes` runs everything; an argument runs one part:
//! `idle`, `loss`, `config`, `region` or `target`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the measurement")]

#[allow(dead_code, reason = "only the tests use the whole module")]
#[path = "../tests/integration/cluster_builder.rs"]
mod cluster_builder;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminbarrow::demo_cluster::agent_settings;
use cuminbarrow::demo_cluster::free_address;
use cuminbarrow_agent::agent_daemon;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::message::PeerRequest;
use cuminbarrow_protocol::message::PeerResponse;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_standin::worker_fleet::WorkerFleet;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::cluster_builder::Cluster;
use crate::cluster_builder::ClusterBuilder;
use crate::cluster_builder::Process;
use crate::cluster_builder::TEAM;
use crate::cluster_builder::job_body;
use crate::cluster_builder::plain_sheet;

/// Period over which processor time and traffic are measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Number of sheet changes in a measurement.
const SHEET_CHANGES: u64 = 200;
/// Numbers of workers for which the target deployment is measured. Jobs grow in proportion; 550 is
/// the full size.
const TARGET_WORKERS: [usize; 3] = [138, 275, 550];
/// Number of teams of the target deployment.
const TARGET_TEAMS: usize = 74;
/// Number of measured losses of entries, and of agents.
const LOSS_REPETITIONS: usize = 3;

fn main() {
    let part = std::env::args().nth(1).filter(|argument| !argument.starts_with('-'));
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        if is_selected("idle") {
            measure_idle().await;
        }
        if is_selected("loss") {
            for _ in 0..LOSS_REPETITIONS {
                measure_entry_loss().await;
            }
            for _ in 0..LOSS_REPETITIONS {
                measure_agent_loss().await;
            }
        }
        if is_selected("config") {
            for agents in [6, 60, 300] {
                measure_propagation(agents).await;
            }
        }
        if is_selected("target") {
            for workers in TARGET_WORKERS {
                measure_target(workers).await;
            }
        }
        if is_selected("region") {
            for remote_entries in [2, 4, 6] {
                let builder = || ClusterBuilder::new().remote_entries(remote_entries);
                measure_region(builder(), remote_entries, "one reader").await;
                measure_region(builder().without_region_reader(), remote_entries, "no reader")
                    .await;
            }
        }
    });
}

/// Applies a changed sheet and waits until it is active on every entry. Returns the time in ms.
async fn apply_everywhere(cluster: &Cluster, base: u64) -> f64 {
    let body = plain_sheet(base, 5_000 + u32::try_from(base).unwrap());
    let started_at = Instant::now();
    let view = cluster.operator().apply_sheet(&body).await.unwrap();
    for entry in 0..cluster.entries.len() {
        let client = cluster.client_of(entry, "operator");
        while client.get::<StatusView>("/v1/status").await.unwrap().sheet_version < view.version {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    started_at.elapsed().as_secs_f64() * 1e3
}

/// Measures the time until a changed sheet is active on both entries.
async fn measure_propagation(agents: usize) {
    let cluster = ClusterBuilder::new().agents(agents).start().await;
    let mut times = Vec::new();
    for base in 1..=SHEET_CHANGES {
        times.push(apply_everywhere(&cluster, base).await);
    }
    times.sort_by(f64::total_cmp);
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "config: 2 entries, {agents} agents, {SHEET_CHANGES} changes: in force on all after p50 \
         {:.1} ms, p99 {:.1} ms, at most {:.1} ms",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

/// Measures the traffic over the region link when idle, and the bytes for each sheet change.
async fn measure_region(builder: ClusterBuilder, remote_entries: usize, reader: &str) {
    let cluster = builder.start().await;
    let link = &cluster.region_link;
    let before = link.transferred_bytes();
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    let idle = (link.transferred_bytes() - before) as f64 / MEASUREMENT_PERIOD.as_secs_f64();
    let (before, started_at) = (link.transferred_bytes(), Instant::now());
    let mut slowest = 0.0_f64;
    for base in 1..=SHEET_CHANGES {
        slowest = slowest.max(apply_everywhere(&cluster, base).await);
    }
    let idle_bytes = idle * started_at.elapsed().as_secs_f64();
    let bytes = (link.transferred_bytes() - before) as f64 - idle_bytes;
    println!(
        "region: {remote_entries} far entries, {reader}: {idle:.0} B/s idle, {:.0} B a change, in \
         force on all after at most {slowest:.0} ms",
        bytes / SHEET_CHANGES as f64
    );
}

/// Measures two entries under the state of the target deployment: `workers` agents, and for each of
/// them 15 running tasks and 9 pending jobs. The agents run in this process.
async fn measure_target(workers: usize) {
    let cluster = ClusterBuilder::new().agents(0).session_timeout_ms(15_000).start().await;
    let fleet = WorkerFleet::spawn();
    let (shutdown, receiver) = tokio::sync::watch::channel(false);
    let links: Vec<_> = cluster.entry_proxies.iter().map(|proxy| proxy.address).collect();
    for index in 0..workers {
        let capacity =
            Resources { cores: 32, memory_gib: 64, accelerators: 1, slots: 16, connections: 60 };
        let mut settings = agent_settings(index, free_address().unwrap(), capacity, &links);
        settings.shared_key = SharedKey::new("test");
        settings.location.data_centre = format_smolstr!("d{}", index * 8 / workers);
        settings.location.rack = format_smolstr!("d{}-r{}", index * 8 / workers, index / 3);
        let worker = fleet.worker(settings.worker.clone());
        let running = agent_daemon::run(settings, worker, Arc::default(), receiver.clone());
        tokio::spawn(async move { running.await.unwrap() });
    }
    cluster.wait_for_workers(workers).await;
    apply_target_sheet(&cluster).await;
    submit_target_jobs(&cluster, workers).await;
    let settling_time = Duration::from_secs(20);
    tokio::time::sleep(settling_time).await;
    let before: Vec<(f64, u64)> = entry_usage(&cluster).await;
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    let status: StatusView = cluster.operator().get("/v1/status").await.unwrap();
    let after = entry_usage(&cluster).await;
    println!(
        "target: {workers} workers, {} jobs placed, {} wait, state {} bytes",
        status.placed,
        status.pending,
        state_bytes(&cluster).await
    );
    for (index, (cpu_s, bytes)) in after.into_iter().enumerate() {
        let (_, mib) = process_usage(&cluster.entries[index]);
        println!(
            "target: entry {index}: {:.2}% of a core, {mib:.1} MiB, {:.0} B/s over links",
            (cpu_s - before[index].0) / MEASUREMENT_PERIOD.as_secs_f64() * 100.0,
            (bytes - before[index].1) as f64 / MEASUREMENT_PERIOD.as_secs_f64()
        );
    }
    let _ = shutdown.send(true);
}

async fn apply_target_sheet(cluster: &Cluster) {
    let shape = shape(1, 1, 1);
    let team = |index| TeamSpec {
        name: format_smolstr!("team-{index}"),
        guarantees: vec![Guarantee { name: SmolStr::new("g"), shape, count: 1 }],
        max_pending: 5_000,
    };
    let mut teams: Vec<TeamSpec> = (0..TARGET_TEAMS).map(team).collect();
    teams[0].guarantees.clear();
    teams.push(TeamSpec { name: SmolStr::new(TEAM), guarantees: Vec::new(), max_pending: 1 });
    let sheet = Sheet { base: 1, teams, jobs: Vec::new() };
    let body = SheetBody { sheet, allow_removals: true };
    cluster.operator().apply_sheet(&body).await.unwrap();
}

fn shape(members: u8, cores: u16, accelerators: u8) -> Shape {
    let per_member = Resources { cores, memory_gib: 1, accelerators, slots: 1, connections: 1 };
    Shape { members, per_member, span: Span::DataCentre }
}

/// Submits jobs of 15 tasks each: enough to fill the workers' slots, and 9 pending ones per worker.
async fn submit_target_jobs(cluster: &Cluster, workers: usize) {
    let operator = cluster.operator();
    for index in 0..workers * 10 {
        let mut job = job_body(15, 0, "run_ms=36000000");
        job.team = format_smolstr!("team-{}", index % TARGET_TEAMS);
        job.job.shape = shape(15, 1 + u16::try_from(index % 2).unwrap(), 0);
        job.job.declared_run_ms = 36_000_000;
        operator.submit(&format!("target-{index}"), &job).await.unwrap();
    }
}

/// Processor time in s and link bytes, by entry.
async fn entry_usage(cluster: &Cluster) -> Vec<(f64, u64)> {
    let mut usages = Vec::new();
    for index in 0..cluster.entries.len() {
        let metrics = cluster.client_of(index, "operator").get_bytes("/metrics").await.unwrap();
        let metrics = String::from_utf8(metrics).unwrap();
        let lines = metrics.lines().filter(|line| {
            line.starts_with("link_sent_bytes") || line.starts_with("link_received_bytes")
        });
        let bytes =
            lines.map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum();
        usages.push((process_usage(&cluster.entries[index]).0, bytes));
    }
    usages
}

/// Size in bytes of the replicated state, as one entry sends it to another.
async fn state_bytes(cluster: &Cluster) -> usize {
    let dialer = LinkDialer::new(SharedKey::new("test"), Arc::default());
    let address = cluster.entry_proxies[0].address;
    let mut link: Link<PeerRequest, PeerResponse> =
        dialer.open(address, LinkKind::Peer).await.unwrap();
    link.sender.send(&PeerRequest::FetchState).await.unwrap();
    match link.receiver.receive().await.unwrap() {
        PeerResponse::State { body } => body.len(),
        other => panic!("{other:?}"),
    }
}

/// Processor time in s and resident memory in MiB of a process.
fn process_usage(process: &Process) -> (f64, f64) {
    let id = process.id();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kib: f64 = rss.split_whitespace().next().unwrap().parse().unwrap();
    ((ticks(11) + ticks(12)) / TICKS_PER_S, kib / 1_024.0)
}

/// Measures processor time and memory of the idle processes of a deployment.
async fn measure_idle() {
    let cluster = ClusterBuilder::new().start().await;
    let roles = [("entry", &cluster.entries), ("agent", &cluster.agents)];
    let before: Vec<Vec<f64>> = roles
        .iter()
        .map(|(_, processes)| processes.iter().map(|process| process_usage(process).0).collect())
        .collect();
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    for ((role, processes), before) in roles.iter().zip(before) {
        for (process, before) in processes.iter().zip(before) {
            let (cpu_s, mib) = process_usage(process);
            let share = (cpu_s - before) / MEASUREMENT_PERIOD.as_secs_f64() * 100.0;
            println!("idle process: {role}: {share:.2}% of a core, {mib:.1} MiB");
        }
    }
}

/// Measures the time from the death of an entry, which may hold the planner role, until the other
/// one has answered a job.
async fn measure_entry_loss() {
    let mut cluster = ClusterBuilder::new().start().await;
    cluster.entries[0].kill();
    let started_at = Instant::now();
    let caller = cluster.client_of(1, TEAM);
    caller.submit("after", &job_body(2, 8, "run_ms=1")).await.unwrap();
    let accepted = started_at.elapsed();
    caller.wait(TEAM, "after").await.unwrap();
    println!(
        "lost entry: job accepted after {:.3} s, answered after {:.2} s",
        accepted.as_secs_f64(),
        started_at.elapsed().as_secs_f64()
    );
}

/// Measures the time from the death of the lead's agent until the gang runs on other workers.
async fn measure_agent_loss() {
    let mut cluster = ClusterBuilder::new().start().await;
    let caller = cluster.caller();
    caller.submit("gang", &job_body(2, 8, "run_ms=60000")).await.unwrap();
    let view = cluster.wait_for_phase("gang", PhaseName::Running).await;
    cluster.agents[Cluster::lead_index(&view)].kill();
    let started_at = Instant::now();
    loop {
        let path = cuminbarrow::api_client::job_path(TEAM, "gang");
        let view: cuminbarrow_entry::api_types::JobView = caller.get(&path).await.unwrap();
        if view.attempts > 1 && view.phase == PhaseName::Running {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("lost agent: gang runs elsewhere after {:.2} s", started_at.elapsed().as_secs_f64());
}
