//! `comfreywing explain REQUEST-ID --logs FILE`: the story of a request from the logs of hosts.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde_json::{Value, json};

use crate::{
    args::Explain,
    report::{Code, Report},
};

/// Reads the logs and tells what they say of the request, oldest line first.
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
            "no line of these logs is about request {id}; usual requests are sampled, so it was \
             served in time or by another host"
        );
        return Err(Report::new(Code::Failed, human, json!({ "request": id })));
    }
    lines.sort_by_key(|it| text(it, "ts").to_owned());
    let human: Vec<String> = lines.iter().map(tell).collect();
    let json = json!({ "request": id, "lines": lines });
    Ok(Report::ok(human.join("\n"), json))
}

/// Collects the lines about a request. What stands before the first brace, such as the name of a
/// machine, is passed over.
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
        if text(&value, "request") == id {
            lines.push(value);
        }
    }
    Ok(())
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// One line for people, with the cause that the figures point to.
fn tell(line: &Value) -> String {
    let number = |field: &str| line[field].as_u64().unwrap_or(0);
    let mut told = format!(
        "{} request {} {} {} after {} ms (route {}, service {}, adapter {}, config {})",
        text(line, "ts"),
        text(line, "request"),
        text(line, "event"),
        text(line, "why"),
        number("took_ms"),
        text(line, "route"),
        text(line, "service"),
        text(line, "adapter"),
        number("config"),
    );
    let waits = [
        ("waited for the adapter's load", number("load_wait_ms")),
        ("waited for its turn at an engine", number("paced_ms")),
        ("first event after", number("first_ms")),
        ("longest pause", number("gap_ms")),
    ];
    for (what, ms) in waits.into_iter().filter(|it| it.1 > 0) {
        told += &format_part(what, ms);
    }
    for one in text(line, "tries").split("; ").filter(|it| !it.is_empty()) {
        told += "\n  engine ";
        told += one;
    }
    told
}

fn format_part(what: &str, ms: u64) -> String {
    format!("\n  {what}: {ms} ms")
}
