//! Tests the time for which a caller may leave its response unread.

use super::*;

const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The deadline is extended only by whole units of [`MIN_READ_BYTES_PER_SECOND`].
#[test]
fn write_deadline_is_extended_by_bytes_read() {
    let check = |writes: &[usize], extension_seconds: u64| {
        let progress = Progress::new(Arc::default());
        assert_eq!(progress.write_deadline(WRITE_TIMEOUT), None);
        progress.record_written(&Poll::Pending);
        let first = progress.write_deadline(WRITE_TIMEOUT).unwrap();
        for &count in writes {
            progress.record_written(&Poll::Ready(Ok(count)));
            progress.record_written(&Poll::Pending);
        }
        let expected = first + Duration::from_secs(extension_seconds);
        assert_eq!(progress.write_deadline(WRITE_TIMEOUT), Some(expected));
        progress.record_flushed();
        assert_eq!(progress.write_deadline(WRITE_TIMEOUT), None);
    };
    check(&[], 0);
    check(&[1; 100], 0);
    check(&[4095], 0);
    check(&[4095, 1], 1);
    check(&[81920], 20);
}
