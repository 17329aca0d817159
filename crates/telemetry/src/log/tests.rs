//! The form of log lines.

use log::{Level, Record};

use super::{json_line, text_line};

fn check(write: fn(&str, &Record) -> String, message: &str, expected: &str) {
    let line = write(
        "T",
        &Record::builder()
            .args(format_args!("{message}"))
            .level(Level::Warn)
            .target("steward::route")
            .build(),
    );
    assert_eq!(line, expected);
}

/// Covers the prefix of a part, and text of a caller that would begin a line of its own.
#[test]
fn text_has_one_line_a_record() {
    check(text_line, "It is slow.", "T WARN  steward: It is slow.");
    check(
        text_line,
        "a\nb\u{1b}c ü",
        "T WARN  steward: a\\nb\\u{1b}c ü",
    );
}

/// Covers the fields, and characters that have to be escaped.
#[test]
fn json_has_one_object_a_record() {
    let line = |message: &str| {
        format!(r#"{{"level":"warn","message":"{message}","part":"steward","ts":"T"}}"#)
    };
    check(json_line, "It is slow.", &line("It is slow."));
    check(json_line, "\"a\"\n\\\u{1}", &line(r#"\"a\"\n\\\u0001"#));
}
