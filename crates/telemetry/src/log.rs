//! Logging with one line per record. Each line names the component that logs it. Lines are written
//! either directly to standard error, or to standard output through a bounded ring buffer, so that
//! a slow or blocked log reader never delays a request.

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

/// Libraries that are limited to warnings because they log each call at lower levels.
const QUIET_LIBRARIES: [&str; 5] = ["hyper", "mio", "opentelemetry", "ureq", "ureq_proto"];
/// Format of timestamps: UTC with milliseconds, such as `2026-01-21T11:24:47.230Z`.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// `TIME LEVEL component: message`.
    #[default]
    Text,
    /// One JSON object with `ts`, `level`, `part` (the component), `message` and the key-value
    /// pairs of the record.
    Json,
}

/// The settings of the logger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The most verbose level that is written.
    pub level: LevelFilter,
    /// The format of each line.
    pub format: Format,
}

/// The logger can't be started, for instance because one is already running.
#[derive(Debug, Display, Error)]
#[display("failed to start the logger: {_0}")]
pub struct Failure(flexi_logger::FlexiLoggerError);

/// Starts the logger on standard error. Records are written until the returned handle is dropped.
pub fn start(settings: Settings) -> Result<LoggerHandle, Failure> {
    let format = match settings.format {
        Format::Text => write_text,
        Format::Json => write_json,
    };
    Logger::with(build_specification(settings.level))
        .log_to_stderr()
        .error_channel(ErrorChannel::DevNull)
        .format(format)
        .start()
        .map_err(Failure)
}

/// Starts the logger on standard output with lines in JSON. Records pass through a ring buffer, so
/// that logging never blocks. Records are written until the returned handle is dropped.
pub fn start_buffered(level: LevelFilter) -> Result<LoggerHandle, Failure> {
    let ring = ring::Ring::start(io::stdout()).map_err(|_| {
        // `Ring::start` fails only if the writer thread can't be spawned, which is reported as
        // `Poison`.
        Failure(flexi_logger::FlexiLoggerError::Poison)
    })?;
    Logger::with(build_specification(level))
        .log_to_writer(Box::new(ring))
        .error_channel(ErrorChannel::DevNull)
        .start()
        .map_err(Failure)
}

/// Builds the level filter of the logger.
fn build_specification(level: LevelFilter) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(level);
    for library in QUIET_LIBRARIES {
        builder.module(library, level.min(LevelFilter::Warn));
    }
    builder.build()
}

/// Writes a record as text. The signature is that of a `flexi_logger` format function.
fn write_text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    out.write_all(format_text(&time.to_string(), record).as_bytes())
}

/// Writes a record as JSON. The signature is that of a `flexi_logger` format function.
fn write_json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format(TIME_FORMAT);
    out.write_all(format_json(&time.to_string(), record).as_bytes())
}

/// Returns the component that logs a record: the first segment of the record's target.
fn component<'a>(record: &'a Record) -> &'a str {
    record.target().split("::").next().unwrap_or_default()
}

/// Formats a record as one line of text.
fn format_text(time: &str, record: &Record) -> String {
    let message: String = record.args().to_string().chars().flat_map(escape).collect();
    format!(
        "{time} {:5} {}: {message}",
        record.level(),
        component(record)
    )
}

/// Escapes control characters, so that text received from a client can't start a forged log line.
fn escape(character: char) -> impl Iterator<Item = char> {
    let (plain, escaped) = if character.is_control() {
        (None, Some(character.escape_default()))
    } else {
        (Some(character), None)
    };
    plain.into_iter().chain(escaped.into_iter().flatten())
}

/// Formats a record as one JSON object.
fn format_json(time: &str, record: &Record) -> String {
    let mut line = json!({
        "ts": time,
        "level": record.level().as_str().to_ascii_lowercase(),
        "part": component(record),
        "message": record.args().to_string(),
    });
    let _ = record.key_values().visit(&mut Visitor(&mut line));
    line.to_string()
}

/// A visitor that adds the key-value pairs of a record to its JSON line.
struct Visitor<'a>(&'a mut serde_json::Value);

impl<'kvs> VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0[key.as_str()] = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        Ok(())
    }
}
