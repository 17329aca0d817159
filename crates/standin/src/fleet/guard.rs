//! Ends entry hosts whose owner was killed and couldn't end them itself.
//!
//! Stand-ins end when their standard input closes; an entry host doesn't. The guard is a stand-in
//! process that is told of each entry host and kills those left when its own input closes.

use std::{
    fs,
    io::{self, BufRead, Write},
    path::{Path, PathBuf},
    process::Command,
};

use super::{Failure, process::Process, start_failure};
use crate::{command::READY, http::ANY_PORT};

/// The kind of stand-in on the command line.
pub const KIND: &str = "guard";

/// The owner's side of a guard.
#[derive(Debug)]
pub struct Guard {
    process: Process,
}

impl Guard {
    /// The side of a guard's process that is ready.
    pub fn new(process: Process) -> Self {
        Self { process }
    }

    /// Tells the guard of a process.
    pub fn watch(&self, id: u32) -> Result<(), Failure> {
        let told = self.process.tell(&id.to_string());
        told.map_err(|it| start_failure("the guard", it))
    }
}

/// The guard's side: takes process ids, one a line, until its input closes, and then kills those
/// that run `program` still.
pub fn run(program: &Path) -> io::Result<()> {
    let program = program.canonicalize()?;
    let mut output = io::stdout();
    writeln!(output, "{READY} {ANY_PORT}")?;
    output.flush()?;
    let mut ids: Vec<u32> = Vec::new();
    for line in io::stdin().lock().lines() {
        ids.extend(line?.parse::<u32>());
    }
    ids.into_iter()
        .filter(|it| program_of(*it).as_ref() == Some(&program))
        .try_for_each(kill)
}

/// The program that a process runs. An id may be in use again for another one.
fn program_of(id: u32) -> Option<PathBuf> {
    fs::read_link(format!("/proc/{id}/exe")).ok()
}

fn kill(id: u32) -> io::Result<()> {
    Command::new("/bin/kill")
        .args(["-KILL", &id.to_string()])
        .status()
        .map(|_| ())
}
