//! Load and faulty responses beside the other steps: bursts, engines with few slots, and engines that answer some of
//! the requests twice, or with bytes that belong to no request.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, PLAIN_CAPACITY, PLAIN_INSTANCES, Recovery, Run, random_subset};
use crate::world::engine::{Capacity, Script};

/// A step that presses engines. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Pressure {
    /// An engine answers every nth request according to a script.
    PartialScript(usize, Script, usize, u64),
    /// An engine runs one request at a time.
    Squeeze(usize, u64),
    /// An engine closes connections that were idle for the first time.
    CloseIdle(usize, u64, u64),
    /// All loyal callers press at once.
    Burst(u64),
    /// Several engines restart under their ids.
    Restart(Vec<usize>),
}

impl Pressure {
    /// Chooses whether engines are pressed. Instances of the plain service are chosen more often than model engines.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let engines = ENGINES + PLAIN_INSTANCES;
        let any = rng.random_range(0..engines);
        let plain = rng.random_range(ENGINES..engines);
        let engine = [any, plain][rng.random_range(0..2)];
        let ms = rng.random_range(300..2500);
        let idle_ms = rng.random_range(1..100);
        let script = random_faulty_script(rng);
        let period = rng.random_range(2..6);
        match rng.random_range(0..17) {
            0..=9 => Some(Self::PartialScript(engine, script, period, ms)),
            10..=12 => Some(Self::Burst(ms)),
            13 => Some(Self::Squeeze(engine, ms)),
            14 => Some(Self::Restart(random_subset(rng, engines))),
            15 => Some(Self::CloseIdle(engine, idle_ms, ms)),
            _ => None,
        }
    }
}

impl Run {
    pub(super) fn press(&mut self, step: &Pressure) {
        match step {
            Pressure::PartialScript(it, script, period, ms) => {
                self.engines[*it].set_partial_script(script.clone(), *period);
                self.recover_after(*ms, Recovery::PartialScript(*it));
            }
            Pressure::Squeeze(it, ms) => {
                self.engines[*it].set_capacity(Capacity {
                    slots: 1,
                    queue: 1,
                    ..PLAIN_CAPACITY
                });
                self.recover_after(*ms, Recovery::Capacity(*it));
            }
            Pressure::CloseIdle(it, idle_ms, ms) => {
                let timeout = Duration::from_millis(*idle_ms);
                self.engines[*it].set_idle_timeout(Some(timeout));
                self.recover_after(*ms, Recovery::IdleTimeout(*it));
            }
            Pressure::Burst(ms) => self.traffic.start_burst(*ms),
            Pressure::Restart(engines) => {
                for it in engines {
                    self.restart_engine(*it);
                }
            }
        }
    }

    /// Ends the pressure on all engines.
    pub(super) fn relieve_engines(&mut self) {
        for it in 0..self.engines.len() {
            self.engines[it].clear_partial_script();
            self.engines[it].set_idle_timeout(None);
            self.restore_capacity(it);
        }
    }
}

/// Chooses what an engine does that sends responses twice, or bytes that belong to no request.
fn random_faulty_script(rng: &mut StdRng) -> Script {
    let status = [408, 421, 429, 500, 503, 504][rng.random_range(0..6)];
    let responses = [
        Script::Normal,
        Script::Refuses,
        Script::Misdirects,
        Script::FailsWith(status),
        Script::Unsealed,
        Script::BreaksAfter(1),
    ];
    let response = Box::new(responses[rng.random_range(0..responses.len())].clone());
    let ms = rng.random_range(0..60);
    // The next response is joined to the head of a refusal without its end.
    let extra_bytes = match ms {
        0..20 => "these bytes belong to no request\r\n\r\n",
        20..40 => "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nPart: ",
        _ => "HTTP/1.1 421 Other\r\nPart: ",
    };
    match rng.random_range(0..15) {
        0..=2 => Script::Repeats(Box::new(Script::Refuses)),
        3..=4 => Script::Repeats(response),
        5..=6 => Script::RepeatsAfter(response, ms),
        7 => Script::RefusesLate,
        8 => Script::FailsWith(status),
        9 => Script::Truncates,
        10 => Script::Garbles,
        11 => Script::AppendsBytes,
        12 => Script::RespondsThenSends(extra_bytes.to_owned()),
        13 => Script::Closes,
        _ => Script::RespondsEarly,
    }
}
