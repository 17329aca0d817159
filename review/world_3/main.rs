//! Stand-ins of the platform, its engines and its clients, and the scenarios of the scripts in `review/`.
//!
//! Only the standard library is used. All addresses are loopback addresses on free ports.

mod adapters;
mod drain;
mod http;
mod joined;
mod json;
mod llm;
mod outage;
mod plain;
mod silence;
mod store;
mod system;
mod versions;

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
        "joined" => joined::run(&folder, trouble),
        "outage" => outage::run(&folder, trouble),
        "silence" => silence::run(&folder, trouble),
        "versions" => versions::run(&folder, trouble),
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
