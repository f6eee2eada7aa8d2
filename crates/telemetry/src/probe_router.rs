//! HTTP endpoints for liveness, readiness and metrics of a daemon.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;

use crate::meter_registry::MeterRegistry;

/// Returns the reason why a daemon is not ready, or `None` if it is ready.
pub type ReadinessCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Serves `/health`, `/ready` and `/metrics`.
pub fn probe_router(registry: MeterRegistry, readiness: ReadinessCheck) -> Router {
    Router::new()
        .route("/health", get(|| async { "ok\n" }))
        .route(
            "/ready",
            get(move || async move {
                match readiness() {
                    None => (StatusCode::OK, "ready\n".to_owned()),
                    Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
                }
            }),
        )
        .route("/metrics", get(move || async move { registry.render() }))
}
