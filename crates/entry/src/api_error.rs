//! Errors of the HTTP API, all in the same JSON format, modelled on RFC 9457 problem details.

use axum::body::Body;
use axum::body::Bytes;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::refusal::Refusal;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Whether the failed request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorOutcome {
    /// The request may have taken effect.
    MayHaveRun,
    /// The request had no effect and will have none.
    NotRun,
    /// Not known yet; the caller repeats the request with the same idempotency key.
    Unknown,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiError {
    /// Stable machine-readable kind of error.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// HTTP status.
    pub status: u16,
    /// Human-readable description.
    pub detail: String,
    /// Whether the request took effect.
    pub outcome: ErrorOutcome,
}

impl ApiError {
    /// Creates the error of a request that had no effect.
    pub fn not_run(status: StatusCode, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: SmolStr::new(kind),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: ErrorOutcome::NotRun,
        }
    }

    /// Creates the error for a resource that does not exist or that the caller may not see.
    pub fn not_found(what: &str) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not_found", format!("{what} is not known"))
    }

    /// Creates the error for a request that the token does not permit.
    pub fn forbidden() -> Self {
        let detail = "the token does not allow this";
        Self::not_run(StatusCode::FORBIDDEN, "forbidden", detail)
    }
}

impl From<WriteError> for ApiError {
    fn from(error: WriteError) -> Self {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let (status, kind, outcome) = match error {
            WriteError::NotWritten => (unavailable, "log_unavailable", ErrorOutcome::NotRun),
            WriteError::Rejected => {
                (StatusCode::PAYLOAD_TOO_LARGE, "record_rejected", ErrorOutcome::NotRun)
            }
            WriteError::QueueFull => (unavailable, "overloaded", ErrorOutcome::NotRun),
            WriteError::Unknown => (unavailable, "answer_outstanding", ErrorOutcome::Unknown),
        };
        Self {
            kind: SmolStr::new(kind),
            status: status.as_u16(),
            detail: error.to_string(),
            outcome,
        }
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let (status, kind) = match &refusal {
            Refusal::JobAlreadyEnded { .. } => (StatusCode::CONFLICT, "job_ended"),
            Refusal::KeyReused { .. } => (StatusCode::CONFLICT, "key_reused"),
            Refusal::QueueFull { .. } | Refusal::TeamQueueFull { .. } => {
                (StatusCode::TOO_MANY_REQUESTS, "queue_full")
            }
            Refusal::ShapeImpossible { .. } => {
                (StatusCode::UNPROCESSABLE_ENTITY, "shape_impossible")
            }
            Refusal::SheetInfeasible { .. } => {
                (StatusCode::UNPROCESSABLE_ENTITY, "sheet_infeasible")
            }
            Refusal::SheetInvalid { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "sheet_invalid"),
            Refusal::SheetRemovesTooMuch { .. } => (StatusCode::CONFLICT, "sheet_removes_too_much"),
            Refusal::SheetStale { .. } => (StatusCode::CONFLICT, "sheet_stale"),
            Refusal::UnknownJob { .. }
            | Refusal::UnknownTeam { .. }
            | Refusal::UnknownWorker { .. } => (StatusCode::NOT_FOUND, "not_found"),
            _ => (StatusCode::CONFLICT, "refused"),
        };
        Self::not_run(status, kind, refusal.to_string())
    }
}

impl ApiError {
    /// Builds the response with this error as its body.
    pub(crate) fn into_reply(self) -> axum::http::Response<Full<Bytes>> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_REQUEST);
        let is_retryable =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        // The error has only texts and numbers, which always have a JSON form.
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = axum::http::Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if is_retryable {
            headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        response
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        self.into_reply().map(Body::new)
    }
}
