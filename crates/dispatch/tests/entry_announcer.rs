//! An entry is announced in the log as soon as it has read it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::clock::SystemClock;
use cuminbarrow_dispatch::direct_path::DirectPath;
use cuminbarrow_dispatch::entry_announcer;
use cuminbarrow_dispatch::entry_directory::DirectoryError;
use cuminbarrow_dispatch::entry_directory::EntryAddress;
use cuminbarrow_dispatch::entry_directory::EntryDirectory;
use cuminbarrow_dispatch::membership::Membership;
use cuminbarrow_dispatch::membership::MembershipError;
use cuminbarrow_dispatch::peer_list::PeerList;
use cuminbarrow_dispatch::peer_list::ProcessLocation;
use cuminbarrow_dispatch::replica::Replica;
use cuminbarrow_protocol::link::LinkDialer;
use cuminbarrow_protocol::shared_key::SharedKey;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_taskgraph::record::ProcessRole;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time that the log takes for a read. Nothing else in these tests takes time.
const READ_TIME: Duration = Duration::from_millis(4);
/// Limit of the time from the entry's first read to its announcement, which waits for nothing.
const ANNOUNCEMENT_LIMIT: Duration = Duration::from_millis(4);

/// An empty log, which reports when it is appended to.
struct SlowlyReadLog {
    appended: mpsc::UnboundedSender<Instant>,
}

#[async_trait]
impl LogStore for SlowlyReadLog {
    async fn append(&self, _stream: LogStream, _body: Bytes) -> Result<u64, LogError> {
        self.appended.send(Instant::now()).unwrap();
        Ok(0)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        _limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        if stream == LogStream::Snapshots {
            return Ok(LogPage::default());
        }
        let wait = Duration::from_millis(u64::from(wait_ms));
        tokio::time::sleep(READ_TIME + wait).await;
        Ok(LogPage { next: from, first: from, ..LogPage::default() })
    }
}

/// The platform's services, which answer at once.
struct PromptPlatform;

#[async_trait]
impl Membership for PromptPlatform {
    async fn join(&self, _incarnation: u64) -> Result<(), MembershipError> {
        Ok(())
    }

    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError> {
        Ok(BTreeSet::new())
    }
}

#[async_trait]
impl EntryDirectory for PromptPlatform {
    async fn publish(&self, _entry: &EntryAddress) -> Result<(), DirectoryError> {
        Ok(())
    }

    async fn entries(&self) -> Result<Vec<EntryAddress>, DirectoryError> {
        Ok(Vec::new())
    }
}

/// An entry that joined its group before it had read the log was announced only after the next
/// heartbeat. It served callers meanwhile, and appended apart from the other entries of its region.
#[tokio::test(start_paused = true)]
async fn an_entry_that_joins_before_its_first_read_is_announced_after_that_read() {
    let (appended, mut appends) = mpsc::unbounded_channel();
    let direct = Arc::new(DirectPath::new(Arc::new(SlowlyReadLog { appended })));
    let location = ProcessLocation {
        role: ProcessRole::Entry,
        instance: "entry".into(),
        region: "region".into(),
        data_centre: "dc".into(),
    };
    let dialer = LinkDialer::new(SharedKey::new("key"), Arc::default());
    let peers = Arc::new(PeerList::default());
    let replica = Replica::new(direct, Arc::new(SystemClock), location, peers, &dialer);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let platform = Arc::new(PromptPlatform);
    let directory = Arc::clone(&platform) as Arc<dyn EntryDirectory>;
    let started = Instant::now();
    tokio::spawn(Arc::clone(&replica).run());
    tokio::spawn(entry_announcer::run(replica, platform, directory, address));
    let announced = appends.recv().await.unwrap();
    let delay = announced - started - READ_TIME;
    assert!(delay < ANNOUNCEMENT_LIMIT, "announced {delay:?} after the first read");
}
