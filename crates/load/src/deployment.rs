//! Sizes and workloads of the simulated deployments.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use cuminbarrow_model::topology::Location;
use cuminbarrow_model::worker::WorkerSpec;
use cuminbarrow_policy::policy_weights::PolicyWeights;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::load_options::DeploymentName;

/// Milliseconds per hour.
pub(crate) const HOUR_MS: u64 = 3_600_000;

/// One kind of job of a workload: ranges and distributions from which its jobs are drawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobKind {
    /// Relative frequency of this kind.
    pub(crate) weight: u32,
    /// Least and greatest number of members.
    pub(crate) members: (u8, u8),
    /// Least and greatest number of accelerators of each member.
    pub(crate) accelerators: (u8, u8),
    pub(crate) cores: u16,
    pub(crate) memory_gib: u16,
    pub(crate) span: Span,
    /// Median of the actual run time, in ms.
    pub(crate) median_run_ms: f64,
    /// Sigma of the log-normally distributed run time.
    pub(crate) run_sigma: f64,
    /// Share of urgent jobs.
    pub(crate) urgent: f64,
    /// Share of repeatable jobs.
    pub(crate) repeatable: f64,
    /// Share of checkpointable jobs among the repeatable ones.
    pub(crate) checkpointable: f64,
}

/// A simulated deployment and the parameters of its workload.
pub(crate) struct Deployment {
    pub(crate) name: DeploymentName,
    pub(crate) weights: PolicyWeights,
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) teams: Vec<TeamSpec>,
    pub(crate) job_kinds: Vec<JobKind>,
    /// Period in which jobs arrive, in ms.
    pub(crate) horizon_ms: u64,
    /// Number of jobs that arrive after the start.
    pub(crate) jobs: usize,
    /// Number of jobs that are submitted at the start, to fill the deployment.
    pub(crate) initial_jobs: usize,
    /// Number of batches after which all invariants of the state are checked.
    pub(crate) check_interval_batches: u64,
}

impl Deployment {
    pub(crate) fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Archive => archive(),
            DeploymentName::Dobrescu => dobrescu(),
            DeploymentName::Target => target(),
        }
    }

    pub(crate) fn sheet(&self) -> Sheet {
        Sheet { base: 0, teams: self.teams.clone(), jobs: Vec::new() }
    }
}

fn per_member(accelerators: u8, cores: u16, memory_gib: u16) -> Resources {
    Resources { cores, memory_gib, accelerators, slots: 1, connections: 1 }
}

fn worker(index: usize, centre: usize, rack: usize, capacity: Resources) -> WorkerSpec {
    WorkerSpec {
        name: format_smolstr!("w{index:03}"),
        location: Location {
            region: if centre.is_multiple_of(2) { SmolStr::new("a") } else { SmolStr::new("b") },
            data_centre: format_smolstr!("dc{centre}"),
            rack: format_smolstr!("r{rack}"),
        },
        capacity,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    }
}

/// Ten workers in racks of three, spread over two data centres of one region and one of another.
fn ten_workers(cores: u16, memory_gib: u16) -> Vec<WorkerSpec> {
    let capacity = Resources { cores, memory_gib, accelerators: 8, slots: 8, connections: 60 };
    (0..10).map(|index| worker(index, [0, 0, 2, 1][index / 3], index / 3, capacity)).collect()
}

/// A team with guarantees given as members, accelerators of each member, count and span.
fn team(name: &str, guarantees: &[(u8, u8, u8, Span)], cores: u16, memory_gib: u16) -> TeamSpec {
    let guarantees = guarantees.iter().enumerate();
    TeamSpec {
        name: SmolStr::new(name),
        guarantees: guarantees
            .map(|(index, (members, accelerators, count, span))| Guarantee {
                name: format_smolstr!("g{index}"),
                shape: Shape {
                    members: *members,
                    per_member: per_member(*accelerators, cores, memory_gib),
                    span: *span,
                },
                count: *count,
            })
            .collect(),
        max_pending: 5_000,
    }
}

fn archive() -> Deployment {
    let nightly = JobKind {
        weight: 18,
        members: (2, 4),
        accelerators: (4, 8),
        cores: 8,
        memory_gib: 16,
        span: Span::DataCentre,
        median_run_ms: 0.8 * HOUR_MS as f64,
        run_sigma: 0.7,
        urgent: 0.0,
        repeatable: 0.9,
        checkpointable: 0.8,
    };
    let sweep = JobKind {
        weight: 34,
        members: (1, 1),
        accelerators: (1, 4),
        median_run_ms: 0.3 * HOUR_MS as f64,
        run_sigma: 0.9,
        repeatable: 0.3,
        span: Span::Worker,
        ..nightly
    };
    let check = JobKind {
        weight: 48,
        members: (1, 2),
        accelerators: (1, 2),
        median_run_ms: 0.1 * HOUR_MS as f64,
        run_sigma: 0.9,
        urgent: 0.2,
        repeatable: 0.9,
        span: Span::Rack,
        ..nightly
    };
    Deployment {
        name: DeploymentName::Archive,
        weights: PolicyWeights::COMPLETION,
        workers: ten_workers(130, 250),
        teams: vec![
            team("bratislava", &[(2, 8, 1, Span::Rack)], 8, 16),
            team("nitra", &[(1, 8, 1, Span::Worker), (1, 4, 1, Span::Worker)], 8, 16),
            team("kosice", &[(2, 4, 1, Span::Rack)], 8, 16),
            team("vellum", &[(1, 4, 1, Span::Worker)], 8, 16),
        ],
        job_kinds: vec![nightly, sweep, check],
        horizon_ms: 48 * HOUR_MS,
        jobs: 480,
        initial_jobs: 10,
        check_interval_batches: 1,
    }
}

fn dobrescu() -> Deployment {
    let reprint = JobKind {
        weight: 25,
        members: (2, 4),
        accelerators: (8, 8),
        cores: 4,
        memory_gib: 8,
        span: Span::DataCentre,
        median_run_ms: 0.5 * HOUR_MS as f64,
        run_sigma: 0.6,
        urgent: 0.0,
        repeatable: 0.5,
        checkpointable: 0.8,
    };
    let label = JobKind {
        weight: 45,
        members: (1, 1),
        accelerators: (1, 2),
        cores: 3,
        memory_gib: 6,
        median_run_ms: 0.1 * HOUR_MS as f64,
        run_sigma: 0.8,
        urgent: 0.15,
        repeatable: 0.9,
        span: Span::Worker,
        ..reprint
    };
    let barcode = JobKind {
        weight: 30,
        members: (1, 3),
        accelerators: (1, 4),
        median_run_ms: 0.4 * HOUR_MS as f64,
        run_sigma: 0.9,
        repeatable: 0.95,
        span: Span::Rack,
        ..reprint
    };
    Deployment {
        name: DeploymentName::Dobrescu,
        weights: PolicyWeights::FRAGMENTATION,
        workers: ten_workers(30, 60),
        teams: vec![
            team("buzau", &[(2, 8, 1, Span::Rack)], 4, 8),
            team("bacau", &[(1, 8, 1, Span::Worker)], 4, 8),
            team("roman", &[(1, 8, 1, Span::Worker)], 4, 8),
            team("sorting", &[(1, 4, 2, Span::Worker)], 4, 8),
        ],
        job_kinds: vec![reprint, label, barcode],
        horizon_ms: 48 * HOUR_MS,
        jobs: 560,
        initial_jobs: 10,
        check_interval_batches: 1,
    }
}

/// A deployment of 550 workers with 590 accelerators, about 15 tasks on each worker, and 74 teams.
fn target() -> Deployment {
    let workers = (0..550)
        .map(|index| {
            let accelerators = if index % 14 == 13 { 2 } else { 1 };
            let accelerators = if index >= 548 { accelerators + 1 } else { accelerators };
            let capacity =
                Resources { cores: 64, memory_gib: 256, accelerators, slots: 18, connections: 60 };
            worker(index, index / 69, index / 10, capacity)
        })
        .collect();
    let teams = (0..74)
        .map(|index| {
            let members = if index % 8 == 0 { 16 } else { 4 };
            let name = format_smolstr!("team-{index:02}");
            team(&name, &[(members, 1, 1, Span::DataCentre)], 3, 12)
        })
        .collect();
    let gang = JobKind {
        weight: 25,
        members: (8, 64),
        accelerators: (0, 1),
        cores: 3,
        memory_gib: 12,
        span: Span::DataCentre,
        median_run_ms: 3.0 * HOUR_MS as f64,
        run_sigma: 0.7,
        urgent: 0.0,
        repeatable: 0.9,
        checkpointable: 0.8,
    };
    let batch = JobKind {
        weight: 55,
        members: (8, 48),
        accelerators: (0, 0),
        median_run_ms: 4.0 * HOUR_MS as f64,
        repeatable: 0.9,
        ..gang
    };
    let urgent = JobKind {
        weight: 20,
        members: (1, 8),
        accelerators: (0, 1),
        median_run_ms: 0.3 * HOUR_MS as f64,
        urgent: 1.0,
        ..gang
    };
    Deployment {
        name: DeploymentName::Target,
        weights: PolicyWeights::COMPLETION,
        workers,
        teams,
        job_kinds: vec![gang, batch, urgent],
        horizon_ms: 12 * HOUR_MS,
        jobs: 500,
        initial_jobs: 320,
        check_interval_batches: 50,
    }
}
