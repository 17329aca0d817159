//! Complete events of a stream, in whichever parts its bytes arrive.

use gateway::sse::{Buffer, MAX_EVENT_BYTES, TooLarge, last_event_id};

/// Pushes the parts and returns what is forwarded after each of them, empty if nothing is, and whether an event has begun that isn't complete.
fn push_all(parts: &[&str]) -> (Vec<String>, bool) {
    let mut buffer = Buffer::default();
    let forwarded = parts.iter().map(|part| {
        let events = buffer.push(part.as_bytes()).expect("the events are small");
        String::from_utf8_lossy(&events.unwrap_or_default()).into_owned()
    });
    let forwarded = forwarded.collect();
    (forwarded, !buffer.is_empty())
}

#[test]
fn events_are_forwarded_up_to_the_last_empty_line() {
    let (forwarded, has_rest) = push_all(&["data: 1\n\ndata: 2\n\nda", "ta: 3\n", "\n"]);
    assert_eq!(forwarded, ["data: 1\n\ndata: 2\n\n", "", "data: 3\n\n"]);
    assert!(!has_rest);
    let (forwarded, has_rest) = push_all(&["data: 1\r", "\n\r", "\nid: 2"]);
    assert_eq!(forwarded, ["", "", "data: 1\r\n\r\n"]);
    assert!(has_rest);
}

#[test]
fn single_bytes_give_the_same_events_as_the_whole() {
    let text = "id: 1\ndata: a\n\n\r\n: ping\n\ndata: b\r\n\r\ndata: c";
    let parts: Vec<&str> = (0..text.len()).map(|at| &text[at..=at]).collect();
    let (forwarded, has_rest) = push_all(&parts);
    assert_eq!(
        (&*forwarded.concat(), has_rest),
        (&text[..text.len() - 7], true)
    );
}

#[test]
fn an_event_beyond_the_limit_is_an_error_and_a_long_stream_is_not() {
    let mut buffer = Buffer::default();
    let event = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES / 2));
    for _ in 0..8 {
        let events = buffer.push(event.as_bytes());
        assert!(matches!(events, Ok(Some(it)) if it == event));
    }
    assert_eq!(buffer.push(&vec![b'x'; MAX_EVENT_BYTES]), Ok(None));
    assert_eq!(buffer.push(b"x"), Err(TooLarge));
}

/// The bytes of an event that is not complete were scanned again with each part.
#[test]
fn an_event_in_single_bytes_takes_linear_time() {
    let mut buffer = Buffer::default();
    let started = std::time::Instant::now();
    for _ in 0..MAX_EVENT_BYTES {
        assert_eq!(buffer.push(b"x"), Ok(None));
    }
    let elapsed = started.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(2), "{elapsed:?}");
}

/// Streams whose lines end in CR were held back to their end and then taken for broken.
#[test]
fn events_are_found_at_all_line_ends_wherever_the_data_is_split() {
    for line_end in ["\n", "\r\n", "\r"] {
        let lines = [
            "data: 0",
            "",
            ": comment",
            "id: 1",
            "data: 1",
            "data: 2",
            "",
        ];
        let text = lines.join(line_end) + line_end;
        let bytes = text.as_bytes();
        for first in 0..=bytes.len() {
            for second in first..=bytes.len() {
                let mut buffer = Buffer::default();
                let mut received = Vec::new();
                for part in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                    received.extend(buffer.push(part).expect("the events are small"));
                }
                let context = format!("{text:?} split at {first} and {second}");
                assert!(buffer.is_empty(), "{context}");
                assert_eq!(received.concat(), bytes, "{context}");
            }
        }
        assert_eq!(last_event_id(bytes).as_deref(), Some("1"), "{text:?}");
    }
}
