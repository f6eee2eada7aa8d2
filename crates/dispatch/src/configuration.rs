//! The operators' configuration: queues, teams, API keys and guarantees.

use std::collections::BTreeMap;

use cuminbarrow_taskgraph::job_terms::JobTerms;
use smol_str::SmolStr;

/// A queue to which jobs are submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Name of the queue.
    pub name: SmolStr,
    /// Host name that callers use, in lower case.
    pub host: SmolStr,
    /// Prefix of the URL paths of its jobs.
    pub path_prefix: SmolStr,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Terms of the jobs that it accepts; the team is left empty.
    pub terms: JobTerms,
}

/// A team with its keys and guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name of the team.
    pub name: SmolStr,
    /// API keys of the team's callers.
    pub keys: Vec<SmolStr>,
    /// Number of accelerators guaranteed to the team for urgent jobs.
    pub guaranteed_accelerators: u32,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All teams.
    pub teams: Vec<TeamAccess>,
    /// Path of health checks at the workers of a service, for services that have one.
    pub health_paths: BTreeMap<SmolStr, SmolStr>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Queue {
    /// Address by which callers name the queue: the host and the path prefix.
    pub fn address(&self) -> SmolStr {
        format!("{}{}", self.host, self.path_prefix).into()
    }
}

impl Configuration {
    /// The queue that jobs belong to which were submitted at an address: the one that has it, or else the
    /// one of the name that the queue there had.
    pub fn queue_of_jobs_at(&self, address: &str, name: &str) -> Option<&Queue> {
        let is_there = |queue: &&Queue| {
            let path_prefix = address.strip_prefix(queue.host.as_str());
            path_prefix.is_some_and(|path_prefix| path_prefix == queue.path_prefix)
        };
        // Of two queues with one address, `queue_for` yields the last as well.
        let holder = self.queues.iter().rfind(is_there);
        holder.or_else(|| self.queues.iter().find(|queue| queue.name == name))
    }

    /// The queue with the longest matching path prefix for a request, and the rest of the path.
    pub fn queue_for<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// The team that owns a key.
    pub fn team_of(&self, key: &str) -> Option<&SmolStr> {
        let team = self.teams.iter().find(|team| team.keys.iter().any(|known| known == key))?;
        Some(&team.name)
    }

    /// Number of accelerators guaranteed to each team.
    pub fn guarantees(&self) -> BTreeMap<SmolStr, u32> {
        let teams = self.teams.iter();
        teams.map(|team| (team.name.clone(), team.guaranteed_accelerators)).collect()
    }
}
