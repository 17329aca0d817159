//! Starts a whole deployment on this machine, sends requests through it and checks every answer.
//!
//! `cargo run --release --example demo` prints a table of outcomes and exits with 1 if any is
//! wrong. With `--hold` everything stays up until a signal comes or standard input closes.

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

mod hold;
mod model;
mod outcome;
mod service;

use hold::{Ending, Interrupt};
use outcome::{Outcome, Verdict};

/// Time for a configuration to be in force and for engines to be known everywhere.
const START_TIMEOUT: Duration = Duration::from_secs(17);

/// Time for an entry host to shut down.
const SHUT_DOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(20);

/// The text that is applied.
const TEXT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");

/// Why the demo can't go on.
#[derive(Debug, Display, Error)]
enum Failure {
    /// The fleet did not start.
    #[display("the fleet did not start: {_0}")]
    Start(fleet::Failure),
    /// A stand-in can't be asked.
    #[display("{_0}")]
    Ask(client::Failure),
    /// The text was not applied.
    #[display("the text was not applied: {_0}")]
    Apply(#[error(not(source))] String),
    /// The text is not in force.
    #[display("the text is not in force at {_0} after {START_TIMEOUT:?}")]
    InForce(#[error(not(source))] String),
    /// Signals can't be handled.
    #[display("signals can't be handled: {_0}")]
    Signals(std::io::Error),
    /// A signal came.
    #[display("a signal came")]
    Interrupted,
    /// The command line is wrong.
    #[display("{_0:?} is not understood; the only option is --hold")]
    Usage(#[error(not(source))] String),
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Right) => ExitCode::SUCCESS,
        Ok(Verdict::Wrong) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("demo: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Verdict, Failure> {
    let ending = ending()?;
    let interrupt = Interrupt::register().map_err(Failure::Signals)?;
    let fleet = Fleet::start(&Shape::default()).map_err(Failure::Start)?;
    apply(&fleet)?;
    if let Some(entry) = wait(&fleet, &interrupt, has_text)? {
        return Err(Failure::InForce(entry.name.clone()));
    }
    if let Some(entry) = wait(&fleet, &interrupt, has_engines)? {
        eprintln!(
            "demo: {} knows no engine after {START_TIMEOUT:?}",
            entry.name
        );
    }
    let outcomes = send_all(&fleet, &interrupt)?;
    print!("{}", outcome::table(&outcomes));
    print_counts(&fleet).map_err(Failure::Ask)?;
    let answers = outcome::verdict(&outcomes);
    if ending == Ending::Hold {
        announce(&fleet);
        interrupt.wait();
    }
    let ended = shut_down(&fleet);
    Ok(answers.and(ended))
}

fn ending() -> Result<Ending, Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(Ending::Exit),
        [option] if option == "--hold" => Ok(Ending::Hold),
        other => Err(Failure::Usage(other.join(" "))),
    }
}

fn apply(fleet: &Fleet) -> Result<(), Failure> {
    let platform = fleet.platform().to_string();
    let text = Path::new(TEXT).display().to_string();
    let output = fleet
        .run_cli(&["apply", &text, "--platform", &platform])
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

/// Waits until something holds for every entry host; returns one for which it didn't in time.
fn wait<'a>(
    fleet: &'a Fleet,
    interrupt: &Interrupt,
    holds: fn(&Value) -> bool,
) -> Result<Option<&'a Entry>, Failure> {
    let deadline = Instant::now() + START_TIMEOUT;
    for entry in fleet.entries() {
        while !holds(&status(entry)) {
            interrupt.check()?;
            if Instant::now() >= deadline {
                return Ok(Some(entry));
            }
            std::thread::sleep(POLL);
        }
    }
    Ok(None)
}

/// What a host knows; null if it doesn't answer.
fn status(entry: &Entry) -> Value {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.map(|it| it.json()).unwrap_or_default()
}

fn has_text(status: &Value) -> bool {
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
    model::check_runs(fleet, &mut outcomes).map_err(Failure::Ask)?;
    interrupt.check()?;
    outcomes.extend(service::send_all(fleet).map_err(Failure::Ask)?);
    Ok(outcomes)
}

/// What the platform and the weight store were asked meanwhile.
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

fn announce(fleet: &Fleet) {
    for entry in fleet.entries() {
        println!("entry {}", entry.address());
    }
    println!("platform {}", fleet.platform());
}

fn shut_down(fleet: &Fleet) -> Verdict {
    let mut verdict = Verdict::Right;
    for (name, ended) in fleet.shut_down(SHUT_DOWN_TIMEOUT) {
        if matches!(ended, WaitOutcome::Exited(status) if status.success()) {
            continue;
        }
        eprintln!("demo: {name} did not shut down well: {ended:?}");
        verdict = Verdict::Wrong;
    }
    verdict
}
