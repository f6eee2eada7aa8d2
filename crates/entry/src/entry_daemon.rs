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
use cuminbarrow_protocol::link_guard::LinkGuard;
use cuminbarrow_protocol::link_metrics;
use cuminbarrow_requests::bounded_listener;
use cuminbarrow_requests::http_server;
use cuminbarrow_requests::http_server::ServerPhase;
use cuminbarrow_requests::request_guard::RequestGuard;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_telemetry::meter_registry::MeterError;
use cuminbarrow_telemetry::meter_registry::MeterRegistry;
use cuminbarrow_telemetry::probe_router::probe_router;
use cuminbarrow_telemetry::probe_server;
use cuminbarrow_telemetry::request_metrics;
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
use crate::api_server::ApiServer;
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
    let listener = bounded_listener::bind(address).context(ListenSnafu { address })?;
    let address = settings.link_listen;
    let link_listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let probe_listener = bind_probes(&settings)?;
    let counter = Arc::new(ByteCounter::default());
    let core = build_core(settings, Arc::clone(&store), Arc::clone(&counter))?;
    let registry = MeterRegistry::new().context(MetricsSnafu)?;
    entry_metrics::register(&core, &registry, &counter);

    let key = core.settings.shared_key.clone();
    let links = Arc::new(LinkGuard::new(core.settings.links.clone(), counter));
    link_metrics::register(&registry, &links);
    tokio::spawn(follow_log(core.clone(), Arc::clone(&store)));
    tokio::spawn(keep_entry_registered(core.clone()));
    tokio::spawn(accept_links(link_listener, key, links, link_handler(core.clone())));
    let planner = tokio::spawn(planner_loop::run(core.clone(), store));

    let guard = RequestGuard::new(core.settings.request_limits());
    request_metrics::register(&registry, &guard);
    tokio::spawn(Arc::clone(&guard).run());
    let probe_core = core.clone();
    let probes = probe_router(registry, Arc::new(move || probe_core.unready_reason()));
    if let Some(listener) = probe_listener {
        tokio::spawn(probe_server::serve(listener, probes.clone(), Arc::clone(&guard)));
    }
    let (phase, phase_receiver) = watch::channel(ServerPhase::Serving);
    let server = Arc::new(ApiServer::new(core.clone(), router(core.clone()).merge(probes)));
    let table = Arc::clone(&guard.main);
    tokio::spawn(http_server::serve(listener, server, phase_receiver, guard, Arc::clone(&table)));

    let _ = shutdown.wait_for(|is_shutdown| *is_shutdown).await;
    log::info!("shutting down: refusing new connections, draining requests in flight");
    core.closing.send_replace(true);
    phase.send_replace(ServerPhase::Draining);
    tokio::time::sleep(UNREADY_DELAY).await;
    phase.send_replace(ServerPhase::Closing);
    let drain = Duration::from_millis(core.settings.drain_ms);
    if tokio::time::timeout(drain, table.emptied()).await.is_err() {
        log::warn!("requests were still in flight after {} ms", drain.as_millis());
    }
    let _ = planner.await;
    let _ = core.write(Record::EntryLeft { instance: core.instance }).await;
    Ok(())
}

/// Binds the address of the probes, if they have one of their own. On the address of callers they share
/// its connections, since a connection is accepted before its request is known.
fn bind_probes(settings: &EntrySettings) -> Result<Option<TcpListener>, EntryError> {
    let Some(address) = settings.probe_listen else { return Ok(None) };
    let listener = bounded_listener::bind(address).context(ListenSnafu { address })?;
    Ok(Some(listener))
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

fn router(core: SharedCore) -> Router {
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
        .route("/v1/sheet", get(api_sheet::sheet).put(api_sheet::apply_sheet))
        .route("/v1/sheet/preview", post(api_sheet::preview_sheet))
        // The server has read the body within its own limits.
        .layer(DefaultBodyLimit::disable())
        .fallback(|| async { ApiError::not_found("the resource") })
        .layer(middleware::from_fn_with_state(core.clone(), offset_gate::require_min_offset))
        .layer(middleware::from_fn(move |request: Request, next: Next| {
            limit_requests(Arc::clone(&permits), request, next)
        }))
        .with_state(core)
}

/// Refuses requests beyond the concurrency limit at once instead of queuing them.
async fn limit_requests(permits: Arc<Semaphore>, request: Request, next: Next) -> Response {
    let Ok(_permit) = permits.try_acquire() else {
        let detail = "too many requests are being served";
        return ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", detail)
            .into_response();
    };
    next.run(request).await
}

impl FromRequestParts<SharedCore> for CallerIdentity {
    type Rejection = ApiError;

    async fn from_request_parts(
        parts: &mut Parts,
        core: &SharedCore,
    ) -> Result<Self, Self::Rejection> {
        core.identify(&parts.headers)
    }
}
