//! `cuminbarrow demo`: runs a deployment in one process, applies a sheet and follows two jobs.

use std::time::Duration;
use std::time::Instant;

use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::StatusView;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_sheet::sheet_parser;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::api_client::ApiClient;
use crate::api_client::job_path;
use crate::client_error::ClientError;
use crate::client_output::job_table;
use crate::demo_cluster::ClusterSize;
use crate::demo_cluster::DemoCluster;

/// Sheet that the demo imports.
const DEMO_SHEET: &[u8] = include_bytes!("../../../examples/demo-sheet.csv");
/// Time within which all workers must be up.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of agents, each with one worker.
const AGENT_COUNT: usize = 6;
/// Run time of the submitted jobs, in ms.
const JOB_RUN_MS: u64 = 1_500;

pub(crate) async fn run() -> Result<(), ClientError> {
    let size =
        ClusterSize { entries: 2, agents: AGENT_COUNT, capacity: ClusterSize::ARCHIVE_WORKER };
    let cluster = DemoCluster::start(size).map_err(|error| demo_error(error.to_string()))?;
    let client = cluster.client();
    wait_for_workers(&client, AGENT_COUNT).await?;
    println!("2 entries and {AGENT_COUNT} agents are up on an embedded platform\n");
    apply_sheet(&client).await?;

    let gang = job_spec(2, 8, true, "drift report");
    let sweep = job_spec(1, 2, false, "recalibration sweep");
    submit(&client, "drift-textiles", gang).await?;
    submit(&client, "sweep-042", sweep.clone()).await?;
    submit(&client, "sweep-042", sweep).await?;
    println!("sweep-042 was submitted twice with one key: it is one job\n");
    for key in ["drift-textiles", "sweep-042"] {
        follow(&client, key).await?;
    }
    cluster.close().await;
    println!("done");
    Ok(())
}

fn demo_error(reason: String) -> ClientError {
    ClientError::Demo { reason }
}

/// Waits until `count` workers are up.
///
/// # Errors
/// [`ClientError::Demo`] if they are not up within 10 s.
pub async fn wait_for_workers(client: &ApiClient, count: usize) -> Result<(), ClientError> {
    let started_at = Instant::now();
    loop {
        let status: Result<StatusView, ClientError> = client.get("/v1/status").await;
        if status.as_ref().is_ok_and(|status| status.workers_up >= count) {
            return Ok(());
        }
        if started_at.elapsed() > JOIN_TIMEOUT {
            return Err(demo_error(format!("{count} workers did not join: {status:?}")));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn apply_sheet(client: &ApiClient) -> Result<(), ClientError> {
    let parsed = sheet_parser::parse(DEMO_SHEET)
        .map_err(|issues| ClientError::SheetInvalid { count: issues.len() })?;
    let (teams, jobs) = (parsed.sheet.teams.len(), parsed.sheet.jobs.len());
    let body = SheetBody { sheet: parsed.sheet, allow_removals: false };
    let view = client.apply_sheet(&body).await?;
    println!("sheet version {} is in force: {teams} teams, {jobs} standing jobs\n", view.version);
    Ok(())
}

fn job_spec(members: u8, accelerators: u8, repeatable: bool, payload: &str) -> JobSpec {
    let per_member = Resources { cores: 8, memory_gib: 16, accelerators, slots: 1, connections: 2 };
    JobSpec {
        shape: Shape { members, per_member, span: Span::Rack },
        repeatable,
        checkpointable: repeatable,
        urgent: false,
        deadline_ms: None,
        declared_run_ms: JOB_RUN_MS,
        payload: SmolStr::new(payload),
    }
}

async fn submit(client: &ApiClient, key: &str, job: JobSpec) -> Result<(), ClientError> {
    let body = SubmitBody { team: SmolStr::new("múzeum-bratislava"), job };
    let view = client.submit(key, &body).await?;
    println!("submitted {key}: job {}", view.job);
    Ok(())
}

/// Prints a job whenever its phase changes, and its answer at the end.
async fn follow(client: &ApiClient, key: &str) -> Result<(), ClientError> {
    let path = job_path("múzeum-bratislava", key);
    let mut shown_phase = None;
    let view = loop {
        let view: JobView = client.get(&path).await?;
        if shown_phase != Some(view.phase) {
            shown_phase = Some(view.phase);
            print!("{}", job_table(std::slice::from_ref(&view)));
        }
        if view.is_ended() {
            break view;
        }
        sleep(Duration::from_millis(100)).await;
    };
    if view.phase != PhaseName::Completed {
        return Err(demo_error(format!("{key} did not complete: {:?}", view.reason)));
    }
    let answer = client.get_bytes(&format!("{path}/answer")).await?;
    println!("answer of {key}: {}\n", String::from_utf8_lossy(&answer));
    Ok(())
}
