//! The planner: claims the planner role, plans after each change, and detects failed workers.
//!
//! The role only affects the quality of plans. Every placement is validated when it is applied, so
//! two entries that both consider themselves the planner waste time but do no harm.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::state::PlannerState;
use cuminbarrow_taskgraph::graph_state::ProcessState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::plan_round::AcceleratorUsage;
use cuminbarrow_taskgraph::plan_round::Plan;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::plan_round::UnplacedStep;
use cuminbarrow_taskgraph::plan_round::WaitInputs;
use cuminbarrow_taskgraph::plan_round::plan_round;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::ProcessRole;
use cuminbarrow_taskgraph::step_queue::next_due_ms;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::advice_port::AdvicePort;
use crate::advice_requester::AdviceRequester;
use crate::configuration::Configuration;
use crate::failure_detector::FailureDetector;
use crate::failure_detector::MemberList;
use crate::load_report::LoadCounters;
use crate::load_report::LoadReport;
use crate::membership::Membership;
use crate::membership::MembershipError;
use crate::planner_role::EntrySize;
use crate::planner_role::RoleDecision;
use crate::planner_role::RoleView;
use crate::replica::Replica;
use crate::speed_log::SpeedLog;

/// Time without a write after which the planner renews its role. Three intervals fit into the time after
/// which another entry claims the role.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time between two confirmed reads of a log that answers: a read through another entry waits
/// 600 ms.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum time between planning rounds, so that changes in quick succession are planned together.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between planning rounds while jobs wait.
const WAITING_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between checks of the planner role while no job waits.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between checks of the group of live processes.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the log must have answered before missing members are acted upon. Memberships expire
/// during an outage of the platform, and agents rejoin within a second or two after it.
const MEMBER_REJOIN_DELAY: Duration = Duration::from_millis(4_000);

/// The planner of an entry, with the services that it uses.
pub struct PlannerTask {
    /// Replica of the state, which also appends the planner's decisions.
    pub replica: Arc<Replica>,
    /// Latest known version of the configuration.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Group of live agents and entries.
    pub membership: Arc<dyn Membership>,
    /// Terms of the workers' leases.
    pub lease: LeaseTerms,
    /// Advice service; `None` if none is configured.
    pub advice: Option<Arc<dyn AdvicePort>>,
    /// Size of this entry.
    pub size: EntrySize,
    /// Decisions under load that are switched on.
    pub options: PlanningOptions,
    /// Counters of ended jobs and delayed steps.
    pub counters: Arc<LoadCounters>,
}

impl PlannerTask {
    /// Plans while this process holds the planner role, until `shutdown` becomes true.
    pub async fn run(self, mut shutdown: watch::Receiver<bool>) {
        let advice = AdviceRequester::new(self.advice.clone(), Arc::clone(&self.replica));
        let mut planner = Planner {
            advice,
            failure_detector: FailureDetector::default(),
            silence: Duration::ZERO,
            confirmed_ms: 0,
            planner_seen_offset: 0,
            free_since: None,
            path_broken_since: None,
            fresh_since: None,
            members_checked_at: Instant::now(),
            member_request: None,
            written_at: Instant::now(),
            wait_reasons: BTreeMap::new(),
            report: LoadReport::default(),
            speed_log: SpeedLog::default(),
            has_waiting_jobs: false,
            task: self,
        };
        let mut applied = planner.task.replica.applied();
        while !*shutdown.borrow() {
            planner.run_once().await;
            let longest = planner.max_wait();
            tokio::select! {
                _ = shutdown.changed() => {}
                _ = applied.changed() => tokio::time::sleep(MIN_ROUND_INTERVAL).await,
                () = tokio::time::sleep(longest) => {}
            }
            applied.mark_unchanged();
        }
        planner.release().await;
    }
}

struct Planner {
    task: PlannerTask,
    advice: AdviceRequester,
    failure_detector: FailureDetector,
    /// How long the planner has written nothing while the log was read.
    silence: Duration,
    /// Latest confirmed read, on the boot-time clock in ms.
    confirmed_ms: u64,
    planner_seen_offset: u64,
    /// Since when the planner role has been free.
    free_since: Option<Instant>,
    /// Since when this entry's own path to the log has been broken.
    path_broken_since: Option<Instant>,
    /// Since when this replica has been fresh without interruption.
    fresh_since: Option<Instant>,
    members_checked_at: Instant,
    /// Request for the list of live processes, while it is in flight. Planning does not wait for it.
    member_request: Option<JoinHandle<Result<MemberList, MembershipError>>>,
    written_at: Instant,
    /// Reasons of the waiting jobs, as logged last.
    wait_reasons: BTreeMap<JobId, &'static str>,
    report: LoadReport,
    speed_log: SpeedLog,
    has_waiting_jobs: bool,
}

impl Planner {
    async fn run_once(&mut self) {
        self.observe_planner();
        let planner = self.task.replica.state().planner;
        if !self.task.replica.is_fresh() {
            self.fresh_since = None;
            self.failure_detector.forget_missing();
            self.silence = Duration::ZERO;
            return;
        }
        self.fresh_since.get_or_insert_with(Instant::now);
        match self.role_view(planner).decide() {
            RoleDecision::Plan => {
                self.plan(planner.epoch).await;
                self.detect_failures().await;
                self.renew(planner.epoch).await;
            }
            RoleDecision::Release => {
                log::warn!(epoch = planner.epoch; "releasing the planner role: the log answers other entries only");
                self.release().await;
            }
            RoleDecision::Claim => self.claim(planner.epoch + 1).await,
            RoleDecision::Wait => {
                self.has_waiting_jobs = false;
                self.report = LoadReport::default();
            }
        }
    }

    /// What this entry knows of the planner role. Only an entry announced in the log may claim it.
    fn role_view(&mut self, planner: PlannerState) -> RoleView {
        let replica = &self.task.replica;
        let (is_announced, is_free, has_other_entries) = {
            let state = replica.state();
            let is_known = |incarnation: u64| state.processes.contains_key(&incarnation);
            let is_announced = is_known(replica.incarnation);
            let is_free = !planner.instance.is_some_and(is_known);
            let is_other_entry = |(incarnation, process): (&u64, &ProcessState)| {
                *incarnation != replica.incarnation && process.role == ProcessRole::Entry
            };
            (is_announced, is_free, state.processes.iter().any(is_other_entry))
        };
        let read_age = Duration::from_millis(replica.log.age_ms().unwrap_or(0));
        update_since(&mut self.free_since, is_free && is_announced);
        update_since(&mut self.path_broken_since, replica.is_log_path_broken());
        RoleView {
            is_own: planner.instance == Some(replica.incarnation),
            free_for: self.free_since.map(|since| since.elapsed()),
            silence: if is_announced { self.silence } else { Duration::ZERO },
            read_age,
            path_broken_for: self.path_broken_since.map(|since| since.elapsed()),
            has_other_entries,
            size: self.task.size,
        }
    }

    /// Measures the planner's silence. Batches of other processes do not end it; they need not, because
    /// renewals are frequent enough. Time in which the log was not read counts only in part: the planner
    /// could not write then either, and needs a moment afterwards.
    fn observe_planner(&mut self) {
        let offset = self.task.replica.state().planner_last_offset;
        let confirmed_ms = self.task.replica.log.latest().map_or(0, |read| read.at_ms);
        let read_ms = confirmed_ms.saturating_sub(self.confirmed_ms);
        self.confirmed_ms = confirmed_ms;
        self.silence += Duration::from_millis(read_ms).min(MAX_READ_INTERVAL);
        if offset != self.planner_seen_offset {
            self.planner_seen_offset = offset;
            self.silence = Duration::ZERO;
        }
    }

    async fn claim(&mut self, epoch: u64) {
        let instance = self.task.replica.incarnation;
        let record = GraphRecord::PlannerClaimed { epoch, instance };
        match self.task.replica.write(record).await {
            Err(error) => log::warn!(epoch; "failed to claim the planner role: {error}"),
            Ok(Err(refusal)) => log::info!(epoch; "the planner role is taken: {refusal}"),
            Ok(Ok(_)) => {
                log::info!(epoch; "this entry holds the planner role");
                self.failure_detector = FailureDetector::default();
                self.member_request = None;
            }
        }
        self.silence = Duration::ZERO;
        self.written_at = Instant::now();
    }

    /// Maximum time until the next round, which starts earlier if a batch is applied.
    fn max_wait(&self) -> Duration {
        let longest =
            if self.has_waiting_jobs { WAITING_ROUND_INTERVAL } else { IDLE_CHECK_INTERVAL };
        let now_ms = wall_ms();
        let due_ms = next_due_ms(&self.task.replica.state(), now_ms);
        let until_due = due_ms.map(|due_ms| Duration::from_millis(due_ms - now_ms));
        until_due.map_or(longest, |until_due| longest.min(until_due))
    }

    async fn plan(&mut self, epoch: u64) {
        let guarantees = self.task.configuration.borrow().as_ref().map(|known| known.guarantees());
        let input = PlannerInput {
            now_ms: wall_ms(),
            guarantees: guarantees.unwrap_or_default(),
            options: self.task.options,
        };
        let plan = {
            let state = self.task.replica.state();
            self.report.count_ended_jobs(&state, &self.task.counters);
            plan_round(&state, &input)
        };
        if self.task.options.speed_profiles {
            self.speed_log.check(&self.task.replica.state());
        }
        self.log_waiting_jobs(&plan);
        self.report.log_delayed_steps(&plan.delayed, &self.task.counters);
        self.advice.request(epoch, plan.advice_requests);
        if !plan.records.is_empty() {
            plan.records.iter().for_each(log_decision);
            self.write(plan.records).await;
        }
    }

    async fn detect_failures(&mut self) {
        if self.members_checked_at.elapsed() < MEMBER_CHECK_INTERVAL {
            return;
        }
        if self.fresh_since.is_none_or(|since| since.elapsed() < MEMBER_REJOIN_DELAY) {
            self.members_checked_at = Instant::now();
            self.failure_detector.forget_missing();
            self.member_request = None;
            return;
        }
        let Some(request) = self.member_request.take() else {
            let membership = Arc::clone(&self.task.membership);
            let requested_offset = self.task.replica.state().offset;
            self.member_request = Some(tokio::spawn(async move {
                let members = membership.members().await?;
                Ok(MemberList { members, requested_offset })
            }));
            return;
        };
        if !request.is_finished() {
            self.member_request = Some(request);
            return;
        }
        self.members_checked_at = Instant::now();
        match request.await {
            Err(error) => {
                log::error!("the request for the list of live processes ended: {error}");
                self.failure_detector.forget_missing();
            }
            Ok(Err(error)) => {
                log::warn!("{error}");
                self.failure_detector.forget_missing();
            }
            Ok(Ok(members)) => {
                let records = self.failure_records(&members);
                if !records.is_empty() {
                    records.iter().for_each(log_decision);
                    self.write(records).await;
                }
            }
        }
    }

    fn failure_records(&mut self, members: &MemberList) -> Vec<GraphRecord> {
        // The state is read before the clock, so that a suspicion counts from when it was read or later.
        let state = self.task.replica.state();
        let now_ms = self.task.replica.clock.now_ms();
        self.failure_detector.check(&state, members, self.task.lease, now_ms)
    }

    async fn renew(&mut self, epoch: u64) {
        if self.written_at.elapsed() >= RENEWAL_INTERVAL {
            self.write(vec![GraphRecord::PlannerRenewed { epoch }]).await;
        }
    }

    async fn write(&mut self, records: Vec<GraphRecord>) {
        for result in self.task.replica.write_all(records).await {
            match result {
                Err(error) => log::warn!("a decision was not applied: {error}"),
                Ok(Err(refusal)) => log::info!("a decision was refused: {refusal}"),
                Ok(Ok(_)) => self.written_at = Instant::now(),
            }
        }
    }

    /// Logs each job that starts to wait, or waits for another reason than before.
    fn log_waiting_jobs(&mut self, plan: &Plan) {
        self.has_waiting_jobs = !plan.unplaced.is_empty();
        let now: BTreeMap<JobId, &UnplacedStep> =
            plan.unplaced.iter().map(|step| (step.job, step)).collect();
        for step in now.values() {
            if self.wait_reasons.get(&step.job) != Some(&step.reason) {
                log_waiting_step(step, plan);
            }
        }
        self.wait_reasons = now.into_iter().map(|(job, step)| (job, step.reason)).collect();
    }

    async fn release(&mut self) {
        let planner = self.task.replica.state().planner;
        if planner.instance == Some(self.task.replica.incarnation) {
            self.write(vec![GraphRecord::PlannerReleased { epoch: planner.epoch }]).await;
            log::info!(epoch = planner.epoch; "released the planner role");
        }
    }
}

/// Keeps since when a condition holds.
fn update_since(since: &mut Option<Instant>, holds: bool) {
    if holds {
        since.get_or_insert_with(Instant::now);
    } else {
        *since = None;
    }
}

fn log_waiting_step(step: &UnplacedStep, plan: &Plan) {
    let WaitInputs { priority, timeliness, tasks, accelerators, reserved, service } = &step.inputs;
    let AcceleratorUsage { total, free } =
        plan.accelerators.get(service).copied().unwrap_or_default();
    log::info!(
        job:% = step.job, reason = step.reason, priority = *priority, timeliness:? = timeliness,
        tasks = *tasks, accelerators = *accelerators, reserved = *reserved, free, total;
        "job waits"
    );
}

fn log_decision(record: &GraphRecord) {
    match record {
        GraphRecord::RunsPlaced { epoch, step, tasks } => {
            let placements: Vec<String> = tasks
                .iter()
                .map(|task| format!("{}#{}@{}", task.index, task.run, task.worker))
                .collect();
            log::info!(epoch = *epoch, step:% = step, tasks = placements.join(","); "placed");
        }
        GraphRecord::RunsStopped { epoch, cause, runs } => {
            let runs: Vec<String> = runs.iter().map(ToString::to_string).collect();
            log::info!(epoch = *epoch, cause:? = cause, runs = runs.join(","); "stopping");
        }
        GraphRecord::WorkerSuspected { epoch, worker, agent } => {
            log::warn!(epoch = *epoch, worker:% = worker, agent = *agent; "agent sends no heartbeats; suspecting its worker");
        }
        GraphRecord::WorkerRemoved { worker, cause, suspicion_offset } => {
            log::warn!(worker:% = worker, cause:? = cause, suspicion = *suspicion_offset; "removing a lost worker");
        }
        _ => {}
    }
}
