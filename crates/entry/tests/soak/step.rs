//! The random steps that affect the hosts, the store and the engines.

use rand::{RngExt, rngs::StdRng};

use crate::{
    proxy::Fault,
    world::{engine::Script, store::Mode, unframed::Unframed},
};

/// A failure or operation. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub enum Step {
    /// SIGKILL followed by a restart.
    Kill(usize),
    /// SIGSTOP, followed by SIGCONT.
    Pause(usize, u64),
    /// SIGTERM, the exit of the process, and a restart.
    Terminate(usize),
    /// A fault of one host's connection to the store.
    StoreProxy(usize, Fault, u64),
    /// A fault of the store itself.
    Store(Mode, u64),
    /// The store loses its history and closes its watches.
    ForgetHistory,
    /// A fault of the connection to an engine.
    EngineProxy(usize, Fault, u64),
    /// Resets the open connections of an engine.
    ResetEngineConnections(usize),
    /// An engine answers all requests according to a script.
    Script(usize, Script, u64),
    /// An engine executes orders late and does not answer them.
    LateOrders(usize, u64),
    /// An engine restarts under the same id with nothing loaded.
    Restart(usize),
    /// An engine drops an adapter on its own.
    DropAdapter(usize),
    /// An engine leaves and returns later.
    Leave(usize, u64),
    /// The entry of an engine is removed and written again later.
    Vanish(usize, u64),
    /// The store comes back from the copy that was made this number of steps ago. What the operator and the
    /// engines wrote since is written again after the time.
    RollBack(usize, u64),
    /// The operator changes the configuration.
    Config,
    /// A new version of an adapter is published.
    Version(usize),
}

impl Step {
    /// Chooses whether the store comes back from a copy. This has a generator of its own, so that the other steps
    /// of a seed stay the same.
    pub fn choose_rollback(rng: &mut StdRng, copies: usize) -> Option<Self> {
        let back = rng.random_range(1..8);
        let ms = rng.random_range(50..1500);
        let is_chosen = rng.random_range(0..10) == 0;
        (is_chosen && back <= copies).then_some(Self::RollBack(back, ms))
    }

    /// Chooses a random step.
    pub fn choose(rng: &mut StdRng, hosts: usize, engines: usize) -> Self {
        let host = rng.random_range(0..hosts);
        let engine = rng.random_range(0..engines);
        let ms = rng.random_range(100..1800);
        match rng.random_range(0..24) {
            0 | 1 => Self::Kill(host),
            2 | 3 => Self::Pause(host, ms * 2),
            4 | 5 => Self::Terminate(host),
            6 | 7 => Self::StoreProxy(host, random_fault(rng), ms * 2),
            8 => Self::Store(Mode::NoResponse, ms),
            9 => Self::Store(Mode::Unavailable, ms),
            10 => Self::Store(Mode::LosesWriteResponses, ms),
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
        Script::Refuses,
        Script::Fails,
        Script::WrongRequestId,
        Script::Unsealed,
        Script::NeverResponds,
        Script::StallsAfter(rng.random_range(0..4)),
        Script::RespondsTwice,
        Script::Unframed(Unframed::WHOLE),
    ];
    scripts[rng.random_range(0..scripts.len())].clone()
}
