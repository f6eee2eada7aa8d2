//! Requests advice on which workers may run the steps of advised queues, and appends the answers to
//! the log.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminbarrow_taskgraph::advice_request::AdviceRequest;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::WorkerTicket;
use cuminbarrow_taskgraph::task_key::StepKey;
use cuminbarrow_taskgraph::worker::WorkerKey;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use smol_str::SmolStr;

use crate::advice_port::AdvicePort;
use crate::advice_port::StepTickets;
use crate::replica::Replica;

/// Maximum number of requests in flight. The service answers requests one at a time and queues up to
/// 32.
const MAX_IN_FLIGHT: usize = 16;
/// Delay before a failed request may be sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum validity assumed for tickets, in ms: a day. It bounds the service's value, which is added
/// to the wall-clock time.
const MAX_VALID_MS: u64 = 24 * 60 * 60 * 1_000;
/// Share of a ticket's validity that is not used, in percent, because clocks may differ by 2 %.
const CLOCK_MARGIN_PERCENT: u64 = 2;

/// Sends the planner's advice requests, at most one per step at a time.
#[derive(Clone)]
pub(crate) struct AdviceRequester {
    port: Option<Arc<dyn AdvicePort>>,
    replica: Arc<Replica>,
    in_flight: Arc<Mutex<BTreeSet<StepKey>>>,
}

impl AdviceRequester {
    pub(crate) fn new(port: Option<Arc<dyn AdvicePort>>, replica: Arc<Replica>) -> Self {
        Self { port, replica, in_flight: Arc::default() }
    }

    /// Requests advice for each step that has no request in flight. The answers arrive through the
    /// log.
    pub(crate) fn request(&self, epoch: u64, wanted: Vec<AdviceRequest>) {
        let Some(port) = &self.port else { return };
        for request in wanted {
            let mut in_flight = self.in_flight();
            if in_flight.len() >= MAX_IN_FLIGHT || !in_flight.insert(request.step) {
                continue;
            }
            drop(in_flight);
            let (requester, port) = (self.clone(), Arc::clone(port));
            tokio::spawn(async move {
                let step = request.step;
                if !requester.request_one(&*port, epoch, request).await {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                requester.in_flight().remove(&step);
            });
        }
    }

    /// Sends one request, and returns whether its answer is in the log.
    async fn request_one(&self, port: &dyn AdvicePort, epoch: u64, request: AdviceRequest) -> bool {
        let AdviceRequest { step, workers } = request;
        let named = self.worker_names(&workers);
        let names = named.iter().map(|(_, name)| name.clone()).collect();
        let sent_ms = wall_ms();
        let tickets = match port.advise(step, names).await {
            Err(error) => {
                log::warn!(step:% = step, workers = named.len(); "{error}");
                return false;
            }
            Ok(tickets) => tickets,
        };
        let valid_ms = tickets.valid_ms.min(MAX_VALID_MS) * (100 - CLOCK_MARGIN_PERCENT) / 100;
        let took_ms = wall_ms().saturating_sub(sent_ms);
        let granted = tickets.granted.len();
        log::info!(step:% = step, workers = named.len(), good = granted, valid_ms, took_ms; "advised");
        let asked = named.iter().map(|(worker, _)| *worker).collect();
        let tickets = match_tickets(&named, tickets);
        let until_ms = sent_ms + valid_ms;
        let record = GraphRecord::StepAdvised { epoch, step, asked, tickets, until_ms };
        match self.replica.write(record).await {
            Err(error) => {
                log::warn!(step:% = step; "failed to append advice to the log: {error}");
                false
            }
            Ok(Err(refusal)) => {
                log::info!(step:% = step; "the log refused advice: {refusal}");
                false
            }
            Ok(Ok(_)) => true,
        }
    }

    fn worker_names(&self, workers: &[WorkerKey]) -> Vec<(WorkerKey, SmolStr)> {
        let state = self.replica.state();
        let name =
            |worker: &WorkerKey| Some((*worker, state.workers.get(worker)?.spec.name.clone()));
        workers.iter().filter_map(name).collect()
    }

    fn in_flight(&self) -> MutexGuard<'_, BTreeSet<StepKey>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tickets by worker; tickets for workers that were not in the request are skipped.
fn match_tickets(named: &[(WorkerKey, SmolStr)], tickets: StepTickets) -> Vec<WorkerTicket> {
    let ticket = |(name, text): (SmolStr, SmolStr)| {
        let (worker, _) = named.iter().find(|(_, known)| *known == name)?;
        Some(WorkerTicket { worker: *worker, text })
    };
    tickets.granted.into_iter().filter_map(ticket).collect()
}
