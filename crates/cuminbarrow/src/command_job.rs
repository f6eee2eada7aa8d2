//! `cuminbarrow job`: submits, lists, shows, waits for and cancels jobs.

use std::io::Write;

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::JobView;
use cuminbarrow_entry::api_types::PhaseName;
use cuminbarrow_entry::api_types::SubmitBody;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_model::shape::Shape;
use cuminbarrow_model::shape::Span;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::api_client::ApiClient;
use crate::api_client::escape_segment;
use crate::api_client::job_path;
use crate::client_error::ClientError;
use crate::client_error::FileSnafu;
use crate::client_options::ClientOptions;
use crate::client_output::job_table;
use crate::client_output::print_json;

/// A job by its team and key.
#[derive(Clone, Debug, Bpaf)]
pub struct JobName {
    /// Team that owns the job
    #[bpaf(positional("TEAM"))]
    team: String,
    /// Key that it was submitted under
    #[bpaf(positional("KEY"))]
    key: String,
}

/// What to submit.
#[derive(Clone, Debug, Bpaf)]
pub struct SubmitOptions {
    /// Team that owns the job
    #[bpaf(argument("TEAM"))]
    team: SmolStr,
    /// Key of the submission; the same key again gives the same job
    #[bpaf(argument("KEY"))]
    key: String,
    /// Members of the gang
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    members: u8,
    /// Accelerators of each member
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    accelerators: u8,
    /// Processor cores of each member
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    cores: u16,
    /// Memory of each member, in GiB
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    memory_gib: u16,
    /// Connections of each member
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    connections: u8,
    /// Where all members must be: worker, rack or data_centre
    #[bpaf(argument::<String>("SPAN"), parse(parse_span), fallback(Span::DataCentre))]
    span: Span,
    /// A second run would do harm
    #[bpaf(switch)]
    not_repeatable: bool,
    /// A stopped run can go on from a checkpoint
    #[bpaf(switch)]
    checkpointable: bool,
    /// Goes before work that is not urgent
    #[bpaf(switch)]
    urgent: bool,
    /// Expected run time, in ms
    #[bpaf(argument("MS"))]
    run_ms: u64,
    /// When the answer is due, in ms since the Unix epoch
    #[bpaf(argument("MS"), optional)]
    deadline_ms: Option<u64>,
    /// Reference that the tasks are given
    #[bpaf(argument("TEXT"), fallback(SmolStr::default()))]
    payload: SmolStr,
    /// Wait until the job ended
    #[bpaf(switch)]
    wait: bool,
}

/// A command on jobs.
#[derive(Clone, Debug, Bpaf)]
pub enum JobCommand {
    /// Write the job's answer to standard output
    #[bpaf(command)]
    Answer(#[bpaf(external(job_name))] JobName),
    /// Cancel a job
    #[bpaf(command)]
    Cancel(#[bpaf(external(job_name))] JobName),
    /// List jobs, the newest first
    #[bpaf(command)]
    List {
        /// Only those of a team
        #[bpaf(argument("TEAM"), optional)]
        team: Option<String>,
    },
    /// Show a job
    #[bpaf(command)]
    Show(#[bpaf(external(job_name))] JobName),
    /// Submit a job
    #[bpaf(command)]
    Submit(#[bpaf(external(submit_options))] SubmitOptions),
    /// Wait until a job ended
    #[bpaf(command)]
    Wait(#[bpaf(external(job_name))] JobName),
}

fn parse_span(text: String) -> Result<Span, String> {
    match text.as_str() {
        "data_centre" => Ok(Span::DataCentre),
        "rack" => Ok(Span::Rack),
        "worker" => Ok(Span::Worker),
        _ => Err("worker, rack or data_centre is expected".to_owned()),
    }
}

impl SubmitOptions {
    fn body(&self) -> SubmitBody {
        let per_member = Resources {
            cores: self.cores,
            memory_gib: self.memory_gib,
            accelerators: self.accelerators,
            slots: 1,
            connections: self.connections,
        };
        SubmitBody {
            team: self.team.clone(),
            job: JobSpec {
                shape: Shape { members: self.members, per_member, span: self.span },
                repeatable: !self.not_repeatable,
                checkpointable: self.checkpointable,
                urgent: self.urgent,
                deadline_ms: self.deadline_ms,
                declared_run_ms: self.run_ms,
                payload: self.payload.clone(),
            },
        }
    }
}

impl JobCommand {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let client = options.client()?;
        match self {
            Self::Answer(name) => answer(&client, &name).await,
            Self::Cancel(name) => {
                let path = format!("{}/cancel", job_path(&name.team, &name.key));
                let view = client.send(http::Method::POST, &path, &Value::Null).await?;
                print_job(options, &view)
            }
            Self::List { team } => {
                let query = team.map(|team| format!("?team={}", escape_segment(&team)));
                let path = format!("/v1/jobs{}", query.unwrap_or_default());
                print_jobs(options, &client.get::<Vec<JobView>>(&path).await?)
            }
            Self::Show(name) => {
                print_job(options, &client.get(&job_path(&name.team, &name.key)).await?)
            }
            Self::Submit(submit) => {
                let view = client.submit(&submit.key, &submit.body()).await?;
                print_job(options, &view)?;
                if submit.wait {
                    wait(&client, options, &submit.team, &submit.key).await
                } else {
                    Ok(())
                }
            }
            Self::Wait(name) => wait(&client, options, &name.team, &name.key).await,
        }
    }
}

async fn answer(client: &ApiClient, name: &JobName) -> Result<(), ClientError> {
    let path = format!("{}/answer", job_path(&name.team, &name.key));
    let bytes = client.get_bytes(&path).await?;
    std::io::stdout().write_all(&bytes).context(FileSnafu { path: "standard output" })
}

/// Waits until the job has ended and prints it. Each change of its phase is shown on standard
/// error.
async fn wait(
    client: &ApiClient,
    options: &ClientOptions,
    team: &str,
    key: &str,
) -> Result<(), ClientError> {
    let mut shown_phase = None;
    let view = loop {
        let view: JobView = client.get(&job_path(team, key)).await?;
        if view.is_ended() {
            break view;
        }
        if shown_phase != Some(view.phase) {
            eprintln!("{team}/{key}: {:?}, attempt {}", view.phase, view.attempts);
            shown_phase = Some(view.phase);
        }
        let view = client.wait_once(team, key).await?;
        if view.is_ended() {
            break view;
        }
    };
    print_job(options, &view)?;
    if view.phase == PhaseName::Completed {
        return Ok(());
    }
    Err(ClientError::JobFailed { reason: view.reason.unwrap_or_default().to_string() })
}

fn print_job(options: &ClientOptions, view: &JobView) -> Result<(), ClientError> {
    if options.json {
        return print_json(view);
    }
    print!("{}", job_table(std::slice::from_ref(view)));
    Ok(())
}

fn print_jobs(options: &ClientOptions, views: &[JobView]) -> Result<(), ClientError> {
    if options.json {
        return print_json(&views);
    }
    print!("{}", job_table(views));
    Ok(())
}
