//! Which agents live, as the platform sees it.

use std::collections::BTreeSet;
use std::time::Duration;

use async_trait::async_trait;
use snafu::Snafu;

/// Time between signs of life of a member. Two fit into the time to live.
pub(crate) const JOIN_EVERY: Duration = Duration::from_millis(1_200);

/// Why the list of members could not be used.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("the list of live agents can't be used: {reason}"), visibility(pub))]
pub struct MembershipError {
    /// What was seen.
    pub reason: String,
}

/// A group whose members fall out unless they come back in time.
#[async_trait]
pub trait Membership: Send + Sync {
    /// Enters the group, or stays in it.
    ///
    /// # Errors
    /// [`MembershipError`] when the platform did not take note.
    async fn join(&self, incarnation: u64) -> Result<(), MembershipError>;

    /// Incarnations of the members.
    ///
    /// # Errors
    /// [`MembershipError`] when the platform gave no list.
    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError>;
}
