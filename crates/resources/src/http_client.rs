//! HTTP/1 client with a timeout per call, shared by all clients of HTTP resources.

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

/// Limit of the size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call returned no response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection failed before anything was sent.
    #[snafu(display("cannot connect to {url}"))]
    Connect {
        /// URL of the call.
        url: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The exchange failed before the response was complete.
    #[snafu(display("the response of {url} broke off: {source}"))]
    Interrupted {
        /// URL of the call.
        url: String,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request can't be built, for example from an invalid URL.
    #[snafu(display("cannot make a request for {url}"))]
    Malformed {
        /// URL of the call.
        url: String,
        /// Cause.
        source: http::Error,
    },
    /// The response was not complete within the timeout.
    #[snafu(display("no response from {url} within {timeout_ms} ms"))]
    TimedOut {
        /// URL of the call.
        url: String,
        /// Timeout of the call, in ms.
        timeout_ms: u128,
    },
}

impl CallError {
    /// Whether the request certainly did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Malformed { .. })
    }
}

/// A request for [`HttpClient::call`].
#[derive(Debug)]
pub struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Additional header fields.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl CallRequest {
    /// Creates a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a POST request with a body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, path: path.into(), headers: Vec::new(), body: body.into() }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// A complete response.
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
    /// Creates a client of the server at `base`, such as `http://127.0.0.1:7400`.
    pub fn new(base: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { base: base.into().trim_end_matches('/').to_owned(), client }
    }

    /// Sends the request and reads the complete response.
    ///
    /// # Errors
    /// [`CallError`]; unless [`CallError::is_unsent`], the request may have had an effect.
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
