//! HTTP client of the log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::StatusCode;

use crate::http_client::CallError;
use crate::http_client::CallRequest;
use crate::http_client::CallResponse;
use crate::http_client::HttpClient;
use crate::log_store::LogError;
use crate::log_store::LogPage;
use crate::log_store::LogStore;
use crate::log_store::LogStream;

/// Client of a log service at an HTTP address.
pub struct HttpLog {
    client: HttpClient,
    timeout: Duration,
}

impl HttpLog {
    /// Creates a client of the service at `base`. A call fails after `timeout`, plus the time that
    /// the service is asked to wait.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self { client: HttpClient::new(base), timeout }
    }
}

#[async_trait]
impl LogStore for HttpLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        let path = format!("/v1/streams/{}", stream.name());
        let response = self.client.call(CallRequest::post(path, body), self.timeout).await;
        let response = response.map_err(call_failure)?;
        if response.status != StatusCode::OK {
            return Err(failed_status(&response));
        }
        let text = std::str::from_utf8(&response.body).unwrap_or_default();
        text.trim().parse().map_err(|_| LogError::Uncertain {
            reason: format!("an offset was expected, not {text:?}"),
        })
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        let path =
            format!("/v1/streams/{}?from={from}&limit={limit}&wait_ms={wait_ms}", stream.name());
        let timeout = self.timeout + Duration::from_millis(u64::from(wait_ms));
        let response = self.client.call(CallRequest::get(path), timeout).await;
        let response = response.map_err(call_failure)?;
        match response.status {
            StatusCode::GONE => Err(LogError::Expired {
                oldest: std::str::from_utf8(&response.body)
                    .ok()
                    .and_then(|text| text.trim().parse().ok())
                    .unwrap_or_default(),
            }),
            StatusCode::OK => {
                bincode::serde::decode_from_slice(&response.body, bincode::config::standard())
                    .map(|(page, _)| page)
                    .map_err(|error| LogError::Unavailable { reason: error.to_string() })
            }
            _ => Err(failed_status(&response)),
        }
    }
}

fn call_failure(error: CallError) -> LogError {
    let reason = error.to_string();
    if error.is_unsent() {
        LogError::Unavailable { reason }
    } else {
        LogError::Uncertain { reason }
    }
}

fn failed_status(response: &CallResponse) -> LogError {
    let reason = format!("status {}", response.status);
    match response.status {
        StatusCode::GATEWAY_TIMEOUT => LogError::Uncertain { reason },
        StatusCode::PAYLOAD_TOO_LARGE => LogError::Rejected { reason },
        _ => LogError::Unavailable { reason },
    }
}
