//! Bounded queue of log lines for standard output, with a rate limit for each call site.
//!
//! Logging never blocks its caller. Lines are dropped when a call site exceeds its rate limit or
//! when standard output is too slow and the queue is full; the dropped lines are counted and
//! reported in a later log line.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// Most lines queued for standard output. A line has some 200 bytes.
const QUEUE_CAPACITY_LINES: usize = 4_096;
/// Most lines of one call site in one window. The busiest call site logs one line for each
/// placement, some ten a second in a busy minute.
const MAX_CALL_SITE_LINES: u32 = 100;
/// Length of a rate limit window, in ms.
const RATE_WINDOW_MS: u64 = 1_000;

/// Module path and line number of a log statement.
pub(crate) type CallSite = (&'static str, u32);

/// Lines that one call site logged in its current rate limit window.
#[derive(Clone, Copy, Debug, Default)]
struct CallSiteWindow {
    started_ms: u64,
    written: u32,
    dropped: u32,
}

/// Decision of the rate limit on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Write the line.
    Write,
    /// Write the line, and report that this number of its call site's lines were dropped in the
    /// previous window.
    WriteWithSummary(u32),
    /// Drop the line.
    Drop,
}

/// Producer side of the queue.
pub(crate) struct LineQueue {
    sender: SyncSender<String>,
    windows: Mutex<BTreeMap<CallSite, CallSiteWindow>>,
    lost_lines: AtomicU64,
}

impl LineQueue {
    /// Creates a queue and starts a thread that writes its lines to standard output.
    pub(crate) fn to_stdout() -> Self {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self { sender, windows: Mutex::default(), lost_lines: AtomicU64::new(0) }
    }

    /// Applies the rate limit to a line that `call_site` logs at `now_ms`.
    pub(crate) fn admit(&self, call_site: CallSite, now_ms: u64) -> Admission {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(call_site).or_default();
        if now_ms >= window.started_ms + RATE_WINDOW_MS {
            let dropped = window.dropped;
            *window = CallSiteWindow { started_ms: now_ms, written: 1, dropped: 0 };
            return if dropped > 0 {
                Admission::WriteWithSummary(dropped)
            } else {
                Admission::Write
            };
        }
        if window.written < MAX_CALL_SITE_LINES {
            window.written += 1;
            Admission::Write
        } else {
            window.dropped += 1;
            Admission::Drop
        }
    }

    /// Queues a line, or counts it as lost if the queue is full. Returns how many lines of all call
    /// sites were lost since the last line that was queued.
    pub(crate) fn push(&self, line: String) -> u64 {
        if self.sender.try_send(line).is_err() {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
            return 0;
        }
        self.lost_lines.swap(0, Ordering::Relaxed)
    }
}

/// Writes queued lines until the queue's sender is dropped, and flushes once per batch of lines
/// that are already queued.
fn write_lines(receiver: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = receiver.recv() {
        line.push('\n');
        while let Ok(next) = receiver.try_recv() {
            line.push_str(&next);
            line.push('\n');
        }
        // Failed writes are ignored: there is no other output on which to report them.
        let _ = out.write_all(line.as_bytes());
        let _ = out.flush();
    }
}
