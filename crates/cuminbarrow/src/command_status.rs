//! `cuminbarrow status`.

use cuminbarrow_entry::api_types::StatusView;

use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;

pub(crate) async fn run(options: &ClientOptions) -> Result<(), ClientError> {
    let status: StatusView = options.client()?.get("/v1/status").await?;
    if options.json {
        return print_json(&status);
    }
    let planner = status.planner.map(|instance| instance.to_string());
    println!("instance          {}", status.instance);
    println!("applied offset    {}", status.offset);
    println!("log               {}", if status.is_current { "current" } else { "BEHIND" });
    println!("sheet version     {}", status.sheet_version);
    println!("planner           {}", planner.unwrap_or_else(|| "none".to_owned()));
    println!("planner epoch     {}", status.planner_epoch);
    println!("entries           {}", status.entries);
    println!("workers           {} of {} take work", status.workers_up, status.workers);
    println!("jobs              {} wait, {} placed", status.pending, status.placed);
    for guarantee in &status.unheld_guarantees {
        println!("NOT HELD          {guarantee}");
    }
    Ok(())
}
