//! Outcomes of requests, and the table that shows them.

use std::{fmt::Write, time::Duration};

/// Result of a set of checks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// All checks passed.
    Passed,
    /// A check failed.
    Failed,
}

impl Verdict {
    /// Combines two verdicts: passed if both are.
    pub fn and(self, other: Self) -> Self {
        match self {
            Self::Passed => other,
            Self::Failed => Self::Failed,
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request id.
    pub request: String,
    /// The entry host that received the request.
    pub entry: String,
    /// The adapter and version, or the service.
    pub target: String,
    /// The id under which an engine ran the request, taken from the answer.
    pub run: String,
    /// The failure domain of the upstream that answered. Empty if it is unknown.
    pub domain: String,
    /// Time to the first token of a stream or to a whole answer.
    pub first_token: Option<Duration>,
    /// Time in milliseconds that the request waited for its adapter, taken from the answer.
    pub load_stall_ms: String,
    /// Descriptions of the failed checks.
    pub errors: Vec<String>,
}

impl Outcome {
    /// Creates the outcome of a request that has not been answered.
    pub fn new(request: String, entry: &str, target: &str) -> Self {
        Self {
            request,
            entry: entry.to_owned(),
            target: target.to_owned(),
            run: String::new(),
            domain: String::new(),
            first_token: None,
            load_stall_ms: String::new(),
            errors: Vec::new(),
        }
    }

    /// Records an error unless a condition holds.
    pub fn expect(&mut self, condition: bool, error: impl Into<String>) {
        if !condition {
            self.errors.push(error.into());
        }
    }

    fn cells(&self) -> [String; 7] {
        let first_token = self
            .first_token
            .map(|it| format!("{:.1} ms", it.as_secs_f64() * 1e3));
        let stall = match self.load_stall_ms.as_str() {
            "" => "-".to_owned(),
            stall => format!("{stall} ms"),
        };
        let result = match self.errors.as_slice() {
            [] => "passed".to_owned(),
            errors => format!("FAILED: {}", errors.join("; ")),
        };
        [
            self.request.clone(),
            self.entry.clone(),
            self.target.clone(),
            self.domain.clone(),
            first_token.unwrap_or_else(|| "-".to_owned()),
            stall,
            result,
        ]
    }
}

/// Returns whether all outcomes passed. An empty list counts as failed.
pub fn verdict(outcomes: &[Outcome]) -> Verdict {
    if !outcomes.is_empty() && outcomes.iter().all(|it| it.errors.is_empty()) {
        return Verdict::Passed;
    }
    Verdict::Failed
}

/// Formats the table of outcomes with a summary line.
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
    let passed = outcomes.iter().filter(|it| it.errors.is_empty()).count();
    let _ = writeln!(text, "{passed} of {} requests passed", outcomes.len());
    text
}
