//! Logs: one line a record, each with the prefix of its part, on the standard error stream, or through
//! a bounded ring on standard output, so that a reader that doesn't read never holds up a request.

pub mod ring;

#[cfg(test)]
mod tests;

use std::io::{self, Write};

use derive_more::{Display, Error};
use flexi_logger::{DeferredNow, ErrorChannel, LogSpecification, Logger, LoggerHandle};
use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};
use serde_json::json;

/// Libraries that are kept to warnings, since they log each call at lower levels.
const QUIET_LIBRARIES: [&str; 5] = ["hyper", "mio", "opentelemetry", "ureq", "ureq_proto"];
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// How records are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// `TIME LEVEL part: message`.
    #[default]
    Text,
    /// One JSON object with `ts`, `level`, `part` and `message`.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The least important level that is written.
    pub level: LevelFilter,
    /// The form of a line.
    pub format: Format,
}

/// The log can't be started, for instance because it runs already.
#[derive(Debug, Display, Error)]
#[display("the log can't be started: {_0}")]
pub struct Failure(flexi_logger::FlexiLoggerError);

/// Starts to log. Records are written as long as the handle is kept.
pub fn start(settings: Settings) -> Result<LoggerHandle, Failure> {
    let format = match settings.format {
        Format::Text => write_text,
        Format::Json => write_json,
    };
    Logger::with(specification(settings.level))
        .log_to_stderr()
        .error_channel(ErrorChannel::DevNull)
        .format(format)
        .start()
        .map_err(Failure)
}

/// Starts to log to standard output through a ring that never blocks. Lines are JSON.
pub fn start_buffered(level: LevelFilter) -> Result<LoggerHandle, Failure> {
    let ring = ring::Ring::start(io::stdout()).map_err(|_| {
        // The only cause is that no thread can be started.
        Failure(flexi_logger::FlexiLoggerError::Poison)
    })?;
    Logger::with(specification(level))
        .log_to_writer(Box::new(ring))
        .error_channel(ErrorChannel::DevNull)
        .start()
        .map_err(Failure)
}

fn specification(level: LevelFilter) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(level);
    for library in QUIET_LIBRARIES {
        builder.module(library, level.min(LevelFilter::Warn));
    }
    builder.build()
}

fn write_text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    out.write_all(text_line(&time.to_string(), record).as_bytes())
}

fn write_json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    out.write_all(json_line(&time.to_string(), record).as_bytes())
}

/// The part that logs: the target's first segment.
fn part<'a>(record: &'a Record) -> &'a str {
    record.target().split("::").next().unwrap_or_default()
}

fn text_line(time: &str, record: &Record) -> String {
    let message: String = record.args().to_string().chars().flat_map(escape).collect();
    format!("{time} {:5} {}: {message}", record.level(), part(record))
}

/// Control characters are escaped, so that a caller's text can't begin a line of its own.
fn escape(it: char) -> impl Iterator<Item = char> {
    let (plain, escaped) = if it.is_control() {
        (None, Some(it.escape_default()))
    } else {
        (Some(it), None)
    };
    plain.into_iter().chain(escaped.into_iter().flatten())
}

fn json_line(time: &str, record: &Record) -> String {
    let mut line = json!({
        "ts": time,
        "level": record.level().as_str().to_ascii_lowercase(),
        "part": part(record),
        "message": record.args().to_string(),
    });
    let _ = record.key_values().visit(&mut Fields(&mut line));
    line.to_string()
}

/// Adds the fields of a record to its line.
struct Fields<'a>(&'a mut serde_json::Value);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0[key.as_str()] = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(is) = value.to_bool() {
            json!(is)
        } else {
            json!(value.to_string())
        };
        Ok(())
    }
}
