//! Engines and the store send bytes without end, fast or slowly, until the host closes the connection.

use rand::{RngExt, rngs::StdRng};

use super::{ENGINES, PLAIN_INSTANCES, Recovery, Run, usage::peak_memory};
use crate::world::{
    engine::Script,
    flood::{Flood, Pace},
    store::Mode,
};

/// A step with bytes without end. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Floods {
    /// An engine answers every nth request with a status and bytes without end.
    Engine {
        engine: usize,
        status: u16,
        flood: Flood,
        pace: Pace,
        period: usize,
        ms: u64,
    },
    /// An engine answers status queries with bytes without end.
    Reports {
        engine: usize,
        flood: Flood,
        ms: u64,
    },
    /// The store sends bytes without end.
    Store { flood: Flood, ms: u64 },
}

impl Floods {
    /// Chooses whether bytes without end are sent, and by whom.
    pub fn choose(rng: &mut StdRng) -> Option<Self> {
        let engine = rng.random_range(0..ENGINES + PLAIN_INSTANCES);
        let ms = rng.random_range(300..2000);
        let period = rng.random_range(2..6);
        let pace = [Pace::Fast, Pace::Slow][rng.random_range(0..2)];
        let status = [200, 200, 421, 500, 503][rng.random_range(0..5)];
        let any: Vec<Flood> = Flood::IN_HEAD.into_iter().chain(Flood::IN_BODY).collect();
        let mut flood = any[rng.random_range(0..any.len())];
        if engine < ENGINES && status == 200 && rng.random_range(0..3) == 0 {
            flood = Flood::IN_EVENT[rng.random_range(0..Flood::IN_EVENT.len())];
        }
        match rng.random_range(0..12) {
            0..=2 => Some(Self::Engine {
                engine,
                status,
                flood,
                pace,
                period,
                ms,
            }),
            3 => Some(Self::Reports { engine, flood, ms }),
            4 => Some(Self::Store { flood, ms }),
            _ => None,
        }
    }
}

impl Run {
    pub(super) fn flood(&mut self, step: &Floods) {
        match step {
            Floods::Engine {
                engine,
                status,
                flood,
                pace,
                period,
                ms,
            } => {
                let script = Script::Floods(*status, *flood, *pace);
                self.engines[*engine].set_partial_script(script, *period);
                self.recover_after(*ms, Recovery::PartialScript(*engine));
            }
            Floods::Reports { engine, flood, ms } => {
                self.engines[*engine].flood_reports(Some(*flood));
                self.recover_after(*ms, Recovery::Reports(*engine));
            }
            Floods::Store { flood, ms } => {
                self.store.set_mode(Mode::Floods(*flood));
                self.recover_after(*ms, Recovery::Store);
            }
        }
    }

    /// Reports each host whose memory has been larger than allowed.
    pub(super) fn check_memory(&mut self) {
        for (it, host) in self.hosts.iter().enumerate() {
            let peak = peak_memory(host.id()).unwrap_or(0);
            if peak > MAX_MEMORY_BYTES {
                self.violations
                    .push(format!("host {it} has used {peak} bytes of memory"));
            }
        }
    }
}

/// Memory that a host may use, in bytes.
const MAX_MEMORY_BYTES: u64 = 256 << 20;
