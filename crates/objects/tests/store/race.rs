//! Randomized test of concurrent writers of the log on a store with injected faults. Seeds are
//! fixed.

use std::{collections::BTreeMap, sync::Arc};

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Outcome, Record, State},
};
use objects::log::{AppendOutcome, Log};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::fake::{FakeStore, Fault};

const SEEDS: u64 = 30;
const STEPS: u32 = 60;
const WRITERS: usize = 3;

/// The outcome of an edit as reported to its writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Report {
    Accepted,
    Refused,
    Unknown,
}

/// A log with its writers and a watcher that follows it.
struct Simulation {
    rng: StdRng,
    store: Arc<FakeStore>,
    log: Log,
    writers: Vec<State>,
    watcher: State,
    reports: BTreeMap<EditId, Report>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let store = Arc::new(FakeStore::default());
        Self {
            rng: StdRng::seed_from_u64(seed),
            log: Log::new(Arc::clone(&store) as Arc<dyn objects::object::Store>),
            store,
            writers: vec![State::default(); WRITERS],
            watcher: State::default(),
            reports: BTreeMap::new(),
        }
    }

    /// Sets random faults for the next calls.
    fn inject_faults(&mut self) {
        let faults: Vec<Fault> = (0..12)
            .map(|_| match self.rng.random_range(0..12) {
                0 => Fault::Outage,
                1 => Fault::LostResponse,
                2 => Fault::LostRequest,
                3 => Fault::DelayedWrite,
                _ => Fault::None,
            })
            .collect();
        self.store.inject_faults(&faults);
    }

    /// Makes a random writer edit its state of the document, which it reloads in two of three
    /// cases.
    fn edit(&mut self, step: u32) {
        let writer = self.rng.random_range(0..WRITERS);
        if self.rng.random_range(0..3) > 0
            && let Ok(state) = self.log.load()
        {
            self.writers[writer] = state;
        }
        let state = &self.writers[writer];
        let record = Record {
            number: state.number().next(),
            edit: EditId(u128::from(step)),
            author: format!("w{writer}"),
            changes: diff(state.document(), &document_of(step)),
        };
        let report = match self.log.append(&record) {
            Ok(AppendOutcome::Accepted) => Report::Accepted,
            Ok(AppendOutcome::Unknown { .. }) => Report::Unknown,
            Ok(AppendOutcome::Conflict { .. }) | Err(_) => Report::Refused,
        };
        self.reports.insert(record.edit, report);
    }

    /// Makes the watcher adopt new records.
    fn watch(&mut self) {
        let Ok(records) = self.log.fetch_after(self.watcher.number()) else {
            return;
        };
        for record in records {
            assert_eq!(self.watcher.adopt(&record), Outcome::Adopted);
        }
    }
}

/// Returns a document that differs for each step.
fn document_of(step: u32) -> Document {
    let yaml = format!("services: {{s{step}: {{kind: plain}}}}");
    document::parse("f", yaml.as_bytes()).expect("valid document")
}

/// An accepted edit is in the log once, a refused one is not in it, and a watcher can adopt each
/// record in order.
#[test]
fn racing_writers() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for step in 0..STEPS {
            simulation.inject_faults();
            simulation.edit(step);
            simulation.watch();
        }
        simulation.store.inject_faults(&[]);
        for _ in 0..STEPS {
            simulation.watch();
        }
        assert_eq!(
            simulation.watcher,
            simulation.log.load().expect("store is up"),
            "seed {seed}"
        );
        let records = simulation.log.fetch_after(Number(0)).expect("store is up");
        for (edit, report) in &simulation.reports {
            let count = records.iter().filter(|it| it.edit == *edit).count();
            let is_consistent = match report {
                Report::Accepted => count == 1,
                Report::Refused => count == 0,
                Report::Unknown => count <= 1,
            };
            assert!(
                is_consistent,
                "seed {seed}: edit {edit} was reported as {report:?} and is in the log {count} times"
            );
        }
        assert!(
            records.len() > 10,
            "seed {seed}: {} revisions",
            records.len()
        );
    }
}
