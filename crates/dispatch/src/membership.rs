//! The group of live agents and entries, kept by the platform.

use std::collections::BTreeSet;
use std::time::Duration;

use async_trait::async_trait;
use snafu::Snafu;

/// Time between heartbeats of a member. Two fit into the platform's time to live.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(1_200);

/// The group could not be joined or listed.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("the list of live agents can't be used: {reason}"), visibility(pub))]
pub struct MembershipError {
    /// What went wrong.
    pub reason: String,
}

/// A group from which members are dropped unless they send heartbeats in time.
#[async_trait]
pub trait Membership: Send + Sync {
    /// Joins the group or renews the membership.
    ///
    /// # Errors
    /// [`MembershipError`] if the platform did not confirm the update.
    async fn join(&self, incarnation: u64) -> Result<(), MembershipError>;

    /// Incarnations of the members.
    ///
    /// # Errors
    /// [`MembershipError`] if the platform returned no list.
    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError>;
}
