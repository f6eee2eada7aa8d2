//! Advice of an external service on the workers that may run a step.
//!
//! For some queues, only an external service knows which workers a step may run on. A refusal holds
//! for as long as the worker lives. A permission comes with a ticket, which orders to start must
//! carry; the ticket expires and then has to be requested again.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::graph_state::GraphEffect;
use crate::graph_state::GraphOutcome;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::record::WorkerTicket;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;

/// Minimum remaining validity of a ticket when a task is placed, in ms. It covers two appends to
/// the log and the order itself.
const MIN_TICKET_VALIDITY_MS: u64 = 300;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Ticket {
    text: SmolStr,
    until_ms: u64,
}

/// Advice received on the workers for one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepAdvice {
    /// Tickets by worker; `None` for a worker that must not run the step.
    verdicts: BTreeMap<WorkerKey, Option<Ticket>>,
}

impl StepAdvice {
    /// Whether a task may be placed on a worker now.
    pub fn is_usable(&self, worker: WorkerKey, now_ms: u64) -> bool {
        let ticket = self.verdicts.get(&worker).and_then(Option::as_ref);
        ticket.is_some_and(|ticket| ticket.until_ms >= now_ms + MIN_TICKET_VALIDITY_MS)
    }

    /// Whether the step must not run on a worker.
    pub fn is_forbidden(&self, worker: WorkerKey) -> bool {
        self.verdicts.get(&worker).is_some_and(Option::is_none)
    }

    /// Latest ticket for a worker; empty if there is none.
    pub fn ticket(&self, worker: WorkerKey) -> SmolStr {
        let ticket = self.verdicts.get(&worker).and_then(Option::as_ref);
        ticket.map(|ticket| ticket.text.clone()).unwrap_or_default()
    }

    /// Marks the ticket for a worker as expired, because the worker refused it.
    pub(crate) fn expire(&mut self, worker: WorkerKey) {
        if let Some(Some(ticket)) = self.verdicts.get_mut(&worker) {
            ticket.until_ms = 0;
        }
    }
}

impl GraphState {
    /// Advice received on the workers for a step.
    pub fn advice_for(&self, step: StepKey) -> Option<&StepAdvice> {
        self.advice.get(&step)
    }

    pub(crate) fn step_advised(
        &mut self,
        step: StepKey,
        asked: &[WorkerKey],
        tickets: &[WorkerTicket],
        until_ms: u64,
    ) -> GraphOutcome {
        if !self.active.contains(&step.job) {
            return Ok(GraphEffect::Done);
        }
        let advice = self.advice.entry(step).or_default();
        for worker in asked {
            advice.verdicts.insert(*worker, None);
        }
        for ticket in tickets {
            let entry = Ticket { text: ticket.text.clone(), until_ms };
            advice.verdicts.insert(ticket.worker, Some(entry));
        }
        Ok(GraphEffect::Done)
    }

    pub(crate) fn remove_advice(&mut self, job: JobId) {
        self.advice.retain(|step, _| step.job != job);
    }
}
