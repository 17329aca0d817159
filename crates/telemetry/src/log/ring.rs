//! A bounded ring between those who log and the thread that writes. When the ring is full, lines are
//! dropped and counted, and the count is written once there is room.

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

use super::{TIME_FORMAT, json_line};

/// Lines that may wait; a busy host writes some hundred a second.
pub const MAX_LINES: usize = 4096;

/// Time for which lines gather, so that the writer wakes rarely.
const GATHER: Duration = Duration::from_millis(100);

/// The side of those who log.
pub struct Ring {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Ring {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, ring) = sync_channel(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&ring, &count, out))?;
        Ok(Self { lines, dropped })
    }

    /// Puts a line into the ring; never waits.
    pub fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines that were dropped and not yet told.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl LogWriter for Ring {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let time = now.now_utc_owned().format(TIME_FORMAT).to_string();
        self.push(json_line(&time, record));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    /// Leaves the last lines time to be written; a reader that doesn't read isn't waited for.
    fn shutdown(&self) {
        thread::sleep(GATHER * 2);
    }
}

/// Writes until the other side is gone or nobody reads any more.
fn write(ring: &Receiver<String>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(line) = ring.recv() {
        let mut text = line + "\n";
        for line in ring.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format_lost(lost));
        }
        if out.write_all(text.as_bytes()).is_err() || out.flush().is_err() {
            return;
        }
        thread::sleep(GATHER);
    }
}

fn format_lost(lost: u64) -> String {
    let line = serde_json::json!({
        "level": "warn", "part": "telemetry", "event": "lines-dropped", "count": lost,
        "message": "log lines were dropped: they were not read fast enough",
    });
    format!("{line}\n")
}
