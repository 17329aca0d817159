//! How long a caller may leave its answer unread.

use super::*;

const WRITE_TIME: Duration = Duration::from_secs(20);

/// Covers the rate that a slow reader has to keep: time is gained for whole units of bytes only.
#[test]
fn slow_reader_gains_time_by_bytes() {
    let check = |written: &[usize], gained: u64| {
        let progress = Progress::new(Arc::default());
        assert_eq!(progress.write_deadline(WRITE_TIME), None);
        progress.note_written(&Poll::Pending);
        let first = progress.write_deadline(WRITE_TIME).unwrap();
        for &count in written {
            progress.note_written(&Poll::Ready(Ok(count)));
            progress.note_written(&Poll::Pending);
        }
        let expected = first + Duration::from_secs(gained);
        assert_eq!(progress.write_deadline(WRITE_TIME), Some(expected));
        progress.note_flushed();
        assert_eq!(progress.write_deadline(WRITE_TIME), None);
    };
    check(&[], 0);
    check(&[1; 100], 0);
    check(&[4095], 0);
    check(&[4095, 1], 1);
    check(&[81920], 20);
}
