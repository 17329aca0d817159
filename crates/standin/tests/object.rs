//! The object stand-in against a naive model, over HTTP, by seeded sequences of calls.

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

const R: Reason = Reason::Config;
const KEYS: [&str; 5] = ["a", "a/1", "a/2", "b/1", "b/ü 1"];
const PREFIXES: [&str; 4] = ["", "a", "a/", "b/"];
const SEQUENCES: u32 = 64;

#[derive(Clone, Copy, Debug)]
enum Step {
    Get(usize),
    Create(usize, u8),
    /// The version is the present one minus the last number.
    Update(usize, u8, u64),
    Delete(usize, u64),
    List(usize, usize, usize),
    Watch(usize, u64),
    History(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let key = || 0..KEYS.len();
    let prefix = || 0..PREFIXES.len();
    // Most versions are the present one.
    let back = || prop_oneof![4 => Just(0), 1 => 1..3_u64];
    prop_oneof![
        1 => key().prop_map(Step::Get),
        3 => (key(), 0..9_u8).prop_map(|(key, value)| Step::Create(key, value)),
        3 => (key(), 0..9_u8, back()).prop_map(|(key, value, back)| Step::Update(key, value, back)),
        2 => (key(), back()).prop_map(|(key, back)| Step::Delete(key, back)),
        1 => (prefix(), key(), 1..4_usize).prop_map(|(it, key, limit)| Step::List(it, key, limit)),
        1 => (prefix(), 0..20_u64).prop_map(|(prefix, since)| Step::Watch(prefix, since)),
        1 => (0..6_u64).prop_map(Step::History),
    ]
}

/// Every change ever, from which each answer is worked out anew. A change without a value is a
/// delete; the version of a change is its place, counted from 1.
#[derive(Debug)]
struct Model {
    changes: Vec<(usize, Option<u8>)>,
    kept: u64,
    forgotten: u64,
}

impl Model {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn find(&self, key: usize) -> Option<(u64, u8)> {
        let place = self.changes.iter().rposition(|it| it.0 == key)?;
        Some((place as u64 + 1, self.changes[place].1?))
    }

    fn change(&mut self, key: usize, value: Option<u8>) -> u64 {
        self.changes.push((key, value));
        self.forget();
        self.revision()
    }

    fn forget(&mut self) {
        let limit = self.revision().saturating_sub(self.kept);
        self.forgotten = self.forgotten.max(limit);
    }
}

fn conflict<T>(key: usize) -> Result<T, Failure> {
    Err(Failure::Conflict {
        key: KEYS[key].to_owned(),
    })
}

fn check(server: &Server, client: &Client, model: &mut Model, step: Step) {
    match step {
        Step::Get(key) => {
            let found = client.get(R, KEYS[key]).unwrap();
            let found = found.map(|it| (it.version, it.value[0]));
            assert_eq!(found, model.find(key));
        }
        Step::Create(key, value) => {
            let expected = match model.find(key) {
                Some(_) => conflict(key),
                None => Ok(model.change(key, Some(value))),
            };
            assert_eq!(client.create(R, KEYS[key], &[value]), expected);
        }
        Step::Update(key, value, back) => {
            let present = model.find(key).map_or(0, |it| it.0);
            let expected = match (present, back) {
                (0, _) | (_, 1..) => conflict(key),
                _ => Ok(model.change(key, Some(value))),
            };
            let version = present.saturating_sub(back);
            assert_eq!(client.update(R, KEYS[key], version, &[value]), expected);
        }
        Step::Delete(key, back) => {
            let present = model.find(key).map_or(0, |it| it.0);
            let expected = match (present, back) {
                (0, _) | (_, 1..) => conflict(key),
                _ => {
                    model.change(key, None);
                    Ok(())
                }
            };
            let version = present.saturating_sub(back);
            assert_eq!(client.delete(R, KEYS[key], version), expected);
        }
        Step::List(prefix, after, limit) => check_list(client, model, prefix, after, limit),
        Step::Watch(prefix, since) => check_watch(client, model, prefix, since),
        Step::History(kept) => {
            server.set(Switch::History(usize::try_from(kept).unwrap()));
            model.kept = kept;
            model.forget();
        }
    }
}

fn check_list(client: &Client, model: &Model, prefix: usize, after: usize, limit: usize) {
    let page = client
        .list(R, PREFIXES[prefix], KEYS[after], limit)
        .unwrap();
    let mut expected: Vec<(&str, u64, u8)> = Vec::new();
    for (key, name) in KEYS.iter().enumerate() {
        let fits = name.starts_with(PREFIXES[prefix]) && *name > KEYS[after];
        if let (true, Some((version, value))) = (fits, model.find(key)) {
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
    let seen = client.watch(R, PREFIXES[prefix], since, Duration::ZERO);
    if since < model.forgotten || since > model.revision() {
        return assert_eq!(seen, Err(Failure::Gap { since }));
    }
    let seen = seen.unwrap();
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
    let events = seen.events.iter();
    let events: Vec<_> = events.map(|it| (&*it.key, it.version, it.kind)).collect();
    assert_eq!((events, seen.revision), (expected, model.revision()));
}

// Versions, conditions, pages, watches and forgotten changes are those of the naive model. The
// sequences come from proptest's fixed seed.
#[test]
fn agrees_with_the_naive_model() {
    let config = Config {
        cases: SEQUENCES,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, seed);
    let ran = runner.run(&vec(step(), 1..60), |steps| {
        let server = Server::start();
        let client = Client::new(server.address());
        let mut model = Model {
            changes: Vec::new(),
            kept: u64::MAX,
            forgotten: 0,
        };
        for step in steps {
            check(&server, &client, &mut model, step);
        }
        Ok(())
    });
    ran.unwrap();
}
