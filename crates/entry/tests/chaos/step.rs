//! The random steps of a run.

use rand::{RngExt, rngs::StdRng};
use standin::{control::Outage, link::Mode, object, plain::Cut};

/// A failure or operation applied to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// SIGKILL followed by a restart.
    Kill(usize),
    /// SIGSTOP, or SIGCONT if a host is already stopped.
    Pause(usize),
    /// SIGSTOP until other hosts have claimed the host's engines. SIGCONT follows in a later step.
    PauseUntilTakeover(usize),
    /// SIGTERM, the exit of the process, and a restart.
    Terminate(usize),
    /// Breaks a host's connection to the platform, or restores it if broken.
    Link(usize, Mode),
    /// Starts or ends a fault of the object API.
    Objects(object::Switch),
    /// Delays the host list, in milliseconds.
    HostLag(u64),
    /// Starts or ends an outage of the weight store.
    Weights(Outage),
    /// Restarts an engine without loaded adapters.
    Restart(usize),
    /// Makes an engine leave, or return if it is leaving.
    Leave(usize),
    /// Breaks streams of an engine.
    BreakStreams { engine: usize, after: u32 },
    /// Makes an engine answer for another adapter, or reverts this.
    Misname(usize),
    /// Closes the next connections of all instances.
    Cut(Cut),
    /// Makes an instance refuse calls, or reverts this.
    Refuse(usize),
    /// Delays an instance's responses, in milliseconds.
    Delay { plain: usize, ms: u64 },
    /// An edit by an operator.
    Edit,
    /// Two concurrent edits.
    Race,
}

/// Numbers of available targets.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub entries: usize,
    pub engines: usize,
    pub plains: usize,
}

fn pick<T: Clone>(rng: &mut StdRng, among: &[T]) -> T {
    among[rng.random_range(0..among.len())].clone()
}

impl Step {
    /// Chooses a random step.
    pub fn choose(rng: &mut StdRng, sizes: Sizes) -> Self {
        let entry = rng.random_range(0..sizes.entries);
        let engine = rng.random_range(0..sizes.engines);
        let plain = rng.random_range(0..sizes.plains);
        match rng.random_range(0..22) {
            0 | 1 => Self::Kill(entry),
            2 | 3 => Self::Pause(entry),
            4 => Self::PauseUntilTakeover(entry),
            5 | 6 => Self::Terminate(entry),
            7 | 8 => Self::Link(entry, random_link_mode(rng)),
            9 | 10 => Self::Objects(random_object_fault(rng)),
            11 => Self::HostLag(pick(rng, &[500, 1000, 2000])),
            12 => Self::Weights(pick(rng, &[Outage::None, Outage::Refuse, Outage::Hang])),
            13 => Self::Restart(engine),
            14 | 15 => Self::Leave(engine),
            16 => Self::BreakStreams {
                engine,
                after: rng.random_range(0..crate::fixture::TOKENS),
            },
            17 | 20 => random_instance_fault(rng, plain),
            18 => Self::Edit,
            19 => Self::Misname(engine),
            _ => Self::Race,
        }
    }
}

fn random_link_mode(rng: &mut StdRng) -> Mode {
    pick(rng, &[Mode::Frozen, Mode::Closed, Mode::AnswersLost])
}

fn random_object_fault(rng: &mut StdRng) -> object::Switch {
    let switches = [
        object::Switch::Outage(Outage::None),
        object::Switch::Outage(Outage::None),
        object::Switch::Outage(Outage::Refuse),
        object::Switch::Outage(Outage::Break),
        object::Switch::Outage(Outage::Hang),
        object::Switch::LoseAnswers(3),
        object::Switch::CallsPerSecond(60.0),
        object::Switch::CallsPerSecond(0.0),
        object::Switch::DelayMs(50),
    ];
    pick(rng, &switches)
}

fn random_instance_fault(rng: &mut StdRng, plain: usize) -> Step {
    match rng.random_range(0..3) {
        0 => Step::Refuse(plain),
        1 => Step::Delay { plain, ms: 300 },
        _ => Step::Cut(pick(
            rng,
            &[Cut::BeforeRun, Cut::BeforeAnswer, Cut::DuringAnswer],
        )),
    }
}
