//! `cuminbarrow worker`: lists, drains and resumes workers.

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::WorkerView;

use crate::api_client::escape_segment;
use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;

/// A command on workers.
#[derive(Clone, Debug, Bpaf)]
pub enum WorkerCommand {
    /// Give a worker no new work
    #[bpaf(command)]
    Drain {
        /// Worker's name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List workers
    #[bpaf(command)]
    List,
    /// Take back a drain
    #[bpaf(command)]
    Resume {
        /// Worker's name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

impl WorkerCommand {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let client = options.client()?;
        match self {
            Self::Drain { name } => {
                client.post_action(&format!("/v1/workers/{}/drain", escape_segment(&name))).await
            }
            Self::List => print_workers(options, &client.get("/v1/workers").await?),
            Self::Resume { name } => {
                client.post_action(&format!("/v1/workers/{}/resume", escape_segment(&name))).await
            }
        }
    }
}

fn print_workers(options: &ClientOptions, workers: &Vec<WorkerView>) -> Result<(), ClientError> {
    if options.json {
        return print_json(workers);
    }
    let rows: Vec<[String; 7]> = workers
        .iter()
        .map(|worker| {
            [
                worker.name.to_string(),
                worker.region.to_string(),
                worker.data_centre.to_string(),
                worker.rack.to_string(),
                format!("{:?}", worker.status),
                format!("{}/{}", worker.used.accelerators, worker.capacity.accelerators),
                format!("{}/{}", worker.used.slots, worker.capacity.slots),
            ]
        })
        .collect();
    let header = ["WORKER", "REGION", "DATA CENTRE", "RACK", "STATUS", "ACCELERATORS", "SLOTS"];
    print!("{}", table(header, &rows));
    Ok(())
}
