//! What is wrong with a file, and where.

use derive_more::{Display, Error};
use serde::Serialize;

/// The most problems that are reported of one file.
pub const MAX_PROBLEMS: usize = 100;

/// A position in a file; lines and columns count from 1.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{line}:{column}")]
pub struct Position {
    /// The line.
    pub line: u64,
    /// The column, in characters.
    pub column: u64,
}

impl Position {
    /// The start of a file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// One problem.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{file}:{position}: {message}")]
pub struct Problem {
    /// The file, as the user named it.
    pub file: String,
    /// Where the problem is.
    #[serde(flatten)]
    pub position: Position,
    /// What is wrong; it names the thing.
    pub message: String,
}

/// The problems of one file, in the order of their places.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct List {
    problems: Vec<Problem>,
}

impl List {
    /// The problems.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl std::fmt::Display for List {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{problem}")?;
        }
        Ok(())
    }
}

/// Collects the problems of one file.
#[derive(Clone, Debug)]
pub struct Sink {
    file: String,
    problems: Vec<(Position, String)>,
    omitted: usize,
}

impl Sink {
    /// A sink without problems.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            problems: Vec::new(),
            omitted: 0,
        }
    }

    /// Adds a problem; beyond [`MAX_PROBLEMS`] they are only counted.
    pub fn report(&mut self, position: Position, message: impl Into<String>) {
        if self.problems.len() == MAX_PROBLEMS {
            self.omitted += 1;
            return;
        }
        self.problems.push((position, message.into()));
    }

    /// `value`, if no problem was reported.
    pub fn finish<T>(mut self, value: T) -> Result<T, List> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort();
        self.note_omitted();
        Err(self.into_list())
    }

    /// The list of one problem that ends the reading of a file.
    pub fn fail(mut self, position: Position, message: impl Into<String>) -> List {
        self.report(position, message);
        self.into_list()
    }

    fn note_omitted(&mut self) {
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
        let problem = |(position, message)| Problem {
            file: file.clone(),
            position,
            message,
        };
        List {
            problems: self.problems.into_iter().map(problem).collect(),
        }
    }
}
