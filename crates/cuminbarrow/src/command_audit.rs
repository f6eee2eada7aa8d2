//! `cuminbarrow audit`: lists who applied which sheet.

use cuminbarrow_ledger::state::AuditEntry;
use jiff::Timestamp;

use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;

pub(crate) async fn run(options: &ClientOptions) -> Result<(), ClientError> {
    let entries: Vec<AuditEntry> = options.client()?.get("/v1/audit").await?;
    if options.json {
        return print_json(&entries);
    }
    let rows: Vec<[String; 4]> = entries
        .iter()
        .map(|entry| {
            [
                entry.version.to_string(),
                entry.base.to_string(),
                entry.author.to_string(),
                time_text(entry.at_ms),
            ]
        })
        .collect();
    print!("{}", table(["VERSION", "BASE", "BY", "AT"], &rows));
    Ok(())
}

/// Formats a time in UTC; a time out of range is shown in ms.
pub(crate) fn time_text(at_ms: u64) -> String {
    let at = i64::try_from(at_ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    at.map_or_else(|| at_ms.to_string(), |at| at.strftime("%Y-%m-%d %H:%M:%S").to_string())
}
