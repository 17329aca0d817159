//! `comfreywing explain REQUEST-ID --logs FILE`: shows what the log files of gateway hosts contain
//! about a request.

use std::{
    fmt::Write as _,
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde_json::{Value, json};

use crate::{
    args::Explain,
    report::{Code, Report},
};

/// Shows the log lines about a request in the order of their timestamps.
pub fn run(options: &Explain) -> Result<Report, Report> {
    let id = options.request.as_str();
    let mut lines = Vec::new();
    for file in &options.logs {
        read(file, id, &mut lines).map_err(|error| {
            let human = format!("{}: {error}", file.display());
            Report::new(Code::BadInput, human, json!({ "request": id }))
        })?;
    }
    if lines.is_empty() {
        let human = format!(
            "the logs have no line about request {id}; requests that are served in time are only \
             sampled, so it was served in time or by another host"
        );
        return Err(Report::new(Code::Failed, human, json!({ "request": id })));
    }
    lines.sort_by_key(|it| text_field(it, "ts").to_owned());
    let human: Vec<String> = lines.iter().map(format_line).collect();
    let json = json!({ "request": id, "lines": lines });
    Ok(Report::ok(human.join("\n"), json))
}

/// Collects the lines about a request. Text before the first brace, such as the name of a machine,
/// is ignored.
fn read(file: &Path, id: &str, lines: &mut Vec<Value>) -> io::Result<()> {
    for line in BufReader::new(File::open(file)?).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        let Some(start) = line.find('{').filter(|_| line.contains(id)) else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else {
            continue;
        };
        if text_field(&value, "request") == id {
            lines.push(value);
        }
    }
    Ok(())
}

/// Returns the text in a field of a log line, or an empty string.
fn text_field<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Formats a log line for people, followed by the times of the request that aren't 0 and by its
/// attempts. The log field `paced_ms` is the delay by the pacing of an engine, and `tries` has the
/// attempts separated by semicolons. `docs/operating/gateway.md` shows examples of this output.
fn format_line(line: &Value) -> String {
    let number = |field: &str| line[field].as_u64().unwrap_or(0);
    let mut output = format!(
        "{} request {} {} {} after {} ms (route {}, service {}, adapter {}, config {})",
        text_field(line, "ts"),
        text_field(line, "request"),
        text_field(line, "event"),
        text_field(line, "why"),
        number("took_ms"),
        text_field(line, "route"),
        text_field(line, "service"),
        text_field(line, "adapter"),
        number("config"),
    );
    let times = [
        ("waited for the adapter's load", number("load_wait_ms")),
        ("held while engines had queues", number("queue_wait_ms")),
        (
            "waited for an engine's request limit",
            number("limit_wait_ms"),
        ),
        ("waited for the retry budget", number("budget_wait_ms")),
        ("waited for its turn at an engine", number("paced_ms")),
        ("first event after", number("first_ms")),
        ("longest pause", number("gap_ms")),
    ];
    for (name, ms) in times.into_iter().filter(|it| it.1 > 0) {
        output += &format_time(name, ms);
    }
    let stated = |field: &str| Some(text_field(line, field)).filter(|it| !matches!(*it, "" | "-"));
    if let Some(event) = stated("after_event") {
        let request = stated("resumes").unwrap_or("an unknown request");
        let _ = write!(
            output,
            "\n  resumes the stream of {request} after event {event}"
        );
    }
    if let Some(why) = stated("not_resumed") {
        let _ = write!(output, "\n  not resumed at another engine: {why}");
    }
    if let Some(builds) = stated("builds") {
        let _ = write!(output, "\n  builds of the engines: {builds}");
    }
    for attempt in text_field(line, "tries")
        .split("; ")
        .filter(|it| !it.is_empty())
    {
        output += "\n  engine ";
        output += attempt;
    }
    output
}

/// Formats a time on a line of its own.
fn format_time(name: &str, ms: u64) -> String {
    format!("\n  {name}: {ms} ms")
}
