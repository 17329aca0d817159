//! Writers race each other through a log whose answers get lost. Seeds are fixed.

use std::{collections::BTreeMap, sync::Arc};

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Outcome, Record, State},
};
use objects::log::{AppendOutcome, Log};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::fake::{Fake, Trouble};

const SEEDS: u64 = 30;
const TURNS: u32 = 60;
const WRITERS: usize = 3;

/// What writers were told of their edits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    Accepted,
    Refused,
    Unknown,
}

struct World {
    rng: StdRng,
    fake: Arc<Fake>,
    log: Log,
    writers: Vec<State>,
    watcher: State,
    told: BTreeMap<EditId, Told>,
}

impl World {
    fn new(seed: u64) -> Self {
        let fake = Arc::new(Fake::default());
        Self {
            rng: StdRng::seed_from_u64(seed),
            log: Log::new(Arc::clone(&fake) as Arc<dyn objects::object::Store>),
            fake,
            writers: vec![State::default(); WRITERS],
            watcher: State::default(),
            told: BTreeMap::new(),
        }
    }

    fn trouble(&mut self) {
        let troubles: Vec<Trouble> = (0..12)
            .map(|_| match self.rng.random_range(0..12) {
                0 => Trouble::Outage,
                1 => Trouble::LostAnswer,
                2 => Trouble::LostCall,
                3 => Trouble::Late,
                _ => Trouble::None,
            })
            .collect();
        self.fake.trouble(&troubles);
    }

    /// A writer reads the log or not, and edits what it holds.
    fn edit(&mut self, turn: u32) {
        let writer = self.rng.random_range(0..WRITERS);
        if self.rng.random_range(0..3) > 0
            && let Ok(state) = self.log.load()
        {
            self.writers[writer] = state;
        }
        let state = &self.writers[writer];
        let record = Record {
            number: state.number().next(),
            edit: EditId(u128::from(turn)),
            author: format!("w{writer}"),
            changes: diff(state.document(), &edited(turn)),
        };
        let told = match self.log.append(&record) {
            Ok(AppendOutcome::Accepted) => Told::Accepted,
            Ok(AppendOutcome::Unknown { .. }) => Told::Unknown,
            Ok(AppendOutcome::Conflict { .. }) | Err(_) => Told::Refused,
        };
        self.told.insert(record.edit, told);
    }

    fn watch(&mut self) {
        let Ok(records) = self.log.fetch_after(self.watcher.number()) else {
            return;
        };
        for record in records {
            assert_eq!(self.watcher.adopt(&record), Outcome::Adopted);
        }
    }
}

/// A text that only this turn writes.
fn edited(turn: u32) -> Document {
    let yaml = format!("services: {{s{turn}: {{kind: plain}}}}");
    document::parse("f", yaml.as_bytes()).expect("the text is right")
}

/// Covers: what was told accepted is in the log once and stays, what was told refused is not in
/// it, and a watcher follows without going back.
#[test]
fn racing_writers() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for turn in 0..TURNS {
            world.trouble();
            world.edit(turn);
            world.watch();
        }
        world.fake.trouble(&[]);
        for _ in 0..TURNS {
            world.watch();
        }
        assert_eq!(
            world.watcher,
            world.log.load().expect("the fake is up"),
            "seed {seed}"
        );
        let records = world.log.fetch_after(Number(0)).expect("the fake is up");
        for (edit, told) in &world.told {
            let count = records.iter().filter(|it| it.edit == *edit).count();
            let right = match told {
                Told::Accepted => count == 1,
                Told::Refused => count == 0,
                Told::Unknown => count <= 1,
            };
            assert!(
                right,
                "seed {seed}: edit {edit} was told {told:?} and is there {count} times"
            );
        }
        assert!(
            records.len() > 10,
            "seed {seed}: {} revisions",
            records.len()
        );
    }
}
