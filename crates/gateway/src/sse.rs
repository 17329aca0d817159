//! Minimal parser for `text/event-stream`, sufficient to forward whole events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, and of comments and empty lines from one event to the next, in bytes. Events with a token have
/// some hundred bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Event larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLarge;

/// Bytes of a stream that are not forwarded yet. Lines end with LF, CR LF or CR. Each byte is scanned once.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
    /// Number of scanned bytes.
    scanned: usize,
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// Size of the lines since the last line with data.
    lines_without_data: usize,
    /// True if the last scanned byte is a CR.
    after_cr: bool,
    /// True if the last complete line is empty.
    after_empty_line: bool,
    /// True if a line of the stream has ended with CR LF. A CR is then only half of the end of a line.
    has_crlf: bool,
}

impl Buffer {
    /// Adds bytes. Returns the events that are complete now, or `None` if there is none.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, TooLarge> {
        self.bytes.extend_from_slice(data);
        let mut end = 0;
        for at in self.scanned..self.bytes.len() {
            end = self.scan(at).unwrap_or(end);
        }
        let events = self.bytes.split_to(end).freeze();
        self.line_start -= end;
        self.scanned = self.bytes.len();
        if self.bytes.len().max(self.lines_without_data) > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        Ok((end > 0).then_some(events))
    }

    /// Scans the next byte. Returns the end of the events that are complete, if it has become known.
    fn scan(&mut self, at: usize) -> Option<usize> {
        let byte = self.bytes[at];
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        if after_cr && byte == b'\n' {
            self.has_crlf = true;
            self.line_start = at + 1;
            return self.after_empty_line.then_some(at + 1);
        }
        let earlier_end = (after_cr && self.after_empty_line).then_some(at);
        if !matches!(byte, b'\r' | b'\n') {
            return earlier_end;
        }
        let line = &self.bytes[self.line_start..at];
        self.after_empty_line = line.is_empty();
        self.lines_without_data += line.len() + 1;
        if line.starts_with(b"data") {
            self.lines_without_data = 0;
        }
        self.line_start = at + 1;
        let is_half = byte == b'\r' && self.has_crlf;
        if self.after_empty_line && !is_half {
            Some(at + 1)
        } else {
            earlier_end
        }
    }

    /// Returns whether the last event is complete.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes the bytes of the last event.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns whether bytes consist of events and comments only. An error in place of the rest of a stream may end with an
/// empty line too.
pub fn are_events(bytes: &[u8]) -> bool {
    const FIELDS: [&[u8]; 5] = [b"data", b"event", b"id", b"retry", b":"];
    // `None` between two blocks of lines, otherwise whether the block has a field.
    let mut block = None;
    for line in bytes.split(|it| *it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        for line in line.split(|it| *it == b'\r') {
            if line.starts_with(b"HTTP/") {
                return false;
            }
            let is_field = FIELDS.iter().any(|it| line.starts_with(it));
            block = match block {
                Some(false) if line.is_empty() => return false,
                _ if line.is_empty() => None,
                it => Some(it.unwrap_or(false) || is_field),
            };
        }
    }
    true
}

/// Id of the last event that has one.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|it| matches!(it, b'\r' | b'\n'));
    let mut ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
