//! HTTP client of the entries, which fails over to another entry when one fails.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_entry::api_error::ApiError;
use cuminbarrow_entry::api_error::ErrorOutcome;
use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::SheetBody;
use cuminbarrow_entry::api_types::SheetView;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_entry::offset_gate::APPLIED_OFFSET_HEADER;
use cuminbarrow_entry::offset_gate::MIN_OFFSET_HEADER;
use cuminbarrow_resources::http_client::CallError;
use cuminbarrow_resources::http_client::CallRequest;
use cuminbarrow_resources::http_client::CallResponse;
use cuminbarrow_resources::http_client::HttpClient;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client_error::ClientError;

/// Timeout of a request, in addition to the wait that the request asks for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which one request waits for a job, in ms.
const MAX_WAIT_MS: u64 = 25_000;

/// Client of a list of entries.
///
/// Every request is idempotent, so it may be retried at another entry when its response is lost.
/// Reads are monotonic: each request asks for at least the log offset that an earlier response
/// showed, so no response shows an older state.
pub struct ApiClient {
    entry_clients: Vec<HttpClient>,
    /// Absent for addresses that take none.
    token: Option<String>,
    seen_offset: AtomicU64,
}

impl ApiClient {
    /// Creates a client of entries at URLs such as `http://127.0.0.1:7500`, tried in this order.
    pub fn new(entries: &[String], token: impl Into<String>) -> Self {
        Self { token: Some(token.into()), ..Self::without_token(entries) }
    }

    /// Creates a client of addresses that take no token.
    pub fn without_token(entries: &[String]) -> Self {
        let entry_clients = entries.iter().map(HttpClient::new).collect();
        Self { entry_clients, token: None, seen_offset: AtomicU64::new(0) }
    }

    /// Gets a resource as JSON.
    ///
    /// # Errors
    /// [`ClientError`] if no entry returns it.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        decode_json(&self.call(Method::GET, path, None, &[], REQUEST_TIMEOUT).await?)
    }

    /// Gets the bytes of a resource.
    ///
    /// # Errors
    /// [`ClientError`] if no entry returns it.
    pub async fn get_bytes(&self, path: &str) -> Result<Vec<u8>, ClientError> {
        let response = self.call(Method::GET, path, None, &[], REQUEST_TIMEOUT).await?;
        Ok(response.body.to_vec())
    }

    /// Sends a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// [`ClientError`] if no entry accepts the request.
    pub async fn send<B, T>(&self, method: Method, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        decode_json(&self.call(method, path, Some(encode_json(body)?), &[], REQUEST_TIMEOUT).await?)
    }

    /// Posts a body as it is and decodes the JSON response.
    ///
    /// # Errors
    /// [`ClientError`] if no entry accepts the request.
    pub async fn post_bytes<T>(&self, path: &str, body: Vec<u8>) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        decode_json(&self.call(Method::POST, path, Some(body), &[], REQUEST_TIMEOUT).await?)
    }

    /// Posts an action without a request body; the response body is ignored.
    ///
    /// # Errors
    /// [`ClientError`] if no entry accepts the request.
    pub async fn post_action(&self, path: &str) -> Result<(), ClientError> {
        self.call(Method::POST, path, None, &[], REQUEST_TIMEOUT).await.map(|_| ())
    }

    /// Submits a job under an idempotency key; the same key returns the same job.
    ///
    /// # Errors
    /// [`ClientError`] if the job is refused or its outcome is unknown.
    pub async fn submit(&self, key: &str, body: &SubmitBody) -> Result<JobView, ClientError> {
        let headers = [("idempotency-key", key.to_owned())];
        let body = Some(encode_json(body)?);
        decode_json(&self.call(Method::POST, "/v1/jobs", body, &headers, REQUEST_TIMEOUT).await?)
    }

    /// Makes a sheet the active one.
    ///
    /// # Errors
    /// [`ClientError`] if the sheet is refused or its outcome is unknown.
    pub async fn apply_sheet(&self, body: &SheetBody) -> Result<SheetView, ClientError> {
        self.send(Method::PUT, "/v1/sheet", body).await
    }

    /// Waits up to 25 s for a job to end, with a single request. Returns the job's state,
    /// whether or not it has ended.
    ///
    /// # Errors
    /// [`ClientError`] if no entry returns the job.
    pub async fn wait_once(&self, team: &str, key: &str) -> Result<JobView, ClientError> {
        let path = format!("{}/wait?timeout_ms={MAX_WAIT_MS}", job_path(team, key));
        let timeout = REQUEST_TIMEOUT + Duration::from_millis(MAX_WAIT_MS);
        decode_json(&self.call(Method::GET, &path, None, &[], timeout).await?)
    }

    /// Waits without a time limit until a job has ended.
    ///
    /// # Errors
    /// [`ClientError`] if no entry returns the job.
    pub async fn wait(&self, team: &str, key: &str) -> Result<JobView, ClientError> {
        loop {
            let view = self.wait_once(team, key).await?;
            if view.is_ended() {
                return Ok(view);
            }
        }
    }

    /// Tries the entries in turn until one succeeds or refuses for good. If all fail, returns the
    /// first error that leaves the outcome unknown, since the request may have had an effect, or
    /// else the last error.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        headers: &[(&'static str, String)],
        timeout: Duration,
    ) -> Result<CallResponse, ClientError> {
        let mut last_error: Option<ClientError> = None;
        for entry_client in &self.entry_clients {
            let request = self.request(&method, path, body.clone(), headers);
            let error = match entry_client.call(request, timeout).await {
                Err(source) => ClientError::Call { source },
                Ok(response) if response.status.is_success() => {
                    self.record_offset(&response);
                    return Ok(response);
                }
                Ok(response) => response_error(&response),
            };
            if !may_succeed_elsewhere(&error) {
                return Err(error);
            }
            let replaces_last =
                last_error.as_ref().is_none_or(|last_error| !is_outcome_unknown(last_error));
            if replaces_last {
                last_error = Some(error);
            }
        }
        Err(last_error.unwrap_or(ClientError::Malformed {
            reason: "the client has no entry to ask".to_owned(),
        }))
    }

    /// Records the log offset that a response shows, as the least offset for later requests.
    fn record_offset(&self, response: &CallResponse) {
        let header = response.headers.get(APPLIED_OFFSET_HEADER);
        let offset = header.and_then(|value| value.to_str().ok()?.parse().ok());
        self.seen_offset.fetch_max(offset.unwrap_or(0), Ordering::Relaxed);
    }

    fn request(
        &self,
        method: &Method,
        path: &str,
        body: Option<Vec<u8>>,
        headers: &[(&'static str, String)],
    ) -> CallRequest {
        let mut request = CallRequest::get(path);
        request.method = method.clone();
        if let Some(token) = &self.token {
            request = request.with_header("authorization", format!("Bearer {token}"));
        }
        let seen = self.seen_offset.load(Ordering::Relaxed);
        if seen > 0 {
            request = request.with_header(MIN_OFFSET_HEADER, seen.to_string());
        }
        for (name, value) in headers {
            request = request.with_header(name, value.clone());
        }
        if let Some(body) = body {
            request.body = body.into();
            request = request.with_header("content-type", "application/json");
        }
        request
    }
}

/// Path of a job in the HTTP API.
pub fn job_path(team: &str, key: &str) -> String {
    format!("/v1/jobs/{}/{}", escape_segment(team), escape_segment(key))
}

/// Percent-encodes a path segment.
pub fn escape_segment(segment: &str) -> String {
    let mut text = String::with_capacity(segment.len());
    for byte in segment.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~@".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

/// Whether another entry may succeed where one failed with this error.
fn may_succeed_elsewhere(error: &ClientError) -> bool {
    match error {
        ClientError::Call { .. } => true,
        ClientError::Refused { error } => error.status == 503,
        _ => false,
    }
}

/// Whether the request may have had an effect despite the error.
fn is_outcome_unknown(error: &ClientError) -> bool {
    match error {
        ClientError::Call { source } => !CallError::is_unsent(source),
        ClientError::Refused { error } => error.outcome == ErrorOutcome::Unknown,
        _ => false,
    }
}

/// Error body of entries on the users' platform.
#[derive(Deserialize)]
struct PlatformError {
    error: String,
}

/// The error described by an unsuccessful response.
fn response_error(response: &CallResponse) -> ClientError {
    if let Ok(PlatformError { error }) = serde_json::from_slice(&response.body) {
        let error = ApiError::not_run(response.status, "refused", error);
        return ClientError::Refused { error };
    }
    match serde_json::from_slice::<ApiError>(&response.body) {
        Err(_) => ClientError::Malformed {
            reason: format!(
                "status {}: {}",
                response.status,
                String::from_utf8_lossy(&response.body).escape_debug()
            ),
        },
        Ok(error) => ClientError::Refused { error },
    }
}

fn encode_json<B>(body: &B) -> Result<Vec<u8>, ClientError>
where
    B: Serialize,
{
    serde_json::to_vec(body).map_err(|error| ClientError::Malformed { reason: error.to_string() })
}

fn decode_json<T>(response: &CallResponse) -> Result<T, ClientError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&response.body)
        .map_err(|error| ClientError::Malformed { reason: error.to_string() })
}
