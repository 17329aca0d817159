//! Incremental parser of server-sent events.

use derive_more::{Display, Error};

/// Longest line in bytes.
pub const MAX_LINE_BYTES: usize = 256 * 1024;
/// Limit on the data of one event in bytes.
pub const MAX_EVENT_BYTES: usize = 512 * 1024;
/// Limit on the lines from one event with data to the next in bytes, which includes comments.
pub const MAX_LINES_BYTES: usize = 4 * MAX_EVENT_BYTES;

const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// One event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The `event` field; empty if there was none.
    pub name: String,
    /// The `id` field of this event; an id does not carry over from earlier events.
    pub id: Option<String>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// An error that makes the rest of a stream unreadable.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ParseError {
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[display("a line has more than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event has more than {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
    /// There are more than [`MAX_LINES_BYTES`] without an event.
    #[display("there is no event in {MAX_LINES_BYTES} bytes")]
    NoEvent,
    /// A line is not UTF-8.
    #[display("a line is not UTF-8")]
    NotUtf8,
}

/// A parser that accepts the stream in parts of any size.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    /// Size of the lines since the last event with data.
    lines_bytes: usize,
    event: Event,
    has_data: bool,
    after_carriage_return: bool,
    after_first_line: bool,
}

impl Parser {
    /// Parses the next part of the stream and appends the events that it completes.
    pub fn push(&mut self, mut part: &[u8], events: &mut Vec<Event>) -> Result<(), ParseError> {
        while !part.is_empty() {
            if std::mem::take(&mut self.after_carriage_return) && part[0] == b'\n' {
                part = &part[1..];
                continue;
            }
            let Some(end) = part.iter().position(|it| matches!(it, b'\r' | b'\n')) else {
                return self.extend_line(part);
            };
            self.extend_line(&part[..end])?;
            self.after_carriage_return = part[end] == b'\r';
            part = &part[end + 1..];
            events.extend(self.end_line()?);
        }
        Ok(())
    }

    fn extend_line(&mut self, part: &[u8]) -> Result<(), ParseError> {
        if self.line.len() + part.len() > MAX_LINE_BYTES {
            return Err(ParseError::LineTooLong);
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn end_line(&mut self) -> Result<Option<Event>, ParseError> {
        self.lines_bytes += self.line.len() + 1;
        if self.lines_bytes > MAX_LINES_BYTES {
            return Err(ParseError::NoEvent);
        }
        let mut line = std::mem::take(&mut self.line);
        let is_first = !std::mem::replace(&mut self.after_first_line, true);
        let mark_len = if is_first && line.starts_with(BYTE_ORDER_MARK) {
            BYTE_ORDER_MARK.len()
        } else {
            0
        };
        let text = std::str::from_utf8(&line[mark_len..]).map_err(|_| ParseError::NotUtf8)?;
        let result = if text.is_empty() {
            Ok(self.end_event())
        } else {
            self.process_field(text).map(|()| None)
        };
        // Reuses the allocation for the next line.
        line.clear();
        self.line = line;
        result
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        let has_data = std::mem::take(&mut self.has_data);
        if has_data {
            self.lines_bytes = 0;
        }
        has_data.then_some(event)
    }

    fn process_field(&mut self, line: &str) -> Result<(), ParseError> {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => return self.append_data(value),
            "event" => value.clone_into(&mut self.event.name),
            "id" => self.event.id = Some(value.to_owned()),
            // Comments and unknown fields are ignored.
            _ => {}
        }
        Ok(())
    }

    fn append_data(&mut self, value: &str) -> Result<(), ParseError> {
        let data = &mut self.event.data;
        if data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(ParseError::EventTooLarge);
        }
        if std::mem::replace(&mut self.has_data, true) {
            data.push('\n');
        }
        data.push_str(value);
        Ok(())
    }
}
