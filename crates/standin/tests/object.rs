//! Compares the object API stand-in, called over HTTP, with a reference model on seeded random
//! sequences of calls.

use std::time::Duration;

use objects::{
    http::Client,
    object::{Continuation, Failure, Kind, Reason, Store},
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use standin::object::{Server, Switch};

const REASON: Reason = Reason::Config;
const KEYS: [&str; 5] = ["a", "a/1", "a/2", "b/1", "b/ü 1"];
const PREFIXES: [&str; 4] = ["", "a", "a/", "b/"];
const SEQUENCE_COUNT: u32 = 64;

/// A call or switch of a sequence. Keys and prefixes are indexes into [`KEYS`] and [`PREFIXES`].
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Key.
    Get(usize),
    /// Key and value.
    Create(usize, u8),
    /// Key, value, and the number by which the given version is older than the current one.
    Update(usize, u8, u64),
    /// Key, and the number by which the given version is older than the current one.
    Delete(usize, u64),
    /// Prefix, the key after which the page starts, and the limit of the page.
    List(usize, usize, usize),
    /// Prefix and revision.
    Watch(usize, u64),
    /// Number of retained changes.
    History(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let key = || 0..KEYS.len();
    let prefix = || 0..PREFIXES.len();
    // Most calls use the current version.
    let age = || prop_oneof![4 => Just(0), 1 => 1..3_u64];
    prop_oneof![
        1 => key().prop_map(Step::Get),
        3 => (key(), 0..9_u8).prop_map(|(key, value)| Step::Create(key, value)),
        3 => (key(), 0..9_u8, age()).prop_map(|(key, value, age)| Step::Update(key, value, age)),
        2 => (key(), age()).prop_map(|(key, age)| Step::Delete(key, age)),
        1 => (prefix(), key(), 1..4_usize).prop_map(|(it, key, limit)| Step::List(it, key, limit)),
        1 => (prefix(), 0..20_u64).prop_map(|(prefix, since)| Step::Watch(prefix, since)),
        1 => (0..6_u64).prop_map(Step::History),
    ]
}

/// Reference model: the list of all changes, from which each expected answer is computed. A change
/// without a value is a delete. The version of a change is its position, counted from 1.
#[derive(Debug)]
struct Model {
    changes: Vec<(usize, Option<u8>)>,
    history_limit: u64,
    expired_revision: u64,
}

impl Model {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn find(&self, key: usize) -> Option<(u64, u8)> {
        let index = self.changes.iter().rposition(|it| it.0 == key)?;
        Some((index as u64 + 1, self.changes[index].1?))
    }

    fn record(&mut self, key: usize, value: Option<u8>) -> u64 {
        self.changes.push((key, value));
        self.trim_history();
        self.revision()
    }

    fn trim_history(&mut self) {
        let limit = self.revision().saturating_sub(self.history_limit);
        self.expired_revision = self.expired_revision.max(limit);
    }
}

fn conflict<T>(key: usize) -> Result<T, Failure> {
    Err(Failure::Conflict {
        key: KEYS[key].to_owned(),
    })
}

fn check_step(server: &Server, client: &Client, model: &mut Model, step: Step) {
    match step {
        Step::Get(key) => {
            let found = client.get(REASON, KEYS[key]).unwrap();
            let found = found.map(|it| (it.version, it.value[0]));
            assert_eq!(found, model.find(key));
        }
        Step::Create(key, value) => {
            let expected = match model.find(key) {
                Some(_) => conflict(key),
                None => Ok(model.record(key, Some(value))),
            };
            assert_eq!(client.create(REASON, KEYS[key], &[value]), expected);
        }
        Step::Update(key, value, age) => {
            let current = model.find(key).map_or(0, |it| it.0);
            let expected = match (current, age) {
                (0, _) | (_, 1..) => conflict(key),
                _ => Ok(model.record(key, Some(value))),
            };
            let version = current.saturating_sub(age);
            assert_eq!(
                client.update(REASON, KEYS[key], version, &[value]),
                expected
            );
        }
        Step::Delete(key, age) => {
            let current = model.find(key).map_or(0, |it| it.0);
            let expected = match (current, age) {
                (0, _) | (_, 1..) => conflict(key),
                _ => {
                    model.record(key, None);
                    Ok(())
                }
            };
            let version = current.saturating_sub(age);
            assert_eq!(client.delete(REASON, KEYS[key], version), expected);
        }
        Step::List(prefix, after, limit) => check_list(client, model, prefix, after, limit),
        Step::Watch(prefix, since) => check_watch(client, model, prefix, since),
        Step::History(history_limit) => {
            server.set(Switch::History(usize::try_from(history_limit).unwrap()));
            model.history_limit = history_limit;
            model.trim_history();
        }
    }
}

fn check_list(client: &Client, model: &Model, prefix: usize, after: usize, limit: usize) {
    let page = client
        .list(REASON, PREFIXES[prefix], KEYS[after], limit)
        .unwrap();
    let mut expected: Vec<(&str, u64, u8)> = Vec::new();
    for (key, name) in KEYS.iter().enumerate() {
        let matches = name.starts_with(PREFIXES[prefix]) && *name > KEYS[after];
        if let (true, Some((version, value))) = (matches, model.find(key)) {
            expected.push((name, version, value));
        }
    }
    expected.sort_unstable();
    let more = match expected.get(limit) {
        Some(_) => Continuation::More,
        None => Continuation::End,
    };
    expected.truncate(limit);
    let items = page.items.iter();
    let items: Vec<_> = items
        .map(|it| (&*it.key, it.version, it.value[0]))
        .collect();
    assert_eq!((items, page.more), (expected, more));
    assert_eq!(page.revision, model.revision());
}

fn check_watch(client: &Client, model: &Model, prefix: usize, since: u64) {
    let watched = client.watch(REASON, PREFIXES[prefix], since, Duration::ZERO);
    if since < model.expired_revision || since > model.revision() {
        return assert_eq!(watched, Err(Failure::Gap { since }));
    }
    let watched = watched.unwrap();
    let mut expected = Vec::new();
    for (version, (key, value)) in (1..).zip(&model.changes) {
        let kind = match value {
            Some(_) => Kind::Put,
            None => Kind::Delete,
        };
        if version > since && KEYS[*key].starts_with(PREFIXES[prefix]) {
            expected.push((KEYS[*key], version, kind));
        }
    }
    let events = watched.events.iter();
    let events: Vec<_> = events.map(|it| (&*it.key, it.version, it.kind)).collect();
    assert_eq!((events, watched.revision), (expected, model.revision()));
}

// Versions, preconditions, pages, watches and dropped changes agree with those of the reference
// model. The sequences come from a fixed seed of proptest.
#[test]
fn agrees_with_the_reference_model() {
    let config = Config {
        cases: SEQUENCE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let result = runner.run(&vec(any_step(), 1..60), |steps| {
        let server = Server::start();
        let client = Client::new(server.address());
        let mut model = Model {
            changes: Vec::new(),
            history_limit: u64::MAX,
            expired_revision: 0,
        };
        for step in steps {
            check_step(&server, &client, &mut model, step);
        }
        Ok(())
    });
    result.unwrap();
}
