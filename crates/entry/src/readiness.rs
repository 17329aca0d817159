//! Whether this host takes new requests.

use std::sync::atomic::{AtomicU8, Ordering};

/// A stage in the life of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Stage {
    /// The configuration is not known yet.
    Starting,
    /// The configuration is known; the stewards of the engines are not all known yet.
    Joining,
    /// Requests are served.
    Ready,
    /// Running requests end; new ones are refused.
    Leaving,
}

impl Stage {
    /// The word in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
        }
    }
}

/// The present stage. It only goes forward.
#[derive(Debug, Default)]
pub struct Readiness(AtomicU8);

impl Readiness {
    /// The present stage.
    pub fn stage(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Joining,
            2 => Stage::Ready,
            _ => Stage::Leaving,
        }
    }

    /// Goes forward to a stage.
    pub fn advance_to(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
