//! Runs an entry: starts its tasks, serves the HTTP API, and shuts down after draining requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::FromRequestParts;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::http::request::Parts;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use cuminbarrow_ledger::log_tail::LogTail;
use cuminbarrow_ledger::log_writer::LogWriter;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_protocol::byte_counter::ByteCounter;
use cuminbarrow_protocol::link::IncomingLink;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_telemetry::meter_registry::MeterError;
use cuminbarrow_telemetry::meter_registry::MeterRegistry;
use cuminbarrow_telemetry::probe_router::probe_router;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::access::CallerIdentity;
use crate::access::TeamRateLimiter;
use crate::access::TokenTable;
use crate::agent_server;
use crate::api_error::ApiError;
use crate::api_explain;
use crate::api_jobs;
use crate::api_operators;
use crate::api_report;
use crate::api_sheet;
use crate::entry_core::EntryCore;
use crate::entry_core::SharedCore;
use crate::entry_core::lock;
use crate::entry_metrics;
use crate::entry_metrics::EntryMetrics;
use crate::entry_settings::EntrySettings;
use crate::entry_settings::EntrySettingsError;
use crate::job_waiters::JobWaiters;
use crate::offset_gate;
use crate::peer_server;
use crate::planner_loop;
use crate::region_log::RegionLog;
use crate::session_table::SessionTable;

/// Maximum body size of requests other than sheets, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum body size of a sheet, in bytes.
const MAX_SHEET_BYTES: usize = 32 * 1024 * 1024;
/// Time between reporting not ready to the load balancer and refusing new connections.
const UNREADY_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks of this entry's registration, and between requests to peers for their
/// state during startup.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Errors that stop an entry.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// Binding a listener failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Setting up the metrics failed.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: MeterError,
    },
    /// The HTTP server failed.
    #[snafu(display("the server failed: {source}"))]
    Serve {
        /// Cause.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause.
        source: EntrySettingsError,
    },
}

/// Runs an entry until `shutdown` becomes true and the requests in flight are answered or the drain
/// timeout expires.
///
/// # Errors
/// [`EntryError`] if the entry can't start or its server fails.
pub async fn run(
    settings: EntrySettings,
    store: Arc<dyn LogStore>,
    mut shutdown: watch::Receiver<bool>,
) -> Result<(), EntryError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = settings.link_listen;
    let link_listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let counter = Arc::new(ByteCounter::default());
    let core = build_core(settings, Arc::clone(&store), Arc::clone(&counter))?;
    let registry = MeterRegistry::new().context(MetricsSnafu)?;
    entry_metrics::register(&core, &registry, &counter);

    let key = core.settings.shared_key.clone();
    tokio::spawn(follow_log(core.clone(), Arc::clone(&store)));
    tokio::spawn(keep_entry_registered(core.clone()));
    tokio::spawn(accept_links(link_listener, key, counter, link_handler(core.clone())));
    let planner = tokio::spawn(planner_loop::run(core.clone(), store));

    let closing_core = core.clone();
    let shutdown_started = async move {
        let _ = shutdown.wait_for(|is_shutdown| *is_shutdown).await;
        log::info!("shutting down: refusing new connections, draining requests in flight");
        closing_core.closing.send_replace(true);
        tokio::time::sleep(UNREADY_DELAY).await;
    };
    let router = router(core.clone(), registry);
    let drain = Duration::from_millis(core.settings.drain_ms);
    let server = axum::serve(listener, router).with_graceful_shutdown(shutdown_started);
    serve_until_drained(server.into_future(), &core, drain).await?;
    let _ = planner.await;
    let _ = core.write(Record::EntryLeft { instance: core.instance }).await;
    Ok(())
}

/// Serves until the requests that are in flight at shutdown are answered, or the drain timeout
/// expires.
async fn serve_until_drained<S>(
    server: S,
    core: &EntryCore,
    drain: Duration,
) -> Result<(), EntryError>
where
    S: Future<Output = std::io::Result<()>>,
{
    tokio::select! {
        result = server => result.context(ServeSnafu),
        () = async { core.closed().await; tokio::time::sleep(UNREADY_DELAY + drain).await; } => {
            log::warn!("requests were still in flight after {} ms", drain.as_millis());
            Ok(())
        }
    }
}

fn build_core(
    settings: EntrySettings,
    store: Arc<dyn LogStore>,
    counter: Arc<ByteCounter>,
) -> Result<SharedCore, EntryError> {
    settings.check().context(SettingsSnafu)?;
    let tokens = TokenTable::new(&settings.tokens).context(SettingsSnafu)?;
    let instance = rand::random();
    let writer = LogWriter::spawn(store, instance, wall_ms);
    Ok(Arc::new(EntryCore {
        limiter: TeamRateLimiter::new(settings.team_submissions_per_s),
        preview_gate: Arc::default(),
        dialer: LinkDialer::new(settings.shared_key.clone(), counter),
        settings,
        instance,
        tail: LogTail::default(),
        writer,
        recent_batches: Mutex::default(),
        job_waiters: JobWaiters::default(),
        sessions: SessionTable::default(),
        tokens,
        metrics: EntryMetrics::default(),
        batch_notify: Notify::new(),
        closing: watch::Sender::new(false),
        tail_failure: Mutex::new(None),
        planner_last_seen: Mutex::new(Instant::now()),
    }))
}

/// Follows the log. Until the entry is ready, for instance while the log is unavailable at
/// startup, requests the state from peers.
async fn follow_log(core: SharedCore, store: Arc<dyn LogStore>) {
    let peer_core = core.clone();
    let peer_task = tokio::spawn(async move {
        tokio::time::sleep(CHECK_INTERVAL).await;
        while peer_core.unready_reason().is_some() && !peer_core.is_closing() {
            peer_server::load_peer_state(&peer_core).await;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
    let log = Arc::new(RegionLog::new(core.clone(), store));
    let error = core.tail.run(log, core.clone()).await;
    peer_task.abort();
    log::error!("following the log failed, requests are refused from now on: {error}");
    *lock(&core.tail_failure) = Some(error.to_string());
}

/// Keeps this entry registered in the log: writes its record again if another entry removed it.
async fn keep_entry_registered(core: SharedCore) {
    while !core.is_closing() {
        let is_registered = core.tail.state().entries.contains_key(&core.instance);
        if core.tail.is_current() && !is_registered {
            let record = Record::EntryJoined {
                instance: core.instance,
                region: core.settings.region.clone(),
                address: core.settings.link_listen,
            };
            if let Err(error) = core.write(record).await {
                log::warn!("registering this entry in the log failed, retrying: {}", error.detail);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn link_handler(core: SharedCore) -> impl Fn(IncomingLink) + Clone + Send + Sync + 'static {
    move |incoming| {
        let core = core.clone();
        match incoming.kind {
            LinkKind::Agent => {
                tokio::spawn(agent_server::serve(core, incoming.into_link()));
            }
            LinkKind::Gang | LinkKind::Relay => {
                log::warn!(
                    "refused a link of kind {:?}: entries accept only agents and peers",
                    incoming.kind
                );
            }
            LinkKind::Peer => {
                tokio::spawn(peer_server::serve(core, incoming.into_link()));
            }
        }
    }
}

fn router(core: SharedCore, registry: MeterRegistry) -> Router {
    let probe_core = core.clone();
    let permits = Arc::new(Semaphore::new(core.settings.max_requests));
    Router::new()
        .route("/v1/jobs", get(api_jobs::list).post(api_jobs::submit))
        .route("/v1/jobs/explain", post(api_explain::explain_unsent))
        .route("/v1/jobs/{team}/{key}", get(api_jobs::show))
        .route("/v1/jobs/{team}/{key}/answer", get(api_jobs::answer))
        .route("/v1/jobs/{team}/{key}/cancel", post(api_jobs::cancel))
        .route("/v1/jobs/{team}/{key}/explain", get(api_explain::explain))
        .route("/v1/jobs/{team}/{key}/wait", get(api_jobs::wait))
        .route("/v1/instances", get(api_operators::instances))
        .route("/v1/report", get(api_report::report))
        .route("/v1/status", get(api_operators::status))
        .route("/v1/teams", get(api_operators::teams))
        .route("/v1/audit", get(api_sheet::audit))
        .route("/v1/workers", get(api_operators::workers))
        .route("/v1/workers/{name}/drain", post(api_operators::drain))
        .route("/v1/workers/{name}/resume", post(api_operators::resume))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .route(
            "/v1/sheet",
            get(api_sheet::sheet)
                .put(api_sheet::apply_sheet)
                .layer(DefaultBodyLimit::max(MAX_SHEET_BYTES)),
        )
        .route(
            "/v1/sheet/preview",
            post(api_sheet::preview_sheet).layer(DefaultBodyLimit::max(MAX_SHEET_BYTES)),
        )
        .fallback(|| async { ApiError::not_found("the resource") })
        .layer(middleware::from_fn_with_state(core.clone(), offset_gate::require_min_offset))
        .layer(middleware::from_fn(move |request: Request, next: Next| {
            limit_requests(Arc::clone(&permits), request, next)
        }))
        .with_state(core)
        .merge(probe_router(registry, Arc::new(move || probe_core.unready_reason())))
}

/// Refuses requests beyond the concurrency limit at once instead of queuing them, and replaces the
/// response to an oversized body by an [`ApiError`].
async fn limit_requests(permits: Arc<Semaphore>, request: Request, next: Next) -> Response {
    let Ok(_permit) = permits.try_acquire() else {
        let detail = "too many requests are being served";
        return ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", detail)
            .into_response();
    };
    let response = next.run(request).await;
    if response.status() == StatusCode::PAYLOAD_TOO_LARGE {
        let detail = "the body is larger than this resource takes";
        return ApiError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
            .into_response();
    }
    response
}

impl FromRequestParts<SharedCore> for CallerIdentity {
    type Rejection = ApiError;

    async fn from_request_parts(
        parts: &mut Parts,
        core: &SharedCore,
    ) -> Result<Self, Self::Rejection> {
        if let Some(reason) = core.unready_reason().filter(|_| !core.is_closing()) {
            return Err(ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason));
        }
        core.tokens.identify_bearer(&parts.headers).ok_or_else(|| {
            let detail = "a known token is needed: Authorization: Bearer TOKEN";
            ApiError::not_run(StatusCode::UNAUTHORIZED, "unauthorized", detail)
        })
    }
}
