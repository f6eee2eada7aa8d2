//! `cuminbarrow status`: shows the deployment's state and the replication lag of each entry.

use cuminbarrow_entry::api_types::InstanceView;
use cuminbarrow_entry::api_types::StatusView;
use serde::Serialize;

use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;

/// JSON output: state as seen by the entry that answered, and replication state of each entry.
#[derive(Serialize)]
struct StatusOutput {
    status: StatusView,
    instances: Vec<InstanceView>,
}

pub(crate) async fn run(options: &ClientOptions) -> Result<(), ClientError> {
    let client = options.client()?;
    let status: StatusView = client.get("/v1/status").await?;
    let instances: Vec<InstanceView> = client.get("/v1/instances").await?;
    if options.json {
        return print_json(&StatusOutput { status, instances });
    }
    let planner = status.planner.map(|instance| instance.to_string());
    println!("answered by       {}", status.instance);
    println!("sheet version     {}", status.sheet_version);
    println!("planner           {}", planner.unwrap_or_else(|| "none".to_owned()));
    println!("planner epoch     {}", status.planner_epoch);
    println!("workers           {} of {} take work", status.workers_up, status.workers);
    println!("jobs              {} wait, {} placed", status.pending, status.placed);
    for guarantee in &status.unheld_guarantees {
        println!("NOT HELD          {guarantee}");
    }
    println!();
    print!("{}", instance_table(&instances));
    Ok(())
}

fn instance_table(instances: &[InstanceView]) -> String {
    let text = |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
    let rows: Vec<[String; 6]> = instances
        .iter()
        .map(|view| {
            [
                view.instance.to_string(),
                view.region.to_string(),
                text(view.offset),
                text(view.behind),
                text(view.sheet_version),
                log_state(view).to_owned(),
            ]
        })
        .collect();
    table(["INSTANCE", "REGION", "OFFSET", "BEHIND", "SHEET", "LOG"], &rows)
}

/// Whether an entry answers and follows the log.
fn log_state(view: &InstanceView) -> &'static str {
    match (view.offset, view.is_current) {
        (None, _) => "NO ANSWER",
        (Some(_), false) => "CUT OFF",
        (Some(_), true) => "current",
    }
}
