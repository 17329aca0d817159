//! Stand-ins of the platform, its engines and its clients, and the scenarios of the scripts in `review/`.
//!
//! Only the standard library is used. All addresses are loopback addresses on free ports.

mod drain;
mod http;
mod json;
mod llm;
mod mixed;
mod odd;
mod plain;
mod poison;
mod store;
mod system;
mod takeup;

use std::{env, path::PathBuf, process::ExitCode};

/// Result of a scenario.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let scenario = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let result = match scenario.as_str() {
        "drain" => drain::run(&folder, trouble),
        "takeup" => takeup::run(&folder, trouble),
        "mixed" => mixed::run(&folder, trouble),
        "odd" => odd::run(&folder, trouble),
        "poison" => poison::run(&folder, trouble),
        _ => Err(format!("unknown scenario {scenario:?}")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
