//! Group commit: the appends of many callers in one call to the log.
//!
//! The log processes the appends to a stream one at a time, in a few ms each, and fifty times as long
//! when it is slow. All appends that queue up while a call is in flight are sent in the next call, so
//! that a slow log gets a few calls a second however many processes write.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use cuminbarrow_resources::log_store::RetainedLog;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Maximum number of queued appends.
const MAX_QUEUED_APPENDS: usize = 4_096;
/// Size of a group beyond which no more appends are added to it, in bytes. The log accepts calls of
/// up to 2 MB.
const MAX_GROUP_BYTES: usize = 512 * 1024;

struct QueuedAppend {
    body: Bytes,
    answer: oneshot::Sender<Result<u64, LogError>>,
}

/// A log client that combines concurrent appends to the record stream into one call.
pub struct GroupCommitLog {
    inner: Arc<dyn LogStore>,
    sender: mpsc::Sender<QueuedAppend>,
}

impl GroupCommitLog {
    /// Combines the appends to `inner`.
    pub fn new(inner: Arc<dyn LogStore>) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_APPENDS);
        tokio::spawn(run_appends(Arc::clone(&inner), receiver));
        Self { inner, sender }
    }
}

async fn run_appends(log: Arc<dyn LogStore>, mut receiver: mpsc::Receiver<QueuedAppend>) {
    while let Some(first) = receiver.recv().await {
        let mut bytes = first.body.len();
        let mut group = vec![first];
        while bytes < MAX_GROUP_BYTES {
            let Ok(next) = receiver.try_recv() else { break };
            bytes += next.body.len();
            group.push(next);
        }
        // A caller that has timed out may have been told that nothing was written, so its append is
        // dropped.
        group.retain(|append| !append.answer.is_closed());
        if group.is_empty() {
            continue;
        }
        let bodies = group.iter().map(|append| append.body.clone()).collect();
        let result = log.append_all(LogStream::Records, bodies).await;
        if matches!(result, Err(LogError::Rejected { .. })) && group.len() > 1 {
            append_each(&*log, group).await;
            continue;
        }
        let is_unanswered = matches!(result, Err(LogError::Uncertain { .. }));
        for (index, append) in (0..).zip(group) {
            let result = result.clone().map(|offset| offset + index);
            // The caller may have gone; its record is then found by reading the log.
            let _ = append.answer.send(result);
        }
        if is_unanswered {
            refuse_queued(&mut receiver);
        }
    }
}

/// Appends each of a group that the log rejects by itself, so that only those which it can't take fail.
async fn append_each(log: &dyn LogStore, group: Vec<QueuedAppend>) {
    for append in group {
        let result = log.append(LogStream::Records, append.body).await;
        let _ = append.answer.send(result);
    }
}

/// Refuses the queued appends, which were not sent: their callers then use another path instead of
/// waiting for another call that may stay unanswered.
fn refuse_queued(receiver: &mut mpsc::Receiver<QueuedAppend>) {
    while let Ok(append) = receiver.try_recv() {
        let reason = "the append before this one got no answer".to_owned();
        let _ = append.answer.send(Err(LogError::Unavailable { reason }));
    }
}

#[async_trait]
impl LogStore for GroupCommitLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        if stream != LogStream::Records {
            return self.inner.append(stream, body).await;
        }
        let (answer, receiver) = oneshot::channel();
        if self.sender.try_send(QueuedAppend { body, answer }).is_err() {
            let reason = "too many appends wait".to_owned();
            return Err(LogError::Unavailable { reason });
        }
        match receiver.await {
            Ok(result) => result,
            Err(_) => Err(LogError::Uncertain { reason: "the append was dropped".to_owned() }),
        }
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        self.inner.read(stream, from, limit, wait_ms).await
    }

    async fn save_snapshot(&self, offset: u64, chunks: Vec<Bytes>) -> Result<(), LogError> {
        self.inner.save_snapshot(offset, chunks).await
    }

    async fn load_snapshot_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        self.inner.load_snapshot_chunks().await
    }

    async fn load_retained(&self) -> Result<Option<RetainedLog>, LogError> {
        self.inner.load_retained().await
    }

    fn release_before(&self, offset: u64) {
        self.inner.release_before(offset);
    }
}
