//! What operators configure: queues, teams, keys and guarantees.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::job_terms::JobTerms;
use smol_str::SmolStr;

/// A queue that takes jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Name.
    pub name: SmolStr,
    /// Host name that callers use, in lower case.
    pub host: SmolStr,
    /// Path under which its jobs stand.
    pub path_prefix: SmolStr,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Terms on which it accepts jobs, without the team.
    pub terms: JobTerms,
}

/// A team with its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name.
    pub name: SmolStr,
    /// Keys that its callers present.
    pub keys: Vec<SmolStr>,
    /// Accelerators that are its own for urgent jobs.
    pub guaranteed_accelerators: u32,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version; later ones are higher.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Teams.
    pub teams: Vec<TeamAccess>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl Configuration {
    /// The queue with the longest path prefix that a request matches, and the rest of the path.
    pub fn queue_for<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// The team that a key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&SmolStr> {
        let team = self.teams.iter().find(|team| team.keys.iter().any(|known| known == key))?;
        Some(&team.name)
    }

    /// Accelerators guaranteed to each team.
    pub fn guarantees(&self) -> BTreeMap<SmolStr, u32> {
        let teams = self.teams.iter();
        teams.map(|team| (team.name.clone(), team.guaranteed_accelerators)).collect()
    }
}
