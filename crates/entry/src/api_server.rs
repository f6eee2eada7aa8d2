//! Serves the HTTP API within the limits of requests: decides before a body is read whether and how
//! much of it is read, and passes whole requests to the router.

use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::body::Bytes;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::request::Parts;
use cuminbarrow_requests::body_budget::BodyReservation;
use cuminbarrow_requests::http_server::BufferedRequest;
use cuminbarrow_requests::http_server::Handler;
use cuminbarrow_requests::service_call::call_service;
use http_body_util::Full;
use hyper_util::service::TowerToHyperService;

use crate::api_error::ApiError;
use crate::api_operators::require_operator;
use crate::entry_core::SharedCore;
use crate::offset_gate::APPLIED_OFFSET_HEADER;
use crate::offset_gate::NotHandled;

/// Largest body of requests other than sheets, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest body of a sheet, in bytes, if the limits of requests have room for it.
const MAX_SHEET_BYTES: usize = 32 * 1024 * 1024;
/// Paths that take a sheet.
const SHEET_PATHS: [&str; 2] = ["/v1/sheet", "/v1/sheet/preview"];
/// Time from which a request that fails was queued for the log. Others fail at once.
const MIN_QUEUED_TIME: Duration = Duration::from_millis(200);
/// Time beyond a call to the log after which the log's writer has dropped the record of a request that
/// failed: it pauses for up to 2 s before its next append.
const RECORD_DROP_TIME: Duration = Duration::from_secs(3);

/// Handles the requests of callers and operators.
pub(crate) struct ApiServer {
    core: SharedCore,
    service: TowerToHyperService<Router>,
}

impl ApiServer {
    pub(crate) fn new(core: SharedCore, router: Router) -> Self {
        Self { core, service: TowerToHyperService::new(router) }
    }

    /// The answer to a request that does not reach the router.
    fn reply(&self, error: ApiError) -> Response<Full<Bytes>> {
        let mut response = error.into_reply();
        let offset = HeaderValue::from(self.core.tail.state().offset);
        response.headers_mut().insert(APPLIED_OFFSET_HEADER, offset);
        response
    }

    fn checked_limit(&self, parts: &Parts) -> Result<usize, ApiError> {
        let identity = self.core.identify(&parts.headers)?;
        // A request with a body outlives its client. Waits for a job with bodies would hold the memory
        // and the permits of other requests.
        if parts.method.is_safe() {
            return Ok(0);
        }
        if !SHEET_PATHS.contains(&parts.uri.path()) {
            return Ok(MAX_BODY_BYTES);
        }
        require_operator(&identity)?;
        Ok(MAX_SHEET_BYTES)
    }
}

impl Handler for ApiServer {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    fn body_limit(&self, parts: &Parts) -> Result<usize, Box<Response<Full<Bytes>>>> {
        self.checked_limit(parts).map_err(|error| Box::new(self.reply(error)))
    }

    fn reserves_answers(&self) -> bool {
        true
    }

    fn refusal(&self, status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
        let (kind, reason) = match status {
            StatusCode::PAYLOAD_TOO_LARGE => {
                ("body_too_large", "the body is larger than this resource takes")
            }
            StatusCode::REQUEST_TIMEOUT => ("body_timeout", reason),
            StatusCode::SERVICE_UNAVAILABLE => ("overloaded", reason),
            _ => ("malformed_body", reason),
        };
        self.reply(ApiError::not_run(status, kind, reason))
    }

    async fn handle(&self, request: BufferedRequest) -> Response<Full<Bytes>> {
        let BufferedRequest { mut parts, body, reservation, table } = request;
        parts.extensions.insert(table);
        let request = Request::from_parts(parts, Full::new(body));
        let service = self.service.clone();
        let Some(reservation) = reservation else { return call_service(&service, request).await };
        let log_timeout = Duration::from_millis(self.core.settings.log_timeout_ms);
        // A task of its own, since a client that disconnects must not release the memory of a record
        // that is queued for the log.
        let task = tokio::spawn(async move {
            let started = Instant::now();
            let response = call_service(&service, request).await;
            let may_be_queued = response.status() == StatusCode::SERVICE_UNAVAILABLE
                && response.extensions().get::<NotHandled>().is_none()
                && started.elapsed() >= MIN_QUEUED_TIME;
            if may_be_queued {
                release_later(reservation, log_timeout + RECORD_DROP_TIME);
            }
            response
        });
        task.await.unwrap_or_else(|error| {
            log::error!("a request failed: {error}");
            let mut response = Response::default();
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
    }
}

/// Releases the memory of a request once its record is no longer queued.
fn release_later(reservation: BodyReservation, after: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        drop(reservation);
    });
}
