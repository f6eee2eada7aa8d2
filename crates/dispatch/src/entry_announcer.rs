//! Tells the other processes where an entry is, for as long as it runs.

use std::net::SocketAddr;
use std::sync::Arc;

use cuminbarrow_taskgraph::record::GraphRecord;

use crate::entry_directory::EntryAddress;
use crate::entry_directory::EntryDirectory;
use crate::membership::JOIN_EVERY;
use crate::membership::Membership;
use crate::peer_list::ProcessLocation;
use crate::replica::Replica;

/// Keeps the entry announced at `address`, and in the list of live processes.
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
        let is_known = replica.state().processes.contains_key(&replica.incarnation);
        if replica.is_fresh() && !is_known {
            announce(&replica, address).await;
        }
        tokio::time::sleep(JOIN_EVERY).await;
    }
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
        Ok(_) => log::info!(address:% = address; "this entry is announced"),
        Err(error) => log::warn!(address:% = address; "this entry is not announced: {error}"),
    }
}
