//! Tests of the ring buffer of the log with a blocked reader.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, sync_channel},
    },
    time::{Duration, Instant},
};

use telemetry::log::ring::{MAX_LINES, Ring};

/// An output that blocks in each write until the test releases it.
struct BlockedOutput {
    release: Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        let mut text = self
            .text
            .lock()
            .expect("no thread panics while it holds the lock");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// A blocked log reader must never block the threads that log. Lines that don't fit into the buffer
// are dropped, and their count is written as soon as the reader continues.
#[test]
fn blocked_reader_never_blocks_logging_and_dropped_lines_are_counted() {
    let (release, receiver) = sync_channel(0);
    let text = Arc::new(Mutex::new(String::new()));
    let out = BlockedOutput {
        release: receiver,
        text: text.clone(),
    };
    let ring = Ring::start(out).expect("the writer thread can be spawned");
    // The blocked writer thread may hold one batch of about `MAX_LINES` lines, and the buffer holds
    // as many again. The rest is dropped.
    let lines = MAX_LINES * 3;
    for number in 0..lines {
        ring.push(format!("line {number}"));
    }
    let dropped = ring.dropped();
    assert!(
        dropped >= u64::try_from(MAX_LINES - 1).expect("the maximum fits into a u64"),
        "{dropped}"
    );
    drop(release);
    let deadline = Instant::now() + Duration::from_secs(30);
    let reported = || {
        let text = text
            .lock()
            .expect("no thread panics while it holds the lock");
        text.contains("lines-dropped")
    };
    while !reported() {
        assert!(
            Instant::now() < deadline,
            "the number of dropped lines isn't reported"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        text.lock()
            .expect("no thread panics while it holds the lock")
            .starts_with("line 0\n")
    );
}
