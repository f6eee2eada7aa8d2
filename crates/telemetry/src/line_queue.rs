//! Lines on their way to standard output: bounded for each kind and in all, and never waited for.
//!
//! A kind is a place in the code. A kind that writes too much, or an output that takes no lines,
//! costs lines; a summary counts them.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// Lines that may wait for the output, some 200 bytes each.
const QUEUE_LINES: usize = 4_096;
/// Lines of one kind in one window. The heaviest decision is one line for each placement, of which
/// a busy minute sees some ten a second.
const KIND_LINES: u32 = 100;
/// Length of a window, in ms.
const WINDOW_MS: u64 = 1_000;

/// A place in the code that writes lines.
pub(crate) type LineKind = (&'static str, u32);

#[derive(Clone, Copy, Debug, Default)]
struct KindWindow {
    began_ms: u64,
    written: u32,
    dropped: u32,
}

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Write it.
    Write,
    /// Write it, after a summary of so many lines of its kind that were dropped.
    WriteAfter(u32),
    /// Drop it.
    Drop,
}

/// The queue's end at which lines are put in.
pub(crate) struct LineQueue {
    sender: SyncSender<String>,
    windows: Mutex<BTreeMap<LineKind, KindWindow>>,
    overflow: AtomicU64,
}

impl LineQueue {
    /// A queue with a thread that writes to standard output.
    pub(crate) fn to_stdout() -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver));
        Self { sender, windows: Mutex::default(), overflow: AtomicU64::new(0) }
    }

    /// Whether a line of a kind may be written at `now_ms`.
    pub(crate) fn admit(&self, kind: LineKind, now_ms: u64) -> Verdict {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(kind).or_default();
        if now_ms >= window.began_ms + WINDOW_MS {
            let dropped = window.dropped;
            *window = KindWindow { began_ms: now_ms, written: 1, dropped: 0 };
            return if dropped > 0 { Verdict::WriteAfter(dropped) } else { Verdict::Write };
        }
        if window.written < KIND_LINES {
            window.written += 1;
            Verdict::Write
        } else {
            window.dropped += 1;
            Verdict::Drop
        }
    }

    /// Puts a line in, unless the queue is full. Gives how many lines were lost before it.
    pub(crate) fn push(&self, line: String) -> u64 {
        if self.sender.try_send(line).is_err() {
            self.overflow.fetch_add(1, Ordering::Relaxed);
            return 0;
        }
        self.overflow.swap(0, Ordering::Relaxed)
    }
}

fn write_lines(receiver: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = receiver.recv() {
        line.push('\n');
        while let Ok(next) = receiver.try_recv() {
            line.push_str(&next);
            line.push('\n');
        }
        // Without an output there is nobody to tell.
        let _ = out.write_all(line.as_bytes());
        let _ = out.flush();
    }
}
