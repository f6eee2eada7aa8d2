//! Generates a history of jobs and faults from a seed, before the simulation starts.

use std::time::Duration;

use cuminbarrow_taskgraph::job_spec::StepSpec;
use cuminbarrow_taskgraph::record::EndKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_fleet::gang;
use crate::fake_fleet::tasks;
use crate::fake_log::DoorFault;
use crate::fake_worker::PathFault;

/// Time span in which jobs are submitted and faults begin, in ms.
const SPAN_MS: u64 = 50_000;
/// Maximum time between two faults of a series, in ms.
const LONGEST_GAP_MS: u64 = 12_000;

/// Event that affects a node, an entry or a job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// Submits a job. Jobs are numbered from 1 in order of submission.
    Submit {
        step: StepSpec,
        lasts: Duration,
        ends_as: EndKind,
    },
    Cancel {
        job: u64,
    },
    Path {
        node: usize,
        fault: PathFault,
    },
    Reports {
        node: usize,
        is_reporting: bool,
    },
    ReportDelay {
        node: usize,
        delay: Duration,
    },
    Log {
        node: usize,
        fault: DoorFault,
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
    SayLeft {
        node: usize,
    },
    EntryLog {
        entry: usize,
        fault: DoorFault,
    },
    RestartEntry {
        entry: usize,
    },
    LapseMembers,
}

/// Events with their times in ms.
pub(crate) type History = Vec<(u64, Event)>;

/// Configuration of the fleet.
pub(crate) struct FleetShape {
    pub(crate) entries: usize,
    pub(crate) nodes: usize,
    /// Clock drift of each worker: by how many thousandths its clock runs slow.
    pub(crate) slow_permille: Vec<u32>,
    pub(crate) guards_room: bool,
}

/// Generates a fleet and its history from a seed.
pub(crate) fn draw(seed: u64) -> (FleetShape, History) {
    let mut draw = Draw { rng: ChaCha8Rng::seed_from_u64(seed), history: Vec::new() };
    let nodes = draw.rng.random_range(3..=4);
    let shape = FleetShape {
        entries: 2,
        nodes,
        slow_permille: (0..nodes).map(|_| draw.rng.random_range(0..=20)).collect(),
        guards_room: draw.rng.random_bool(0.25),
    };
    draw.jobs();
    for node in 0..nodes {
        draw.series(0.6, |draw, at_ms| draw.life_fault(node, at_ms));
        draw.series(0.6, |draw, at_ms| draw.path_fault(node, at_ms));
        draw.series(0.3, |draw, at_ms| draw.report_fault(node, at_ms));
        draw.series(0.4, |draw, at_ms| draw.log_fault(node, at_ms));
        draw.series(0.4, |draw, at_ms| draw.agent_fault(node, at_ms));
    }
    for entry in 0..shape.entries {
        draw.series(0.4, |draw, at_ms| draw.entry_fault(entry, at_ms));
    }
    draw.series(0.2, |draw, at_ms| {
        draw.add(at_ms, Event::LapseMembers);
        at_ms
    });
    draw.history.sort_by_key(|(at_ms, _)| *at_ms);
    (shape, draw.history)
}

struct Draw {
    rng: ChaCha8Rng,
    history: History,
}

impl Draw {
    fn add(&mut self, at_ms: u64, event: Event) {
        self.history.push((at_ms, event));
    }

    fn jobs(&mut self) {
        let mut times: Vec<u64> = (0..self.rng.random_range(12..=30))
            .map(|_| self.rng.random_range(0..SPAN_MS))
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
            let lasts = Duration::from_millis(self.rng.random_range(300..12_000));
            let fails = self.rng.random_bool(0.1);
            let ends_as = if fails { EndKind::Failed } else { EndKind::Done };
            self.add(at_ms, Event::Submit { step, lasts, ends_as });
            if self.rng.random_bool(0.15) {
                let cancelled_ms = at_ms + self.rng.random_range(0..10_000);
                self.add(cancelled_ms, Event::Cancel { job });
            }
        }
    }

    /// Adds a series of faults of one kind with the given probability. `add_fault` adds a fault
    /// that begins at a time and returns its end; faults of a series do not overlap.
    fn series<F>(&mut self, likelihood: f64, mut add_fault: F)
    where
        F: FnMut(&mut Self, u64) -> u64,
    {
        if !self.rng.random_bool(likelihood) {
            return;
        }
        let mut at_ms = self.rng.random_range(0..20_000);
        while at_ms < SPAN_MS {
            at_ms = add_fault(self, at_ms) + self.rng.random_range(1..LONGEST_GAP_MS);
        }
    }

    /// Crashes a worker, with or without a drain before, and boots its successor.
    fn life_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let mut end_ms = at_ms;
        if self.rng.random_bool(0.4) {
            self.add(at_ms, Event::Drain { node });
            end_ms += self.rng.random_range(2_000..8_000);
            if self.rng.random_bool(0.8) {
                self.add(end_ms, Event::SayLeft { node });
            }
            end_ms += self.rng.random_range(0..6_000);
        }
        self.add(end_ms, Event::Crash { node });
        end_ms += if self.rng.random_bool(0.3) { 0 } else { self.rng.random_range(0..8_000) };
        let is_renamed = self.rng.random_bool(0.4);
        self.add(end_ms, Event::Boot { node, is_renamed });
        end_ms
    }

    fn path_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
        let slow = Duration::from_millis(self.rng.random_range(10..190));
        let fault = match self.rng.random_range(0..7) {
            0 => PathFault::Silent,
            1 => PathFault::Refused,
            2 => PathFault::AnswersLost,
            3 => PathFault::Late(late),
            4 => PathFault::AllLate(late),
            5 => PathFault::Slow(slow),
            _ => PathFault::Overloaded,
        };
        let end_ms = at_ms + self.rng.random_range(300..9_000);
        self.add(at_ms, Event::Path { node, fault });
        self.add(end_ms, Event::Path { node, fault: PathFault::None });
        end_ms
    }

    fn report_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let end_ms = at_ms + self.rng.random_range(500..9_000);
        if self.rng.random_bool(0.5) {
            self.add(at_ms, Event::Reports { node, is_reporting: false });
            self.add(end_ms, Event::Reports { node, is_reporting: true });
        } else {
            let delay = Duration::from_millis(self.rng.random_range(500..6_000));
            self.add(at_ms, Event::ReportDelay { node, delay });
            self.add(end_ms, Event::ReportDelay { node, delay: Duration::ZERO });
        }
        end_ms
    }

    fn door_fault(&mut self) -> DoorFault {
        let late = Duration::from_millis(self.rng.random_range(1_000..6_000));
        match self.rng.random_range(0..4) {
            0 => DoorFault::Silent,
            1 => DoorFault::Refused,
            2 => DoorFault::AnswersLost,
            _ => DoorFault::AppendsLate(late),
        }
    }

    fn log_fault(&mut self, node: usize, at_ms: u64) -> u64 {
        let fault = self.door_fault();
        let end_ms = at_ms + self.rng.random_range(500..12_000);
        self.add(at_ms, Event::Log { node, fault });
        self.add(end_ms, Event::Log { node, fault: DoorFault::None });
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
        let fault = self.door_fault();
        let end_ms = at_ms + self.rng.random_range(500..8_000);
        self.add(at_ms, Event::EntryLog { entry, fault });
        self.add(end_ms, Event::EntryLog { entry, fault: DoorFault::None });
        end_ms
    }
}
