//! Generates a history of jobs and faults from a seed, before the simulation starts.

use std::time::Duration;

use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_fleet::DATA_CENTRES;
use crate::fake_fleet::gang;
use crate::fake_fleet::tasks;
use crate::fake_log::LogFault;
use crate::fake_worker::PortFault;

/// Time span in which jobs are submitted and faults begin, in ms.
const DURATION_MS: u64 = 50_000;
/// Maximum time between two faults of a series, in ms.
const MAX_GAP_MS: u64 = 12_000;

/// Minimum duration of a task, in ms.
const MIN_DURATION_MS: u64 = 300;
/// Maximum time from the submission of a job to its cancellation, in ms.
const MAX_CANCELLATION_DELAY_MS: u64 = 10_000;

/// Distinguishes the random numbers of power cuts from those of the other events of a seed.
const POWER_CUT_SEED: u64 = 0x706f_7765_725f_6375;
/// Distinguishes the random numbers of foreign reports from those of the other events of a seed.
const FOREIGN_REPORT_SEED: u64 = 0x666f_7265_6967_6e72;
/// Distinguishes the random numbers of evacuations from those of the other events of a seed.
const EVACUATION_SEED: u64 = 0x6576_6163_7561_7465;
/// Time after which a snapshot covers all batches that the log has dropped, in ms: the next check, the
/// write, and the time for which entries that stand by wait.
const SNAPSHOT_TIME_MS: u64 = 2_500;

/// Time from the start of the first entry after a power cut until a snapshot covers what the log had
/// then, in ms.
const MAX_RESTORE_MS: u64 = 8_000;

/// What happens to the jobs of a history.
#[derive(Clone, Copy, Debug)]
struct JobTraits {
    max_duration_ms: u64,
    failure_probability: f64,
    cancellation_probability: f64,
}

/// Jobs of a small fleet.
const NARROW_JOBS: JobTraits =
    JobTraits { max_duration_ms: 12_000, failure_probability: 0.1, cancellation_probability: 0.15 };
/// Jobs of a large fleet, most of them wide gangs.
const WIDE_JOBS: JobTraits =
    JobTraits { max_duration_ms: 9_000, failure_probability: 0.05, cancellation_probability: 0.1 };

/// Event that affects a node, an entry or a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// Submits a job. Jobs are numbered from 1 in order of submission.
    Submit {
        step: StepSpec,
        duration: Duration,
        end_kind: EndKind,
    },
    Cancel {
        job: u64,
    },
    PortFault {
        node: usize,
        fault: PortFault,
    },
    SetReporting {
        node: usize,
        is_reporting: bool,
    },
    ReportDelay {
        node: usize,
        delay: Duration,
    },
    /// Another writer reports to the agent of a node.
    ForeignReport {
        node: usize,
        /// Name in the report; `None` for that of the worker.
        name: Option<&'static str>,
        /// By how much it claims to have started later than the worker.
        start_delay_ms: u64,
        /// Service in the report; `None` for that of the worker.
        service: Option<&'static str>,
        sequence: u64,
    },
    AgentLogFault {
        node: usize,
        fault: LogFault,
    },
    Suspend {
        node: usize,
        is_suspended: bool,
    },
    KillAgent {
        node: usize,
    },
    StartAgent {
        node: usize,
    },
    Crash {
        node: usize,
    },
    Boot {
        node: usize,
        is_renamed: bool,
    },
    Drain {
        node: usize,
    },
    SendLeave {
        node: usize,
    },
    EntryLogFault {
        entry: usize,
        fault: LogFault,
    },
    RestartEntry {
        entry: usize,
    },
    /// Kills all entries and agents; workers go on under their leases.
    KillAll,
    ExpireMembers,
    FlapMembers {
        is_flapping: bool,
    },
    DropHistory,
    /// Sets the wall clock of a node back.
    ClockBack {
        node: usize,
        back_ms: u64,
    },
    /// Adds a machine whose instance has the name of an existing node, which goes on.
    AddNamesake {
        node: usize,
    },
    /// Requests or withdraws the evacuation of a data centre.
    Evacuate {
        data_centre: usize,
        is_evacuated: bool,
    },
}

/// Events with their times in ms.
pub(crate) type History = Vec<(u64, Event)>;

/// Configuration of the fleet.
pub(crate) struct FleetShape {
    pub(crate) entries: usize,
    pub(crate) nodes: usize,
    /// Clock drift of each worker: by how many thousandths its clock runs slow.
    pub(crate) slow_permille: Vec<u32>,
    pub(crate) enforces_capacity: bool,
}

/// Generates a fleet and its history from a seed.
pub(crate) fn generate(seed: u64) -> (FleetShape, History) {
    let mut generator =
        HistoryGenerator { rng: ChaCha8Rng::seed_from_u64(seed), history: Vec::new() };
    let nodes = generator.rng.random_range(3..=4);
    let shape = FleetShape {
        entries: 2,
        nodes,
        slow_permille: (0..nodes).map(|_| generator.rng.random_range(0..=20)).collect(),
        enforces_capacity: generator.rng.random_bool(0.25),
    };
    generator.jobs();
    for node in 0..nodes {
        generator.fault_series(0.6, |generator, at_ms| generator.restart_fault(node, at_ms));
        generator.fault_series(0.6, |generator, at_ms| generator.port_fault(node, at_ms));
        generator.fault_series(0.3, |generator, at_ms| generator.report_fault(node, at_ms));
        generator.fault_series(0.4, |generator, at_ms| generator.agent_log_fault(node, at_ms));
        generator.fault_series(0.4, |generator, at_ms| generator.agent_fault(node, at_ms));
    }
    for entry in 0..shape.entries {
        generator.fault_series(0.4, |generator, at_ms| generator.entry_fault(entry, at_ms));
    }
    generator.fault_series(0.2, |generator, at_ms| {
        generator.add(at_ms, Event::ExpireMembers);
        at_ms
    });
    generator.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, generator.history)
}

/// Generates a large fleet with wide gangs from a seed. Its history also has the faults that need
/// more than one process at a time: several machines of one instance name, a log that drops its
/// history, entries that are behind, and a list of live processes that leaves some out.
pub(crate) fn generate_large(seed: u64) -> (FleetShape, History) {
    let mut generator =
        HistoryGenerator { rng: ChaCha8Rng::seed_from_u64(seed), history: Vec::new() };
    let nodes = generator.rng.random_range(20..=30);
    let shape = FleetShape {
        entries: 3,
        nodes,
        slow_permille: (0..nodes).map(|_| generator.rng.random_range(0..=20)).collect(),
        enforces_capacity: generator.rng.random_bool(0.25),
    };
    generator.wide_jobs();
    for node in 0..nodes {
        generator.fault_series(0.2, |generator, at_ms| generator.restart_fault(node, at_ms));
        generator.fault_series(0.2, |generator, at_ms| generator.port_fault(node, at_ms));
        generator.fault_series(0.1, |generator, at_ms| generator.report_fault(node, at_ms));
        generator.fault_series(0.2, |generator, at_ms| generator.agent_log_fault(node, at_ms));
        generator.fault_series(0.2, |generator, at_ms| generator.reads_behind_fault(node, at_ms));
        generator.fault_series(0.2, |generator, at_ms| generator.agent_fault(node, at_ms));
        if generator.rng.random_bool(0.2) {
            generator.namesake(node);
        }
        generator.fault_series(0.2, |generator, at_ms| generator.clock_fault(node, at_ms));
    }
    for entry in 0..shape.entries {
        generator.fault_series(0.6, |generator, at_ms| generator.entry_fault(entry, at_ms));
        generator
            .fault_series(0.4, |generator, at_ms| generator.entry_reads_behind_fault(entry, at_ms));
    }
    generator.fault_series(0.4, |generator, at_ms| generator.members_fault(at_ms));
    generator.fault_series(0.5, |generator, at_ms| {
        generator.add(at_ms, Event::DropHistory);
        at_ms
    });
    generator.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, generator.history)
}

/// Generates a large fleet and the history of the same seed with power cuts that kill all entries and
/// agents at once. The power cuts have their own random numbers.
pub(crate) fn generate_with_power_cuts(seed: u64) -> (FleetShape, History) {
    let (shape, history) = generate_large(seed);
    let rng = ChaCha8Rng::seed_from_u64(seed ^ POWER_CUT_SEED);
    let mut generator = HistoryGenerator { rng, history };
    for _ in 0..generator.rng.random_range(1..=2) {
        generator.power_cut(&shape);
    }
    generator.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, generator.history)
}

/// Generates a fleet and the history of the same seed with reports of other writers. The reports have
/// their own random numbers.
pub(crate) fn generate_with_foreign_reports(seed: u64) -> (FleetShape, History) {
    let (shape, history) = generate(seed);
    let rng = ChaCha8Rng::seed_from_u64(seed ^ FOREIGN_REPORT_SEED);
    let mut generator = HistoryGenerator { rng, history };
    for node in 0..shape.nodes {
        generator.fault_series(0.8, |generator, at_ms| generator.foreign_report(node, at_ms));
    }
    generator.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, generator.history)
}

/// Generates a fleet and the history of the same seed with evacuations of its data centres, at times of
/// all of them. The evacuations have their own random numbers.
pub(crate) fn generate_with_evacuations(seed: u64) -> (FleetShape, History) {
    let (shape, history) = generate(seed);
    let rng = ChaCha8Rng::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut generator = HistoryGenerator { rng, history };
    for data_centre in 0..DATA_CENTRES {
        generator.fault_series(1.0, |generator, at_ms| generator.evacuation(data_centre, at_ms));
    }
    generator.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, generator.history)
}

struct HistoryGenerator {
    rng: ChaCha8Rng,
    history: History,
}

impl HistoryGenerator {
    fn add(&mut self, at_ms: u64, event: Event) {
        self.history.push((at_ms, event));
    }

    fn jobs(&mut self) {
        let mut times: Vec<u64> = (0..self.rng.random_range(12..=30))
            .map(|_| self.rng.random_range(0..DURATION_MS))
            .collect();
        times.sort_unstable();
        for (job, at_ms) in (1..).zip(times) {
            let accelerators = self.rng.random_range(1..=8);
            let count = self.rng.random_range(1..=6);
            let step = match self.rng.random_range(0..4) {
                0 => tasks(count, accelerators),
                1 => gang(count.min(16 / accelerators), accelerators),
                _ => tasks(1, accelerators),
            };
            self.submit(job, at_ms, step, NARROW_JOBS);
        }
    }

    /// Jobs of which most are gangs, some of dozens of members.
    fn wide_jobs(&mut self) {
        let count = self.rng.random_range(20..=40);
        let mut times: Vec<u64> =
            (0..count).map(|_| self.rng.random_range(0..DURATION_MS)).collect();
        times.sort_unstable();
        for (job, at_ms) in (1..).zip(times) {
            let accelerators = self.rng.random_range(1..=4);
            let step = match self.rng.random_range(0..5) {
                0 => tasks(self.rng.random_range(1..=20), accelerators),
                1 => gang(1, accelerators),
                _ => gang(self.rng.random_range(2..=64 / accelerators), accelerators),
            };
            self.submit(job, at_ms, step, WIDE_JOBS);
        }
    }

    /// Submits a job, which fails or is cancelled with the given probabilities.
    fn submit(&mut self, job: u64, at_ms: u64, step: StepSpec, traits: JobTraits) {
        let duration_ms = self.rng.random_range(MIN_DURATION_MS..traits.max_duration_ms);
        let duration = Duration::from_millis(duration_ms);
        let fails = self.rng.random_bool(traits.failure_probability);
        let end_kind = if fails { EndKind::Failed } else { EndKind::Done };
        self.add(at_ms, Event::Submit { step, duration, end_kind });
        if self.rng.random_bool(traits.cancellation_probability) {
            let cancelled_ms = at_ms + self.rng.random_range(0..MAX_CANCELLATION_DELAY_MS);
            self.add(cancelled_ms, Event::Cancel { job });
        }
    }

    /// Adds a machine with the name of a node. That one goes on, cut off from the log at times, and
    /// loses its agent or its worker later at times.
    fn namesake(&mut self, node: usize) {
        let at_ms = self.rng.random_range(5_000..DURATION_MS);
        if self.rng.random_bool(0.5) {
            let cut_ms = at_ms - self.rng.random_range(0..5_000);
            self.add(cut_ms, Event::AgentLogFault { node, fault: LogFault::RequestsLost });
        }
        self.add(at_ms, Event::AddNamesake { node });
        let end_ms = at_ms + self.rng.random_range(0..12_000);
        match self.rng.random_range(0..3) {
            0 => self.add(end_ms, Event::KillAgent { node }),
            1 => self.add(end_ms, Event::Crash { node }),
            _ => {}
        }
    }

    /// Lets an agent read through an entry that is behind.
    fn reads_behind_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let fault = LogFault::ReadsBehind(Duration::from_millis(self.rng.random_range(50..2_200)));
        let end_ms = at_ms + self.rng.random_range(1_000..12_000);
        self.add(at_ms, Event::AgentLogFault { node, fault });
        self.add(end_ms, Event::AgentLogFault { node, fault: LogFault::None });
        end_ms
    }

    /// Lets an entry read through another one that is behind.
    fn entry_reads_behind_fault(&mut self, entry: usize, at_ms: u64) -> u64 {
        let fault = LogFault::ReadsBehind(Duration::from_millis(self.rng.random_range(50..2_200)));
        let end_ms = at_ms + self.rng.random_range(1_000..12_000);
        self.add(at_ms, Event::EntryLogFault { entry, fault });
        self.add(end_ms, Event::EntryLogFault { entry, fault: LogFault::None });
        end_ms
    }

    /// Sets the wall clock of a node back for a while.
    fn clock_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let back_ms = self.rng.random_range(1..60_000);
        let end_ms = at_ms + self.rng.random_range(2_000..12_000);
        self.add(at_ms, Event::ClockBack { node, back_ms });
        self.add(end_ms, Event::ClockBack { node, back_ms: 0 });
        end_ms
    }

    fn members_fault(&mut self, at_ms: u64) -> u64 {
        if self.rng.random_bool(0.3) {
            self.add(at_ms, Event::ExpireMembers);
            return at_ms;
        }
        let end_ms = at_ms + self.rng.random_range(3_000..15_000);
        self.add(at_ms, Event::FlapMembers { is_flapping: true });
        self.add(end_ms, Event::FlapMembers { is_flapping: false });
        end_ms
    }

    /// Adds a series of faults of one kind with the given probability. `add_fault` adds a fault
    /// that begins at a time and returns its end; faults of a series do not overlap.
    fn fault_series<F>(&mut self, probability: f64, mut add_fault: F)
    where
        F: FnMut(&mut Self, u64) -> u64,
    {
        if !self.rng.random_bool(probability) {
            return;
        }
        let mut at_ms = self.rng.random_range(0..20_000);
        while at_ms < DURATION_MS {
            at_ms = add_fault(self, at_ms) + self.rng.random_range(1..MAX_GAP_MS);
        }
    }

    /// Crashes a worker, with or without a drain before, and boots its successor.
    fn restart_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let mut end_ms = at_ms;
        if self.rng.random_bool(0.4) {
            self.add(at_ms, Event::Drain { node });
            end_ms += self.rng.random_range(2_000..8_000);
            if self.rng.random_bool(0.8) {
                self.add(end_ms, Event::SendLeave { node });
            }
            end_ms += self.rng.random_range(0..6_000);
        }
        self.add(end_ms, Event::Crash { node });
        end_ms += if self.rng.random_bool(0.3) { 0 } else { self.rng.random_range(0..8_000) };
        let is_renamed = self.rng.random_bool(0.4);
        self.add(end_ms, Event::Boot { node, is_renamed });
        end_ms
    }

    fn port_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
        let slow = Duration::from_millis(self.rng.random_range(10..190));
        let fault = match self.rng.random_range(0..7) {
            0 => PortFault::RequestsLost,
            1 => PortFault::Refused,
            2 => PortFault::AnswersLost,
            3 => PortFault::Delayed(late),
            4 => PortFault::AllDelayed(late),
            5 => PortFault::SlowRoundTrip(slow),
            _ => PortFault::Overloaded,
        };
        let end_ms = at_ms + self.rng.random_range(300..9_000);
        self.add(at_ms, Event::PortFault { node, fault });
        self.add(end_ms, Event::PortFault { node, fault: PortFault::None });
        end_ms
    }

    fn report_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let end_ms = at_ms + self.rng.random_range(500..9_000);
        if self.rng.random_bool(0.5) {
            self.add(at_ms, Event::SetReporting { node, is_reporting: false });
            self.add(end_ms, Event::SetReporting { node, is_reporting: true });
        } else {
            let delay = Duration::from_millis(self.rng.random_range(500..6_000));
            self.add(at_ms, Event::ReportDelay { node, delay });
            self.add(end_ms, Event::ReportDelay { node, delay: Duration::ZERO });
        }
        end_ms
    }

    /// Evacuates a data centre for a while.
    fn evacuation(&mut self, data_centre: usize, at_ms: u64) -> u64 {
        let end_ms = at_ms + self.rng.random_range(20..12_000);
        self.add(at_ms, Event::Evacuate { data_centre, is_evacuated: true });
        self.add(end_ms, Event::Evacuate { data_centre, is_evacuated: false });
        end_ms
    }

    /// Reports another incarnation to an agent, or the same one with another service.
    fn foreign_report(&mut self, node: usize, at_ms: u64) -> u64 {
        let start_delay_ms = self.rng.random_range(1..60_000);
        let sequence = self.rng.random_range(1..1_000);
        let other_service = Some("no-such-service");
        let (name, start_delay_ms, service) = match self.rng.random_range(0..4) {
            0 => (Some("x-9"), start_delay_ms, other_service),
            1 => (Some("x-9"), start_delay_ms, None),
            2 => (None, start_delay_ms, other_service),
            _ => (None, 0, other_service),
        };
        self.add(at_ms, Event::ForeignReport { node, name, start_delay_ms, service, sequence });
        at_ms
    }

    fn random_log_fault(&mut self) -> LogFault {
        let late = Duration::from_millis(self.rng.random_range(1_000..6_000));
        match self.rng.random_range(0..4) {
            0 => LogFault::RequestsLost,
            1 => LogFault::Refused,
            2 => LogFault::AnswersLost,
            _ => LogFault::AppendsDelayed(late),
        }
    }

    /// Kills all entries and agents at once, at times soon after the log has dropped its history.
    /// Entries or agents are back first; some agents stay away.
    fn power_cut(&mut self, shape: &FleetShape) {
        let at_ms = self.rng.random_range(10_000..DURATION_MS);
        if self.rng.random_bool(0.5) {
            let dropped_ms = at_ms - self.rng.random_range(SNAPSHOT_TIME_MS + 1..6_000);
            self.add(dropped_ms, Event::DropHistory);
        }
        self.add(at_ms, Event::KillAll);
        let entries_ms = at_ms + self.rng.random_range(200..9_000);
        // Nothing restores what the log drops before a process has read it.
        let unread = at_ms - SNAPSHOT_TIME_MS..entries_ms + MAX_RESTORE_MS;
        self.history
            .retain(|(at_ms, event)| *event != Event::DropHistory || !unread.contains(at_ms));
        for entry in 0..shape.entries {
            let start_ms = entries_ms + self.rng.random_range(0..1_500);
            self.add(start_ms, Event::RestartEntry { entry });
        }
        let agents_ms = at_ms + self.rng.random_range(200..9_000);
        for node in 0..shape.nodes {
            let start_ms = agents_ms + self.rng.random_range(0..1_500);
            if self.rng.random_bool(0.9) {
                self.add(start_ms, Event::StartAgent { node });
            }
        }
    }

    fn agent_log_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let fault = self.random_log_fault();
        let end_ms = at_ms + self.rng.random_range(500..12_000);
        self.add(at_ms, Event::AgentLogFault { node, fault });
        self.add(end_ms, Event::AgentLogFault { node, fault: LogFault::None });
        end_ms
    }

    fn agent_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        if self.rng.random_bool(0.5) {
            let end_ms = at_ms + self.rng.random_range(200..10_000);
            self.add(at_ms, Event::Suspend { node, is_suspended: true });
            self.add(end_ms, Event::Suspend { node, is_suspended: false });
            return end_ms;
        }
        let is_quick = self.rng.random_bool(0.5);
        let end_ms = at_ms + if is_quick { 0 } else { self.rng.random_range(0..9_000) };
        self.add(at_ms, Event::KillAgent { node });
        self.add(end_ms, Event::StartAgent { node });
        end_ms
    }

    fn entry_fault(&mut self, entry: usize, at_ms: u64) -> u64 {
        if self.rng.random_bool(0.4) {
            self.add(at_ms, Event::RestartEntry { entry });
            return at_ms;
        }
        let fault = self.random_log_fault();
        let end_ms = at_ms + self.rng.random_range(500..8_000);
        self.add(at_ms, Event::EntryLogFault { entry, fault });
        self.add(end_ms, Event::EntryLogFault { entry, fault: LogFault::None });
        end_ms
    }
}
