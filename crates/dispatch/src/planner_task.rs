//! The planner: claims the role, plans after each change, and watches workers.
//!
//! The role is for quality only. Every placement is checked when it is applied, so that two entries
//! that both take themselves for the planner waste time and harm nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminbarrow_ledger::state::PlannerState;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::plan_round::PlannerInput;
use cuminbarrow_taskgraph::plan_round::UnplacedStep;
use cuminbarrow_taskgraph::plan_round::plan_round;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::step_queue::next_due_ms;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::advice_port::AdvicePort;
use crate::advice_requester::AdviceRequester;
use crate::configuration::Configuration;
use crate::membership::Membership;
use crate::replica::Replica;
use crate::worker_watch::WorkerWatch;

/// Time without a batch that shows a living planner after which another entry claims the role.
const TAKEOVER: Duration = Duration::from_millis(1_700);
/// Time after which the planner shows that it lives when it had nothing else to write. Three fit
/// into the time of a takeover.
const RENEWAL: Duration = Duration::from_millis(500);
/// Least time between rounds; what comes close together is planned at once.
const PACE: Duration = Duration::from_millis(20);
/// Longest time between rounds while jobs wait.
const WAITING_ROUND: Duration = Duration::from_millis(250);
/// Longest time between looks at the role.
const IDLE_LOOK: Duration = Duration::from_millis(250);
/// Time between looks at the list of live agents.
const MEMBER_LOOK: Duration = Duration::from_millis(500);
/// Time for which the log must have answered before missing agents count as missing: the list runs
/// out while the platform is away, and agents come back to it within a second or two.
const TRUST: Duration = Duration::from_millis(4_000);

/// What the planner needs.
pub struct PlannerTask {
    /// The log.
    pub replica: Arc<Replica>,
    /// Configuration, as of the newest version seen.
    pub configuration: watch::Receiver<Option<Arc<Configuration>>>,
    /// Live agents.
    pub membership: Arc<dyn Membership>,
    /// How long leases last.
    pub lease: LeaseTerms,
    /// The service that advises queues, where there is one.
    pub advice: Option<Arc<dyn AdvicePort>>,
}

impl PlannerTask {
    /// Plans whenever this process holds the role, until `shutdown` turns true.
    pub async fn run(self, mut shutdown: watch::Receiver<bool>) {
        let advice = AdviceRequester::new(self.advice.clone(), Arc::clone(&self.replica));
        let mut planner = Planner {
            advice,
            watch: WorkerWatch::default(),
            heard: Instant::now(),
            heard_offset: 0,
            trusted_since: None,
            looked: Instant::now(),
            written: Instant::now(),
            waits: BTreeMap::new(),
            has_waiting: false,
            task: self,
        };
        let mut applied = planner.task.replica.applied();
        while !*shutdown.borrow() {
            planner.look().await;
            let longest = planner.longest_wait();
            tokio::select! {
                _ = shutdown.changed() => {}
                _ = applied.changed() => tokio::time::sleep(PACE).await,
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
    watch: WorkerWatch,
    /// When a batch was last seen.
    heard: Instant,
    heard_offset: u64,
    trusted_since: Option<Instant>,
    looked: Instant,
    written: Instant,
    waits: BTreeMap<JobId, &'static str>,
    has_waiting: bool,
}

impl Planner {
    async fn look(&mut self) {
        self.note_batches();
        let planner = self.task.replica.state().planner;
        if !self.task.replica.is_fresh() {
            self.trusted_since = None;
            self.watch.forget_missing();
            self.heard = Instant::now();
            return;
        }
        self.trusted_since.get_or_insert_with(Instant::now);
        if planner.instance == Some(self.task.replica.incarnation) {
            self.plan(planner.epoch).await;
            self.watch_workers().await;
            self.renew(planner.epoch).await;
        } else {
            self.has_waiting = false;
            if self.is_vacant(planner) {
                self.claim(planner.epoch + 1).await;
            }
        }
    }

    /// Whether the role is open: given up, held by a process that has a successor or was taken for
    /// gone, or by one that is silent. Only an announced entry may take it.
    fn is_vacant(&self, planner: PlannerState) -> bool {
        let state = self.task.replica.state();
        let is_known = |incarnation: u64| state.processes.contains_key(&incarnation);
        if !is_known(self.task.replica.incarnation) {
            return false;
        }
        let is_held = planner.instance.is_some_and(is_known);
        !is_held || self.heard.elapsed() >= TAKEOVER
    }

    /// Any batch postpones a takeover only if the planner wrote it; renewals are frequent enough
    /// for the others not to matter.
    fn note_batches(&mut self) {
        let offset = self.task.replica.state().planner_last_offset;
        if offset != self.heard_offset {
            self.heard_offset = offset;
            self.heard = Instant::now();
        }
    }

    async fn claim(&mut self, epoch: u64) {
        let instance = self.task.replica.incarnation;
        let record = GraphRecord::PlannerClaimed { epoch, instance };
        match self.task.replica.write(record).await {
            Err(error) => log::warn!(epoch; "the planner role was not claimed: {error}"),
            Ok(Err(refusal)) => log::info!(epoch; "another entry plans: {refusal}"),
            Ok(Ok(_)) => {
                log::info!(epoch; "this entry plans");
                self.watch = WorkerWatch::default();
            }
        }
        self.heard = Instant::now();
        self.written = Instant::now();
    }

    /// Time until the next look, unless something is applied before.
    fn longest_wait(&self) -> Duration {
        let longest = if self.has_waiting { WAITING_ROUND } else { IDLE_LOOK };
        let now_ms = wall_ms();
        let due_ms = next_due_ms(&self.task.replica.state(), now_ms);
        let until_due = due_ms.map(|due_ms| Duration::from_millis(due_ms - now_ms));
        until_due.map_or(longest, |until_due| longest.min(until_due))
    }

    async fn plan(&mut self, epoch: u64) {
        let guarantees = self.task.configuration.borrow().as_ref().map(|known| known.guarantees());
        let view = PlannerInput { now_ms: wall_ms(), guarantees: guarantees.unwrap_or_default() };
        let plan = plan_round(&self.task.replica.state(), &view);
        self.note_waits(&plan.unplaced);
        self.advice.request(epoch, plan.advice_requests);
        if !plan.records.is_empty() {
            plan.records.iter().for_each(log_decision);
            self.write(plan.records).await;
        }
    }

    async fn watch_workers(&mut self) {
        if self.looked.elapsed() < MEMBER_LOOK {
            return;
        }
        self.looked = Instant::now();
        if self.trusted_since.is_none_or(|since| since.elapsed() < TRUST) {
            self.watch.forget_missing();
            return;
        }
        match self.task.membership.members().await {
            Err(error) => {
                log::warn!("{error}");
                self.watch.forget_missing();
            }
            Ok(members) => {
                let records = self.missing(&members);
                if !records.is_empty() {
                    records.iter().for_each(log_decision);
                    self.write(records).await;
                }
            }
        }
    }

    fn missing(&mut self, members: &BTreeSet<u64>) -> Vec<GraphRecord> {
        // The state first: a suspicion counts as seen from when it was looked at, or later.
        let state = self.task.replica.state();
        let now_ms = self.task.replica.clock.now_ms();
        self.watch.look(&state, members, self.task.lease, now_ms)
    }

    async fn renew(&mut self, epoch: u64) {
        if self.written.elapsed() >= RENEWAL {
            self.write(vec![GraphRecord::PlannerRenewed { epoch }]).await;
        }
    }

    async fn write(&mut self, records: Vec<GraphRecord>) {
        for result in self.task.replica.write_all(records).await {
            match result {
                Err(error) => log::warn!("a decision was not applied: {error}"),
                Ok(Err(refusal)) => log::info!("a decision was refused: {refusal}"),
                Ok(Ok(_)) => self.written = Instant::now(),
            }
        }
    }

    /// One line for each job that begins to wait, or waits for another reason.
    fn note_waits(&mut self, waits: &[UnplacedStep]) {
        self.has_waiting = !waits.is_empty();
        let now: BTreeMap<JobId, &'static str> =
            waits.iter().map(|note| (note.job, note.reason)).collect();
        for (job, reason) in &now {
            if self.waits.get(job) != Some(reason) {
                log::info!(job:% = job, reason = *reason; "job waits");
            }
        }
        self.waits = now;
    }

    async fn release(&mut self) {
        let planner = self.task.replica.state().planner;
        if planner.instance == Some(self.task.replica.incarnation) {
            self.write(vec![GraphRecord::PlannerReleased { epoch: planner.epoch }]).await;
            log::info!(epoch = planner.epoch; "released the planner role");
        }
    }
}

fn log_decision(record: &GraphRecord) {
    match record {
        GraphRecord::RunsPlaced { epoch, step, tasks } => {
            let places: Vec<String> = tasks
                .iter()
                .map(|task| format!("{}#{}@{}", task.index, task.run, task.worker))
                .collect();
            log::info!(epoch = *epoch, step:% = step, tasks = places.join(","); "placed");
        }
        GraphRecord::RunsStopped { epoch, cause, runs } => {
            let runs: Vec<String> = runs.iter().map(ToString::to_string).collect();
            log::info!(epoch = *epoch, cause:? = cause, runs = runs.join(","); "stopping");
        }
        GraphRecord::WorkerSuspected { epoch, worker, agent } => {
            log::warn!(epoch = *epoch, worker:% = worker, agent = *agent; "agent is not heard from");
        }
        GraphRecord::WorkerRemoved { worker, cause, suspicion_offset } => {
            log::warn!(worker:% = worker, cause:? = cause, suspicion = *suspicion_offset; "worker is gone");
        }
        _ => {}
    }
}
