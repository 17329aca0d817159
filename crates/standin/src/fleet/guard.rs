//! Process that kills the entry hosts of a fleet whose owner was killed and could not stop them.
//!
//! Stand-ins exit when their standard input closes; entry hosts do not. The guard receives the
//! process id of each entry host and kills those still running when its own standard input closes.

use std::{
    fs,
    io::{self, BufRead, Write},
    path::{Path, PathBuf},
    process::Command,
};

use super::{Failure, process::Process, start_failure};
use crate::{command::READY_PREFIX, http::ANY_PORT};

/// The kind that starts a guard on the command line of the stand-ins.
pub const KIND: &str = "guard";

/// Handle to a guard process.
#[derive(Debug)]
pub struct Guard {
    process: Process,
}

impl Guard {
    /// Creates the handle to a guard process that is ready.
    pub fn new(process: Process) -> Self {
        Self { process }
    }

    /// Adds a process that the guard must kill.
    pub fn add(&self, id: u32) -> Result<(), Failure> {
        let written = self.process.write_line(&id.to_string());
        written.map_err(|it| start_failure("the guard", it))
    }
}

/// Runs the guard: reads process ids, one per line, until standard input closes, and then kills
/// those that still run `program`.
pub fn run(program: &Path) -> io::Result<()> {
    let program = program.canonicalize()?;
    let mut output = io::stdout();
    writeln!(output, "{READY_PREFIX} {ANY_PORT}")?;
    output.flush()?;
    let mut ids: Vec<u32> = Vec::new();
    for line in io::stdin().lock().lines() {
        ids.extend(line?.parse::<u32>());
    }
    ids.into_iter()
        .filter(|it| find_program(*it).as_ref() == Some(&program))
        .try_for_each(kill)
}

/// Returns the program that a process runs. The operating system may have reused the id for another
/// program.
fn find_program(id: u32) -> Option<PathBuf> {
    fs::read_link(format!("/proc/{id}/exe")).ok()
}

fn kill(id: u32) -> io::Result<()> {
    Command::new("/bin/kill")
        .args(["-KILL", &id.to_string()])
        .status()
        .map(|_| ())
}
