//! Responses with neither a length nor chunks: they end with their connection, whole, inside an event or with a reset.

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, PLAIN_INSTANCES, Recovery, Run};
use crate::world::{
    engine::{EVENT_COUNT, Script},
    unframed::{End, Unframed},
};

/// Bytes of an event that is not complete.
const PARTS_OF_EVENT: [&str; 4] = ["i", "id: 9\n", "id: 9\ndata: token 9\n", ": comment\n"];

/// An engine answers every nth request without a length. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Ending {
    engine: usize,
    unframed: Unframed,
    period: usize,
    ms: u64,
}

impl Ending {
    /// Chooses whether an engine answers without a length, and how its responses end.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let engine = rng.random_range(0..ENGINES + PLAIN_INSTANCES);
        let ms = rng.random_range(300..2500);
        let period = rng.random_range(1..5);
        let events = rng.random_range(0..=EVENT_COUNT);
        let part = PARTS_OF_EVENT[rng.random_range(0..PARTS_OF_EVENT.len())];
        let (events, tail, end) = match rng.random_range(0..6) {
            0..=1 => (usize::MAX, "", End::Close),
            2..=3 => (events, part, End::Close),
            4 => (events, part, End::Reset),
            _ => (events, "", End::Reset),
        };
        let unframed = Unframed {
            version: ["HTTP/1.1", "HTTP/1.1", "HTTP/1.0"][rng.random_range(0..3)],
            status: [200, 200, 200, 200, 421, 500, 503][rng.random_range(0..7)],
            events,
            tail,
            pause_ms: [0, rng.random_range(1..400)][rng.random_range(0..2)],
            end,
            ..Unframed::WHOLE
        };
        let it = Self {
            engine,
            unframed,
            period,
            ms,
        };
        (rng.random_range(0..10) < 4).then_some(it)
    }
}

impl Run {
    pub(super) fn end_responses(&mut self, step: &Ending) {
        let script = Script::Unframed(step.unframed);
        self.engines[step.engine].set_partial_script(script, step.period);
        self.recover_after(step.ms, Recovery::PartialScript(step.engine));
    }
}
