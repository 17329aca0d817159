//! The operators' command line: checks and applies the text, and asks entry hosts what they do.

mod args;
mod command;
mod entry;
mod file;
mod report;
mod table;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::{
    args::{Arguments, Command},
    report::{Code, Report},
};

/// The program's name in its help.
const PROGRAM: &str = "comfreywing";

fn main() -> ExitCode {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let ordered = args::globals_first(given);
    let words: Vec<&str> = ordered.iter().map(String::as_str).collect();
    match Arguments::from_args(&[PROGRAM], &words) {
        Ok(arguments) => run(&arguments).print(arguments.output),
        Err(EarlyExit { output, status }) => stop(&output, status),
    }
}

/// Prints the help, or what is wrong with the arguments.
fn stop(output: &str, status: Result<(), ()>) -> ExitCode {
    if status.is_ok() {
        println!("{output}");
        return Code::Ok.into();
    }
    eprintln!("{}", output.trim_end());
    eprintln!("Run {PROGRAM} --help for more information.");
    Code::BadInput.into()
}

fn run(arguments: &Arguments) -> Report {
    let result = match &arguments.command {
        Command::Check(it) => command::check::run(it),
        Command::Apply(it) => command::apply::run(arguments, it),
        Command::Show(_) => command::show::run(arguments),
        Command::Diff(it) => command::diff::run(arguments, it),
        Command::Status(_) => command::status::run(arguments),
        Command::Deploy(it) => command::deploy::run(it),
        Command::Explain(it) => command::explain::run(arguments, it),
    };
    result.unwrap_or_else(|report| report)
}
