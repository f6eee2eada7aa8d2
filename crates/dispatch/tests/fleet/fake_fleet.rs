//! Simulated fleet: entries with planners, and nodes with a worker and its agent, on one log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use cuminbarrow_dispatch::agent_core::AgentCore;
use cuminbarrow_dispatch::clock::BootClock;
use cuminbarrow_dispatch::configuration::Configuration;
use cuminbarrow_dispatch::configuration::Queue;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::evacuation_recorder;
use cuminbarrow_dispatch::evacuation_view::EvacuationView;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_dispatch::planner_role::EntrySize;
use cuminbarrow_dispatch::planner_task::PlannerTask;
use cuminbarrow_dispatch::queue_scope::QueueScope;
use cuminbarrow_dispatch::replica::Replica;
use cuminbarrow_dispatch::snapshot_writer;
use cuminbarrow_dispatch::worker_reports::WorkerReport;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_taskgraph::job_id::JobId;
use cuminbarrow_taskgraph::job_spec::JobSpec;
use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::job_terms::JobTerms;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use cuminbarrow_taskgraph::planning_options::PlanningOptions;
use cuminbarrow_taskgraph::record::EndKind;
use cuminbarrow_taskgraph::record::GraphRecord;
use cuminbarrow_taskgraph::record::ProcessRole;
use cuminbarrow_taskgraph::resource_amounts::ResourceAmounts;
use cuminbarrow_taskgraph::worker::WorkerSpec;
use cuminbarrow_taskgraph::worker::instance_at;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::fake_log::FakeLog;
use crate::fake_log::LogClient;
use crate::fake_log::LogFault;
use crate::fake_worker::MAX_LEASE_MS;
use crate::fake_worker::PortFault;
use crate::fake_worker::TaskBehaviour;
use crate::fake_worker::WorkerConnection;
use crate::fake_worker::WorkerHost;
use crate::observer::JobInfo;
use crate::observer::Observer;
use crate::test_log;

/// Start time of the first worker, late enough that clocks can be set back.
const FIRST_START_TIME_MS: u64 = 1_000_000;
/// Time between the starts of two workers, as far as their start times show.
const START_TIME_STEP_MS: u64 = 1_000;
/// Port of workers.
const WORKER_PORT: u16 = 8_080;
/// Interval between a worker's reports to its agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Address of entries. It is unreachable, so that connections fail immediately instead of waiting
/// in real time.
const UNREACHABLE_ADDRESS: &str = "127.255.255.255:9";
/// Interval between checks for runs that have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to write a record.
const MAX_WRITE_ATTEMPTS: usize = 12;
/// How much longer than the planner the other entries and the agents wait to write a snapshot.
const ENTRY_SNAPSHOT_DELAY: Duration = Duration::from_secs(1);
const AGENT_SNAPSHOT_DELAY: Duration = Duration::from_secs(4);
/// Time in which every agent polls its worker at least once.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of data centres.
pub(crate) const DATA_CENTRES: usize = 2;
const LEASE_TERMS: LeaseTerms = LeaseTerms { duration_ms: MAX_LEASE_MS };

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
    pub(crate) log_client: LogClient,
    tasks: Vec<AbortHandle>,
    _shutdown: watch::Sender<bool>,
}

impl FakeEntry {
    pub(crate) fn kill(&self) {
        self.log_client.set_fault(LogFault::Dead);
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Agent process.
struct FakeAgent {
    core: Arc<AgentCore>,
    log_client: LogClient,
    port_fault: watch::Sender<PortFault>,
    tasks: Vec<AbortHandle>,
}

/// Stage of a worker's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum DrainStage {
    #[default]
    Active,
    Draining,
    /// It has announced its end, but may still run for a while.
    Left,
}

/// Instance with a worker and its agent.
pub(crate) struct FakeNode {
    pub(crate) host: Arc<WorkerHost>,
    name: SmolStr,
    data_centre: SmolStr,
    /// Instance by which the present agent identifies the node.
    instance: Arc<Mutex<SmolStr>>,
    address: SocketAddr,
    agent: Arc<Mutex<Option<FakeAgent>>>,
    is_reporting: Arc<Mutex<bool>>,
    drain_stage: Arc<Mutex<DrainStage>>,
    sequence: Arc<Mutex<u64>>,
    report_delay: Arc<Mutex<Duration>>,
    port_fault: Mutex<PortFault>,
    log_fault: Mutex<LogFault>,
    /// Number of workers booted so far, on all nodes. It stands for their start times.
    boot_count: Arc<Mutex<u64>>,
    /// By how much the wall clock is set back.
    clock_back_ms: Mutex<u64>,
}

/// All entries and nodes, with their log and the observer.
pub(crate) struct FakeFleet {
    pub(crate) entries: Vec<FakeEntry>,
    pub(crate) nodes: Vec<FakeNode>,
    log: Arc<FakeLog>,
    clock: Arc<dyn BootClock>,
    observer: Arc<Mutex<Observer>>,
    hosts: Arc<Mutex<Vec<Arc<WorkerHost>>>>,
    behaviours: Vec<(u64, TaskBehaviour)>,
    /// What all entries have read of the operator's evacuation requests.
    evacuations: watch::Sender<EvacuationView>,
    boot_count: Arc<Mutex<u64>>,
    jobs: u64,
}

impl FakeFleet {
    /// Starts a fleet and waits until its workers are registered and ready.
    pub(crate) async fn start(entries: usize, nodes: usize) -> Self {
        test_log::set_up();
        let mut fleet = Self {
            entries: Vec::new(),
            nodes: Vec::new(),
            log: Arc::default(),
            clock: Arc::new(VirtualClock(Instant::now())),
            observer: Arc::default(),
            hosts: Arc::default(),
            behaviours: Vec::new(),
            evacuations: watch::Sender::default(),
            boot_count: Arc::default(),
            jobs: 0,
        };
        tokio::spawn(advance_hosts(Arc::downgrade(&fleet.hosts)));
        (0..entries).for_each(|_| fleet.add_entry());
        (0..nodes).for_each(|index| fleet.add_node(&format!("side-{index}")));
        fleet
            .wait_for("workers that are ready", |fleet| {
                let state = fleet.entries[0].replica.state();
                state.workers.len() == nodes && state.planner.instance.is_some()
            })
            .await;
        tokio::time::sleep(SETTLE_TIME).await;
        fleet
    }

    fn replica(&self, role: ProcessRole, instance: &str) -> (Arc<Replica>, LogClient) {
        let log_client = LogClient::new(Arc::clone(&self.log));
        let location = ProcessLocation {
            role,
            instance: instance.into(),
            region: "region".into(),
            data_centre: "dc".into(),
        };
        let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
        let direct = Arc::new(DirectPath::new(Arc::new(log_client.clone())));
        let clock = Arc::clone(&self.clock);
        let peers = Arc::new(PeerList::default());
        (Replica::new(direct, clock, location, peers, &dialer), log_client)
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

    /// Kills all entries and agents at once. Workers go on under their leases.
    pub(crate) fn kill_all(&self) {
        self.entries.iter().for_each(FakeEntry::kill);
        self.nodes.iter().for_each(FakeNode::kill_agent);
    }

    fn new_entry(&self, index: usize) -> FakeEntry {
        let instance = SmolStr::from(format!("entry-{index}"));
        let (replica, log_client) = self.replica(ProcessRole::Entry, &instance);
        let planner = PlannerTask {
            replica: Arc::clone(&replica),
            configuration: watch::Sender::new(None).subscribe(),
            membership: Arc::new(log_client.clone()),
            lease: LEASE_TERMS,
            advice: None,
            size: EntrySize::Regular,
            options: PlanningOptions::default(),
            counters: Arc::default(),
        };
        let (shutdown, receiver) = watch::channel(false);
        let tasks = vec![
            tokio::spawn(Arc::clone(&replica).run()).abort_handle(),
            tokio::spawn(planner.run(receiver)).abort_handle(),
            tokio::spawn(evacuation_recorder::run(
                Arc::clone(&replica),
                self.evacuations.subscribe(),
            ))
            .abort_handle(),
            tokio::spawn(write_snapshots(Arc::clone(&replica), ENTRY_SNAPSHOT_DELAY))
                .abort_handle(),
            tokio::spawn(register_entry(Arc::clone(&replica), log_client.clone(), instance))
                .abort_handle(),
        ];
        FakeEntry { replica, log_client, tasks, _shutdown: shutdown }
    }

    /// Adds another machine whose instance has the name of an existing one, which goes on. Returns
    /// its index.
    pub(crate) fn add_namesake(&mut self, node: usize) -> usize {
        let name = self.nodes[node].name.clone();
        self.add_node(&name);
        self.nodes.len() - 1
    }

    fn add_node(&mut self, name: &str) {
        let index = self.nodes.len();
        let address = SocketAddr::from(([10, 0, 0, u8::try_from(index).unwrap()], WORKER_PORT));
        let capacity = ResourceAmounts { cpu_millis: 8_000, memory_mb: 8_000, accelerators: 8 };
        let observer = Arc::clone(&self.observer);
        let host = WorkerHost::new(index, capacity, observer, Arc::clone(&self.hosts));
        self.hosts.lock().unwrap().push(Arc::clone(&host));
        self.behaviours.iter().for_each(|(job, behaviour)| host.register_job(*job, *behaviour));
        let node = FakeNode {
            host,
            name: name.into(),
            data_centre: data_centre_of(index),
            instance: Arc::new(Mutex::new(instance_at(name, address))),
            address,
            agent: Arc::default(),
            is_reporting: Arc::new(Mutex::new(true)),
            drain_stage: Arc::default(),
            sequence: Arc::default(),
            report_delay: Arc::default(),
            port_fault: Mutex::default(),
            log_fault: Mutex::default(),
            boot_count: Arc::clone(&self.boot_count),
            clock_back_ms: Mutex::default(),
        };
        node.boot();
        tokio::spawn(node.send_reports());
        self.nodes.push(node);
        self.start_agent(index);
    }

    /// Kills the agent of a node and starts a new one.
    pub(crate) fn start_agent(&self, index: usize) {
        let node = &self.nodes[index];
        node.kill_agent();
        let (replica, log_client) = self.replica(ProcessRole::Agent, &node.instance());
        log_client.set_fault(*node.log_fault.lock().unwrap());
        let port_fault = watch::Sender::new(*node.port_fault.lock().unwrap());
        let port = WorkerConnection::new(
            Arc::clone(&node.host),
            port_fault.clone(),
            log_client.gate.clone(),
        );
        let membership = Arc::new(log_client.clone());
        let core = AgentCore::new(Arc::clone(&replica), Arc::new(port), membership, LEASE_TERMS);
        let tasks = vec![
            tokio::spawn(write_snapshots(Arc::clone(&replica), AGENT_SNAPSHOT_DELAY))
                .abort_handle(),
            tokio::spawn(replica.run()).abort_handle(),
            tokio::spawn(Arc::clone(&core).run()).abort_handle(),
        ];
        *node.agent.lock().unwrap() = Some(FakeAgent { core, log_client, port_fault, tasks });
    }

    /// Replaces the agent of a node by that of an earlier version, which identifies the node by its
    /// name alone.
    pub(crate) fn downgrade_agent(&self, index: usize) {
        let node = &self.nodes[index];
        node.kill_agent();
        node.instance.lock().unwrap().clone_from(&node.name);
        self.start_agent(index);
    }

    /// Replaces the agent of a node by that of the present version. The worker goes on.
    pub(crate) fn upgrade_agent(&self, index: usize) {
        let node = &self.nodes[index];
        node.kill_agent();
        *node.instance.lock().unwrap() = instance_at(&node.name, node.address);
        self.start_agent(index);
    }

    /// Requests or withdraws the evacuation of the data centre with a number.
    pub(crate) fn set_evacuated(&self, data_centre: usize, is_evacuated: bool) {
        self.evacuations.send_modify(|view| {
            if is_evacuated {
                view.request(data_centre_of(data_centre));
            } else {
                view.withdraw(data_centre_of(data_centre));
            }
            view.advance(view.end() + 1);
        });
    }

    /// Waits until an entry knows that so many data centres are evacuated.
    pub(crate) async fn wait_evacuated(&self, count: usize) {
        self.wait_for("the evacuation", |fleet| {
            fleet.entries[0].replica.state().evacuations.data_centres.len() == count
        })
        .await;
    }

    /// Submits a job of one step and returns its number.
    pub(crate) async fn submit(&mut self, step: StepSpec, duration: Duration) -> u64 {
        self.submit_ending(step, duration, EndKind::Done).await
    }

    /// Submits a job of one step whose tasks end with `end_kind`, and returns its number.
    pub(crate) async fn submit_ending(
        &mut self,
        step: StepSpec,
        duration: Duration,
        end_kind: EndKind,
    ) -> u64 {
        let (job, record) = self.new_job(step, duration, end_kind);
        let live = self.entries.iter().find(|entry| !entry.is_dead());
        let _ = live.unwrap().replica.write(record).await;
        job
    }

    /// Writes a record in the background, with retries on all live entries.
    pub(crate) fn spawn_write(&self, record: GraphRecord) {
        let live = self.entries.iter().filter(|entry| !entry.is_dead());
        let replicas: Vec<_> = live.map(|entry| Arc::clone(&entry.replica)).collect();
        tokio::spawn(async move {
            for replica in replicas.iter().cycle().take(MAX_WRITE_ATTEMPTS) {
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
        duration: Duration,
        end_kind: EndKind,
    ) -> (u64, GraphRecord) {
        self.jobs += 1;
        let job = self.jobs;
        let job_info = JobInfo { is_gang: step.gang, resources: step.resources };
        self.observer.lock().unwrap().jobs.insert(job, job_info);
        let members = if step.gang { step.count } else { 0 };
        let behaviour = TaskBehaviour { duration, end_kind, members };
        self.behaviours.push((job, behaviour));
        self.nodes.iter().for_each(|node| node.host.register_job(job, behaviour));
        let terms = JobTerms { team: "team".into(), ..queue_terms() };
        let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
        (job, GraphRecord::JobAccepted { job: JobId(job), spec, terms })
    }

    /// Waits until a condition holds, at most one minute.
    pub(crate) async fn wait_for<F>(&self, what: &str, mut condition: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let until = Instant::now() + Duration::from_secs(60);
        while !condition(self) {
            assert!(Instant::now() < until, "timed out waiting for {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Index of a node on which a task of the job runs.
    pub(crate) fn node_of(&self, job: u64) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.host.running().iter().any(|run| run.task.step.job == JobId(job)))
    }

    /// Number of starts of a job's tasks that were carried out.
    pub(crate) fn start_count(&self, job: u64) -> usize {
        self.observer.lock().unwrap().starts_of(job)
    }

    /// Invariants violated so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.observer.lock().unwrap().violations.clone()
    }

    /// Events so far.
    pub(crate) fn history(&self) -> Vec<String> {
        self.observer.lock().unwrap().history.clone()
    }

    pub(crate) fn record_event(&self, what: &str) {
        self.observer.lock().unwrap().record_event(what);
    }

    /// Restarts all workers under their names. Their reports, and all requests to them, are lost.
    pub(crate) fn restart_workers_unreported(&self) {
        for node in &self.nodes {
            node.set_reporting(false);
            node.host.crash();
            node.boot();
            node.set_fault(PortFault::RequestsLost);
        }
    }

    pub(crate) fn expire_members(&self) {
        self.log.expire_members();
    }

    /// Sets whether the list of live processes leaves out some of them, others at each look.
    pub(crate) fn set_members_flapping(&self, is_flapping: bool) {
        self.log.set_members_flapping(is_flapping);
    }

    /// Drops the records of the log that are older than `age`.
    pub(crate) fn drop_older_than(&self, age: Duration) {
        self.log.drop_older_than(age);
    }

    /// Drops the history of the log.
    pub(crate) fn drop_history(&self) {
        self.log.drop_history();
    }
}

impl FakeEntry {
    pub(crate) fn is_dead(&self) -> bool {
        self.tasks.iter().all(AbortHandle::is_finished)
    }
}

impl Drop for FakeFleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

impl FakeNode {
    /// Boots the worker under its usual name.
    pub(crate) fn boot(&self) {
        let mut boot_count = self.boot_count.lock().unwrap();
        *boot_count += 1;
        *self.drain_stage.lock().unwrap() = DrainStage::Active;
        *self.sequence.lock().unwrap() = 0;
        self.host.boot(&format!("i-{}", self.name), self.start_time_ms(*boot_count));
    }

    /// Restarts the worker under its name. The agent reaches it no more and gets no reports of it.
    pub(crate) fn restart_unheard(&self) {
        self.set_fault(PortFault::Refused);
        self.set_reporting(false);
        self.host.crash();
        self.boot();
    }

    /// Boots the worker under a new name.
    pub(crate) fn boot_renamed(&self) {
        let mut boot_count = self.boot_count.lock().unwrap();
        *boot_count += 1;
        *self.drain_stage.lock().unwrap() = DrainStage::Active;
        *self.sequence.lock().unwrap() = 0;
        let name = format!("i-{}-{boot_count}", self.name);
        self.host.boot(&name, self.start_time_ms(*boot_count));
    }

    /// Start time that a worker reports which boots now.
    fn start_time_ms(&self, boot_count: u64) -> u64 {
        let start_ms = FIRST_START_TIME_MS + START_TIME_STEP_MS * boot_count;
        start_ms - *self.clock_back_ms.lock().unwrap()
    }

    /// Sets the wall clock back. Workers that boot later seem to be older than those before.
    pub(crate) fn set_clock_back(&self, back_ms: u64) {
        *self.clock_back_ms.lock().unwrap() = back_ms;
    }

    /// Sets the delay of the worker's reports to the agent.
    pub(crate) fn delay_reports(&self, delay: Duration) {
        *self.report_delay.lock().unwrap() = delay;
    }

    pub(crate) fn set_suspended(&self, is_suspended: bool) {
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.log_client.gate.set_suspended(is_suspended);
        }
    }

    pub(crate) fn instance(&self) -> SmolStr {
        self.instance.lock().unwrap().clone()
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
        *self.drain_stage.lock().unwrap() = DrainStage::Draining;
    }

    /// Announces to the agent that the worker of the given name ends.
    pub(crate) async fn send_leave_as(&self, name: &str) {
        let core = self.agent.lock().unwrap().as_ref().map(|agent| Arc::clone(&agent.core));
        if let Some(core) = core {
            core.handle_leave(name).await;
        }
    }

    /// The worker announces its end to the agent; the future completes when the agent has answered.
    pub(crate) fn send_leave(&self) -> impl Future<Output = ()> + Send + use<> {
        let core = self.agent.lock().unwrap().as_ref().map(|agent| Arc::clone(&agent.core));
        let identity = self.host.identity();
        *self.drain_stage.lock().unwrap() = DrainStage::Left;
        async move {
            if let (Some(core), Some((name, _))) = (core, identity) {
                core.handle_leave(&name).await;
            }
        }
    }

    pub(crate) fn set_fault(&self, fault: PortFault) {
        *self.port_fault.lock().unwrap() = fault;
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.port_fault.send_replace(fault);
        }
    }

    pub(crate) fn set_log_fault(&self, fault: LogFault) {
        *self.log_fault.lock().unwrap() = fault;
        if let Some(agent) = &*self.agent.lock().unwrap() {
            agent.log_client.set_fault(fault);
        }
    }

    /// Asks the agent to exit; it ends once it has extended the lease, after `limit` at the latest.
    pub(crate) async fn stop_agent(&self, limit: Duration) {
        let core = self.agent.lock().unwrap().as_ref().map(|agent| Arc::clone(&agent.core));
        if let Some(core) = core {
            let _ = tokio::time::timeout(limit, core.extend_lease_before_exit()).await;
        }
        self.kill_agent();
    }

    pub(crate) fn kill_agent(&self) {
        if let Some(agent) = self.agent.lock().unwrap().take() {
            agent.log_client.set_fault(LogFault::Dead);
            agent.port_fault.send_replace(PortFault::Dead);
            agent.tasks.iter().for_each(AbortHandle::abort);
        }
    }

    /// Spec that the node's worker reports now; `None` while it is down.
    pub(crate) fn worker_spec(&self) -> Option<WorkerSpec> {
        let (name, started_ms) = self.host.identity()?;
        let data_centre = self.data_centre.clone();
        Some(worker_spec(name, started_ms, self.instance(), data_centre, self.host.capacity()))
    }

    /// Sends a report of another writer to the agent.
    pub(crate) fn send_foreign_report(&self, spec: WorkerSpec, sequence: u64) {
        let report = WorkerReport { spec, drain_remaining_ms: None, sequence };
        self.agent.lock().unwrap().as_ref().unwrap().core.record_report(report);
    }

    /// Sends the worker's periodic reports to the agent.
    fn send_reports(&self) -> impl Future<Output = ()> + Send + use<> {
        let agent = Arc::clone(&self.agent);
        let host = Arc::clone(&self.host);
        let instance = Arc::clone(&self.instance);
        let data_centre = self.data_centre.clone();
        let is_reporting = Arc::clone(&self.is_reporting);
        let drain_stage = Arc::clone(&self.drain_stage);
        let sequence = Arc::clone(&self.sequence);
        let report_delay = Arc::clone(&self.report_delay);
        async move {
            loop {
                let stage = *drain_stage.lock().unwrap();
                let is_reporting = *is_reporting.lock().unwrap() && stage != DrainStage::Left;
                if let Some((name, started_ms)) = host.identity().filter(|_| is_reporting) {
                    let sequence = {
                        let mut sequence = sequence.lock().unwrap();
                        *sequence += 1;
                        *sequence
                    };
                    let instance = instance.lock().unwrap().clone();
                    let data_centre = data_centre.clone();
                    let capacity = host.capacity();
                    let spec = worker_spec(name, started_ms, instance, data_centre, capacity);
                    let drain_remaining_ms = (stage == DrainStage::Draining).then_some(5_500);
                    let report = WorkerReport { spec, drain_remaining_ms, sequence };
                    let delay = *report_delay.lock().unwrap();
                    tokio::spawn(deliver_report(Arc::clone(&agent), report, delay));
                }
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        }
    }
}

/// Name of the data centre of a node; there are [`DATA_CENTRES`], which take turns.
fn data_centre_of(index: usize) -> SmolStr {
    format_smolstr!("dc-{}", index % DATA_CENTRES)
}

/// Spec that a worker reports.
fn worker_spec(
    name: SmolStr,
    started_ms: u64,
    instance: SmolStr,
    data_centre: SmolStr,
    resources: ResourceAmounts,
) -> WorkerSpec {
    WorkerSpec {
        name,
        started_ms,
        instance,
        service: "service".into(),
        data_centre,
        rack: "rack".into(),
        labels: vec!["kind".into(), "rack".into()],
        resources,
    }
}

/// Delivers a report, after a delay, to the agent that runs then.
async fn deliver_report(
    agent: Arc<Mutex<Option<FakeAgent>>>,
    report: WorkerReport,
    delay: Duration,
) {
    tokio::time::sleep(delay).await;
    if let Some(agent) = &*agent.lock().unwrap()
        && !agent.log_client.gate.is_suspended()
    {
        agent.core.record_report(report);
    }
}

/// Ends runs on time even when no call arrives.
async fn advance_hosts(hosts: Weak<Mutex<Vec<Arc<WorkerHost>>>>) {
    while let Some(hosts) = hosts.upgrade() {
        let first = hosts.lock().unwrap().first().cloned();
        if let Some(host) = first {
            host.advance();
        }
        drop(hosts);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Writes snapshots like a process on the platform does.
async fn write_snapshots(replica: Arc<Replica>, standby_delay: Duration) {
    let incarnation = replica.incarnation;
    let observed = Arc::clone(&replica);
    let is_planner = move || observed.state().planner.instance == Some(incarnation);
    snapshot_writer::run(replica, is_planner, standby_delay).await;
}

/// Registers an entry in the log and keeps renewing its membership.
async fn register_entry(replica: Arc<Replica>, log_client: LogClient, instance: SmolStr) {
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
                address: UNREACHABLE_ADDRESS.parse().unwrap(),
            };
            let _ = replica.write(record).await;
        }
        let _ = log_client.join(incarnation).await;
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

/// Terms of the queue `queue`, without a team.
fn queue_terms() -> JobTerms {
    JobTerms {
        queue: "queue".into(),
        service: "service".into(),
        team: SmolStr::default(),
        priority: 1,
        max_attempts: 3,
        stretch_permille: 3_000,
        target_latency_ms: 1_000,
        is_advised: false,
    }
}

/// Configuration with a queue of this name.
pub(crate) fn configuration_of(queue: &'static str) -> Configuration {
    let queue = Queue {
        name: queue.into(),
        host: "host".into(),
        path_prefix: format!("/{queue}/").into(),
        terms: JobTerms { queue: queue.into(), ..queue_terms() },
        ..Queue::default()
    };
    Configuration { version: 1, queues: vec![queue], ..Configuration::default() }
}

/// The only queue of a configuration.
pub(crate) fn scope_of(configuration: &Configuration) -> QueueScope<'_> {
    QueueScope { configuration, queue: &configuration.queues[0] }
}

/// The same step as a gang.
pub(crate) fn gang(count: u32, accelerators: u32) -> StepSpec {
    StepSpec { gang: true, ..tasks(count, accelerators) }
}
