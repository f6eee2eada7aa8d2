//! The resources that monitoring asks each daemon for.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;

use crate::meter_registry::MeterRegistry;

/// Says why a daemon is not ready, or nothing when it is.
pub type ReadyCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// `/health`, `/ready` and `/metrics`.
pub fn probe_router(registry: MeterRegistry, ready: ReadyCheck) -> Router {
    Router::new()
        .route("/health", get(|| async { "ok\n" }))
        .route(
            "/ready",
            get(move || async move {
                match ready() {
                    None => (StatusCode::OK, "ready\n".to_owned()),
                    Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
                }
            }),
        )
        .route("/metrics", get(move || async move { registry.render() }))
}
