//! Measures scheduling decisions by simulation: a seeded workload runs through the real placement
//! policies and the real replicated state. Time and workers are simulated; there is no network and
//! no other process.

mod deployment;
mod event_queue;
mod job_times;
mod load_options;
mod policy_report;
mod policy_run;
mod run_metrics;
mod workload;

use std::process::ExitCode;

use cuminbarrow_policy::first_fit::FirstFit;
use cuminbarrow_policy::guaranteed::Guaranteed;
use cuminbarrow_policy::placement_policy::PlacementPolicy;

use crate::deployment::Deployment;
use crate::load_options::LoadCommand;
use crate::load_options::load_command;
use crate::policy_report::PolicyReport;
use crate::policy_run::PolicyRun;

fn main() -> ExitCode {
    let LoadCommand::Policy { deployment, seed, json } = load_command().run();
    let deployment = Deployment::named(deployment);
    let policies: [Box<dyn PlacementPolicy>; 2] =
        [Box::new(FirstFit), Box::new(Guaranteed::new(deployment.weights))];
    if !json {
        println!("{}", PolicyReport::header());
    }
    let mut has_violations = false;
    for policy in policies {
        let report = PolicyRun::new(&deployment, seed, policy).run();
        has_violations |= report.promises_broken > 0;
        println!("{}", if json { report.json() } else { report.row() });
    }
    if has_violations { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
