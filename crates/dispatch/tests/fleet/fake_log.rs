//! In-memory log store and membership list. Each process has its own client, into which faults can
//! be injected.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminbarrow_dispatch::membership::Membership;
use cuminbarrow_dispatch::membership::MembershipError;
use cuminbarrow_resources::log_store::LogError;
use cuminbarrow_resources::log_store::LogPage;
use cuminbarrow_resources::log_store::LogStore;
use cuminbarrow_resources::log_store::LogStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Delay of one call to the log.
const CALL_DELAY: Duration = Duration::from_millis(4);
/// Time after which an unanswered call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a member is removed unless it joins again.
const MEMBER_TTL: Duration = Duration::from_secs(3);
/// Time that a dropped history reaches back.
const KEPT_HISTORY: Duration = Duration::from_secs(1);
/// Time between looks of a read that waits at an entry that is behind.
const BEHIND_INTERVAL: Duration = Duration::from_millis(20);
/// While the list of members flaps, it leaves out one of this many.
const FLAPPING_DIVISOR: u64 = 3;
/// Number of looks in a row that leave out the same members. Several in a row raise a suspicion.
const FLAPPING_LOOKS: u64 = 6;

/// Fault that affects the log calls of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LogFault {
    /// Calls succeed.
    #[default]
    None,
    /// Requests are lost: no effect and no answer.
    RequestsLost,
    /// Requests are refused without an effect.
    Refused,
    /// Appends take effect, but their answers are lost.
    AnswersLost,
    /// Appends take effect after this delay, and their answers are lost.
    AppendsDelayed(Duration),
    /// Calls succeed, and reads go through an entry that is this far behind and says so.
    ReadsBehind(Duration),
    /// Requests for the list of members are lost; other calls succeed.
    MembersLost,
    /// Appends and joins are refused without an effect; reads succeed.
    WritesRefused,
    /// The process has been killed; its calls never return.
    Dead,
}

/// Blocks the calls of a process while it is suspended.
#[derive(Clone, Default)]
pub(crate) struct SuspendGate(watch::Sender<bool>);

impl SuspendGate {
    pub(crate) fn set_suspended(&self, is_suspended: bool) {
        self.0.send_replace(is_suspended);
    }

    pub(crate) fn is_suspended(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the process is not suspended.
    pub(crate) async fn wait_until_resumed(&self) {
        let _ = self.0.subscribe().wait_for(|is_suspended| !is_suspended).await;
    }
}

/// Shared in-memory log with its members.
#[derive(Default)]
pub(crate) struct FakeLog {
    /// Records with the times of their appends.
    records: Mutex<Vec<(Instant, Vec<u8>)>>,
    /// Offset of the oldest record that is kept.
    oldest: AtomicU64,
    snapshots: Mutex<Vec<Vec<u8>>>,
    end: watch::Sender<u64>,
    members: Mutex<BTreeMap<u64, Instant>>,
    is_flapping: AtomicBool,
    looks: AtomicU64,
}

impl FakeLog {
    /// Removes all members; live processes join again.
    pub(crate) fn expire_members(&self) {
        self.members.lock().unwrap().clear();
    }

    pub(crate) fn set_members_flapping(&self, is_flapping: bool) {
        self.is_flapping.store(is_flapping, Ordering::Relaxed);
    }

    /// Drops all but the newest records.
    pub(crate) fn drop_history(&self) {
        self.drop_older_than(KEPT_HISTORY);
    }

    /// Drops the records that are older than `age`.
    pub(crate) fn drop_older_than(&self, age: Duration) {
        let kept_from = Instant::now() - age;
        let records = self.records.lock().unwrap();
        let oldest = records.partition_point(|(at, _)| *at < kept_from);
        self.oldest.fetch_max(oldest as u64, Ordering::Relaxed);
    }

    /// The records from `from` on, as of `lag` ago.
    fn records_page(&self, from: u64, limit: u32, lag: Duration) -> Result<LogPage, LogError> {
        let oldest = self.oldest.load(Ordering::Relaxed);
        if from < oldest {
            return Err(LogError::Expired { oldest });
        }
        let until = Instant::now() - lag;
        let records = self.records.lock().unwrap();
        let seen = records.partition_point(|(at, _)| *at <= until).max(from as usize);
        let seen = &records[..seen.min(records.len())];
        let entries = seen.iter().skip(from as usize).take(limit as usize);
        Ok(LogPage {
            oldest,
            next: seen.len() as u64,
            first: from,
            entries: entries.map(|(_, body)| body.clone()).collect(),
            waited_ms: 0,
            age_ms: u64::try_from(lag.as_millis()).unwrap(),
        })
    }

    fn append(&self, stream: LogStream, body: &Bytes) -> u64 {
        if stream == LogStream::Snapshots {
            let mut snapshots = self.snapshots.lock().unwrap();
            snapshots.push(body.to_vec());
            return snapshots.len() as u64 - 1;
        }
        let mut records = self.records.lock().unwrap();
        records.push((Instant::now(), body.to_vec()));
        let end = records.len() as u64;
        self.end.send_replace(end);
        end - 1
    }
}

/// Log client of one process.
#[derive(Clone)]
pub(crate) struct LogClient {
    log: Arc<FakeLog>,
    fault: watch::Sender<LogFault>,
    pub(crate) gate: SuspendGate,
}

impl LogClient {
    pub(crate) fn new(log: Arc<FakeLog>) -> Self {
        Self { log, fault: watch::Sender::new(LogFault::None), gate: SuspendGate::default() }
    }

    /// Sets the fault of later calls. A dead process stays dead.
    pub(crate) fn set_fault(&self, fault: LogFault) {
        self.fault.send_modify(|current| {
            if *current != LogFault::Dead {
                *current = fault;
            }
        });
    }

    fn fault(&self) -> LogFault {
        *self.fault.borrow()
    }

    async fn call_log(&self) -> Result<(), LogError> {
        self.gate.wait_until_resumed().await;
        tokio::time::sleep(CALL_DELAY).await;
        self.gate.wait_until_resumed().await;
        match self.fault() {
            LogFault::Dead => pending().await,
            LogFault::Refused => Err(refused()),
            LogFault::RequestsLost => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(LogError::Uncertain { reason: "no answer in time".to_owned() })
            }
            _ => Ok(()),
        }
    }
}

fn refused() -> LogError {
    LogError::Unavailable { reason: "connection to the log refused".to_owned() }
}

impl LogClient {
    /// Like [`Self::call_log`], for a call that changes something.
    async fn call_log_to_write(&self) -> Result<(), LogError> {
        self.call_log().await?;
        if self.fault() == LogFault::WritesRefused { Err(refused()) } else { Ok(()) }
    }

    async fn read_records(
        &self,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let LogFault::ReadsBehind(lag) = self.fault() else {
            let mut end = self.log.end.subscribe();
            let _ = tokio::time::timeout(wait, end.wait_for(|end| *end > from)).await;
            return self.log.records_page(from, limit, Duration::ZERO);
        };
        let began = Instant::now();
        loop {
            let page = self.log.records_page(from, limit, lag)?;
            if !page.entries.is_empty() || began.elapsed() >= wait {
                let waited_ms = u64::try_from(began.elapsed().as_millis()).unwrap();
                return Ok(LogPage { waited_ms, ..page });
            }
            tokio::time::sleep(BEHIND_INTERVAL).await;
        }
    }
}

#[async_trait]
impl LogStore for LogClient {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<u64, LogError> {
        self.call_log_to_write().await?;
        match self.fault() {
            LogFault::AnswersLost => {
                self.log.append(stream, &body);
            }
            LogFault::AppendsDelayed(delay) => {
                let log = Arc::clone(&self.log);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    log.append(stream, &body);
                });
            }
            _ => {
                let offset = self.log.append(stream, &body);
                self.gate.wait_until_resumed().await;
                return Ok(offset);
            }
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(LogError::Uncertain { reason: "the answer was lost".to_owned() })
    }

    async fn read(
        &self,
        stream: LogStream,
        from: u64,
        limit: u32,
        wait_ms: u32,
    ) -> Result<LogPage, LogError> {
        self.call_log().await?;
        let wait = Duration::from_millis(u64::from(wait_ms));
        let page = match stream {
            LogStream::Records => self.read_records(from, limit, wait).await?,
            LogStream::Snapshots => {
                let stored = self.log.snapshots.lock().unwrap();
                let entries = stored.iter().skip(from as usize).take(limit as usize);
                LogPage {
                    oldest: 0,
                    next: stored.len() as u64,
                    first: from,
                    entries: entries.cloned().collect(),
                    waited_ms: 0,
                    age_ms: 0,
                }
            }
        };
        // A fault that was set during the wait affects the answer too.
        self.call_log().await?;
        Ok(page)
    }
}

#[async_trait]
impl Membership for LogClient {
    async fn join(&self, incarnation: u64) -> Result<(), MembershipError> {
        let result = self.call_log_to_write().await;
        result.map_err(|error| MembershipError { reason: error.to_string() })?;
        self.log.members.lock().unwrap().insert(incarnation, Instant::now());
        Ok(())
    }

    async fn members(&self) -> Result<BTreeSet<u64>, MembershipError> {
        if self.fault() == LogFault::MembersLost {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(MembershipError { reason: "no answer in time".to_owned() });
        }
        self.call_log().await.map_err(|error| MembershipError { reason: error.to_string() })?;
        let members = self.log.members.lock().unwrap();
        let is_flapping = self.log.is_flapping.load(Ordering::Relaxed);
        let look = self.log.looks.fetch_add(1, Ordering::Relaxed) / FLAPPING_LOOKS;
        let is_left_out = |incarnation: u64| {
            is_flapping && incarnation % FLAPPING_DIVISOR == look % FLAPPING_DIVISOR
        };
        let live = members.iter().filter(|(incarnation, joined)| {
            joined.elapsed() < MEMBER_TTL && !is_left_out(**incarnation)
        });
        Ok(live.map(|(incarnation, _)| *incarnation).collect())
    }
}
