//! The steps of a run.

use rand::{RngExt, rngs::StdRng};
use standin::{control::Outage, link::Path, object, plain::Cut};

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// SIGKILL and a new start.
    Kill(usize),
    /// SIGSTOP, or SIGCONT of the host that is stopped.
    Freeze(usize),
    /// SIGSTOP until others have taken its engines, and SIGCONT at a later step.
    FreezePastLease(usize),
    /// SIGTERM, its end, and a new start.
    Terminate(usize),
    /// A host's path to the platform is cut, or opened again if it is cut.
    Link(usize, Path),
    /// A fault of the object API, or its end.
    Objects(object::Switch),
    /// Lag of the host list, in milliseconds.
    HostLag(u64),
    /// An outage of the weight store, or its end.
    Weights(Outage),
    /// A cold restart of an engine.
    Restart(usize),
    /// An engine leaves, or comes back if it is leaving.
    Leave(usize),
    /// Streams of an engine break off.
    BreakStreams { engine: usize, after: u32 },
    /// An engine answers for another adapter, or for its own again.
    Misname(usize),
    /// The next connections of every instance are closed.
    Cut(Cut),
    /// An instance refuses calls, or takes them again.
    Refuse(usize),
    /// An instance takes longer, in milliseconds.
    Delay { plain: usize, ms: u64 },
    /// An edit of an operator.
    Edit,
    /// Two edits at the same time.
    Race,
}

/// How many of each kind there are to act on.
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
    /// Chooses any step.
    pub fn choose(rng: &mut StdRng, sizes: Sizes) -> Self {
        let entry = rng.random_range(0..sizes.entries);
        let engine = rng.random_range(0..sizes.engines);
        let plain = rng.random_range(0..sizes.plains);
        match rng.random_range(0..22) {
            0 | 1 => Self::Kill(entry),
            2 | 3 => Self::Freeze(entry),
            4 => Self::FreezePastLease(entry),
            5 | 6 => Self::Terminate(entry),
            7 | 8 => Self::Link(entry, path(rng)),
            9 | 10 => Self::Objects(objects(rng)),
            11 => Self::HostLag(pick(rng, &[500, 1000, 2000])),
            12 => Self::Weights(pick(rng, &[Outage::None, Outage::Refuse, Outage::Hang])),
            13 => Self::Restart(engine),
            14 | 15 => Self::Leave(engine),
            16 => Self::BreakStreams {
                engine,
                after: rng.random_range(0..crate::fixture::TOKENS),
            },
            17 | 20 => instance(rng, plain),
            18 => Self::Edit,
            19 => Self::Misname(engine),
            _ => Self::Race,
        }
    }
}

fn path(rng: &mut StdRng) -> Path {
    pick(rng, &[Path::Frozen, Path::Closed, Path::AnswersLost])
}

fn objects(rng: &mut StdRng) -> object::Switch {
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

fn instance(rng: &mut StdRng, plain: usize) -> Step {
    match rng.random_range(0..3) {
        0 => Step::Refuse(plain),
        1 => Step::Delay { plain, ms: 300 },
        _ => Step::Cut(pick(
            rng,
            &[Cut::BeforeRun, Cut::BeforeAnswer, Cut::DuringAnswer],
        )),
    }
}
