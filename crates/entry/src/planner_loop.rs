//! The planner: claims and renews the planner role, runs a planning round after each change of the
//! state, writes snapshots, and detects lost entries and workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::log_writer::AppliedRecord;
use cuminbarrow_ledger::log_writer::WriteError;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::snapshot;
use cuminbarrow_ledger::state::State as LedgerState;
use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_policy::first_fit::FirstFit;
use cuminbarrow_policy::guaranteed::Guaranteed;
use cuminbarrow_policy::placement_policy::Decision;
use cuminbarrow_policy::placement_policy::PlacementPolicy;
use cuminbarrow_policy::placement_policy::WaitingJob;
use cuminbarrow_policy::policy_weights::PolicyWeights;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use smol_str::SmolStr;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;
use tokio::time::Instant;

use crate::entry_core::SharedCore;
use crate::entry_core::lock;
use crate::entry_metrics::EntryMetrics;
use crate::entry_settings::EntrySettings;
use crate::entry_settings::PolicyGoal;
use crate::entry_settings::PolicyName;
use crate::liveness_monitor::LivenessMonitor;
use crate::planner_role::PlannerRole;
use crate::planner_role::RoleAction;
use crate::planner_role::RoleActions;
use crate::planner_role::RoleEvent;

/// Maximum time between checks of the planner role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between planning rounds; a round also runs after each change of the state.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between liveness checks of entries and workers.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of skipped jobs listed in the log line of a placement.
const MAX_SKIPPED_JOBS: usize = 4;

/// Creates the policy selected in the settings.
pub(crate) fn create_policy(settings: &EntrySettings) -> Box<dyn PlacementPolicy> {
    let weights = match settings.goal {
        PolicyGoal::Completion => PolicyWeights::COMPLETION,
        PolicyGoal::Fragmentation => PolicyWeights::FRAGMENTATION,
    };
    match settings.policy {
        PolicyName::FirstFit => Box::new(FirstFit),
        PolicyName::Guaranteed => Box::new(Guaranteed::new(weights)),
    }
}

/// Runs the planner of an entry until the entry closes, then releases the role.
pub(crate) async fn run(core: SharedCore, store: Arc<dyn LogStore>) {
    let last_snapshot_offset = core.tail.state().offset;
    let mut planner = PlannerLoop {
        policy: create_policy(&core.settings),
        role: PlannerRole.uninitialized_state_machine().init_with_context(&mut Vec::new()).into(),
        last_planned: Instant::now(),
        last_planned_offset: 0,
        last_renewed: Instant::now(),
        last_snapshot_offset,
        liveness: LivenessMonitor::default(),
        core,
        store,
    };
    loop {
        let core = planner.core.clone();
        tokio::select! {
            () = core.closed() => break,
            () = core.batch_notify.notified() => {}
            () = tokio::time::sleep(ROLE_CHECK_INTERVAL) => {}
        }
        planner.check_role().await;
    }
    planner.release().await;
}

struct PlannerLoop {
    core: SharedCore,
    store: Arc<dyn LogStore>,
    policy: Box<dyn PlacementPolicy>,
    role: StateMachine<PlannerRole>,
    last_planned: Instant,
    last_planned_offset: u64,
    last_renewed: Instant,
    last_snapshot_offset: u64,
    liveness: LivenessMonitor,
}

impl PlannerLoop {
    /// Passes the state of the role to the state machine and performs the resulting actions.
    async fn check_role(&mut self) {
        let event = self.role_event();
        let mut actions = RoleActions::new();
        self.role.handle_with_context(&event, &mut actions);
        for action in actions {
            match action {
                RoleAction::Claim => self.claim().await,
                RoleAction::Plan => self.plan().await,
            }
        }
    }

    /// Determines who holds the planner role according to the log.
    fn role_event(&self) -> RoleEvent {
        let planner = self.core.tail.state().planner;
        if planner.instance == Some(self.core.instance) {
            return RoleEvent::HeldHere;
        }
        let timeout = Duration::from_millis(self.core.settings.planner_timeout_ms);
        let is_silent = lock(&self.core.planner_last_seen).elapsed() >= timeout;
        let is_vacant = planner.instance.is_none() || is_silent;
        if is_vacant && self.core.tail.is_current() {
            RoleEvent::Vacant
        } else {
            RoleEvent::HeldElsewhere
        }
    }

    async fn claim(&mut self) {
        let epoch = self.core.tail.state().planner.epoch + 1;
        let instance = self.core.instance;
        let result = self.core.write(Record::PlannerClaimed { epoch, instance }).await;
        match result {
            Err(error) => log::info!("claiming planner epoch {epoch} failed: {}", error.detail),
            Ok(_) => {
                log::info!("this entry holds the planner role in epoch {epoch}");
                self.policy = create_policy(&self.core.settings);
            }
        }
        self.last_renewed = Instant::now();
    }

    /// Performs the duties of the planner: a planning round if due, renewal of the role, liveness
    /// checks and snapshots.
    async fn plan(&mut self) {
        let offset = self.core.tail.state().offset;
        let is_changed = offset != self.last_planned_offset;
        if is_changed || self.last_planned.elapsed() >= ROUND_INTERVAL {
            self.last_planned = Instant::now();
            self.last_planned_offset = offset;
            self.plan_round().await;
        }
        self.renew().await;
        self.check_liveness().await;
        self.write_snapshot_if_due(offset).await;
    }

    /// Runs the policy on the current state and writes its decisions to the log.
    async fn plan_round(&mut self) {
        let started = std::time::Instant::now();
        let (epoch, decisions) = {
            let state = self.core.tail.state();
            let plan = self.policy.plan(&state, wall_ms());
            for decision in &plan.decisions {
                log_decision(&state, decision, &plan.waiting);
            }
            (state.planner.epoch, plan.decisions)
        };
        let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        EntryMetrics::add(&self.core.metrics.planning_us, elapsed_us);
        EntryMetrics::add(&self.core.metrics.rounds, 1);
        if decisions.is_empty() {
            return;
        }
        EntryMetrics::add(&self.core.metrics.decisions, decisions.len() as u64);
        let records = decisions.into_iter().map(|decision| decision.into_record(epoch)).collect();
        let results = self.core.writer.write_all(records, self.core.write_timeout()).await;
        log_refusals(&results);
        self.last_renewed = Instant::now();
    }

    /// Shows the other entries that the planner is alive: renews the role if the planner has written
    /// nothing for a third of its timeout.
    async fn renew(&mut self) {
        let interval = Duration::from_millis(self.core.settings.planner_timeout_ms) / 3;
        if self.last_renewed.elapsed() >= interval {
            self.last_renewed = Instant::now();
            let epoch = self.core.tail.state().planner.epoch;
            if let Err(error) = self.core.write(Record::PlannerRenewed { epoch }).await {
                log::info!("renewing the planner role in epoch {epoch} failed: {}", error.detail);
            }
        }
    }

    async fn write_snapshot_if_due(&mut self, offset: u64) {
        if !self.is_snapshot_due(offset) {
            return;
        }
        let state = self.core.tail.state().clone();
        match snapshot::write_snapshot(&*self.store, self.core.instance, &state).await {
            Err(error) => log::warn!("writing a snapshot at offset {offset} failed: {error}"),
            Ok(bytes) => {
                log::info!("wrote a snapshot of {bytes} bytes at offset {}", state.offset);
                self.last_snapshot_offset = state.offset;
            }
        }
    }

    /// Whether `snapshot_batches` batches followed the last snapshot, or the log has begun to
    /// expire records and the last snapshot is in the older half of the retained ones.
    fn is_snapshot_due(&self, offset: u64) -> bool {
        let oldest = self.core.tail.oldest_offset();
        let has_enough_batches =
            offset >= self.last_snapshot_offset + self.core.settings.snapshot_batches;
        let retained_middle = oldest + offset.saturating_sub(oldest) / 2;
        has_enough_batches || (oldest > 0 && self.last_snapshot_offset < retained_middle)
    }

    /// Writes records for lost entries and workers, at most once per check interval.
    async fn check_liveness(&mut self) {
        if self.liveness.last_checked.elapsed() < LIVENESS_CHECK_INTERVAL {
            return;
        }
        self.liveness.last_checked = Instant::now();
        for record in self.liveness.check(&self.core).await {
            if let Err(error) = self.core.write(record).await {
                log::debug!("the loss of an entry or worker was not applied: {}", error.detail);
            }
        }
    }

    /// Releases the role, so that another entry takes over without waiting for the timeout.
    async fn release(&mut self) {
        let planner = self.core.tail.state().planner;
        if planner.instance == Some(self.core.instance) {
            let record = Record::PlannerReleased { epoch: planner.epoch };
            if let Err(error) = self.core.write(record).await {
                log::warn!("releasing the planner role failed: {}", error.detail);
            }
        }
    }
}

/// Logs one line per decision.
fn log_decision(state: &LedgerState, decision: &Decision, waiting: &[WaitingJob]) {
    match decision {
        Decision::Place { attempt, members, reservation, reason } => {
            let reservation = reservation.map(|key| format!(" reservation={key}"));
            log::info!(
                "placement: job={} attempt={} members={} reason={reason:?}{} pending={} passed_over={}",
                attempt.job,
                attempt.attempt,
                describe_members(state, members),
                reservation.unwrap_or_default(),
                state.pending.len(),
                skipped_jobs(attempt.job, waiting),
            );
        }
        Decision::Preempt { job, reservation, victims } => {
            let victims: Vec<String> = victims.iter().map(ToString::to_string).collect();
            let reservation = reservation.map(|key| format!(" reservation={key}"));
            log::info!(
                "preemption: for job={job}{} victims={}",
                reservation.unwrap_or_default(),
                victims.join(",")
            );
        }
    }
}

/// Lists the older jobs that the round skipped, with the reasons.
fn skipped_jobs(placed: JobKey, waiting: &[WaitingJob]) -> String {
    let older: Vec<&WaitingJob> =
        waiting.iter().filter(|waiting_job| waiting_job.job < placed).collect();
    let shown = older.iter().take(MAX_SKIPPED_JOBS);
    let mut parts: Vec<String> =
        shown.map(|waiting_job| format!("{}:{:?}", waiting_job.job, waiting_job.reason)).collect();
    if older.len() > MAX_SKIPPED_JOBS {
        parts.push(format!("+{}", older.len() - MAX_SKIPPED_JOBS));
    }
    if parts.is_empty() { "none".to_owned() } else { parts.join(",") }
}

/// Lists the workers of the members, with the number of members on each.
fn describe_members(state: &LedgerState, members: &[Member]) -> String {
    let mut counts: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for member in members {
        let worker = state.worker(member.worker);
        let name = worker.map(|worker| worker.spec.name.clone()).unwrap_or_default();
        *counts.entry(name).or_default() += 1;
    }
    let parts: Vec<String> =
        counts.iter().map(|(name, count)| format!("{}:{count}", name.escape_debug())).collect();
    parts.join(",")
}

fn log_refusals(results: &[Result<AppliedRecord, WriteError>]) {
    for result in results {
        match result {
            Err(error) => log::warn!("a decision was not written: {error}"),
            Ok(AppliedRecord { result: Err(refusal), .. }) => {
                log::info!("a decision was refused: {refusal}");
            }
            Ok(AppliedRecord { result: Ok(_), .. }) => {}
        }
    }
}
