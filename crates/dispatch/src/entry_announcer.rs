//! Announces an entry's address to the other processes for as long as the entry runs.

use std::net::SocketAddr;
use std::sync::Arc;

use cuminbarrow_taskgraph::record::GraphRecord;
use tokio::time::Instant;

use crate::entry_directory::EntryAddress;
use crate::entry_directory::EntryDirectory;
use crate::membership::JOIN_INTERVAL;
use crate::membership::Membership;
use crate::peer_list::ProcessLocation;
use crate::replica::Replica;

/// Publishes `address` in the directory, keeps the entry a member of the group of live processes, and
/// records its address in the log again whenever it is missing there.
///
/// An entry that has just started is announced as soon as it has read the log. Until then the entries
/// of its region do not append through each other, and none has the batches of the others in its cache.
pub async fn run(
    replica: Arc<Replica>,
    membership: Arc<dyn Membership>,
    directory: Arc<dyn EntryDirectory>,
    address: SocketAddr,
) {
    let mut is_published = false;
    loop {
        if !is_published {
            is_published = publish(&replica, &*directory, address).await;
        }
        if let Err(error) = membership.join(replica.incarnation).await {
            log::warn!("{error}");
        }
        let next_join = Instant::now() + JOIN_INTERVAL;
        let fresh = tokio::time::timeout_at(next_join, wait_until_fresh(&replica)).await;
        let is_known = replica.state().processes.contains_key(&replica.incarnation);
        if fresh.is_ok() && !is_known {
            announce(&replica, address).await;
        }
        tokio::time::sleep_until(next_join).await;
    }
}

async fn wait_until_fresh(replica: &Replica) {
    let mut confirmed = replica.log.confirmed();
    while !replica.is_fresh() && confirmed.changed().await.is_ok() {}
}

async fn publish(replica: &Replica, directory: &dyn EntryDirectory, address: SocketAddr) -> bool {
    let ProcessLocation { instance, region, data_centre, .. } = replica.location.clone();
    let entry = EntryAddress { instance, region, data_centre, address };
    match directory.publish(&entry).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("{error}");
            false
        }
    }
}

async fn announce(replica: &Replica, address: SocketAddr) {
    let location = replica.location.clone();
    let record = GraphRecord::ProcessUp {
        incarnation: replica.incarnation,
        role: location.role,
        instance: location.instance,
        region: location.region,
        data_centre: location.data_centre,
        address,
    };
    match replica.write(record).await {
        Ok(_) => log::info!(address:% = address; "announced this entry in the log"),
        Err(error) => log::warn!(address:% = address; "failed to announce this entry: {error}"),
    }
}
