//! Tests of the format of log lines.

use log::{Level, Record};

use super::{format_json, format_text};

/// Checks that a record with the message is formatted as expected.
fn check(format: fn(&str, &Record) -> String, message: &str, expected: &str) {
    let line = format(
        "T",
        &Record::builder()
            .args(format_args!("{message}"))
            .level(Level::Warn)
            .target("steward::route")
            .build(),
    );
    assert_eq!(line, expected);
}

// A text line starts with time, level and component. Control characters in text from a client are
// escaped, so that the text can't start a forged log line.
#[test]
fn text_format_writes_one_line_per_record() {
    check(format_text, "It is slow.", "T WARN  steward: It is slow.");
    check(
        format_text,
        "a\nb\u{1b}c ü",
        "T WARN  steward: a\\nb\\u{1b}c ü",
    );
}

// A JSON line has all fields, and characters that are special in JSON are escaped.
#[test]
fn json_format_writes_one_object_per_record() {
    let line = |message: &str| {
        format!(r#"{{"level":"warn","message":"{message}","part":"steward","ts":"T"}}"#)
    };
    check(format_json, "It is slow.", &line("It is slow."));
    check(format_json, "\"a\"\n\\\u{1}", &line(r#"\"a\"\n\\\u0001"#));
}
