//! The problems in a config file and their positions.

use derive_more::{Display, Error};
use serde::Serialize;

/// The maximum number of problems that are reported for a file.
pub const MAX_PROBLEMS: usize = 100;

/// A position in a file; lines and columns count from 1.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{line}:{column}")]
pub struct Position {
    /// The line number.
    pub line: u64,
    /// The column number, in characters.
    pub column: u64,
}

impl Position {
    /// The start of the file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// A problem in a config file.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{file}:{position}: {message}")]
pub struct Problem {
    /// The file name as given by the user.
    pub file: String,
    /// The position of the problem.
    #[serde(flatten)]
    pub position: Position,
    /// The description of the problem, including the name of the affected item.
    pub message: String,
}

/// The problems in one file, in the order of their positions.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct List {
    problems: Vec<Problem>,
}

impl List {
    /// Returns the problems.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl std::fmt::Display for List {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// Collects the problems in one file while it is read.
#[derive(Clone, Debug)]
pub struct Sink {
    file: String,
    problems: Vec<(Position, String)>,
    /// The number of problems beyond [`MAX_PROBLEMS`].
    omitted: usize,
}

impl Sink {
    /// Creates a sink without problems.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            problems: Vec::new(),
            omitted: 0,
        }
    }

    /// Adds a problem. Problems beyond [`MAX_PROBLEMS`] are only counted.
    pub fn report(&mut self, position: Position, message: impl Into<String>) {
        if self.problems.len() == MAX_PROBLEMS {
            self.omitted += 1;
            return;
        }
        self.problems.push((position, message.into()));
    }

    /// Returns `value` if no problem was reported, otherwise the problems.
    pub fn finish<T>(mut self, value: T) -> Result<T, List> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort();
        self.report_omitted();
        Err(self.into_list())
    }

    /// Adds a problem that prevents further reading of the file, and returns all problems.
    pub fn fail(mut self, position: Position, message: impl Into<String>) -> List {
        self.report(position, message);
        self.into_list()
    }

    fn report_omitted(&mut self) {
        let Some((position, _)) = self.problems.last() else {
            return;
        };
        if self.omitted > 0 {
            let message = format!("{} more problems are not shown", self.omitted);
            self.problems.push((*position, message));
        }
    }

    fn into_list(self) -> List {
        let file = self.file;
        let to_problem = |(position, message)| Problem {
            file: file.clone(),
            position,
            message,
        };
        List {
            problems: self.problems.into_iter().map(to_problem).collect(),
        }
    }
}
