//! Directory of entries, for processes that have no state yet.
//!
//! An agent that starts gets this small list from the platform and loads the state from an entry of
//! its data centre. If agents read the log directly, a restart of all processes would send the whole
//! state over the link between regions once for each worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::peer_list::PeerChoice;
use crate::peer_list::PeerList;
use crate::replica::Replica;

/// Time between requests for the list by a process that has no state yet.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Address and location of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddress {
    /// Instance on which the entry runs.
    pub instance: SmolStr,
    /// Region in which it runs.
    pub region: SmolStr,
    /// Data centre in which it runs.
    pub data_centre: SmolStr,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
}

/// The list of entries could not be read or changed.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("the list of entries can't be used: {reason}"), visibility(pub))]
pub struct DirectoryError {
    /// What went wrong.
    pub reason: String,
}

/// The platform's list of entries.
#[async_trait]
pub trait EntryDirectory: Send + Sync {
    /// Publishes an entry, replacing any previous one on the same instance.
    ///
    /// # Errors
    /// [`DirectoryError`] if the platform did not confirm the update.
    async fn publish(&self, entry: &EntryAddress) -> Result<(), DirectoryError>;

    /// All published entries.
    ///
    /// # Errors
    /// [`DirectoryError`] if the platform returned no list.
    async fn entries(&self) -> Result<Vec<EntryAddress>, DirectoryError>;
}

/// Takes the peers from the directory until the replica has applied records, which list the entries.
pub async fn bootstrap_peers(
    directory: Arc<dyn EntryDirectory>,
    replica: Arc<Replica>,
    peers: Arc<PeerList>,
) {
    while replica.state().offset == 0 {
        tokio::time::sleep(LIST_INTERVAL).await;
        list_peers(&*directory, &replica, &peers).await;
    }
}

/// Takes the peers from the directory once, unless the replica has applied records.
pub async fn list_peers(directory: &dyn EntryDirectory, replica: &Replica, peers: &PeerList) {
    match directory.entries().await {
        Err(error) => log::warn!("{error}"),
        Ok(entries) => {
            let spread = replica.incarnation % 64;
            let choice = PeerChoice::from_directory(&entries, &replica.location, spread);
            if replica.state().offset == 0 {
                peers.set(choice);
            }
        }
    }
}
