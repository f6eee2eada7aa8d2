//! `cuminbarrow team`: lists teams and the state of their guarantees.

use bpaf::Bpaf;
use cuminbarrow_entry::api_types::TeamView;

use crate::client_error::ClientError;
use crate::client_options::ClientOptions;
use crate::client_output::print_json;
use crate::client_output::table;

/// A command on teams.
#[derive(Clone, Debug, Bpaf)]
pub enum TeamCommand {
    /// List teams and their guarantees
    #[bpaf(command)]
    List,
}

impl TeamCommand {
    pub(crate) async fn run(self, options: &ClientOptions) -> Result<(), ClientError> {
        let Self::List = self;
        let teams: Vec<TeamView> = options.client()?.get("/v1/teams").await?;
        if options.json {
            return print_json(&teams);
        }
        let mut rows = Vec::new();
        for team in &teams {
            if team.reservations.is_empty() {
                rows.push(row(team, "-", "-", "-"));
            }
            for held in &team.reservations {
                let state = match (held.is_held, held.is_used) {
                    (false, _) => "NOT HELD",
                    (true, false) => "idle",
                    (true, true) => "used",
                };
                rows.push(row(team, &held.guarantee, &held.shape.to_string(), state));
            }
        }
        print!("{}", table(["TEAM", "PENDING", "GUARANTEE", "SHAPE", "STATE"], &rows));
        Ok(())
    }
}

fn row(team: &TeamView, guarantee: &str, shape: &str, state: &str) -> [String; 5] {
    let cells = [guarantee, shape, state].map(ToOwned::to_owned);
    let [guarantee, shape, state] = cells;
    [team.name.to_string(), team.pending.to_string(), guarantee, shape, state]
}
