//! The agent's event loop: passes events to the gang table and carries out its actions.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminbarrow_model::worker::WorkerSpec;
use cuminbarrow_protocol::byte_counter::ByteCounter;
use cuminbarrow_protocol::link::IncomingLink;
use cuminbarrow_protocol::link::Link;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::link::LinkKind;
use cuminbarrow_protocol::link::accept_links;
use cuminbarrow_protocol::link_guard::LinkGuard;
use cuminbarrow_protocol::link_metrics;
use cuminbarrow_protocol::message::AgentMessage;
use cuminbarrow_protocol::message::EntryMessage;
use cuminbarrow_protocol::message::GangMessage;
use cuminbarrow_requests::bounded_listener;
use cuminbarrow_requests::request_guard::RequestGuard;
use cuminbarrow_resources::worker_control::TaskEnd;
use cuminbarrow_resources::worker_control::TaskReport;
use cuminbarrow_resources::worker_control::WorkerControl;
use cuminbarrow_telemetry::meter_registry::MeterError;
use cuminbarrow_telemetry::meter_registry::MeterRegistry;
use cuminbarrow_telemetry::probe_router::probe_router;
use cuminbarrow_telemetry::probe_server;
use cuminbarrow_telemetry::request_metrics;
use smol_str::SmolStr;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::agent_action::AgentAction;
use crate::agent_metrics::AgentMetrics;
use crate::agent_settings::AgentSettings;
use crate::entry_session::EntrySession;
use crate::gang_links::GangLinks;
use crate::gang_table::GangTable;
use crate::renewal_tracker::RenewalTracker;
use crate::task_runner;
use crate::task_runner::TaskCommand;

/// Capacity of the queues of events and of messages to the entry.
const QUEUE_CAPACITY: usize = 4_096;
/// Interval between ticks of the gang table while it has attempts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the agent exits, so that its last message can be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Why an agent can't start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A listener can't be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The metrics registry can't be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: MeterError,
    },
}

/// An event for the event loop.
#[derive(Debug)]
pub(crate) enum AgentEvent {
    Entry(EntryMessage),
    Gang(GangMessage),
    TaskEnded(TaskReport),
    TaskRefused { task: SmolStr, reason: String },
}

/// Runs an agent until `shutdown` becomes true and its attempts have ended or the drain timeout has
/// passed. `counter` counts the bytes of its links.
///
/// # Errors
/// [`AgentError`] when it can't start.
pub async fn run(
    settings: AgentSettings,
    worker: Arc<dyn WorkerControl>,
    counter: Arc<ByteCounter>,
    mut shutdown: watch::Receiver<bool>,
) -> Result<(), AgentError> {
    let mut agent = AgentDaemon::start(settings, worker, counter).await?;
    let shutdown_requested = async move {
        let _ = shutdown.wait_for(|is_stopped| *is_stopped).await;
    };
    tokio::pin!(shutdown_requested);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = &mut shutdown_requested => break,
            event = agent.events.recv() => agent.handle(event),
            _ = tick.tick(), if !agent.table.is_empty() => agent.tick(),
        }
        agent.run_actions();
    }
    agent.drain(tick).await;
    Ok(())
}

struct AgentDaemon {
    settings: Arc<AgentSettings>,
    table: GangTable,
    links: GangLinks,
    worker: Arc<dyn WorkerControl>,
    commands: mpsc::UnboundedSender<TaskCommand>,
    outbox: mpsc::Sender<AgentMessage>,
    event_sender: mpsc::Sender<AgentEvent>,
    renewal_tracker: Arc<RenewalTracker>,
    events: mpsc::Receiver<AgentEvent>,
    applied_offset: Arc<AtomicU64>,
    metrics: Arc<AgentMetrics>,
    started_at: Instant,
}

impl AgentDaemon {
    async fn start(
        settings: AgentSettings,
        worker: Arc<dyn WorkerControl>,
        counter: Arc<ByteCounter>,
    ) -> Result<Self, AgentError> {
        let settings = Arc::new(settings);
        let incarnation = rand::random();
        let address = settings.listen;
        let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        let metrics = Arc::new(AgentMetrics::default());
        let registry = MeterRegistry::new().context(MetricsSnafu)?;
        let links = Arc::new(LinkGuard::new(settings.links.clone(), Arc::clone(&counter)));
        metrics.register(&registry, &counter);
        link_metrics::register(&registry, &links);
        serve_probes(&settings, registry).await?;
        task_runner::stop_orphaned_tasks(&*worker).await;

        let (event_sender, events) = mpsc::channel(QUEUE_CAPACITY);
        let (outbox, outbox_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let dialer = LinkDialer::new(settings.shared_key.clone(), counter);
        let applied_offset = Arc::new(AtomicU64::new(0));
        let session = EntrySession {
            settings: Arc::clone(&settings),
            spec: worker_spec(&settings),
            incarnation,
            applied_offset: Arc::clone(&applied_offset),
            dialer: dialer.clone(),
            metrics: Arc::clone(&metrics),
            outbox: outbox_receiver,
            events: event_sender.clone(),
        };
        tokio::spawn(session.run());
        let handler = gang_link_handler(event_sender.clone());
        tokio::spawn(accept_links(listener, settings.shared_key.clone(), links, handler));
        let runner =
            task_runner::run_commands(Arc::clone(&worker), command_receiver, event_sender.clone());
        tokio::spawn(runner);
        tokio::spawn(task_runner::poll_reports(Arc::clone(&worker), event_sender.clone()));
        tokio::spawn(task_runner::poll_usage(Arc::clone(&worker), Arc::clone(&metrics)));
        Ok(Self {
            table: GangTable::new(incarnation, settings.timing),
            settings,
            links: GangLinks::new(dialer),
            worker,
            renewal_tracker: Arc::default(),
            commands,
            outbox,
            events,
            event_sender,
            applied_offset,
            metrics,
            started_at: Instant::now(),
        })
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.table.tick(now_ms);
    }

    fn handle(&mut self, event: Option<AgentEvent>) {
        let now_ms = self.now_ms();
        match event {
            None => {}
            Some(AgentEvent::Entry(message)) => self.handle_entry(message, now_ms),
            Some(AgentEvent::Gang(message)) => self.table.receive(message, now_ms),
            Some(AgentEvent::TaskEnded(report)) => {
                self.renewal_tracker.forget(&report.task);
                self.table.task_ended(&report, now_ms);
            }
            Some(AgentEvent::TaskRefused { task, reason }) => {
                self.renewal_tracker.forget(&task);
                self.table.task_refused(&task, &reason, now_ms);
            }
        }
        self.applied_offset.store(self.table.applied_offset(), Ordering::Relaxed);
        self.metrics.applied_offset.store(self.table.applied_offset(), Ordering::Relaxed);
        self.metrics
            .running_attempts
            .store(self.table.running_attempts() as u64, Ordering::Relaxed);
    }

    fn handle_entry(&mut self, message: EntryMessage, now_ms: u64) {
        match message {
            EntryMessage::Closing | EntryMessage::HeartbeatAck => {}
            EntryMessage::Sync { worker, offset, assignments } => {
                self.table.sync(worker, offset, assignments, now_ms);
            }
            EntryMessage::Update { offset, changed, removed } => {
                self.table.update(offset, changed, removed, now_ms);
            }
        }
    }

    fn run_actions(&mut self) {
        for action in self.table.take_actions() {
            match action {
                AgentAction::RenewTasks { tasks, lease_ms } => self.renew(tasks, lease_ms),
                AgentAction::SendEntry(message) => {
                    if self.outbox.try_send(message).is_err() {
                        log::debug!("cannot queue a message to the entry; it will be sent again");
                    }
                }
                AgentAction::SendGang { address, message } => self.links.send(address, message),
                AgentAction::StartTask(start) => {
                    log::info!("starting task {}", start.task);
                    let _ = self.commands.send(TaskCommand::Start(start));
                }
                AgentAction::StopTask { task, checkpoint } => {
                    log::info!("stopping task {task}, checkpoint: {checkpoint}");
                    let _ = self.commands.send(TaskCommand::Stop { task, checkpoint });
                }
            }
        }
    }

    /// Renews the tasks' leases at the worker. Tasks that have not been renewed for a whole lease
    /// are reported as ended, since the worker stops a task when its lease lapses.
    fn renew(&self, tasks: Vec<SmolStr>, lease_ms: u64) {
        let (worker, tracker) = (Arc::clone(&self.worker), Arc::clone(&self.renewal_tracker));
        let events = self.event_sender.clone();
        let lease = Duration::from_millis(lease_ms);
        tracker.track(&tasks);
        tokio::spawn(async move {
            let sent = Instant::now();
            let renewal = worker.renew(tasks.clone(), lease_ms);
            match tokio::time::timeout(lease / 2, renewal).await {
                Ok(Ok(())) => return tracker.record_renewal(&tasks, sent),
                Ok(Err(error)) => log::warn!("cannot renew task leases at the worker: {error}"),
                Err(_) => log::warn!("the worker did not answer a lease renewal in time"),
            }
            for task in tracker.take_lapsed(lease) {
                log::warn!("lease of task {task} lapsed: no renewal succeeded for {lease_ms} ms");
                let report = TaskReport { task, end: TaskEnd::LeaseLapsed };
                let _ = events.send(AgentEvent::TaskEnded(report)).await;
            }
        });
    }

    /// Reports that the worker is draining, waits until its attempts have ended or the drain
    /// timeout has passed, and reports that the worker has left.
    async fn drain(mut self, mut tick: tokio::time::Interval) {
        log::info!("draining, {} attempts running", self.table.running_attempts());
        let _ = self.outbox.send(AgentMessage::Draining).await;
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_ms);
        while !self.table.is_empty() && Instant::now() < deadline {
            tokio::select! {
                event = self.events.recv() => self.handle(event),
                _ = tick.tick() => self.tick(),
            }
            self.run_actions();
        }
        let _ = self.outbox.send(AgentMessage::Leaving).await;
        tokio::time::sleep(FLUSH_DELAY).await;
    }
}

fn worker_spec(settings: &AgentSettings) -> WorkerSpec {
    WorkerSpec {
        name: settings.worker.clone(),
        location: settings.location.clone(),
        capacity: settings.capacity,
        address: settings.advertise.unwrap_or(settings.listen),
    }
}

async fn serve_probes(settings: &AgentSettings, registry: MeterRegistry) -> Result<(), AgentError> {
    let Some(address) = settings.probe_listen else { return Ok(()) };
    let listener = bounded_listener::bind(address).context(ListenSnafu { address })?;
    let guard = RequestGuard::new(settings.request_limits());
    request_metrics::register(&registry, &guard);
    tokio::spawn(Arc::clone(&guard).run());
    let router = probe_router(registry, Arc::new(|| None));
    tokio::spawn(probe_server::serve(listener, router, guard));
    Ok(())
}

fn gang_link_handler(
    events: mpsc::Sender<AgentEvent>,
) -> impl Fn(IncomingLink) + Clone + Send + Sync + 'static {
    move |incoming| {
        if incoming.kind != LinkKind::Gang {
            return;
        }
        let events = events.clone();
        let mut link: Link<GangMessage, GangMessage> = incoming.into_link();
        tokio::spawn(async move {
            while let Ok(message) = link.receiver.receive().await {
                if events.send(AgentEvent::Gang(message)).await.is_err() {
                    return;
                }
            }
        });
    }
}
