//! Where entries are, for processes that have no state yet.
//!
//! An agent that starts asks the platform for this small list and takes its state from an entry of
//! its data centre. Were it to read the log itself, a restart of everything would send the state
//! over the link between regions once for each worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::peer_list::PeerChoice;
use crate::peer_list::PeerList;
use crate::replica::Replica;

/// Time between looks at the list by a process that has no state yet.
const LOOK: Duration = Duration::from_millis(500);

/// Where an entry is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddress {
    /// Instance on which it runs.
    pub instance: SmolStr,
    /// Region in which it stands.
    pub region: SmolStr,
    /// Data centre in which it stands.
    pub data_centre: SmolStr,
    /// Where other processes reach it.
    pub address: SocketAddr,
}

/// Why the list could not be used.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("the list of entries can't be used: {reason}"), visibility(pub))]
pub struct DirectoryError {
    /// What was seen.
    pub reason: String,
}

/// The list of entries.
#[async_trait]
pub trait EntryDirectory: Send + Sync {
    /// Puts an entry in the location of any earlier one on its instance.
    ///
    /// # Errors
    /// [`DirectoryError`] when the platform did not take note.
    async fn publish(&self, entry: &EntryAddress) -> Result<(), DirectoryError>;

    /// All entries that were published.
    ///
    /// # Errors
    /// [`DirectoryError`] when the platform gave no list.
    async fn entries(&self) -> Result<Vec<EntryAddress>, DirectoryError>;
}

/// Takes the entries to read through from the list, until the log tells of them.
pub async fn bootstrap_peers(
    directory: Arc<dyn EntryDirectory>,
    replica: Arc<Replica>,
    peers: Arc<PeerList>,
) {
    while replica.state().offset == 0 {
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
        tokio::time::sleep(LOOK).await;
    }
}
