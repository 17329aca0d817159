//! The arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::{FromArgValue, FromArgs};
use kernel::request::Id;
use objects::{hosts, http, log::Log};

use crate::report::Report;

/// Names the platform's address where `--platform` is not given.
const PLATFORM_VARIABLE: &str = "COMFREYWING_PLATFORM";

/// Names entry hosts' addresses, with commas, where `--entry` is not given.
const ENTRIES_VARIABLE: &str = "COMFREYWING_ENTRIES";

/// Options that stand before or after the command.
const GLOBALS: [&str; 3] = ["--platform", "--entry", "--output"];

/// Operates a fleet: checks and applies the text, and asks entry hosts what they do.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 platform or entry hosts unreachable, or outcome unknown.",
    note = "The environment gives defaults: COMFREYWING_PLATFORM (IP:PORT) and COMFREYWING_ENTRIES (IP:PORT,...)."
)]
pub struct Arguments {
    /// address of the platform's object API, IP:PORT
    #[argh(option)]
    platform: Option<SocketAddr>,

    /// address of an entry host's callers' port, IP:PORT; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// form of the output: human (default) or json
    #[argh(option, default = "Output::Human")]
    pub output: Output,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The form of the output.
#[derive(Clone, Copy, Debug, Eq, FromArgValue, PartialEq)]
pub enum Output {
    /// Text and tables.
    Human,
    /// One JSON object.
    Json,
}

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a file.
    Check(Check),
    /// Put a file in force.
    Apply(Apply),
    /// Show the text in force.
    Show(Show),
    /// Show what a file would change.
    Diff(Diff),
    /// Show the state of the fleet.
    Status(Status),
    /// Explain a request.
    Explain(Explain),
    /// Check a deploy file.
    Deploy(Deploy),
}

/// check a file offline and print every problem with its place
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// put the text of a file in force as the next revision
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,

    /// the revision that the file was made from; goes before the field revision of the file
    #[argh(option)]
    pub base: Option<u64>,

    /// who makes the edit; the user of this process by default
    #[argh(option, default = "user()")]
    pub author: String,
}

/// show the text in force and its revision
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// show what a file would change of the text in force
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// show revision, hosts, upstreams and loaded adapters of each failure domain
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// show what was decided for a request and why
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's id, as in its X-Request-Id
    #[argh(positional)]
    pub request: Id,

    /// a log of hosts on a platform to read instead of asking entry hosts; may be given again
    #[argh(option)]
    pub logs: Vec<PathBuf>,
}

/// check a deploy file of the users' platform offline, with the templates of its roles
#[derive(FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Deploy {
    /// the deploy file, deploy/system.toml by default; its paths start at the working directory
    #[argh(positional, default = "PathBuf::from(\"deploy/system.toml\")")]
    pub file: PathBuf,

    /// also print each role's settings, filled in with example fields
    #[argh(switch)]
    pub show: bool,
}

fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// The arguments with the global options in front, where the parser takes them.
pub fn globals_first(given: Vec<String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut given = given.into_iter();
    while let Some(word) = given.next() {
        if !GLOBALS.contains(&word.as_str()) {
            rest.push(word);
            continue;
        }
        globals.push(word);
        globals.extend(given.next());
    }
    globals.append(&mut rest);
    globals
}

impl Arguments {
    /// The configuration log of the platform.
    pub fn log(&self) -> Result<Log, Report> {
        let address = match self.platform {
            Some(address) => address,
            None => platform_of_environment()?,
        };
        Ok(Log::new(std::sync::Arc::new(http::Client::new(address))))
    }

    /// The platform's host list, if a platform is named.
    pub fn hosts(&self) -> Option<hosts::Client> {
        let address = self.platform.or_else(|| platform_of_environment().ok());
        address.map(hosts::Client::new)
    }

    /// The platform's object API, if a platform is named.
    pub fn store(&self) -> Option<http::Client> {
        let address = self.platform.or_else(|| platform_of_environment().ok());
        address.map(http::Client::new)
    }

    /// The entry hosts to ask.
    pub fn entries(&self) -> Result<Vec<SocketAddr>, Report> {
        if !self.entry.is_empty() {
            return Ok(self.entry.clone());
        }
        let list = std::env::var(ENTRIES_VARIABLE).map_err(|_| {
            let message = format!("no entry host is given: use --entry or {ENTRIES_VARIABLE}");
            Report::bad_input(message)
        })?;
        let addresses = list
            .split(',')
            .map(|it| address(ENTRIES_VARIABLE, it.trim()));
        addresses.collect()
    }
}

fn platform_of_environment() -> Result<SocketAddr, Report> {
    let text = std::env::var(PLATFORM_VARIABLE).map_err(|_| {
        let message = format!("no platform is given: use --platform or {PLATFORM_VARIABLE}");
        Report::bad_input(message)
    })?;
    address(PLATFORM_VARIABLE, &text)
}

fn address(variable: &str, text: &str) -> Result<SocketAddr, Report> {
    text.parse().map_err(|_| {
        let message = format!("{variable}: {text:?} is not an address: use IP:PORT");
        Report::bad_input(message)
    })
}
