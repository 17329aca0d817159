//! A bounded ring buffer between the threads that log and the thread that writes. While the buffer
//! is full, new lines are dropped and counted. The writer thread reports the count after its next
//! batch.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use log::Record;

use super::{TIME_FORMAT, format_json};

/// Maximum number of lines in the buffer. A busy host logs a few hundred lines per second, so the
/// buffer holds the lines of several seconds.
pub const MAX_LINES: usize = 4096;

/// Delay between two batches. Lines accumulate meanwhile, so that the writer thread wakes up
/// rarely.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The producer side of the ring buffer. The writer thread is the consumer.
pub struct Ring {
    lines: SyncSender<String>,
    /// Number of dropped lines that the writer thread hasn't reported yet.
    dropped: Arc<AtomicU64>,
}

impl Ring {
    /// Creates a ring buffer and starts the thread that writes its lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unreported = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&receiver, &unreported, out))?;
        Ok(Self { lines, dropped })
    }

    /// Appends a line without blocking. If the buffer is full, the line is dropped and counted.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines that aren't reported in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl LogWriter for Ring {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let time = now.now_utc_owned().format(TIME_FORMAT).to_string();
        self.push(format_json(&time, record));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    /// Gives the writer thread time for the last lines, but doesn't wait for a blocked reader.
    fn shutdown(&self) {
        thread::sleep(BATCH_INTERVAL * 2);
    }
}

/// Writes lines in batches until all producers are dropped or a write fails. A batch has at most
/// [`MAX_LINES`] lines, so a blocked reader holds up no more than that beside a full buffer.
fn write_batches(receiver: &Receiver<String>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(line) = receiver.recv() {
        let mut text = line + "\n";
        for line in receiver.try_iter().take(MAX_LINES - 1) {
            text.push_str(&line);
            text.push('\n');
        }
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        // Lines that were dropped during a blocked write are reported right after it, since no
        // later line may follow.
        if write_drop_count(dropped, &mut out).is_err() || out.flush().is_err() {
            return;
        }
        thread::sleep(BATCH_INTERVAL);
    }
}

/// Writes and resets the number of dropped lines, if there are any.
fn write_drop_count(dropped: &AtomicU64, out: &mut impl Write) -> io::Result<()> {
    match dropped.swap(0, Ordering::Relaxed) {
        0 => Ok(()),
        count => out.write_all(format_dropped(count).as_bytes()),
    }
}

/// Formats the log line that reports dropped lines.
fn format_dropped(count: u64) -> String {
    let line = serde_json::json!({
        "level": "warn", "part": "telemetry", "event": "lines-dropped", "count": count,
        "message": "log lines were dropped because the log reader is too slow",
    });
    format!("{line}\n")
}
