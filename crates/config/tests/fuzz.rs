//! Random bytes and random texts. Seeds are fixed, so that each run tries the same inputs.

use std::fmt::Write;

use config::{Document, change::diff, document};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngSeed, TestRunner},
};

const EXAMPLE: &str = include_str!("../../../examples/fleet.yaml");

/// Inputs tried by each test.
const CASES: u32 = 400;

/// Inputs that once went wrong, and inputs near the parser's limits.
const REGRESSIONS: [&[u8]; 8] = [
    b"",
    b"\xef\xbb\xbf",
    b"services: {? [a]: b}",
    b"? - a\n: b\n",
    b"services: {<<: {a: 1}}",
    b"!!binary aGk=",
    b"services: !x {a: .nan, b: 1e999, c: -0}",
    b"%YAML 9.9\n---\nservices: |\n  a\n...\n",
];

fn check<S: Strategy>(seed: u64, strategy: &S, test: impl Fn(S::Value)) {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let outcome = TestRunner::new(config).run(strategy, |value| {
        test(value);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
}

/// Reads bytes; whatever they are, problems have places within the file and a text reads back.
fn read(bytes: &[u8]) {
    let lines = bytes
        .iter()
        .filter(|it| matches!(it, b'\n' | b'\r'))
        .count() as u64
        + 2;
    match document::parse("f", bytes) {
        Ok(text) => assert_eq!(parse(&text.to_yaml()), text),
        Err(list) => {
            assert!(!list.problems().is_empty());
            assert!(list.problems().iter().all(|it| it.position.line <= lines));
        }
    }
}

fn parse(yaml: &str) -> Document {
    document::parse("f", yaml.as_bytes()).unwrap_or_else(|list| panic!("{list}\n{yaml}"))
}

/// Covers: inputs that are listed above.
#[test]
fn regressions() {
    for bytes in REGRESSIONS {
        read(bytes);
    }
}

/// Covers: nothing panics on random bytes and on random characters of YAML.
#[test]
fn random_bytes() {
    check(1, &vec(any::<u8>(), 0..200), |bytes| read(&bytes));
    let characters = "[-a1:{}\\[\\], \n\t\"'#&*!|>?%@`~.\\\\]{0,200}";
    check(2, &characters, |it: String| read(it.as_bytes()));
}

/// Covers: nothing panics on the example with pieces cut out, doubled or overwritten.
#[test]
fn damaged_example() {
    let damage = (any::<Index>(), any::<Index>(), vec(any::<u8>(), 0..4));
    check(3, &vec(damage, 1..4), |damages| {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (one, two, insert) in damages {
            let one = one.index(bytes.len());
            let two = two.index(bytes.len());
            bytes.splice(one.min(two)..one.max(two), insert);
            bytes.push(b'\n');
        }
        read(&bytes);
    });
}

/// A random consistent text of a few services; service n depends only on earlier ones.
fn yaml() -> impl Strategy<Value = String> {
    let adapters = vec((0..6_u8, 1..5_u32), 0..6);
    let service = (
        any::<bool>(),
        1..100_u32,
        vec(any::<Index>(), 0..3),
        adapters,
    );
    vec(service, 0..6).prop_map(|services| {
        let mut out = "models: {m: {}}\nservices:\n".to_owned();
        for (number, (plain, deadline, needs, adapters)) in services.iter().enumerate() {
            let mut needs: Vec<usize> = needs.iter().map(|it| it.index(number + 1)).collect();
            needs.retain(|it| *it < number);
            needs.sort_unstable();
            needs.dedup();
            let needs: Vec<String> = needs.iter().map(|it| format!("s{it}")).collect();
            let kind = if *plain { "plain" } else { "model, model: m" };
            let _ = write!(out, "  s{number}: {{kind: {kind}, deadline: {deadline}ms");
            let _ = write!(out, ", depends_on: [{}]", needs.join(", "));
            let mut adapters = adapters.clone();
            adapters.dedup_by_key(|it| it.0);
            adapters.sort_unstable();
            adapters.dedup_by_key(|it| it.0);
            let list: Vec<String> = adapters
                .iter()
                .map(|(it, v)| format!("a{it}: [{v}]"))
                .collect();
            let list = if *plain {
                String::new()
            } else {
                format!(", adapters: {{{}}}", list.join(", "))
            };
            let _ = writeln!(out, "{list}}}");
        }
        out
    })
}

/// Covers: the difference of two texts, written to JSON and read back, leads from one to the
/// other, and the text reads back from its canonical form.
#[test]
fn differences_lead_from_text_to_text() {
    check(4, &(yaml(), yaml()), |(old, new)| {
        let (old, new) = (parse(&old), parse(&new));
        let json = serde_json::to_string(&diff(&old, &new)).expect("changes have a JSON form");
        let changes: Vec<_> = serde_json::from_str(&json).expect("JSON that was just written");
        assert_eq!(old.with_changes(&changes), Ok(new.clone()));
        assert_eq!(parse(&new.to_yaml()), new);
    });
}
