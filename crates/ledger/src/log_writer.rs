//! Group commit: all queued records go into one append, with one append in flight at a time.
//!
//! A batch keeps its identity over all retries, so that a duplicate in the log is applied once. A
//! caller gets [`WriteError::NotWritten`] only if its record was never sent, or if the log service
//! definitely refused it. After a lost response it gets [`WriteError::Unknown`], and the batch is
//! retried until it is in the log. A record that the log does not take at all is dropped, so that it
//! stops no other, and its caller gets [`WriteError::Rejected`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use rand::RngExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::apply::Effect;
use crate::batch::Batch;
use crate::batch::RecordId;
use crate::codec;
use crate::refusal::Refusal;
use crate::replicated_state::ReplicatedState;
use crate::state::State;

/// Maximum number of records that wait to be appended.
const MAX_QUEUED_RECORDS: usize = 16_384;
/// Initial delay after a failed append, in ms.
const BACKOFF_BASE_MS: u64 = 50;
/// Maximum delay after a failed append, in ms.
const BACKOFF_MAX_MS: u64 = 2_000;

/// Time after a caller's deadline in which the outcome of an append in flight is awaited.
const OUTCOME_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which an append in flight is checked for a refusal during the grace period.
const OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(10);

// Stages of a write request. A caller can abandon a queued request, but not one that was sent.
const QUEUED: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;
const REJECTED: u8 = 3;

/// Reason for which a write returned no outcome of its record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WriteError {
    /// The record is certainly not in the log and never will be.
    #[snafu(display("the log takes no records now; nothing was done"))]
    NotWritten,
    /// The log takes no such record, for example because it is too large; it was not written.
    #[snafu(display("the log does not take the record; nothing was done"))]
    Rejected,
    /// Too many records wait to be appended; the record was not written.
    #[snafu(display("too many records wait for the log; nothing was done"))]
    QueueFull,
    /// The record may be in the log, or may still be appended.
    #[snafu(display("the log's answer is outstanding; ask again with the same key"))]
    Unknown,
}

/// Outcome of a record that was applied, and its position in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRecord<O = Result<Effect, Refusal>> {
    /// Offset of the batch.
    pub offset: u64,
    /// Outcome of the record.
    pub result: O,
}

struct WriteRequest<F>
where
    F: ReplicatedState,
{
    record: F::Record,
    stage: Arc<AtomicU8>,
    reply: oneshot::Sender<AppliedRecord<F::Outcome>>,
}

impl<F> WriteRequest<F>
where
    F: ReplicatedState,
{
    /// Moves the request to another stage; false if it is not in stage `from`.
    fn transition(&self, from: u8, to: u8) -> bool {
        self.stage.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Ends the request: the log does not take its record.
    fn reject(self) {
        self.stage.store(REJECTED, Ordering::Release);
    }
}

/// A batch with its encoding and the requests that it carries out.
struct EncodedBatch<F>
where
    F: ReplicatedState,
{
    batch: Batch<F::Record>,
    body: Bytes,
    requests: Vec<WriteRequest<F>>,
}

type PendingWrites<O> = BTreeMap<RecordId, oneshot::Sender<AppliedRecord<O>>>;

/// Handle to the writer task.
pub struct LogWriter<F = State>
where
    F: ReplicatedState,
{
    sender: mpsc::Sender<WriteRequest<F>>,
    pending: Arc<Mutex<PendingWrites<F::Outcome>>>,
    appends: Arc<AtomicU64>,
    applied_sequence: watch::Sender<u64>,
    incarnation: u64,
}

impl<F> Clone for LogWriter<F>
where
    F: ReplicatedState,
{
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            pending: Arc::clone(&self.pending),
            appends: Arc::clone(&self.appends),
            applied_sequence: self.applied_sequence.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl<F> LogWriter<F>
where
    F: ReplicatedState,
{
    /// Starts the writer task. `incarnation` must not have been used before; `wall_clock` returns
    /// ms since the Unix epoch.
    pub fn spawn<C>(store: Arc<dyn LogStore>, incarnation: u64, wall_clock: C) -> Self
    where
        C: Fn() -> u64 + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_RECORDS);
        let pending = Arc::new(Mutex::new(PendingWrites::<F::Outcome>::new()));
        let appends = Arc::new(AtomicU64::new(0));
        let applied_sequence = watch::Sender::new(0);
        let task = WriterTask {
            store,
            receiver,
            pending: Arc::clone(&pending),
            appends: Arc::clone(&appends),
            applied_sequence: applied_sequence.subscribe(),
            incarnation,
            sequence: 0,
            held_back: VecDeque::new(),
            wall_clock: Box::new(wall_clock),
        };
        tokio::spawn(task.run());
        Self { sender, pending, appends, applied_sequence, incarnation }
    }

    /// Incarnation of this writer.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Number of appends that took effect so far.
    pub fn appends(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Writes a record and waits, at most for `timeout`, until this instance has applied it.
    ///
    /// # Errors
    /// [`WriteError`] says whether the record is certainly not written.
    pub async fn write(
        &self,
        record: F::Record,
        timeout: Duration,
    ) -> Result<AppliedRecord<F::Outcome>, WriteError> {
        self.write_with_grace(record, timeout, OUTCOME_GRACE_PERIOD).await
    }

    /// Like [`LogWriter::write`], but awaits the outcome of an append that is in flight at the timeout
    /// for `grace`.
    ///
    /// # Errors
    /// [`WriteError`] says whether the record is certainly not written.
    pub async fn write_with_grace(
        &self,
        record: F::Record,
        timeout: Duration,
        grace: Duration,
    ) -> Result<AppliedRecord<F::Outcome>, WriteError> {
        let handle = self.enqueue(record)?;
        handle.wait(Instant::now() + timeout, grace).await
    }

    /// Writes related records, in one batch if it can hold them, and waits for each.
    pub async fn write_all(
        &self,
        records: Vec<F::Record>,
        timeout: Duration,
    ) -> Vec<Result<AppliedRecord<F::Outcome>, WriteError>> {
        let deadline = Instant::now() + timeout;
        let handles: Vec<_> = records.into_iter().map(|record| self.enqueue(record)).collect();
        let mut results = Vec::with_capacity(handles.len());
        for handle in handles {
            results.push(match handle {
                Err(error) => Err(error),
                Ok(handle) => handle.wait(deadline, OUTCOME_GRACE_PERIOD).await,
            });
        }
        results
    }

    fn enqueue(&self, record: F::Record) -> Result<WriteHandle<F::Outcome>, WriteError> {
        let (reply, receiver) = oneshot::channel();
        let stage = Arc::new(AtomicU8::new(QUEUED));
        let request = WriteRequest { record, stage: Arc::clone(&stage), reply };
        self.sender.try_send(request).map_err(|_| WriteError::QueueFull)?;
        Ok(WriteHandle { stage, receiver })
    }

    /// Completes the pending writes of a batch that was applied, if it is from this writer.
    pub fn complete_writes(&self, offset: u64, batch: &Batch<F::Record>, report: &F::Report) {
        if batch.writer != self.incarnation {
            return;
        }
        // A duplicate of an earlier batch may be applied after a later one.
        self.applied_sequence.send_modify(|sequence| *sequence = batch.sequence.max(*sequence));
        let mut pending = lock(&self.pending);
        for (index, result) in F::outcomes(report).iter().enumerate() {
            let id = RecordId { writer: batch.writer, sequence: batch.sequence, index };
            if let Some(reply) = pending.remove(&id) {
                let _ = reply.send(AppliedRecord { offset, result: result.clone() });
            }
        }
    }
}

/// A record that is queued or in flight.
struct WriteHandle<O> {
    stage: Arc<AtomicU8>,
    receiver: oneshot::Receiver<AppliedRecord<O>>,
}

impl<O> WriteHandle<O> {
    async fn wait(
        mut self,
        deadline: Instant,
        grace: Duration,
    ) -> Result<AppliedRecord<O>, WriteError> {
        match tokio::time::timeout_at(deadline, &mut self.receiver).await {
            Ok(Ok(applied)) => Ok(applied),
            Ok(Err(_)) => Err(self.dropped_error()),
            Err(_) => self.abandon(deadline + grace).await,
        }
    }

    /// Why the writer dropped the record without an outcome.
    fn dropped_error(&self) -> WriteError {
        match self.stage.load(Ordering::Acquire) {
            REJECTED => WriteError::Rejected,
            _ => WriteError::Unknown,
        }
    }

    /// Withdraws the record once it is certainly not in flight. An append in flight at the deadline
    /// gets a grace period to be refused, so that a refusal is not reported as unknown.
    async fn abandon(&mut self, until: Instant) -> Result<AppliedRecord<O>, WriteError> {
        loop {
            let is_unsent = self
                .stage
                .compare_exchange(QUEUED, ABANDONED, Ordering::AcqRel, Ordering::Acquire)
                .is_ok();
            if is_unsent {
                return Err(WriteError::NotWritten);
            }
            match tokio::time::timeout(OUTCOME_CHECK_INTERVAL, &mut self.receiver).await {
                Err(_) if Instant::now() < until => {}
                Err(_) => return Err(WriteError::Unknown),
                Ok(Err(_)) => return Err(self.dropped_error()),
                Ok(Ok(applied)) => return Ok(applied),
            }
        }
    }
}

struct WriterTask<F>
where
    F: ReplicatedState,
{
    store: Arc<dyn LogStore>,
    receiver: mpsc::Receiver<WriteRequest<F>>,
    pending: Arc<Mutex<PendingWrites<F::Outcome>>>,
    appends: Arc<AtomicU64>,
    /// Sequence number of the last batch of this writer that this instance applied.
    applied_sequence: watch::Receiver<u64>,
    incarnation: u64,
    sequence: u64,
    /// Queued requests that did not fit into the last batch; they precede those of the receiver.
    held_back: VecDeque<WriteRequest<F>>,
    wall_clock: Box<dyn Fn() -> u64 + Send>,
}

impl<F> WriterTask<F>
where
    F: ReplicatedState,
{
    async fn run(mut self) {
        let mut retried = Vec::new();
        let mut backoff = Backoff::default();
        while let Some(requests) = self.next_requests(retried).await {
            retried = self.append(requests, &mut backoff).await;
        }
    }

    /// Waits for requests to append; `None` once every handle was dropped.
    async fn next_requests(
        &mut self,
        retried: Vec<WriteRequest<F>>,
    ) -> Option<Vec<WriteRequest<F>>> {
        let mut requests = retried;
        while requests.is_empty() {
            if self.held_back.is_empty() {
                requests.push(self.receiver.recv().await?);
            }
            while requests.len() < F::MAX_BATCH_RECORDS {
                let held_back = self.held_back.pop_front();
                let Some(request) = held_back.or_else(|| self.receiver.try_recv().ok()) else {
                    break;
                };
                requests.push(request);
            }
            requests = mark_sent(requests);
        }
        Some(requests)
    }

    /// Narrows down requests whose batch the log does not take: returns the first half, and queues the
    /// others again in front of the rest. A single request is dropped.
    fn halve(&mut self, mut requests: Vec<WriteRequest<F>>) -> Vec<WriteRequest<F>> {
        if requests.len() <= 1 {
            requests.into_iter().for_each(WriteRequest::reject);
            return Vec::new();
        }
        for request in requests.split_off(requests.len().div_ceil(2)).into_iter().rev() {
            request.transition(SENT, QUEUED);
            self.held_back.push_front(request);
        }
        requests
    }

    /// Encodes the first of the requests as a batch, as many as it can hold, and holds back the others.
    /// `None` if the log can't take the first one.
    fn encode_batch(&mut self, mut requests: Vec<WriteRequest<F>>) -> Option<EncodedBatch<F>> {
        while !requests.is_empty() {
            let batch = Batch {
                writer: self.incarnation,
                sequence: self.sequence + 1,
                at_ms: (self.wall_clock)(),
                records: requests.iter().map(|request| request.record.clone()).collect(),
            };
            match codec::encode(&batch) {
                Err(error) => {
                    log::error!("dropping {} records: {error}", requests.len());
                    requests.into_iter().for_each(WriteRequest::reject);
                    return None;
                }
                Ok(body) if body.len() <= F::MAX_BATCH_BYTES => {
                    return Some(EncodedBatch { batch, body: Bytes::from(body), requests });
                }
                Ok(body) => {
                    if requests.len() == 1 {
                        let (bytes, limit) = (body.len(), F::MAX_BATCH_BYTES);
                        log::error!(bytes, limit; "dropping a record that is too large for the log");
                    }
                    requests = self.halve(requests);
                }
            }
        }
        None
    }

    /// Settles a batch that the log rejects. Its records are retried in smaller batches, so that only
    /// those that the log can't take are dropped. Returns those for the next batch.
    fn settle_rejected(
        &mut self,
        batch: Batch<F::Record>,
        stages: Vec<Arc<AtomicU8>>,
        is_certainly_absent: bool,
    ) -> Vec<WriteRequest<F>> {
        if !is_certainly_absent {
            // An earlier attempt may yet be carried out, so the number of the batch is used up.
            self.sequence = batch.sequence;
            lock(&self.pending).retain(|id, _| id.sequence != batch.sequence);
            return Vec::new();
        }
        let requests = mark_sent(self.unregister(batch, stages));
        self.halve(requests)
    }

    /// Appends one batch and returns the requests that are to be retried in another one.
    async fn append(
        &mut self,
        requests: Vec<WriteRequest<F>>,
        backoff: &mut Backoff,
    ) -> Vec<WriteRequest<F>> {
        let Some(EncodedBatch { batch, body, requests }) = self.encode_batch(requests) else {
            return Vec::new();
        };
        let stages = self.register(batch.sequence, requests);
        let mut is_certainly_absent = true;
        loop {
            let began = Instant::now();
            let mut applied_sequence = self.applied_sequence.clone();
            let append = self.store.append(LogStream::Records, body.clone());
            let result = tokio::select! {
                result = append => result.map(|_| ()),
                // This instance has applied the batch, so it is in the log even if the response was
                // lost.
                _ = applied_sequence.wait_for(|sequence| *sequence >= batch.sequence) => Ok(()),
            };
            match result {
                Err(LogError::Uncertain { reason }) => {
                    log::warn!("the outcome of append {} is unknown: {reason}", batch.sequence);
                    is_certainly_absent = false;
                }
                Err(LogError::Rejected { reason }) => {
                    let (sequence, records) = (batch.sequence, batch.records.len());
                    log::error!(sequence, records, bytes = body.len(); "the log rejects an append: {reason}");
                    return self.settle_rejected(batch, stages, is_certainly_absent);
                }
                Err(error) => {
                    log::warn!("append {} was refused: {error}", batch.sequence);
                    if is_certainly_absent {
                        let requests = self.unregister(batch, stages);
                        backoff.wait(began).await;
                        return mark_sent(requests);
                    }
                }
                Ok(()) => {
                    self.appends.fetch_add(1, Ordering::Relaxed);
                    self.sequence = batch.sequence;
                    backoff.reset();
                    return Vec::new();
                }
            }
            backoff.wait(began).await;
        }
    }

    /// Registers the pending writes of a batch before it is sent, since the replica may apply it
    /// before the append returns.
    fn register(&self, sequence: u64, requests: Vec<WriteRequest<F>>) -> Vec<Arc<AtomicU8>> {
        let mut pending = lock(&self.pending);
        pending.retain(|_, reply| !reply.is_closed());
        let mut stages = Vec::with_capacity(requests.len());
        for (index, request) in requests.into_iter().enumerate() {
            let id = RecordId { writer: self.incarnation, sequence, index };
            pending.insert(id, request.reply);
            stages.push(request.stage);
        }
        stages
    }

    /// Withdraws a batch that was definitely refused; callers may abandon its records again.
    fn unregister(
        &self,
        batch: Batch<F::Record>,
        stages: Vec<Arc<AtomicU8>>,
    ) -> Vec<WriteRequest<F>> {
        let mut pending = lock(&self.pending);
        let mut requests = Vec::new();
        for (index, (record, stage)) in batch.records.into_iter().zip(stages).enumerate() {
            let id = RecordId { writer: batch.writer, sequence: batch.sequence, index };
            if let Some(reply) = pending.remove(&id) {
                let request = WriteRequest { record, stage, reply };
                request.transition(SENT, QUEUED);
                requests.push(request);
            }
        }
        requests
    }
}

/// Marks the requests as sent and drops those that were abandoned meanwhile.
fn mark_sent<F>(mut requests: Vec<WriteRequest<F>>) -> Vec<WriteRequest<F>>
where
    F: ReplicatedState,
{
    requests.retain(|request| request.transition(QUEUED, SENT));
    requests
}

/// Capped exponential backoff with jitter over the upper half of each delay.
#[derive(Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Waits between an attempt that began at `began` and the next. The delay counts from the start
    /// of the attempt, which may itself have waited for the log service; at least the base delay
    /// always follows, in which callers that are past their deadline can withdraw their records.
    async fn wait(&mut self, began: Instant) {
        let max_delay_ms = (BACKOFF_BASE_MS << self.failures.min(10)).min(BACKOFF_MAX_MS);
        self.failures = self.failures.saturating_add(1);
        let delay_ms = rand::rng().random_range(max_delay_ms / 2..=max_delay_ms);
        let earliest = Instant::now() + Duration::from_millis(BACKOFF_BASE_MS);
        tokio::time::sleep_until(earliest.max(began + Duration::from_millis(delay_ms))).await;
    }

    fn reset(&mut self) {
        self.failures = 0;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
