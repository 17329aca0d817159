//! Open connections to the store that go silent while new ones work, beside answers whose status is no final one.

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, PLAIN_INSTANCES, Recovery, Run};
use crate::world::engine::Script;

/// A step of this module. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Silence {
    /// The open connections to the store get no answers any more.
    Store,
    /// An engine answers every nth request with this status.
    Status(usize, u16, usize, u64),
}

impl Silence {
    /// Chooses whether connections go silent, or an engine's answers have no final status.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let engine = rng.random_range(0..ENGINES + PLAIN_INSTANCES);
        let status = [101, 600, 799, 999][rng.random_range(0..4)];
        let period = rng.random_range(1..6);
        let ms = rng.random_range(300..2000);
        match rng.random_range(0..12) {
            0..=1 => Some(Self::Store),
            2..=4 => Some(Self::Status(engine, status, period, ms)),
            _ => None,
        }
    }
}

impl Run {
    pub(super) fn silence(&mut self, step: &Silence) {
        match *step {
            Silence::Store => self.store.silence_connections(),
            Silence::Status(it, status, period, ms) => {
                self.engines[it].set_partial_script(Script::FailsWith(status), period);
                self.recover_after(ms, Recovery::PartialScript(it));
            }
        }
    }
}
