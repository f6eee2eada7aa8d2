//! Measures a deployment in one process on loopback: submission throughput, placement latency, idle
//! traffic and processor time by number of agents, traffic of a gang, propagation of a sheet, and
//! recovery after an outage of the log.
//!
//! `cargo bench -p cuminbarrow` runs everything; an argument runs one part, such as `idle`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cuminbarrow::api_client::ApiClient;
use cuminbarrow::command_demo::wait_for_workers;
use cuminbarrow::demo_cluster::ClusterSize;
use cuminbarrow::demo_cluster::DemoCluster;
use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_standin::log_service::LogFaults;
use smol_str::SmolStr;
use tokio::time::sleep;

type BenchError = Box<dyn std::error::Error>;

const TEAM: &str = "bench";
/// Period over which traffic and processor time are measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<(), BenchError> {
    let part = std::env::args().nth(1).filter(|argument| !argument.starts_with('-'));
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        if is_selected("submit") {
            measure_submissions().await?;
        }
        if is_selected("idle") {
            for agents in [6, 60, 300] {
                measure_idle(agents).await?;
            }
        }
        if is_selected("gang") {
            for members in [16, 32, 64] {
                measure_gang(members).await?;
            }
        }
        if is_selected("config") {
            for agents in [6, 60, 300] {
                measure_propagation(agents).await?;
            }
        }
        if is_selected("outage") {
            measure_outage().await?;
        }
        Ok(())
    })
}

/// Starts two entries and some agents, and applies a first sheet.
async fn start_deployment(agents: usize, capacity: Resources) -> Result<DemoCluster, BenchError> {
    let cluster = DemoCluster::start(ClusterSize { entries: 2, agents, capacity })?;
    let client = cluster.client();
    wait_for_workers(&client, agents).await?;
    let body = SheetBody { sheet: sheet(0, 100_000), allow_removals: false };
    client.apply_sheet(&body).await?;
    Ok(cluster)
}

fn sheet(base: u64, max_pending: u32) -> Sheet {
    let team = TeamSpec { name: SmolStr::new(TEAM), guarantees: Vec::new(), max_pending };
    Sheet { base, teams: vec![team], jobs: Vec::new() }
}

fn job(members: u8, accelerators: u8, run_ms: u64) -> SubmitBody {
    let per_member = Resources { cores: 1, memory_gib: 1, accelerators, slots: 1, connections: 1 };
    SubmitBody {
        team: SmolStr::new(TEAM),
        job: JobSpec {
            shape: Shape { members, per_member, span: Span::DataCentre },
            repeatable: true,
            checkpointable: false,
            urgent: false,
            deadline_ms: None,
            declared_run_ms: run_ms,
            payload: SmolStr::default(),
        },
    }
}

/// Quantile by the nearest-rank method; sorts the values.
fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or_default()
}

/// Measures the rate of durably accepted submissions, appends and log bytes per job, and the time
/// from submission to answer.
async fn measure_submissions() -> Result<(), BenchError> {
    let cluster = start_deployment(6, ClusterSize::ARCHIVE_WORKER).await?;
    let client = Arc::new(cluster.client());
    let (appends, count) = (cluster.platform.log.appends(), 2_000);
    let started_at = Instant::now();
    let mut submissions = Vec::new();
    for index in 0..count {
        let client = Arc::clone(&client);
        submissions.push(tokio::spawn(async move {
            client.submit(&format!("job-{index}"), &job(1, 0, 20)).await.map(|_| ())
        }));
    }
    for submission in submissions {
        submission.await??;
    }
    let spent_s = started_at.elapsed().as_secs_f64();
    let appends = cluster.platform.log.appends() - appends;
    println!(
        "submit: {:.0} submissions/s, {:.3} appends a submission (placement and start included)",
        f64::from(count) / spent_s,
        appends as f64 / f64::from(count)
    );
    for index in 0..count {
        client.wait(TEAM, &format!("job-{index}")).await?;
    }
    let bytes = cluster.platform.log.appended_bytes();
    println!("submit: {:.0} log bytes a job through its life", bytes as f64 / f64::from(count));
    let mut latencies = Vec::new();
    for index in 0..100 {
        let key = format!("one-{index}");
        let started_at = Instant::now();
        client.submit(&key, &job(2, 8, 1)).await?;
        client.wait(TEAM, &key).await?;
        latencies.push(started_at.elapsed().as_secs_f64() * 1e3);
    }
    println!(
        "submit: a gang of two over an idle deployment, submission to answer: p50 {:.0} ms, \
         p99 {:.0} ms",
        quantile(&mut latencies, 0.5),
        quantile(&mut latencies, 0.99)
    );
    cluster.close().await;
    Ok(())
}

/// Processor time and resident memory of this process.
#[derive(Clone, Copy)]
struct ProcessUsage {
    cpu_s: f64,
    rss_mib: f64,
}

fn process_usage() -> Result<ProcessUsage, BenchError> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks: f64 = fields.get(11).and_then(|field| field.parse().ok()).unwrap_or(0.0)
        + fields.get(12).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string("/proc/self/status")?;
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: f64 = rss.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    Ok(ProcessUsage { cpu_s: ticks / TICKS_PER_S, rss_mib: kib / 1_024.0 })
}

/// Bytes sent and received over the links of one entry.
async fn link_bytes(url: &str) -> Result<f64, BenchError> {
    let client = cuminbarrow_resources::http_client::HttpClient::new(url);
    let request = cuminbarrow_resources::http_client::CallRequest::get("/metrics");
    let response = client.call(request, Duration::from_secs(5)).await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with("link_"));
    Ok(lines.filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok()).sum())
}

/// Measures traffic, processor time and memory of an idle deployment.
async fn measure_idle(agents: usize) -> Result<(), BenchError> {
    let baseline = process_usage()?;
    let cluster = start_deployment(agents, ClusterSize::ARCHIVE_WORKER).await?;
    sleep(Duration::from_secs(3)).await;
    let (before, bytes) = (process_usage()?, entry_link_bytes(&cluster).await?);
    let log_bytes = cluster.platform.log.appended_bytes();
    sleep(MEASUREMENT_PERIOD).await;
    let (after, bytes_after) = (process_usage()?, entry_link_bytes(&cluster).await?);
    let seconds = MEASUREMENT_PERIOD.as_secs_f64();
    let per_entry = (bytes_after - bytes) / seconds / 2.0;
    println!(
        "idle: {agents} agents, 2 entries: {per_entry:.0} B/s an entry, {:.1} B/s an agent, \
         {:.2}% of a core in all ({:.4}% an agent), {:.1} MiB more memory ({:.0} KiB an agent), \
         {:.0} B/s to the log",
        per_entry * 2.0 / agents as f64,
        (after.cpu_s - before.cpu_s) / seconds * 100.0,
        (after.cpu_s - before.cpu_s) / seconds * 100.0 / agents as f64,
        after.rss_mib - baseline.rss_mib,
        (after.rss_mib - baseline.rss_mib) * 1_024.0 / agents as f64,
        (cluster.platform.log.appended_bytes() - log_bytes) as f64 / seconds
    );
    cluster.close().await;
    Ok(())
}

/// Bytes sent and received over the links of all entries.
async fn entry_link_bytes(cluster: &DemoCluster) -> Result<f64, BenchError> {
    let mut sum = 0.0;
    for url in &cluster.entries {
        sum += link_bytes(url).await?;
    }
    Ok(sum)
}

/// Measures the time until a gang with one member on each worker runs, and the traffic on the
/// agents' links while it runs.
async fn measure_gang(members: u8) -> Result<(), BenchError> {
    let capacity = Resources { cores: 4, memory_gib: 4, accelerators: 1, slots: 1, connections: 4 };
    let cluster = start_deployment(usize::from(members), capacity).await?;
    let client = cluster.client();
    let started_at = Instant::now();
    client.submit("gang", &job(members, 1, 40_000)).await?;
    let path = cuminbarrow::api_client::job_path(TEAM, "gang");
    while client.get::<JobView>(&path).await?.phase
        != cuminbarrow_entry::api_types::PhaseName::Running
    {
        sleep(Duration::from_millis(20)).await;
    }
    println!(
        "gang: {members} members over {members} workers, submission to running: {:.1} ms",
        started_at.elapsed().as_secs_f64() * 1e3
    );
    sleep(Duration::from_secs(3)).await;
    let before = cluster.agent_link_bytes();
    sleep(MEASUREMENT_PERIOD).await;
    let rate = (cluster.agent_link_bytes() - before) as f64 / MEASUREMENT_PERIOD.as_secs_f64();
    println!(
        "gang: {members} members: all agents' links {rate:.0} B/s; the lead's share, one end of \
         each of {} pairs: about {:.0} B/s",
        members - 1,
        rate / 2.0
    );
    cluster.close().await;
    Ok(())
}

/// Measures the time until a changed sheet is active on both entries.
async fn measure_propagation(agents: usize) -> Result<(), BenchError> {
    let cluster = start_deployment(agents, ClusterSize::ARCHIVE_WORKER).await?;
    let client = cluster.client();
    let clients: Vec<ApiClient> = cluster
        .entries
        .iter()
        .map(|url| {
            ApiClient::new(std::slice::from_ref(url), cuminbarrow::demo_cluster::OPERATOR_TOKEN)
        })
        .collect();
    let before = cluster.platform.log.appended_bytes();
    let mut times = Vec::new();
    for base in 1..=200 {
        let started_at = Instant::now();
        let limit = 100_000 + u32::try_from(base)?;
        let body = SheetBody { sheet: sheet(base, limit), allow_removals: false };
        let view = client.apply_sheet(&body).await?;
        for other in &clients {
            while other.get::<StatusView>("/v1/status").await?.sheet_version < view.version {
                sleep(Duration::from_millis(1)).await;
            }
        }
        times.push(started_at.elapsed().as_secs_f64() * 1e3);
    }
    println!(
        "config: {agents} agents, 200 changes, in force on both entries: p50 {:.1} ms, p99 {:.1} \
         ms, {:.0} log bytes a change",
        quantile(&mut times, 0.5),
        quantile(&mut times, 0.99),
        (cluster.platform.log.appended_bytes() - before) as f64 / 200.0
    );
    cluster.close().await;
    Ok(())
}

/// Measures the time to record the jobs that ended during an outage of the log, and to answer a job
/// submitted after it.
async fn measure_outage() -> Result<(), BenchError> {
    let cluster = start_deployment(6, ClusterSize::ARCHIVE_WORKER).await?;
    let client = Arc::new(cluster.client());
    for index in 0..40 {
        client.submit(&format!("run-{index}"), &job(1, 0, 10_000)).await?;
    }
    sleep(Duration::from_secs(2)).await;
    cluster.platform.log.set_faults(LogFaults { is_down: true, ..LogFaults::default() });
    sleep(Duration::from_secs(60)).await;
    let appends = cluster.platform.log.appends();
    cluster.platform.log.set_faults(LogFaults::default());
    let started_at = Instant::now();
    for index in 0..40 {
        client.wait(TEAM, &format!("run-{index}")).await?;
    }
    println!(
        "outage: 60 s without the log, 40 jobs ended meanwhile: all recorded {:.2} s after its \
         return, with {} appends",
        started_at.elapsed().as_secs_f64(),
        cluster.platform.log.appends() - appends
    );
    let started_at = Instant::now();
    client.submit("after", &job(1, 0, 10)).await?;
    client.wait(TEAM, "after").await?;
    println!("outage: a new job answered in {:.2} s", started_at.elapsed().as_secs_f64());
    cluster.close().await;
    Ok(())
}
