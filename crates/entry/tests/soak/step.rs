//! What happens to the hosts, the store and the engines.

use rand::{RngExt, rngs::StdRng};

use crate::{
    proxy::Fault,
    world::{engine::Script, store::Mode},
};

/// Something that happens. What lasts has its length in ms.
#[derive(Clone, Debug)]
pub enum Step {
    /// SIGKILL and a new start.
    Kill(usize),
    /// SIGSTOP, and SIGCONT later.
    Freeze(usize, u64),
    /// SIGTERM, its end, and a new start.
    Terminate(usize),
    /// One host's way to the store.
    StoreProxy(usize, Fault, u64),
    /// The store itself.
    Store(Mode, u64),
    /// The store's history is gone, and its watches are cut.
    ForgetHistory,
    /// The way to an engine.
    EngineProxy(usize, Fault, u64),
    /// Its open connections are reset.
    ResetEngineConnections(usize),
    /// It answers every request like this.
    Script(usize, Script, u64),
    /// Its orders get no answer and are carried out late.
    LateOrders(usize, u64),
    /// It begins a new life under its id, with nothing loaded.
    Restart(usize),
    /// It drops an adapter by itself.
    DropAdapter(usize),
    /// It leaves, and comes back later.
    Leave(usize, u64),
    /// Its entry vanishes, and comes back later.
    Vanish(usize, u64),
    /// The operator changes the configuration.
    Config,
    /// A new version of an adapter is announced.
    Version(usize),
}

impl Step {
    /// Chooses any step.
    pub fn choose(rng: &mut StdRng, hosts: usize, engines: usize) -> Self {
        let host = rng.random_range(0..hosts);
        let engine = rng.random_range(0..engines);
        let ms = rng.random_range(100..1800);
        match rng.random_range(0..24) {
            0 | 1 => Self::Kill(host),
            2 | 3 => Self::Freeze(host, ms * 2),
            4 | 5 => Self::Terminate(host),
            6 | 7 => Self::StoreProxy(host, random_fault(rng), ms * 2),
            8 => Self::Store(Mode::Silent, ms),
            9 => Self::Store(Mode::Busy, ms),
            10 => Self::Store(Mode::LosesAnswers, ms),
            11 => Self::ForgetHistory,
            12 | 13 => Self::EngineProxy(engine, random_fault(rng), ms),
            14 => Self::ResetEngineConnections(engine),
            15 | 16 => Self::Script(engine, random_script(rng), ms),
            17 => Self::LateOrders(engine, ms),
            18 => Self::Restart(engine),
            19 => Self::DropAdapter(engine),
            20 => Self::Leave(engine, ms),
            21 => Self::Vanish(engine, ms),
            22 => Self::Config,
            _ => Self::Version(rng.random_range(0..4)),
        }
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Delay(rng.random_range(20..300)),
        1 => Fault::Blackhole,
        2 => Fault::DropAnswers,
        _ => Fault::Refuse,
    }
}

fn random_script(rng: &mut StdRng) -> Script {
    let scripts = [
        Script::BreaksAfter(rng.random_range(0..4)),
        Script::Reset,
        Script::Full,
        Script::Fails,
        Script::OtherId,
        Script::Unsealed,
        Script::Mute,
        Script::Stalls(rng.random_range(0..4)),
        Script::Twice,
        Script::Unframed,
    ];
    scripts[rng.random_range(0..scripts.len())].clone()
}
