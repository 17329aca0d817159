//! What came of a request, and the table of all.

use std::{fmt::Write, time::Duration};

/// Whether everything was right.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Everything was right.
    Right,
    /// Something was wrong.
    Wrong,
}

impl Verdict {
    /// Right if both are.
    pub fn and(self, other: Self) -> Self {
        match self {
            Self::Right => other,
            Self::Wrong => Self::Wrong,
        }
    }
}

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its request id.
    pub request: String,
    /// The entry host that it was sent to.
    pub entry: String,
    /// The adapter and version, or the service.
    pub target: String,
    /// The id under which an engine ran it, as the answer tells it.
    pub run: String,
    /// The failure domain of the upstream that answered; empty if it isn't known.
    pub domain: String,
    /// Time to the first token of a stream or to the whole answer.
    pub first: Option<Duration>,
    /// Time that the request waited for its adapter in milliseconds, as the answer tells it.
    pub load_stall_ms: String,
    /// What is wrong; empty if nothing is.
    pub wrong: Vec<String>,
}

impl Outcome {
    /// A request of which nothing is known yet.
    pub fn new(request: String, entry: &str, target: &str) -> Self {
        Self {
            request,
            entry: entry.to_owned(),
            target: target.to_owned(),
            run: String::new(),
            domain: String::new(),
            first: None,
            load_stall_ms: String::new(),
            wrong: Vec::new(),
        }
    }

    /// Notes what is wrong unless something holds.
    pub fn expect(&mut self, holds: bool, wrong: impl Into<String>) {
        if !holds {
            self.wrong.push(wrong.into());
        }
    }

    fn cells(&self) -> [String; 7] {
        let first = self
            .first
            .map(|it| format!("{:.1} ms", it.as_secs_f64() * 1e3));
        let stall = match self.load_stall_ms.as_str() {
            "" => "-".to_owned(),
            stall => format!("{stall} ms"),
        };
        let result = match self.wrong.as_slice() {
            [] => "right".to_owned(),
            wrong => format!("WRONG: {}", wrong.join("; ")),
        };
        [
            self.request.clone(),
            self.entry.clone(),
            self.target.clone(),
            self.domain.clone(),
            first.unwrap_or_else(|| "-".to_owned()),
            stall,
            result,
        ]
    }
}

/// Whether all were right. No outcome at all is wrong.
pub fn verdict(outcomes: &[Outcome]) -> Verdict {
    if !outcomes.is_empty() && outcomes.iter().all(|it| it.wrong.is_empty()) {
        return Verdict::Right;
    }
    Verdict::Wrong
}

/// The table of outcomes, with a line on all of them.
pub fn table(outcomes: &[Outcome]) -> String {
    let head = [
        "REQUEST",
        "ENTRY HOST",
        "ADAPTER AND VERSION",
        "FAILURE DOMAIN",
        "FIRST TOKEN",
        "LOAD STALL",
        "RESULT",
    ];
    let mut rows = vec![head.map(str::to_owned)];
    rows.extend(outcomes.iter().map(Outcome::cells));
    let mut text = String::new();
    for row in &rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|it| it[column].len()).max().unwrap_or(0);
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    let right = outcomes.iter().filter(|it| it.wrong.is_empty()).count();
    let _ = writeln!(text, "{right} of {} requests are right", outcomes.len());
    text
}
