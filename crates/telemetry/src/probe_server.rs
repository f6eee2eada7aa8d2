//! Serves the probes of a daemon on an address of their own.

use std::sync::Arc;

use axum::Router;
use bytes::Bytes;
use cuminbarrow_requests::http_server;
use cuminbarrow_requests::http_server::BufferedRequest;
use cuminbarrow_requests::http_server::Handler;
use cuminbarrow_requests::http_server::ServerPhase;
use cuminbarrow_requests::request_guard::RequestGuard;
use cuminbarrow_requests::service_call::call_service;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Answers probes by a router.
struct ProbeServer {
    service: TowerToHyperService<Router>,
}

impl Handler for ProbeServer {
    fn max_body_bytes(&self) -> usize {
        0
    }

    async fn handle(&self, request: BufferedRequest) -> Response<Full<Bytes>> {
        let request = Request::from_parts(request.parts, Full::new(request.body));
        call_service(&self.service, request).await
    }
}

/// Serves a router of probes until the process ends, on the readiness connections of `guard`.
pub async fn serve(listener: TcpListener, router: Router, guard: Arc<RequestGuard>) {
    let handler = Arc::new(ProbeServer { service: TowerToHyperService::new(router) });
    let (_phase_sender, always_serving) = watch::channel(ServerPhase::Serving);
    let table = Arc::clone(&guard.readiness);
    http_server::serve(listener, handler, always_serving, guard, table).await;
}
