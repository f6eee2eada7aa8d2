//! Keeps a caller that moves to another entry from seeing an older state than before.
//!
//! Every answer names the offset that the entry has applied. A caller that sends the highest one it
//! has seen is served by an entry that has applied as much, after a short wait, or is told to go
//! elsewhere.

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

/// Header of a request: the entry must have applied the log up to this offset.
pub const MIN_OFFSET_HEADER: &str = "min-offset";
/// Header of an answer: the entry has applied the log up to this offset.
pub const APPLIED_OFFSET_HEADER: &str = "applied-offset";
/// Longest wait for an entry that is behind.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Lets a request through once this entry has applied what the caller has seen.
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
        return error.into_response();
    }
    let mut response = next.run(request).await;
    let offset = HeaderValue::from(core.tail.state().offset);
    response.headers_mut().insert(APPLIED_OFFSET_HEADER, offset);
    response
}

/// The offset that the request asks for.
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
