//! Simulated fleet: entries with planners, and nodes with a worker and its agent, on one log.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use cuminbarrow_dispatch::agent_core::AgentCore;
use cuminbarrow_dispatch::agent_core::WorkerReport;
use cuminbarrow_dispatch::clock::BootClock;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_dispatch::planner_task::PlannerTask;
use cuminbarrow_dispatch::replica::Replica;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::ProcessRole;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_telemetry::log_settings::LogSettings;
use cuminbarrow_telemetry::log_setup;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::fake_log::DoorFault;
use crate::fake_log::FakeLog;
use crate::fake_log::LogDoor;
use crate::fake_worker::MAX_LEASE_MS;
use crate::fake_worker::PathFault;
use crate::fake_worker::TaskPlan;
use crate::fake_worker::WorkerDoor;
use crate::fake_worker::WorkerPlace;
use crate::observer::KnownWork;
use crate::observer::Observer;

/// Interval between a worker's reports to its agent.
const REPORT_EVERY: Duration = Duration::from_millis(1_500);
/// Address of entries. It is unreachable, so that connections fail immediately instead of waiting
/// in real time.
const NO_ADDRESS: &str = "127.255.255.255:9";
/// Interval between checks for runs that have ended.
const LOOK: Duration = Duration::from_millis(20);
/// Maximum number of attempts to write a record.
const SUBMIT_TRIES: usize = 12;
/// Time in which every agent polls its worker at least once.
const SETTLE: Duration = Duration::from_secs(2);
const LEASE: LeaseTerms = LeaseTerms { duration_ms: MAX_LEASE_MS };

/// Boot clock in virtual time, shared by all processes.
struct VirtualClock(Instant);

impl BootClock for VirtualClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.0.elapsed().as_millis()).unwrap()
    }
}

/// Entry process with its planner.
pub(crate) struct FakeEntry {
    pub(crate) replica: Arc<Replica>,
    pub(crate) door: LogDoor,
    tasks: Vec<AbortHandle>,
    _shutdown: watch::Sender<bool>,
}

impl FakeEntry {
    pub(crate) fn kill(&self) {
        self.door.set_fault(DoorFault::Dead);
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Agent process.
struct FakeAgent {
    core: Arc<AgentCore>,
    door: LogDoor,
    path: watch::Sender<PathFault>,
    tasks: Vec<AbortHandle>,
}

/// Stage of a worker's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaveStage {
    #[default]
    Stays,
    Drains,
    /// It has announced its end, but may still run for a while.
    Left,
}

/// Instance with a worker and its agent.
pub(crate) struct FakeNode {
    pub(crate) place: Arc<WorkerPlace>,
    instance: SmolStr,
    agent: Arc<Mutex<Option<FakeAgent>>>,
    is_reporting: Arc<Mutex<bool>>,
    leaves: Arc<Mutex<LeaveStage>>,
    sequence: Arc<Mutex<u64>>,
    report_delay: Arc<Mutex<Duration>>,
    path_fault: Mutex<PathFault>,
    log_fault: Mutex<DoorFault>,
    births: Mutex<u64>,
}

/// All entries and nodes, with their log and the observer.
pub(crate) struct FakeFleet {
    pub(crate) entries: Vec<FakeEntry>,
    pub(crate) nodes: Vec<FakeNode>,
    log: Arc<FakeLog>,
    clock: Arc<dyn BootClock>,
    observer: Arc<Mutex<Observer>>,
    places: Arc<Mutex<Vec<Arc<WorkerPlace>>>>,
    jobs: u64,
}

impl FakeFleet {
    /// Starts a fleet and waits until its workers are registered and ready.
    pub(crate) async fn start(entries: usize, nodes: usize) -> Self {
        if std::env::var_os("CUMINBARROW_TEST_LOG").is_some() {
            // Fails if another test of this process has already set up logging.
            let _ = log_setup::set_up(LogSettings::default());
        }
        let mut fleet = Self {
            entries: Vec::new(),
            nodes: Vec::new(),
            log: Arc::default(),
            clock: Arc::new(VirtualClock(Instant::now())),
            observer: Arc::default(),
            places: Arc::default(),
            jobs: 0,
        };
        tokio::spawn(watch_ends(Arc::downgrade(&fleet.places)));
        (0..entries).for_each(|_| fleet.add_entry());
        (0..nodes).for_each(|_| fleet.add_node());
        fleet
            .wait_for("workers that are ready", |fleet| {
                let state = fleet.entries[0].replica.state();
                state.workers.len() == nodes && state.planner.instance.is_some()
            })
            .await;
        tokio::time::sleep(SETTLE).await;
        fleet
    }

    fn replica(&self, role: ProcessRole, instance: &str) -> (Arc<Replica>, LogDoor) {
        let door = LogDoor::new(Arc::clone(&self.log));
        let place = ProcessLocation {
            role,
            instance: instance.into(),
            region: "region".into(),
            data_centre: "dc".into(),
        };
        let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
        let direct = Arc::new(DirectPath::new(Arc::new(door.clone())));
        let clock = Arc::clone(&self.clock);
        let peers = Arc::new(PeerList::default());
        (Replica::new(direct, clock, place, peers, &dialer), door)
    }

    /// Adds an entry, whose planner competes for the planner role.
    pub(crate) fn add_entry(&mut self) {
        let entry = self.new_entry(self.entries.len());
        self.entries.push(entry);
    }

    /// Kills an entry and starts a new one on the same instance.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        self.entries[index].kill();
        self.entries[index] = self.new_entry(index);
    }

    fn new_entry(&self, index: usize) -> FakeEntry {
        let instance = SmolStr::from(format!("entry-{index}"));
        let (replica, door) = self.replica(ProcessRole::Entry, &instance);
        let planner = PlannerTask {
            replica: Arc::clone(&replica),
            configuration: watch::Sender::new(None).subscribe(),
            membership: Arc::new(door.clone()),
            lease: LEASE,
            advice: None,
        };
        let (shutdown, receiver) = watch::channel(false);
        let tasks = vec![
            tokio::spawn(Arc::clone(&replica).run()).abort_handle(),
            tokio::spawn(planner.run(receiver)).abort_handle(),
            tokio::spawn(announce(Arc::clone(&replica), door.clone(), instance)).abort_handle(),
        ];
        FakeEntry { replica, door, tasks, _shutdown: shutdown }
    }

    fn add_node(&mut self) {
        let index = self.nodes.len();
        let room = ResourceAmounts { cpu_millis: 8_000, memory_mb: 8_000, accelerators: 8 };
        let observer = Arc::clone(&self.observer);
        let place = WorkerPlace::new(index, room, observer, Arc::clone(&self.places));
        self.places.lock().unwrap().push(Arc::clone(&place));
        let node = FakeNode {
            place,
            instance: format!("side-{index}").into(),
            agent: Arc::default(),
            is_reporting: Arc::new(Mutex::new(true)),
            leaves: Arc::default(),
            sequence: Arc::default(),
            report_delay: Arc::default(),
            path_fault: Mutex::default(),
            log_fault: Mutex::default(),
            births: Mutex::new(0),
        };
        node.boot();
        tokio::spawn(node.reports());
        self.nodes.push(node);
        self.start_agent(index);
    }

    /// Kills the agent of a node and starts a new one.
    pub(crate) fn start_agent(&self, index: usize) {
        let node = &self.nodes[index];
        node.kill_agent();
        let (replica, door) = self.replica(ProcessRole::Agent, &node.instance);
        door.set_fault(*node.log_fault.lock().unwrap());
        let path = watch::Sender::new(*node.path_fault.lock().unwrap());
        let port = WorkerDoor::new(Arc::clone(&node.place), path.clone(), door.gate.clone());
        let membership = Arc::new(door.clone());
        let core = AgentCore::new(Arc::clone(&replica), Arc::new(port), membership, LEASE);
        let tasks = vec![
            tokio::spawn(replica.run()).abort_handle(),
            tokio::spawn(Arc::clone(&core).run()).abort_handle(),
        ];
        *node.agent.lock().unwrap() = Some(FakeAgent { core, door, path, tasks });
    }

    /// Submits a job of one step and returns its number.
    pub(crate) async fn submit(&mut self, step: StepSpec, lasts: Duration) -> u64 {
        self.submit_ending(step, lasts, EndKind::Done).await
    }

    /// Submits a job of one step whose tasks end with `ends_as`, and returns its number.
    pub(crate) async fn submit_ending(
        &mut self,
        step: StepSpec,
        lasts: Duration,
        ends_as: EndKind,
    ) -> u64 {
        let (job, record) = self.new_job(step, lasts, ends_as);
        let living = self.entries.iter().find(|entry| !entry.is_dead());
        let _ = living.unwrap().replica.write(record).await;
        job
    }

    /// Writes a record in the background, with retries on all live entries.
    pub(crate) fn write_soon(&self, record: GraphRecord) {
        let living = self.entries.iter().filter(|entry| !entry.is_dead());
        let replicas: Vec<_> = living.map(|entry| Arc::clone(&entry.replica)).collect();
        tokio::spawn(async move {
            for replica in replicas.iter().cycle().take(SUBMIT_TRIES) {
                if let Ok(_answer) = replica.write(record.clone()).await {
                    return;
                }
            }
        });
    }

    /// Creates a job of one step, and registers it with all hosts and the observer. Returns its
    /// number and the record that submits it.
    pub(crate) fn new_job(
        &mut self,
        step: StepSpec,
        lasts: Duration,
        ends_as: EndKind,
    ) -> (u64, GraphRecord) {
        self.jobs += 1;
        let job = self.jobs;
        let known = KnownWork { is_gang: step.gang, room: step.resources };
        self.observer.lock().unwrap().work.insert(job, known);
        let members = if step.gang { step.count } else { 0 };
        let plan = TaskPlan { lasts, ends_as, members };
        self.nodes.iter().for_each(|node| node.place.know_job(job, plan));
        let terms = JobTerms {
            queue: "queue".into(),
            service: "service".into(),
            team: "team".into(),
            priority: 1,
            max_attempts: 3,
            stretch_permille: 3_000,
            target_latency_ms: 1_000,
            is_advised: false,
        };
        let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
        (job, GraphRecord::JobAccepted { job: JobId(job), spec, terms })
    }

    /// Waits until a condition holds, at most one minute.
    pub(crate) async fn wait_for<F>(&self, what: &str, mut is_so: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let until = Instant::now() + Duration::from_secs(60);
        while !is_so(self) {
            assert!(Instant::now() < until, "timed out waiting for {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Index of a node on which a task of the job runs.
    pub(crate) fn place_of(&self, job: u64) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.place.running().iter().any(|run| run.task.step.job == JobId(job)))
    }

    /// Number of starts of a job's tasks that were carried out.
    pub(crate) fn runs_begun(&self, job: u64) -> usize {
        self.observer.lock().unwrap().starts_of(job)
    }

    /// Invariants violated so far.
    pub(crate) fn faults(&self) -> Vec<String> {
        self.observer.lock().unwrap().faults.clone()
    }

    /// Events so far.
    pub(crate) fn history(&self) -> Vec<String> {
        self.observer.lock().unwrap().history.clone()
    }

    pub(crate) fn note(&self, what: &str) {
        self.observer.lock().unwrap().note(what);
    }

    pub(crate) fn lapse_members(&self) {
        self.log.lapse_members();
    }
}

impl FakeEntry {
    pub(crate) fn is_dead(&self) -> bool {
        self.tasks.iter().all(AbortHandle::is_finished)
    }
}

impl Drop for FakeFleet {
    fn drop(&mut self) {
        self.entries.iter().for_each(FakeEntry::kill);
        self.nodes.iter().for_each(FakeNode::kill_agent);
    }
}

impl FakeNode {
    /// Boots the worker under its usual name.
    pub(crate) fn boot(&self) {
        let mut births = self.births.lock().unwrap();
        *births += 1;
        *self.leaves.lock().unwrap() = LeaveStage::Stays;
        *self.sequence.lock().unwrap() = 0;
        self.place.boot(&format!("i-{}", self.instance), 1_000 * *births);
    }

    /// Boots the worker under a new name.
    pub(crate) fn boot_renamed(&self) {
        let mut births = self.births.lock().unwrap();
        *births += 1;
        *self.leaves.lock().unwrap() = LeaveStage::Stays;
        *self.sequence.lock().unwrap() = 0;
        self.place.boot(&format!("i-{}-{births}", self.instance), 1_000 * *births);
    }

    /// Sets the delay of the worker's reports to the agent.
    pub(crate) fn delay_reports(&self, delay: Duration) {
        *self.report_delay.lock().unwrap() = delay;
    }

    pub(crate) fn set_suspended(&self, is_suspended: bool) {
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.door.gate.set_suspended(is_suspended);
        }
    }

    pub(crate) fn instance(&self) -> &str {
        &self.instance
    }

    pub(crate) fn has_agent(&self) -> bool {
        self.agent.lock().unwrap().is_some()
    }

    /// Sets whether the worker's reports reach the agent.
    pub(crate) fn set_reporting(&self, is_reporting: bool) {
        *self.is_reporting.lock().unwrap() = is_reporting;
    }

    /// Makes the worker report that it drains.
    pub(crate) fn drain(&self) {
        *self.leaves.lock().unwrap() = LeaveStage::Drains;
    }

    /// Announces to the agent that the worker of the given name ends.
    pub(crate) async fn say_left_as(&self, name: &str) {
        let core = self.agent.lock().unwrap().as_ref().map(|agent| Arc::clone(&agent.core));
        if let Some(core) = core {
            core.handle_leave(name).await;
        }
    }

    /// The worker announces its end to the agent; the future completes when the agent has answered.
    pub(crate) fn say_left(&self) -> impl Future<Output = ()> + Send + use<> {
        let core = self.agent.lock().unwrap().as_ref().map(|agent| Arc::clone(&agent.core));
        let identity = self.place.identity();
        *self.leaves.lock().unwrap() = LeaveStage::Left;
        async move {
            if let (Some(core), Some((name, _))) = (core, identity) {
                core.handle_leave(&name).await;
            }
        }
    }

    pub(crate) fn set_path(&self, fault: PathFault) {
        *self.path_fault.lock().unwrap() = fault;
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.path.send_replace(fault);
        }
    }

    pub(crate) fn set_log(&self, fault: DoorFault) {
        *self.log_fault.lock().unwrap() = fault;
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.door.set_fault(fault);
        }
    }

    pub(crate) fn kill_agent(&self) {
        if let Some(agent) = self.agent.lock().unwrap().take() {
            agent.door.set_fault(DoorFault::Dead);
            agent.path.send_replace(PathFault::Dead);
            agent.tasks.iter().for_each(AbortHandle::abort);
        }
    }

    /// Sends the worker's periodic reports to the agent.
    fn reports(&self) -> impl Future<Output = ()> + Send + use<> {
        let agent = Arc::clone(&self.agent);
        let place = Arc::clone(&self.place);
        let instance = self.instance.clone();
        let is_reporting = Arc::clone(&self.is_reporting);
        let leaves = Arc::clone(&self.leaves);
        let sequence = Arc::clone(&self.sequence);
        let report_delay = Arc::clone(&self.report_delay);
        async move {
            loop {
                let stage = *leaves.lock().unwrap();
                let is_reporting = *is_reporting.lock().unwrap() && stage != LeaveStage::Left;
                if let Some((name, started_ms)) = place.identity().filter(|_| is_reporting) {
                    let sequence = {
                        let mut sequence = sequence.lock().unwrap();
                        *sequence += 1;
                        *sequence
                    };
                    let spec = WorkerSpec {
                        name,
                        started_ms,
                        instance: instance.clone(),
                        service: "service".into(),
                        data_centre: "dc".into(),
                        rack: "rack".into(),
                        labels: vec!["kind".into(), "rack".into()],
                        resources: place.room(),
                    };
                    let drain_remaining_ms = (stage == LeaveStage::Drains).then_some(5_500);
                    let report = WorkerReport { spec, drain_remaining_ms, sequence };
                    let delay = *report_delay.lock().unwrap();
                    tokio::spawn(bring(Arc::clone(&agent), report, delay));
                }
                tokio::time::sleep(REPORT_EVERY).await;
            }
        }
    }
}

/// Delivers a report, after a delay, to the agent that runs then.
async fn bring(agent: Arc<Mutex<Option<FakeAgent>>>, report: WorkerReport, delay: Duration) {
    tokio::time::sleep(delay).await;
    if let Some(agent) = &*agent.lock().unwrap()
        && !agent.door.gate.is_suspended()
    {
        agent.core.record_report(report);
    }
}

/// Ends runs on time even when no call arrives.
async fn watch_ends(places: Weak<Mutex<Vec<Arc<WorkerPlace>>>>) {
    while let Some(places) = places.upgrade() {
        let first = places.lock().unwrap().first().cloned();
        if let Some(place) = first {
            place.advance();
        }
        drop(places);
        tokio::time::sleep(LOOK).await;
    }
}

/// Registers an entry in the log and keeps renewing its membership.
async fn announce(replica: Arc<Replica>, door: LogDoor, instance: SmolStr) {
    use cuminbarrow_dispatch::membership::Membership;
    let incarnation = replica.incarnation;
    loop {
        let is_known = replica.state().processes.contains_key(&incarnation);
        if !is_known && replica.is_fresh() {
            let record = GraphRecord::ProcessUp {
                incarnation,
                role: ProcessRole::Entry,
                instance: instance.clone(),
                region: "region".into(),
                data_centre: "dc".into(),
                address: NO_ADDRESS.parse().unwrap(),
            };
            let _ = replica.write(record).await;
        }
        let _ = door.join(incarnation).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
    }
}

/// Step of independent tasks with the given number of accelerators each.
pub(crate) fn tasks(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        count,
        resources: ResourceAmounts { cpu_millis: 1_000, memory_mb: 500, accelerators },
        estimate_ms: 4_000,
        ..StepSpec::default()
    }
}

/// The same step as a gang.
pub(crate) fn gang(count: u32, accelerators: u32) -> StepSpec {
    StepSpec { gang: true, ..tasks(count, accelerators) }
}
