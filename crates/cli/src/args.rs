//! The command line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::{FromArgValue, FromArgs};
use kernel::request::Id;
use objects::{hosts, http, log::Log};

use crate::report::Report;

/// Environment variable with the address of the platform, used if `--platform` isn't given.
const PLATFORM_VARIABLE: &str = "COMFREYWING_PLATFORM";

/// Environment variable with the comma-separated addresses of entry hosts, used if `--entry` isn't
/// given.
const ENTRIES_VARIABLE: &str = "COMFREYWING_ENTRIES";

/// Options that may stand before or after the command. Each of them takes a value.
const GLOBAL_OPTIONS: [&str; 3] = ["--platform", "--entry", "--output"];

/// Operates a fleet: checks and applies its config document, and queries its entry hosts.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 platform or entry hosts unreachable, or outcome unknown.",
    note = "The environment gives defaults: COMFREYWING_PLATFORM (IP:PORT) and COMFREYWING_ENTRIES (IP:PORT,...)."
)]
pub struct Arguments {
    /// address of the platform's object API, IP:PORT
    #[argh(option)]
    platform: Option<SocketAddr>,

    /// address on which an entry host serves callers, IP:PORT; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// output format: human (default) or json
    #[argh(option, default = "Output::Human")]
    pub output: Output,

    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The output format.
#[derive(Clone, Copy, Debug, Eq, FromArgValue, PartialEq)]
pub enum Output {
    /// Text and tables for people.
    Human,
    /// One JSON object for programs.
    Json,
}

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a config file.
    Check(Check),
    /// Applies a config file as the next revision.
    Apply(Apply),
    /// Shows the current config document.
    Show(Show),
    /// Shows the changes that a config file would make.
    Diff(Diff),
    /// Shows the state of the fleet.
    Status(Status),
    /// Shows the trace of a request.
    Explain(Explain),
    /// Checks a deploy file.
    Deploy(Deploy),
    /// Checks a configuration of a platform.
    Config(Config),
    /// Shows the client accounts of gateway hosts.
    Accounts(Accounts),
}

/// check a config file offline and print every problem with its position
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the config file
    #[argh(positional)]
    pub file: PathBuf,
}

/// apply a config file as the next revision
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the config file
    #[argh(positional)]
    pub file: PathBuf,

    /// the revision that the file is based on; overrides the field revision of the file
    #[argh(option)]
    pub base: Option<u64>,

    /// the author of the edit; the user of this process by default
    #[argh(option, default = "user()")]
    pub author: String,
}

/// show the current config document and its revision
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// show the changes that a config file would make to the current config document
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the config file
    #[argh(positional)]
    pub file: PathBuf,
}

/// show the revision, hosts, upstreams and loaded adapters of each failure domain
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// show the decisions that were made for a request and their reasons
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the id of the request, as in its header X-Request-Id
    #[argh(positional)]
    pub request: Id,

    /// a log file of gateway hosts to read instead of querying entry hosts; may be repeated
    #[argh(option)]
    pub logs: Vec<PathBuf>,
}

/// check a deploy file offline, including the settings templates of its roles
#[derive(FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Deploy {
    /// the deploy file, deploy/system.toml by default; paths in it are relative to the working
    /// directory
    #[argh(positional, default = "PathBuf::from(\"deploy/system.toml\")")]
    pub file: PathBuf,

    /// also print the settings of each role, rendered with example values
    #[argh(switch)]
    pub show: bool,
}

/// check a platform's configuration offline: entries that can never match, limits that contradict
/// each other, and what differs from another one
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    /// the configuration, or the object of the store with it, as JSON or YAML
    #[argh(positional)]
    pub file: PathBuf,

    /// the configuration to compare with, such as the one in force
    #[argh(option)]
    pub against: Option<PathBuf>,
}

/// show the limits of client accounts and their use over all gateway hosts
#[derive(FromArgs)]
#[argh(subcommand, name = "accounts")]
pub struct Accounts {
    /// address of the metrics of a gateway host, IP:PORT; may be repeated
    #[argh(option)]
    pub metrics: Vec<SocketAddr>,
}

/// Returns the name of the user of this process, or `unknown`.
fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Moves the global options to the front, because the parser accepts them only there.
pub fn move_globals_first(arguments: Vec<String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        if !GLOBAL_OPTIONS.contains(&argument.as_str()) {
            rest.push(argument);
            continue;
        }
        globals.push(argument);
        globals.extend(arguments.next());
    }
    globals.append(&mut rest);
    globals
}

impl Arguments {
    /// Returns a client of the configuration log on the platform.
    pub fn config_log(&self) -> Result<Log, Report> {
        let address = match self.platform {
            Some(address) => address,
            None => read_platform_variable()?,
        };
        Ok(Log::new(std::sync::Arc::new(http::Client::new(address))))
    }

    /// Returns a client of the platform's host list, or `None` if no valid platform address is
    /// given.
    pub fn host_list(&self) -> Option<hosts::Client> {
        let address = self.platform.or_else(|| read_platform_variable().ok());
        address.map(hosts::Client::new)
    }

    /// Returns a client of the platform's object API, or `None` if no valid platform address is
    /// given.
    pub fn object_store(&self) -> Option<http::Client> {
        let address = self.platform.or_else(|| read_platform_variable().ok());
        address.map(http::Client::new)
    }

    /// Returns the addresses of the entry hosts to query.
    pub fn entry_addresses(&self) -> Result<Vec<SocketAddr>, Report> {
        if !self.entry.is_empty() {
            return Ok(self.entry.clone());
        }
        let list = std::env::var(ENTRIES_VARIABLE).map_err(|_| {
            let message = format!("no entry host is given: use --entry or {ENTRIES_VARIABLE}");
            Report::bad_input(message)
        })?;
        let addresses = list
            .split(',')
            .map(|it| parse_address(ENTRIES_VARIABLE, it.trim()));
        addresses.collect()
    }
}

/// Reads the address of the platform from the environment.
fn read_platform_variable() -> Result<SocketAddr, Report> {
    let text = std::env::var(PLATFORM_VARIABLE).map_err(|_| {
        let message = format!("no platform is given: use --platform or {PLATFORM_VARIABLE}");
        Report::bad_input(message)
    })?;
    parse_address(PLATFORM_VARIABLE, &text)
}

/// Parses an address from the value of an environment variable.
fn parse_address(variable: &str, text: &str) -> Result<SocketAddr, Report> {
    text.parse().map_err(|_| {
        let message = format!("{variable}: {text:?} is not an address: use IP:PORT");
        Report::bad_input(message)
    })
}
