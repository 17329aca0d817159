//! The command line tool for operators. It checks and applies the config document of a fleet and
//! queries its entry hosts.

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

/// The name of the program in its help.
const PROGRAM: &str = "comfreywing";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let ordered = args::move_globals_first(arguments);
    let arguments: Vec<&str> = ordered.iter().map(String::as_str).collect();
    match Arguments::from_args(&[PROGRAM], &arguments) {
        Ok(arguments) => run(&arguments).print(arguments.output),
        Err(EarlyExit { output, status }) => print_exit(&output, status),
    }
}

/// Prints the help or the error in the arguments. The status is that of the argument parser.
fn print_exit(output: &str, status: Result<(), ()>) -> ExitCode {
    if status.is_ok() {
        println!("{output}");
        return Code::Ok.into();
    }
    eprintln!("{}", output.trim_end());
    eprintln!("Run {PROGRAM} --help for more information.");
    Code::BadInput.into()
}

/// Runs the command and returns its report, whether or not the command succeeded.
fn run(arguments: &Arguments) -> Report {
    let result = match &arguments.command {
        Command::Check(options) => command::check::run(options),
        Command::Apply(options) => command::apply::run(arguments, options),
        Command::Show(_) => command::show::run(arguments),
        Command::Diff(options) => command::diff::run(arguments, options),
        Command::Status(_) => command::status::run(arguments),
        Command::Deploy(options) => command::deploy::run(options),
        Command::Config(options) => command::config::run(options),
        Command::Accounts(options) => command::accounts::run(options),
        Command::Explain(options) => command::explain::run(arguments, options),
    };
    result.unwrap_or_else(|report| report)
}
