//! The lifecycle stage that determines whether this host accepts requests.

use std::sync::atomic::{AtomicU8, Ordering};

/// A stage of the process lifecycle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Stage {
    /// No configuration is known yet.
    Starting,
    /// The configuration is known, but not yet the stewards of all engines.
    Joining,
    /// Requests are accepted.
    Ready,
    /// Running requests are finished; new ones are refused.
    Leaving,
}

impl Stage {
    /// Returns the name of the stage in responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
        }
    }
}

/// The current stage, which only moves forward.
#[derive(Debug, Default)]
pub struct Readiness(AtomicU8);

impl Readiness {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Joining,
            2 => Stage::Ready,
            _ => Stage::Leaving,
        }
    }

    /// Moves forward to a stage. Has no effect if the stage is already reached.
    pub fn advance_to(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
