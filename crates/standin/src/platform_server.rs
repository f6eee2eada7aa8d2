//! HTTP API of the stand-in: the platform's resources, and administrative ones that inject faults.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use cuminbarrow_resources::http_worker::RenewBody;
use cuminbarrow_resources::http_worker::StopBody;
use cuminbarrow_resources::http_worker::ThrottleBody;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_resources::worker_control::TaskStart;
use cuminbarrow_resources::worker_control::WorkerError;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::log_service::LogFaults;
use crate::log_service::LogService;
use crate::worker_fleet::WorkerFaults;
use crate::worker_fleet::WorkerFleet;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The stand-in's log service and workers, served over HTTP.
#[derive(Clone)]
pub struct PlatformServer {
    /// The log service.
    pub log: Arc<LogService>,
    /// The workers.
    pub fleet: Arc<WorkerFleet>,
}

impl PlatformServer {
    /// Creates a platform with an empty log and no tasks, and starts its workers' timer.
    pub fn spawn() -> Self {
        Self { log: Arc::new(LogService::default()), fleet: WorkerFleet::spawn() }
    }

    /// Serves requests until the listener fails.
    ///
    /// # Errors
    /// If the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        axum::serve(listener, self.router()).await
    }

    fn router(self) -> Router {
        Router::new()
            .route("/v1/streams/{stream}", get(read).post(append))
            .route("/v1/workers/{worker}/tasks", get(running).post(start))
            .route("/v1/workers/{worker}/renew", post(renew))
            .route("/v1/workers/{worker}/reports", get(reports))
            .route("/v1/workers/{worker}/usage", get(usage))
            .route("/v1/workers/{worker}/tasks/{task}/stop", post(stop))
            .route("/v1/workers/{worker}/tasks/{task}/throttle", post(throttle))
            .route("/v1/admin/log", post(set_log_faults))
            .route("/v1/admin/workers/{worker}", post(set_worker_faults))
            .route("/v1/admin/spans", get(spans))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: u32,
    wait_ms: u32,
}

#[derive(Deserialize)]
struct ReportQuery {
    after: u64,
    wait_ms: u32,
}

async fn append(
    State(server): State<PlatformServer>,
    Path(stream): Path<LogStream>,
    body: Bytes,
) -> Response {
    match server.log.append(stream, body).await {
        Err(error) => log_error_response(&error),
        Ok(offset) => offset.to_string().into_response(),
    }
}

async fn read(
    State(server): State<PlatformServer>,
    Path(stream): Path<LogStream>,
    Query(query): Query<ReadQuery>,
) -> Response {
    match server.log.read(stream, query.from, query.limit, query.wait_ms).await {
        Err(error) => log_error_response(&error),
        Ok(page) => bincode::serde::encode_to_vec(&page, bincode::config::standard())
            .unwrap_or_default()
            .into_response(),
    }
}

fn log_error_response(error: &LogError) -> Response {
    match error {
        LogError::Expired { oldest } => (StatusCode::GONE, oldest.to_string()).into_response(),
        LogError::Unavailable { reason } => {
            (StatusCode::SERVICE_UNAVAILABLE, reason.clone()).into_response()
        }
        LogError::Rejected { reason } => {
            (StatusCode::PAYLOAD_TOO_LARGE, reason.clone()).into_response()
        }
        LogError::Uncertain { reason } => {
            (StatusCode::GATEWAY_TIMEOUT, reason.clone()).into_response()
        }
    }
}

fn worker_response(result: Result<(), WorkerError>) -> Response {
    match result {
        Err(error) => worker_error_response(&error),
        Ok(()) => StatusCode::OK.into_response(),
    }
}

fn worker_error_response(error: &WorkerError) -> Response {
    let status = match error {
        WorkerError::Refused { .. } => StatusCode::CONFLICT,
        WorkerError::Unreachable { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, error.to_string()).into_response()
}

async fn start(
    State(server): State<PlatformServer>,
    Path(worker): Path<SmolStr>,
    Json(task): Json<TaskStart>,
) -> Response {
    worker_response(server.fleet.worker(worker).start(task).await)
}

async fn renew(
    State(server): State<PlatformServer>,
    Path(worker): Path<SmolStr>,
    Json(body): Json<RenewBody>,
) -> Response {
    worker_response(server.fleet.worker(worker).renew(body.tasks, body.lease_ms).await)
}

async fn stop(
    State(server): State<PlatformServer>,
    Path((worker, task)): Path<(SmolStr, SmolStr)>,
    Json(body): Json<StopBody>,
) -> Response {
    worker_response(server.fleet.worker(worker).stop(task, body.checkpoint).await)
}

async fn throttle(
    State(server): State<PlatformServer>,
    Path((worker, task)): Path<(SmolStr, SmolStr)>,
    Json(body): Json<ThrottleBody>,
) -> Response {
    worker_response(server.fleet.worker(worker).throttle(task, body.share_permille).await)
}

async fn running(State(server): State<PlatformServer>, Path(worker): Path<SmolStr>) -> Response {
    Json(server.fleet.worker(worker).running().await.unwrap_or_default()).into_response()
}

async fn usage(State(server): State<PlatformServer>, Path(worker): Path<SmolStr>) -> Response {
    match server.fleet.worker(worker).usage().await {
        Err(error) => worker_error_response(&error),
        Ok(usage) => Json(usage).into_response(),
    }
}

async fn reports(
    State(server): State<PlatformServer>,
    Path(worker): Path<SmolStr>,
    Query(query): Query<ReportQuery>,
) -> Response {
    match server.fleet.worker(worker).reports(query.after, query.wait_ms).await {
        Err(error) => worker_error_response(&error),
        Ok(reports) => Json(reports).into_response(),
    }
}

async fn set_log_faults(
    State(server): State<PlatformServer>,
    Json(faults): Json<LogFaults>,
) -> StatusCode {
    server.log.set_faults(faults);
    StatusCode::OK
}

async fn set_worker_faults(
    State(server): State<PlatformServer>,
    Path(worker): Path<SmolStr>,
    Json(faults): Json<WorkerFaults>,
) -> StatusCode {
    server.fleet.set_faults(&worker, faults);
    StatusCode::OK
}

async fn spans(State(server): State<PlatformServer>) -> Response {
    Json(server.fleet.spans()).into_response()
}
