//! The ring of the log against readers that don't read.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, sync_channel},
    },
    time::{Duration, Instant},
};

use telemetry::log::ring::{MAX_LINES, Ring};

/// A writer that waits for leave before each write.
struct Gate {
    leave: Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.leave.recv();
        let mut text = self.text.lock().expect("no holder panics");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_never_reads_holds_nobody_up_and_what_is_dropped_is_counted() {
    let (leave, gate) = sync_channel(0);
    let text = Arc::new(Mutex::new(String::new()));
    let out = Gate {
        leave: gate,
        text: text.clone(),
    };
    let ring = Ring::start(out).expect("a thread starts");
    // One batch may be on its way to the writer, the ring holds as many again.
    let lines = MAX_LINES * 3;
    for number in 0..lines {
        ring.push(format!("line {number}"));
    }
    let lost = ring.dropped();
    assert!(
        lost >= u64::try_from(MAX_LINES - 1).expect("it is small"),
        "{lost}"
    );
    drop(leave);
    let end = Instant::now() + Duration::from_secs(30);
    let told = || {
        let text = text.lock().expect("no holder panics");
        text.contains("lines-dropped")
    };
    while !told() {
        assert!(Instant::now() < end, "the count is never told");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(
        text.lock()
            .expect("no holder panics")
            .starts_with("line 0\n")
    );
}
