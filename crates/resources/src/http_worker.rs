//! HTTP client of one worker.

use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::http_client::CallRequest;
use crate::http_client::HttpClient;
use crate::worker_control::TaskReport;
use crate::worker_control::TaskStart;
use crate::worker_control::WorkerControl;
use crate::worker_control::WorkerError;
use crate::worker_control::WorkerUsage;

/// Timeout of a call, in addition to the time that the worker is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Request body of a lease renewal.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewBody {
    /// Tasks to renew.
    pub tasks: Vec<SmolStr>,
    /// Duration of the renewed lease, in ms.
    pub lease_ms: u64,
}

/// Request body of a stop.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopBody {
    /// Whether to checkpoint first.
    pub checkpoint: bool,
}

/// Request body of a throttle.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleBody {
    /// Share of processor time, in thousandths.
    pub share_permille: u16,
}

/// Client of a worker at an HTTP address.
pub struct HttpWorker {
    client: HttpClient,
    prefix: String,
}

impl HttpWorker {
    /// Creates a client of the worker `name` of the platform at `base`.
    pub fn new(base: &str, name: &str) -> Self {
        Self { client: HttpClient::new(base), prefix: format!("/v1/workers/{name}") }
    }

    async fn post<B>(&self, path: String, body: &B) -> Result<(), WorkerError>
    where
        B: Serialize,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| WorkerError::Refused { reason: error.to_string() })?;
        let request = CallRequest::post(path, body).with_header("content-type", "application/json");
        self.exchange(request, CALL_TIMEOUT).await.map(|_| ())
    }

    async fn get<T>(&self, path: String, wait_ms: u32) -> Result<T, WorkerError>
    where
        T: DeserializeOwned,
    {
        let timeout = CALL_TIMEOUT + Duration::from_millis(u64::from(wait_ms));
        let body = self.exchange(CallRequest::get(path), timeout).await?;
        serde_json::from_slice(&body)
            .map_err(|error| WorkerError::Refused { reason: error.to_string() })
    }

    async fn exchange(
        &self,
        request: CallRequest,
        timeout: Duration,
    ) -> Result<bytes::Bytes, WorkerError> {
        let response = self
            .client
            .call(request, timeout)
            .await
            .map_err(|error| WorkerError::Unreachable { reason: error.to_string() })?;
        if response.status == StatusCode::GATEWAY_TIMEOUT {
            let reason = String::from_utf8_lossy(&response.body).into_owned();
            return Err(WorkerError::Unreachable { reason });
        }
        if !response.status.is_success() {
            let reason = String::from_utf8_lossy(&response.body).into_owned();
            return Err(WorkerError::Refused { reason });
        }
        Ok(response.body)
    }
}

#[async_trait]
impl WorkerControl for HttpWorker {
    async fn start(&self, task: TaskStart) -> Result<(), WorkerError> {
        self.post(format!("{}/tasks", self.prefix), &task).await
    }

    async fn renew(&self, tasks: Vec<SmolStr>, lease_ms: u64) -> Result<(), WorkerError> {
        self.post(format!("{}/renew", self.prefix), &RenewBody { tasks, lease_ms }).await
    }

    async fn stop(&self, task: SmolStr, checkpoint: bool) -> Result<(), WorkerError> {
        self.post(format!("{}/tasks/{task}/stop", self.prefix), &StopBody { checkpoint }).await
    }

    async fn throttle(&self, task: SmolStr, share_permille: u16) -> Result<(), WorkerError> {
        let path = format!("{}/tasks/{task}/throttle", self.prefix);
        self.post(path, &ThrottleBody { share_permille }).await
    }

    async fn reports(&self, after: u64, wait_ms: u32) -> Result<Vec<TaskReport>, WorkerError> {
        self.get(format!("{}/reports?after={after}&wait_ms={wait_ms}", self.prefix), wait_ms).await
    }

    async fn running(&self) -> Result<Vec<SmolStr>, WorkerError> {
        self.get(format!("{}/tasks", self.prefix), 0).await
    }

    async fn usage(&self) -> Result<WorkerUsage, WorkerError> {
        self.get(format!("{}/usage", self.prefix), 0).await
    }
}
