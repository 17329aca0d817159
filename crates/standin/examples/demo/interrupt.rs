//! Handles termination signals and waits for them.

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

use super::{Failure, POLL_INTERVAL};

/// Behavior after the table is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The deployment is shut down.
    Exit,
    /// The deployment runs until a signal arrives or standard input closes.
    Hold,
}

/// Flag that is set when a signal arrives.
#[derive(Debug)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// Installs handlers that set the flag on SIGINT and SIGTERM instead of ending the process.
    pub fn register() -> io::Result<Self> {
        let interrupted = Arc::new(AtomicBool::new(false));
        flag::register(SIGINT, interrupted.clone())?;
        flag::register(SIGTERM, interrupted.clone())?;
        Ok(Self(interrupted))
    }

    /// Fails if a signal has arrived.
    pub fn check(&self) -> Result<(), Failure> {
        if self.0.load(Ordering::Acquire) {
            return Err(Failure::Interrupted);
        }
        Ok(())
    }

    /// Waits until a signal arrives or standard input closes.
    pub fn wait(&self) {
        let interrupted = self.0.clone();
        // A blocking read cannot be interrupted from another thread, so this thread is not joined.
        // It ends with the process at the latest.
        std::thread::spawn(move || {
            let _ = io::stdin().read_to_end(&mut Vec::new());
            interrupted.store(true, Ordering::Release);
        });
        while !self.0.load(Ordering::Acquire) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
