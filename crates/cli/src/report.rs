//! The report of a command: its exit code and its output in both formats.

use std::{
    io::{Write, stderr, stdout},
    process::ExitCode,
};

use config::problem::List;
use objects::{log, object::Failure};
use serde_json::{Value, json};

use crate::args::Output;

/// The exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The command succeeded.
    Ok = 0,
    /// The command failed.
    Failed = 1,
    /// The arguments or the file are invalid; nothing was changed.
    BadInput = 2,
    /// Another edit was accepted first; nothing was changed.
    Conflict = 3,
    /// The platform or the entry hosts can't be reached, or the outcome is unknown.
    Unreachable = 4,
}

impl Code {
    /// Returns the value of the field `outcome` in the JSON output.
    fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Failed => "failed",
            Self::BadInput => "bad-input",
            Self::Conflict => "conflict",
            Self::Unreachable => "unreachable",
        }
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The exit code.
    pub code: Code,
    /// The output for people.
    pub human: String,
    /// The JSON object for programs. The field `outcome` is added when the report is printed.
    pub json: Value,
}

impl Report {
    /// Creates the report of a command that succeeded.
    pub fn ok(human: impl Into<String>, json: Value) -> Self {
        Self::new(Code::Ok, human, json)
    }

    /// Creates a report with the given exit code.
    pub fn new(code: Code, human: impl Into<String>, json: Value) -> Self {
        Self {
            code,
            human: human.into(),
            json,
        }
    }

    /// Creates a report whose only content is a message.
    pub fn message(code: Code, message: impl Into<String>) -> Self {
        let message = message.into();
        Self::new(code, message.clone(), json!({ "message": message }))
    }

    /// Creates a report about invalid arguments or an invalid file.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::message(Code::BadInput, message)
    }

    /// Prints the report and returns its exit code. Output goes to standard output, except that the
    /// output for people goes to standard error if the command failed.
    pub fn print(mut self, output: Output) -> ExitCode {
        // A write error, such as a pipe that the reader has closed, does not change the exit code.
        let _ = match output {
            Output::Json => {
                self.json["outcome"] = self.code.as_str().into();
                writeln!(stdout(), "{:#}", self.json)
            }
            Output::Human if self.code == Code::Ok => {
                writeln!(stdout(), "{}", self.human.trim_end())
            }
            Output::Human => writeln!(stderr(), "{}", self.human.trim_end()),
        };
        self.code.into()
    }
}

impl From<List> for Report {
    fn from(list: List) -> Self {
        Self::new(
            Code::BadInput,
            list.to_string(),
            json!({ "problems": list.problems() }),
        )
    }
}

impl From<log::Error> for Report {
    fn from(error: log::Error) -> Self {
        let code = match &error {
            log::Error::Store(failure) => classify(failure),
            log::Error::MissingRevision { .. }
            | log::Error::InapplicableChanges { .. }
            | log::Error::MissingObject { .. }
            | log::Error::Unreadable { .. } => Code::Failed,
        };
        Self::message(code, error.to_string())
    }
}

/// Returns the exit code for a failed call to the platform.
fn classify(failure: &Failure) -> Code {
    match failure {
        Failure::Throttled { .. } | Failure::Unavailable { .. } | Failure::Unknown { .. } => {
            Code::Unreachable
        }
        Failure::Conflict { .. } | Failure::TooLarge { .. } | Failure::Gap { .. } => Code::Failed,
    }
}
