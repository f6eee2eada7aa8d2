//! Monotonic reads for callers that switch between entries.
//!
//! Every response carries the offset up to which the entry has applied the log. A caller sends the
//! highest offset it has seen with its next request; an entry that is behind waits a short time to
//! catch up and otherwise refuses the request, so that the caller tries another entry.

use std::time::Duration;

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;

use crate::api_error::ApiError;
use crate::entry_core::SharedCore;

/// Request header: the entry must have applied the log up to this offset.
pub const MIN_OFFSET_HEADER: &str = "min-offset";
/// Response header: the entry has applied the log up to this offset.
pub const APPLIED_OFFSET_HEADER: &str = "applied-offset";
/// Maximum time that a request waits for this entry to catch up.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Marks the response to a request that reached no handler.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotHandled;

/// Middleware that delays a request until this entry has applied the requested offset, and adds
/// the applied offset to the response. Requests without a valid token don't wait.
pub(crate) async fn require_min_offset(
    State(core): State<SharedCore>,
    request: Request,
    next: Next,
) -> Response {
    let admitted = match requested_offset(&request) {
        Err(error) => Err(error),
        Ok(None) => Ok(()),
        Ok(Some(_)) if core.tokens.identify_bearer(request.headers()).is_none() => Ok(()),
        Ok(Some(requested)) => wait_for_offset(&core, requested).await,
    };
    if let Err(error) = admitted {
        let mut response = error.into_response();
        response.extensions_mut().insert(NotHandled);
        return response;
    }
    let mut response = next.run(request).await;
    let offset = HeaderValue::from(core.tail.state().offset);
    response.headers_mut().insert(APPLIED_OFFSET_HEADER, offset);
    response
}

/// Reads the minimum offset from the request headers.
fn requested_offset(request: &Request) -> Result<Option<u64>, ApiError> {
    let Some(header) = request.headers().get(MIN_OFFSET_HEADER) else { return Ok(None) };
    let requested = header.to_str().ok().and_then(|text| text.parse().ok());
    if requested.is_none() {
        let detail = format!("{MIN_OFFSET_HEADER} is no offset");
        return Err(ApiError::not_run(StatusCode::BAD_REQUEST, "malformed", detail));
    }
    Ok(requested)
}

async fn wait_for_offset(core: &SharedCore, requested: u64) -> Result<(), ApiError> {
    let mut offsets = core.tail.offsets();
    let waiting = offsets.wait_for(|offset| *offset >= requested);
    if tokio::time::timeout(CATCH_UP_TIMEOUT, waiting).await.is_ok() {
        return Ok(());
    }
    let applied = core.tail.state().offset;
    let detail =
        format!("this entry has applied the log up to offset {applied}, {requested} is asked for");
    Err(ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "behind", detail))
}
