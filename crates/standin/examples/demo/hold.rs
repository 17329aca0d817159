//! Signals, and waiting for one.

use std::{
    io::{self, Read},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};

use super::{Failure, POLL};

/// What follows the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Everything is shut down.
    Exit,
    /// Everything stays up until it is told to end.
    Hold,
}

/// Whether a signal has come.
#[derive(Debug)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Notes SIGINT and SIGTERM from now on, in place of dying of them.
    pub fn register() -> io::Result<Self> {
        let came = Arc::new(AtomicBool::new(false));
        flag::register(SIGINT, came.clone())?;
        flag::register(SIGTERM, came.clone())?;
        Ok(Self(came))
    }

    /// Fails if a signal has come.
    pub fn check(&self) -> Result<(), Failure> {
        if self.0.load(Ordering::Acquire) {
            return Err(Failure::Interrupted);
        }
        Ok(())
    }

    /// Waits until a signal comes or standard input closes.
    pub fn wait(&self) {
        let came = self.0.clone();
        // A blocking read can't be ended from outside, so this thread isn't joined: it ends with
        // the process at the latest.
        std::thread::spawn(move || {
            let _ = io::stdin().read_to_end(&mut Vec::new());
            came.store(true, Ordering::Release);
        });
        while !self.0.load(Ordering::Acquire) {
            std::thread::sleep(POLL);
        }
    }
}
