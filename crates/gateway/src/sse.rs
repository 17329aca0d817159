//! Minimal parser for `text/event-stream`, sufficient to forward whole events.

/// Length of the complete events at the beginning of `bytes`, up to the last empty line.
pub fn complete_len(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line_bytes = &bytes[line_start..at];
        if line_bytes.is_empty() || line_bytes == b"\r" {
            end = at + 1;
        }
        line_start = at + 1;
    }
    end
}

/// Id of the last event that has one.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|it| *it == b'\n');
    let mut ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
