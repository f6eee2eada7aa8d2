//! `cuminbarrow explain --unsent`: shows where a job would be placed that has not been submitted, and why.

use std::path::PathBuf;

use bpaf::Bpaf;
use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_model::placement_preview::PreviewOutcome;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::api_client::ApiClient;
use crate::api_client::escape_segment;
use crate::client_error::ClientError;
use crate::client_error::FileSnafu;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;

/// A job that has not been submitted.
#[derive(Clone, Debug, Bpaf)]
pub struct UnsentOptions {
    /// Body of a submission that is not sent, as an entry takes it
    #[bpaf(argument("FILE"))]
    unsent: PathBuf,
    #[bpaf(external, optional)]
    unsent_address: Option<UnsentAddress>,
}

/// To whom the job would be submitted on the users' platform.
#[derive(Clone, Debug, Bpaf)]
struct UnsentAddress {
    /// Queue, if it is one of the users' platform; --entry is then the metrics address of an entry there
    #[bpaf(argument("NAME"))]
    queue: SmolStr,
    /// Team that would submit it there; not needed for a public queue
    #[bpaf(argument("TEAM"))]
    team: Option<SmolStr>,
}

impl UnsentOptions {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let path = self.unsent.display().to_string();
        let body = std::fs::read(&self.unsent).context(FileSnafu { path })?;
        let preview: PlacementPreview = match &self.unsent_address {
            None => options.client()?.post_bytes("/v1/jobs/explain", body).await?,
            // The metrics address takes no token.
            Some(address) => {
                let client = ApiClient::without_token(&options.entries);
                client.post_bytes(&address.path(), body).await?
            }
        };
        if options.json {
            return print_json(&preview);
        }
        print!("{}", preview_text(&preview));
        Ok(())
    }
}

impl UnsentAddress {
    fn path(&self) -> String {
        let mut path = format!("/explain?queue={}", escape_segment(&self.queue));
        if let Some(team) = &self.team {
            path.push_str(&format!("&team={}", escape_segment(team)));
        }
        path
    }
}

/// Formats a preview as text.
pub fn preview_text(preview: &PlacementPreview) -> String {
    let mut text = preview_head(preview);
    if !preview.placements.is_empty() {
        text.push_str("\nPlacements of its first tasks:\n");
        let placements = preview.placements.iter();
        let rows: Vec<[String; 2]> = placements
            .map(|placement| [placement.worker.to_string(), placement.tasks.to_string()])
            .collect();
        text.push_str(&table(["WORKER", "TASKS"], &rows));
    }
    if !preview.preemptions.is_empty() {
        text.push_str("\nRunning tasks that would be stopped for it:\n");
        let preemptions = preview.preemptions.iter();
        let rows: Vec<[String; 2]> = preemptions
            .map(|stopped| [stopped.job.to_string(), stopped.tasks.to_string()])
            .collect();
        text.push_str(&table(["JOB", "TASKS"], &rows));
    }
    if !preview.exclusions.is_empty() {
        text.push_str("\nWorkers that take none of its tasks now:\n");
        let exclusions = preview.exclusions.iter();
        let rows: Vec<[String; 3]> = exclusions
            .map(|rule| {
                [rule.workers.to_string(), rule.reason.to_string(), rule.examples.join(",")]
            })
            .collect();
        text.push_str(&table(["WORKERS", "RULE", "EXAMPLES"], &rows));
    }
    text
}

fn preview_head(preview: &PlacementPreview) -> String {
    let outcome = match preview.outcome {
        PreviewOutcome::Starts => "starts",
        PreviewOutcome::Waits => "waits",
        PreviewOutcome::Rejected => "rejected",
        PreviewOutcome::Impossible => "impossible",
    };
    let in_ms = |ms: Option<u64>| ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    let mut rows = vec![
        ("outcome", outcome.to_owned()),
        ("reason", preview.reason.to_string()),
        ("waiting before", preview.waiting_before.to_string()),
        ("expected wait", in_ms(preview.expected_wait_ms)),
    ];
    rows.extend(preview.retry_after_s.map(|delay_s| ("retry after", format!("{delay_s} s"))));
    rows.push(("entry", preview.instance.to_string()));
    rows.push(("age of its state", in_ms(preview.state_age_ms)));
    rows.iter().map(|(name, value)| format!("{name:18}{value}\n")).collect()
}
