//! `cuminbarrow explain`: shows why a job waits, or why it runs where it does, or where one would run.

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::ExplainView;
use smol_str::SmolStr;

use crate::api_client::job_path;
use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::job_table;
use crate::client_output::print_json;
use crate::client_output::table;
use crate::command_audit::time_text;
use crate::command_preview::UnsentOptions;
use crate::command_preview::unsent_options;

/// Which job to explain.
#[derive(Clone, Debug, Bpaf)]
pub enum ExplainOptions {
    /// One that has not been submitted
    Unsent(#[bpaf(external(unsent_options))] UnsentOptions),
    /// One that the entries know
    Known {
        /// Team that owns it
        #[bpaf(argument("TEAM"))]
        team: SmolStr,
        /// Its idempotency key
        #[bpaf(positional("JOB"))]
        key: SmolStr,
    },
}

impl ExplainOptions {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let (team, key) = match self {
            Self::Unsent(unsent) => return unsent.run(options).await,
            Self::Known { team, key } => (team, key),
        };
        let path = format!("{}/explain", job_path(&team, &key));
        let view: ExplainView = options.client()?.get(&path).await?;
        if options.json {
            return print_json(&view);
        }
        print!("{}", explain_text(&view));
        Ok(())
    }
}

/// Formats an explanation as text.
pub fn explain_text(view: &ExplainView) -> String {
    let mut text = job_table(std::slice::from_ref(&view.job));
    text.push('\n');
    text.push_str(&format!("shape             {}\n", view.shape));
    if let Some(position) = view.queue_position {
        text.push_str(&format!("queue position    {position}\n"));
    }
    text.push_str(&format!("explanation       {}\n", view.explanation));
    if let Some(reservation) = &view.reservation {
        text.push_str(&format!("reservation       {reservation}\n"));
    }
    if !view.past.is_empty() {
        text.push_str("\nAttempts that are over:\n");
        let rows: Vec<[String; 5]> = view
            .past
            .iter()
            .map(|past| {
                [
                    past.attempt.to_string(),
                    past.lead.to_string(),
                    if past.was_started { "yes" } else { "no" }.to_owned(),
                    time_text(past.at_ms),
                    past.reason.to_string(),
                ]
            })
            .collect();
        text.push_str(&table(["ATTEMPT", "LEAD", "STARTED", "ENDED", "OUTCOME"], &rows));
    }
    if !view.candidates.is_empty() {
        text.push_str("\nWorkers for one member:\n");
        let rows: Vec<[String; 2]> = view
            .candidates
            .iter()
            .map(|candidate| [candidate.worker.to_string(), candidate.reason.to_string()])
            .collect();
        text.push_str(&table(["WORKER", "STATE"], &rows));
    }
    text
}
