//! Starts a whole deployment on this machine, sends requests through it, and checks all answers.
//!
//! `cargo run --release --example demo` prints a table of outcomes and exits with 1 if any check
//! fails. With `--hold`, the deployment keeps running until a signal arrives or standard input
//! closes.

use std::{
    path::Path,
    process::ExitCode,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};
use serde_json::Value;
use standin::{
    client::{self, Request},
    fleet::{self, Entry, Fleet, Shape, process::WaitOutcome},
    object, weights,
};

mod interrupt;
mod model;
mod outcome;
mod service;

use interrupt::{Completion, Interrupt};
use outcome::{Outcome, Verdict};

/// Timeout for all entry hosts to apply the configuration and to discover engines.
const START_TIMEOUT: Duration = Duration::from_secs(17);

/// Timeout of the shutdown of an entry host.
const SHUT_DOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The config document that the demo applies.
const CONFIG_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");

/// Error that ends the demo.
#[derive(Debug, Display, Error)]
enum Failure {
    /// The fleet did not start.
    #[display("the fleet did not start: {_0}")]
    Start(fleet::Failure),
    /// A call to the control interface of a stand-in failed.
    #[display("{_0}")]
    Control(client::Failure),
    /// The config document could not be applied.
    #[display("the config document was not applied: {_0}")]
    Apply(#[error(not(source))] String),
    /// An entry host did not apply the config document in time.
    #[display("the config document is not in force at {_0} after {START_TIMEOUT:?}")]
    Timeout(#[error(not(source))] String),
    /// The signal handlers could not be installed.
    #[display("cannot handle signals: {_0}")]
    Signals(std::io::Error),
    /// A signal arrived.
    #[display("interrupted by a signal")]
    Interrupted,
    /// The command line is invalid.
    #[display("unknown arguments {_0:?}; the only option is --hold")]
    Usage(#[error(not(source))] String),
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("demo: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Verdict, Failure> {
    let completion = parse_completion()?;
    let interrupt = Interrupt::register().map_err(Failure::Signals)?;
    let fleet = Fleet::start(&Shape::default()).map_err(Failure::Start)?;
    apply_config(&fleet)?;
    if let Some(entry) = wait_for_all(&fleet, &interrupt, has_config)? {
        return Err(Failure::Timeout(entry.name.clone()));
    }
    if let Some(entry) = wait_for_all(&fleet, &interrupt, has_engines)? {
        eprintln!(
            "demo: {} knows no engine after {START_TIMEOUT:?}",
            entry.name
        );
    }
    let outcomes = send_all(&fleet, &interrupt)?;
    print!("{}", outcome::table(&outcomes));
    print_counts(&fleet).map_err(Failure::Control)?;
    let answers = outcome::verdict(&outcomes);
    if completion == Completion::Hold {
        print_addresses(&fleet);
        interrupt.wait();
    }
    let ended = shut_down(&fleet);
    Ok(answers.and(ended))
}

fn parse_completion() -> Result<Completion, Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(Completion::Exit),
        [option] if option == "--hold" => Ok(Completion::Hold),
        other => Err(Failure::Usage(other.join(" "))),
    }
}

fn apply_config(fleet: &Fleet) -> Result<(), Failure> {
    let platform = fleet.platform().to_string();
    let config = Path::new(CONFIG_FILE).display().to_string();
    let output = fleet
        .run_cli(&["apply", &config, "--platform", &platform])
        .map_err(Failure::Start)?;
    if output.status.success() {
        return Ok(());
    }
    let message = [output.stdout, output.stderr].concat();
    let message = String::from_utf8_lossy(&message);
    Err(Failure::Apply(format!(
        "{}: {}",
        output.status,
        message.trim()
    )))
}

/// Waits until a condition holds for the status of all entry hosts. Returns a host for which the
/// condition does not hold in time.
fn wait_for_all<'a>(
    fleet: &'a Fleet,
    interrupt: &Interrupt,
    holds: fn(&Value) -> bool,
) -> Result<Option<&'a Entry>, Failure> {
    let deadline = Instant::now() + START_TIMEOUT;
    for entry in fleet.entries() {
        while !holds(&read_status(entry)) {
            interrupt.check()?;
            if Instant::now() >= deadline {
                return Ok(Some(entry));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    Ok(None)
}

/// Reads the status of an entry host. Returns null if the host does not answer.
fn read_status(entry: &Entry) -> Value {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.map(|it| it.json()).unwrap_or_default()
}

fn has_config(status: &Value) -> bool {
    status["ready"] == true && status["revision"].as_u64() > Some(0)
}

fn has_engines(status: &Value) -> bool {
    status["engines"]
        .as_array()
        .is_some_and(|it| !it.is_empty())
}

fn send_all(fleet: &Fleet, interrupt: &Interrupt) -> Result<Vec<Outcome>, Failure> {
    let mut outcomes = Vec::new();
    for entry in fleet.entries() {
        interrupt.check()?;
        outcomes.extend(model::send_all(entry));
    }
    model::check_runs(fleet, &mut outcomes).map_err(Failure::Control)?;
    interrupt.check()?;
    outcomes.extend(service::send_all(fleet).map_err(Failure::Control)?);
    Ok(outcomes)
}

/// Prints the counters of the platform and of the weight store.
fn print_counts(fleet: &Fleet) -> Result<(), client::Failure> {
    let object::Counts {
        reads,
        lists,
        watches,
        writes,
        ..
    } = fleet.object_counts()?;
    println!("platform: {reads} reads, {lists} lists, {watches} watches, {writes} writes");
    let weights::Counts {
        started,
        over_rate,
        over_full_speed,
        over_cap,
        ..
    } = fleet.weight_counts()?;
    println!(
        "weight store: {started} loads, {over_rate} refused over the rate, \
         {over_full_speed} begun over full speed, {over_cap} over the cap in flight"
    );
    Ok(())
}

fn print_addresses(fleet: &Fleet) {
    for entry in fleet.entries() {
        println!("entry {}", entry.address());
    }
    println!("platform {}", fleet.platform());
}

fn shut_down(fleet: &Fleet) -> Verdict {
    let mut verdict = Verdict::Passed;
    for (name, ended) in fleet.shut_down(SHUT_DOWN_TIMEOUT) {
        if matches!(ended, WaitOutcome::Exited(status) if status.success()) {
            continue;
        }
        eprintln!("demo: {name} did not shut down with success: {ended:?}");
        verdict = Verdict::Failed;
    }
    verdict
}
