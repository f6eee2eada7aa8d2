//! HTTP/1 client with a timeout, shared by everything that calls an HTTP resource.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::ResultExt;
use snafu::Snafu;

/// Largest response read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call gave no response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection was refused before anything was sent.
    #[snafu(display("cannot connect to {url}"))]
    Connect {
        /// What was called.
        url: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The response did not come whole.
    #[snafu(display("the response of {url} broke off: {source}"))]
    Interrupted {
        /// What was called.
        url: String,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request could not be made from its parts.
    #[snafu(display("cannot make a request for {url}"))]
    Malformed {
        /// What was called.
        url: String,
        /// Cause.
        source: http::Error,
    },
    /// No response within the timeout.
    #[snafu(display("no response from {url} within {timeout_ms} ms"))]
    TimedOut {
        /// What was called.
        url: String,
        /// The timeout.
        timeout_ms: u128,
    },
}

impl CallError {
    /// Whether the request certainly did not reach the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

/// A request for [`HttpClient::call`].
#[derive(Debug)]
pub struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, from `/`.
    pub path: String,
    /// Extra header fields.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl CallRequest {
    /// A request without body or extra header fields.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// A request with a body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, path: path.into(), headers: Vec::new(), body: body.into() }
    }

    /// The same request with a header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A response read whole.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client of one HTTP server.
#[derive(Clone)]
pub struct HttpClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client of `base`, such as `http://127.0.0.1:7400`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { base: base.into().trim_end_matches('/').to_owned(), client }
    }

    /// Calls and reads the response whole.
    ///
    /// # Errors
    /// [`CallError`]; `is_unsent` tells whether the request may have had an effect.
    pub async fn call(
        &self,
        request: CallRequest,
        timeout: Duration,
    ) -> Result<CallResponse, CallError> {
        let url = format!("{}{}", self.base, request.path);
        match tokio::time::timeout(timeout, self.exchange(&url, request)).await {
            Err(_) => TimedOutSnafu { url, timeout_ms: timeout.as_millis() }.fail(),
            Ok(result) => result,
        }
    }

    async fn exchange(&self, url: &str, request: CallRequest) -> Result<CallResponse, CallError> {
        let mut builder = Request::builder().method(request.method).uri(url);
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(request.body)).context(MalformedSnafu { url })?;
        let response = match self.client.request(request).await {
            Err(source) if source.is_connect() => {
                return Err(source).context(ConnectSnafu { url });
            }
            Err(source) => {
                return Err(source).boxed().context(InterruptedSnafu { url });
            }
            Ok(response) => response,
        };
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .context(InterruptedSnafu { url })?;
        Ok(CallResponse { status, headers, body: body.to_bytes() })
    }
}
