//! Health checks of an agent's own worker.
//!
//! A check may cost the worker much, so there are none while the worker runs nothing and has not failed
//! recently, and none whose result could not be recorded.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::worker_health::HealthWatch;

use crate::agent_core::AgentCore;
use crate::agent_core::OwnWorker;

/// Interface through which an agent asks its worker for its health.
#[async_trait]
pub trait HealthPort: Send + Sync {
    /// Whether the worker considers itself healthy; `None` if it doesn't say so in time, or if the service
    /// has no health checks.
    async fn check(&self, service: &str) -> Option<bool>;
}

impl AgentCore {
    /// Checks the worker's health at this interval and records changes; never returns.
    pub async fn check_health(self: Arc<Self>, port: Arc<dyn HealthPort>, interval: Duration) {
        let mut watch = HealthWatch::default();
        loop {
            tokio::time::sleep(interval).await;
            let own = self.own_worker().filter(|_| self.replica.is_fresh());
            if let Some(own) = own {
                self.check_health_once(&own, &*port, &mut watch).await;
            }
        }
    }

    async fn check_health_once(
        &self,
        own: &OwnWorker,
        port: &dyn HealthPort,
        watch: &mut HealthWatch,
    ) {
        let service = {
            let state = self.replica.state();
            let known = state.workers.get(&own.key).filter(|_| state.needs_health_check(own.key));
            known.map(|known| known.spec.service.clone())
        };
        let Some(service) = service else { return };
        let response = port.check(&service).await;
        let change = {
            let state = self.replica.state();
            let recorded = state.worker_health.report(own.key);
            watch.observe(response, recorded, state.clock_ms, self.replica.clock.now_ms())
        };
        let Some(is_healthy) = change else { return };
        log::warn!(worker:% = own.key, is_healthy; "the worker reports its health");
        // A lost record needs no retry: the next response is compared with the state again.
        let record = GraphRecord::HealthChanged { worker: own.key, is_healthy };
        match self.replica.write(record).await {
            Ok(Ok(_)) => {}
            Ok(Err(refusal)) => {
                log::warn!(worker:% = own.key; "the log refused the worker's health: {refusal}");
            }
            Err(error) => {
                log::warn!(worker:% = own.key; "failed to record the worker's health: {error}");
            }
        }
    }
}
