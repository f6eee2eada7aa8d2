//! Appends of many processes in one call.
//!
//! The log takes the appends of a stream one at a time, some ms each and fifty times that when it
//! is slow. Of what waits while a call is under way, the next call carries all, so that a slow log
//! is asked a few times a second however many processes write.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Appends that may wait.
const QUEUE_APPENDS: usize = 4_096;
/// Bytes in one call at most; the log takes 2 MB.
const CALL_BYTES: usize = 512 * 1024;

struct WaitingAppend {
    body: Bytes,
    answer: oneshot::Sender<Result<u64, LogError>>,
}

/// A log whose appends to the records are combined.
pub struct GroupCommitLog {
    inner: Arc<dyn LogStore>,
    sender: mpsc::Sender<WaitingAppend>,
}

impl GroupCommitLog {
    /// Combines the appends to `inner`.
    pub fn new(inner: Arc<dyn LogStore>) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_APPENDS);
        tokio::spawn(append_waiting(Arc::clone(&inner), receiver));
        Self { inner, sender }
    }
}

async fn append_waiting(log: Arc<dyn LogStore>, mut receiver: mpsc::Receiver<WaitingAppend>) {
    while let Some(first) = receiver.recv().await {
        let mut bytes = first.body.len();
        let mut waiting = vec![first];
        while bytes < CALL_BYTES {
            let Ok(next) = receiver.try_recv() else { break };
            bytes += next.body.len();
            waiting.push(next);
        }
        // Who has given up is not written for: it may have been told that nothing was done.
        waiting.retain(|append| !append.answer.is_closed());
        if waiting.is_empty() {
            continue;
        }
        let bodies = waiting.iter().map(|append| append.body.clone()).collect();
        let result = log.append_all(LogStream::Records, bodies).await;
        let is_unanswered = matches!(result, Err(LogError::Uncertain { .. }));
        for (place, append) in (0..).zip(waiting) {
            let result = result.clone().map(|offset| offset + place);
            // The caller may be gone; its record is told by the log.
            let _ = append.answer.send(result);
        }
        if is_unanswered {
            refuse_waiting(&mut receiver);
        }
    }
}

/// Refuses what was not sent, so that it takes another way instead of a second silent call.
fn refuse_waiting(receiver: &mut mpsc::Receiver<WaitingAppend>) {
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
        if self.sender.try_send(WaitingAppend { body, answer }).is_err() {
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

    async fn save_chunks(&self, chunks: Vec<Bytes>) -> Result<(), LogError> {
        self.inner.save_chunks(chunks).await
    }

    async fn load_chunks(&self) -> Result<Vec<Vec<u8>>, LogError> {
        self.inner.load_chunks().await
    }
}
