//! Asks which workers may run the steps of advised queues, and writes the answers to the log.

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

/// Questions under way at once. The service answers one after the other and lets 32 wait.
const MAX_ASKING: usize = 16;
/// Wait after a question without an answer.
const RETRY_WAIT: Duration = Duration::from_millis(300);
/// Longest time for which tickets are relied upon, in ms: a day. It is added to the time of day.
const MAX_VALID_MS: u64 = 24 * 60 * 60 * 1_000;
/// Part of a ticket's time that is not relied upon, in percent: clocks may differ by 2 %.
const CLOCK_PERCENT: u64 = 2;

/// Questions of the planner, one for each step at a time.
#[derive(Clone)]
pub(crate) struct AdviceDesk {
    port: Option<Arc<dyn AdvicePort>>,
    replica: Arc<Replica>,
    asking: Arc<Mutex<BTreeSet<StepKey>>>,
}

impl AdviceDesk {
    pub(crate) fn new(port: Option<Arc<dyn AdvicePort>>, replica: Arc<Replica>) -> Self {
        Self { port, replica, asking: Arc::default() }
    }

    /// Asks what is not being asked already; the answers come through the log.
    pub(crate) fn ask(&self, epoch: u64, wanted: Vec<AdviceRequest>) {
        let Some(port) = &self.port else { return };
        for question in wanted {
            let mut asking = self.asking();
            if asking.len() >= MAX_ASKING || !asking.insert(question.step) {
                continue;
            }
            drop(asking);
            let (desk, port) = (self.clone(), Arc::clone(port));
            tokio::spawn(async move {
                let step = question.step;
                if !desk.ask_one(&*port, epoch, question).await {
                    tokio::time::sleep(RETRY_WAIT).await;
                }
                desk.asking().remove(&step);
            });
        }
    }

    /// Asks one question; whether its answer is in the log.
    async fn ask_one(&self, port: &dyn AdvicePort, epoch: u64, question: AdviceRequest) -> bool {
        let AdviceRequest { step, workers } = question;
        let named = self.names_of(&workers);
        let names = named.iter().map(|(_, name)| name.clone()).collect();
        let sent_ms = wall_ms();
        let tickets = match port.advise(step, names).await {
            Err(error) => {
                log::warn!(step:% = step, workers = named.len(); "{error}");
                return false;
            }
            Ok(tickets) => tickets,
        };
        let valid_ms = tickets.valid_ms.min(MAX_VALID_MS) * (100 - CLOCK_PERCENT) / 100;
        let took_ms = wall_ms().saturating_sub(sent_ms);
        let good = tickets.granted.len();
        log::info!(step:% = step, workers = named.len(), good, valid_ms, took_ms; "advised");
        let asked = named.iter().map(|(worker, _)| *worker).collect();
        let tickets = matched(&named, tickets);
        let until_ms = sent_ms + valid_ms;
        let record = GraphRecord::StepAdvised { epoch, step, asked, tickets, until_ms };
        match self.replica.write(record).await {
            Err(error) => {
                log::warn!(step:% = step; "advice was not written: {error}");
                false
            }
            Ok(Err(refusal)) => {
                log::info!(step:% = step; "advice was refused: {refusal}");
                false
            }
            Ok(Ok(_)) => true,
        }
    }

    fn names_of(&self, workers: &[WorkerKey]) -> Vec<(WorkerKey, SmolStr)> {
        let state = self.replica.state();
        let name =
            |worker: &WorkerKey| Some((*worker, state.workers.get(worker)?.spec.name.clone()));
        workers.iter().filter_map(name).collect()
    }

    fn asking(&self) -> MutexGuard<'_, BTreeSet<StepKey>> {
        self.asking.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tickets by worker; names that were not asked about are passed over.
fn matched(named: &[(WorkerKey, SmolStr)], tickets: StepTickets) -> Vec<WorkerTicket> {
    let ticket = |(name, text): (SmolStr, SmolStr)| {
        let (worker, _) = named.iter().find(|(_, known)| *known == name)?;
        Some(WorkerTicket { worker: *worker, text })
    };
    tickets.granted.into_iter().filter_map(ticket).collect()
}
