//! Reports of the worker about itself, and how an agent decides which incarnation runs on its instance.
//!
//! Whoever reaches the agent can send a report, with any start time and sequence number, and reports of
//! earlier incarnations arrive late. A report of an incarnation other than the accepted one is therefore
//! set aside until that incarnation has answered a call: orders name the incarnation that they are meant
//! for, and no other one answers them.

use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::WorkerState;
use smol_str::SmolStr;

use crate::agent_core::AgentCore;
use crate::agent_core::registered_spec;
use crate::replica::WRITE_RETRY_DELAY;
use crate::worker_port::PortError;
use crate::worker_port::RenewalOrder;

/// Time without a report after which a worker counts as silent, in ms. A worker sends a report about
/// every 1.5 s.
pub(crate) const REPORT_TIMEOUT_MS: u64 = 3_500;
/// Time for which reports of a worker that has shut down are ignored as delayed ones, in ms. Orders and
/// reports may be delayed by up to 12 s.
const LEFT_WORKER_TTL_MS: u64 = 15_000;

/// A worker's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Specification of the worker.
    pub spec: WorkerSpec,
    /// Minimum time until the worker shuts down, in ms; `None` unless it is draining.
    pub drain_remaining_ms: Option<u64>,
    /// Sequence number of the report within the worker's incarnation.
    pub sequence: u64,
}

/// A report with its time of arrival on the boot-time clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedReport {
    pub(crate) report: WorkerReport,
    pub(crate) received_ms: u64,
}

/// How a report relates to the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportRelation {
    /// A later report of the same incarnation.
    Update,
    /// A report that is not later.
    Outdated,
    /// A report of the same incarnation with another service, although the accepted one is recent.
    Contradictory,
    /// A report of another incarnation, or with another service once the accepted one is not repeated
    /// any more. The incarnation has to answer before the report takes effect.
    Unconfirmed,
}

impl ReceivedReport {
    fn relation_to(&self, accepted: Option<&Self>) -> ReportRelation {
        let Some(accepted) = accepted else { return ReportRelation::Unconfirmed };
        let (report, known) = (&self.report, &accepted.report);
        let is_same = report.spec.is_same_incarnation(&known.spec);
        // Of two services of one incarnation, one is from another writer, whatever its sequence number.
        if is_same && report.spec.service != known.spec.service {
            let is_recent = self.received_ms < accepted.received_ms + REPORT_TIMEOUT_MS;
            return if is_recent {
                ReportRelation::Contradictory
            } else {
                ReportRelation::Unconfirmed
            };
        }
        let is_later =
            (report.spec.started_ms, report.sequence) > (known.spec.started_ms, known.sequence);
        if !is_later {
            ReportRelation::Outdated
        } else if is_same {
            ReportRelation::Update
        } else {
            ReportRelation::Unconfirmed
        }
    }
}

/// An incarnation of the worker that has announced its shutdown.
#[derive(Clone, Debug)]
pub(crate) struct LeftWorker {
    name: SmolStr,
    /// Start of the incarnation; 0 if unknown.
    started_ms: u64,
    /// Time of the announcement, on the boot-time clock.
    left_ms: u64,
}

impl LeftWorker {
    /// Whether a report with this spec is a delayed one from this incarnation.
    fn is_delayed_report(&self, spec: &WorkerSpec, now_ms: u64) -> bool {
        let is_same = spec.name == self.name && spec.started_ms == self.started_ms;
        is_same && now_ms < self.left_ms + LEFT_WORKER_TTL_MS
    }
}

/// What a call to a reported incarnation has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// It runs on this instance.
    Running,
    /// Another incarnation runs on this instance.
    Replaced,
    /// It did not answer.
    Unknown,
}

impl AgentCore {
    /// Records a report. A later report of the accepted incarnation takes effect at once, that of
    /// another one as soon as it has answered. Drops outdated reports, and delayed ones of an
    /// incarnation that has announced its shutdown.
    pub fn record_report(&self, report: WorkerReport) {
        let received = ReceivedReport { report, received_ms: self.replica.clock.now_ms() };
        if self.is_delayed(&received) {
            return;
        }
        let mut relation = ReportRelation::Outdated;
        self.latest_report.send_if_modified(|accepted| {
            relation = received.relation_to(accepted.as_ref());
            let updated = accepted.as_mut().filter(|_| relation == ReportRelation::Update);
            let Some(known) = updated else { return false };
            let is_changed = known.report.spec != received.report.spec
                || known.report.drain_remaining_ms.is_some()
                    != received.report.drain_remaining_ms.is_some();
            *known = received.clone();
            is_changed
        });
        match relation {
            ReportRelation::Update | ReportRelation::Outdated => {}
            ReportRelation::Contradictory => log_ignored(&received.report, "another service"),
            ReportRelation::Unconfirmed => {
                self.unconfirmed_report.send_replace(Some(received));
            }
        }
    }

    /// Accepts reports of further incarnations once these have answered.
    pub(crate) async fn confirm_reports(&self) {
        let mut unconfirmed = self.unconfirmed_report.subscribe();
        loop {
            let Some(received) = unconfirmed.borrow_and_update().clone() else {
                // Fails only after this agent, which has the sender, is gone.
                let _ = unconfirmed.changed().await;
                continue;
            };
            let presence = self.presence_of(&received.report.spec).await;
            let age_ms = self.replica.clock.now_ms().saturating_sub(received.received_ms);
            if presence == Presence::Unknown && age_ms < REPORT_TIMEOUT_MS {
                tokio::select! {
                    _ = unconfirmed.changed() => {}
                    () = tokio::time::sleep(WRITE_RETRY_DELAY) => {}
                }
                continue;
            }
            self.settle_report(received, presence);
        }
    }

    /// Accepts or drops a report that waits for confirmation.
    fn settle_report(&self, received: ReceivedReport, presence: Presence) {
        self.unconfirmed_report.send_if_modified(|unconfirmed| {
            unconfirmed.take_if(|unconfirmed| *unconfirmed == received);
            false
        });
        match presence {
            Presence::Running => {}
            Presence::Replaced => return log_ignored(&received.report, "another worker runs here"),
            Presence::Unknown => return log_ignored(&received.report, "no answer"),
        }
        if self.is_delayed(&received) {
            return;
        }
        let mut relation = ReportRelation::Outdated;
        self.latest_report.send_if_modified(|accepted| {
            relation = received.relation_to(accepted.as_ref());
            let is_due = matches!(relation, ReportRelation::Update | ReportRelation::Unconfirmed);
            if is_due {
                *accepted = Some(received.clone());
            }
            is_due
        });
        match relation {
            ReportRelation::Update | ReportRelation::Outdated => {}
            ReportRelation::Contradictory => log_ignored(&received.report, "another service"),
            ReportRelation::Unconfirmed => {
                let WorkerSpec { name, started_ms, service, .. } = &received.report.spec;
                log::info!(worker = name.as_str(), born_ms = *started_ms, service = service.as_str(); "accepted a worker");
            }
        }
    }

    /// Whether the reported incarnation runs on this instance. If the log knows it, it has answered
    /// before. Nothing is known of one while the log can't be read.
    pub(crate) async fn presence_of(&self, reported: &WorkerSpec) -> Presence {
        if !self.replica.is_fresh() {
            return Presence::Unknown;
        }
        let (fencing_token, has_known_namesake) = {
            let state = self.replica.state();
            let spec = registered_spec(&state, reported, self.replica.incarnation);
            let known = state.worker_on(&spec.instance).map(|(_, known)| known);
            let is_known = |known: &WorkerState| {
                known.spec.is_same_incarnation(&spec) && known.spec.service == spec.service
            };
            if known.is_some_and(is_known) {
                return Presence::Running;
            }
            // An earlier incarnation of the same name answers this token with its own start time.
            let own = known.filter(|known| known.agent == self.replica.incarnation);
            let is_namesake = known.is_some_and(|known| is_namesake(&known.spec, reported));
            (own.map_or(0, |own| own.fencing_token), is_namesake)
        };
        let order = RenewalOrder {
            worker: reported.name.clone(),
            deadline_ms: None,
            fencing_token,
            acked_through: 0,
            wait_ms: 0,
        };
        match self.port.renew(order).await {
            Ok(timed) if timed.answer.started_ms.is_none_or(|at| at == reported.started_ms) => {
                Presence::Running
            }
            // A worker of this name runs, under the orders of another agent, and does not say when it
            // started. An incarnation that no agent has ordered would have answered.
            Err(PortError::Fenced)
                if has_known_namesake || self.has_accepted_namesake(reported) =>
            {
                Presence::Replaced
            }
            Err(PortError::Fenced) => Presence::Running,
            Ok(_) | Err(PortError::OtherIncarnation) => Presence::Replaced,
            Err(_) => Presence::Unknown,
        }
    }

    /// Drops the accepted report if it is of an incarnation that turned out to be replaced.
    pub(crate) fn forget_replaced(&self, replaced: &WorkerSpec) {
        self.latest_report.send_if_modified(|accepted| {
            let is_replaced = |accepted: &mut ReceivedReport| {
                let spec = &accepted.report.spec;
                (&spec.name, spec.started_ms) == (&replaced.name, replaced.started_ms)
            };
            accepted.take_if(is_replaced).is_some()
        });
    }

    /// Whether this agent goes by another incarnation of the same name, which has reported recently.
    fn has_accepted_namesake(&self, reported: &WorkerSpec) -> bool {
        let accepted = self.latest_report.borrow();
        let now_ms = self.replica.clock.now_ms();
        accepted.as_ref().is_some_and(|accepted| {
            now_ms < accepted.received_ms + REPORT_TIMEOUT_MS
                && is_namesake(&accepted.report.spec, reported)
        })
    }

    fn is_delayed(&self, received: &ReceivedReport) -> bool {
        let left = self.left_worker();
        let left = left.as_ref();
        left.is_some_and(|left| left.is_delayed_report(&received.report.spec, received.received_ms))
    }

    /// Drops the report of this name that waits for confirmation, and returns the start time in it.
    pub(crate) fn drop_unconfirmed(&self, name: &str) -> Option<u64> {
        let mut dropped = None;
        self.unconfirmed_report.send_if_modified(|unconfirmed| {
            dropped = unconfirmed.take_if(|unconfirmed| unconfirmed.report.spec.name == name);
            false
        });
        dropped.map(|dropped| dropped.report.spec.started_ms)
    }

    /// Records an incarnation that shuts down. A repeated notice may arrive after its report was
    /// dropped; the known start time is then kept.
    pub(crate) fn record_left_worker(&self, name: &str, started_ms: Option<u64>) {
        let mut left = self.left_worker();
        let known_ms = left.as_ref().filter(|left| left.name == name).map(|left| left.started_ms);
        let started_ms = started_ms.or(known_ms).unwrap_or(0);
        let left_ms = self.replica.clock.now_ms();
        *left = Some(LeftWorker { name: name.into(), started_ms, left_ms });
    }
}

/// Whether both are incarnations of the same name, but not the same one.
fn is_namesake(known: &WorkerSpec, reported: &WorkerSpec) -> bool {
    known.name == reported.name && !known.is_same_incarnation(reported)
}

fn log_ignored(report: &WorkerReport, reason: &str) {
    let WorkerSpec { name, started_ms, service, .. } = &report.spec;
    log::warn!(worker = name.as_str(), born_ms = *started_ms, service = service.as_str(), reason; "ignored a report");
}
