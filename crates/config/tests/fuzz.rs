//! Property tests on random bytes and random documents. The seeds are fixed, so that each run tries
//! the same inputs.

use std::fmt::Write;

use config::{Document, change::diff, document};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngSeed, TestRunner},
};

const EXAMPLE: &str = include_str!("../../../examples/fleet.yaml");

/// The number of inputs of each property.
const CASES: u32 = 400;

/// Inputs that failed once, and inputs near the limits of the parser.
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

/// Checks a property on random values.
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

/// Parses arbitrary bytes. A valid document has to parse back from its canonical form; problems
/// have to be positioned within the file.
fn check_parse(bytes: &[u8]) {
    let max_line = bytes
        .iter()
        .filter(|it| matches!(it, b'\n' | b'\r'))
        .count() as u64
        + 2;
    match document::parse("f", bytes) {
        Ok(document) => assert_eq!(parse(&document.to_yaml()), document),
        Err(list) => {
            assert!(!list.problems().is_empty());
            assert!(
                list.problems()
                    .iter()
                    .all(|it| it.position.line <= max_line)
            );
        }
    }
}

fn parse(yaml: &str) -> Document {
    document::parse("f", yaml.as_bytes()).unwrap_or_else(|list| panic!("{list}\n{yaml}"))
}

/// Covers: the inputs in [`REGRESSIONS`].
#[test]
fn regressions() {
    for bytes in REGRESSIONS {
        check_parse(bytes);
    }
}

/// Covers: parsing does not panic on random bytes and on random YAML characters.
#[test]
fn random_bytes() {
    check(1, &vec(any::<u8>(), 0..200), |bytes| check_parse(&bytes));
    let characters = "[-a1:{}\\[\\], \n\t\"'#&*!|>?%@`~.\\\\]{0,200}";
    check(2, &characters, |it: String| check_parse(it.as_bytes()));
}

/// Covers: parsing does not panic on the example file with random ranges removed or replaced.
#[test]
fn damaged_example() {
    let edit = (any::<Index>(), any::<Index>(), vec(any::<u8>(), 0..4));
    check(3, &vec(edit, 1..4), |edits| {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (first, second, replacement) in edits {
            let first = first.index(bytes.len());
            let second = second.index(bytes.len());
            bytes.splice(first.min(second)..first.max(second), replacement);
            bytes.push(b'\n');
        }
        check_parse(&bytes);
    });
}

/// Generates a valid YAML document with a few services. A service depends only on services before
/// it, so that there are no cycles.
fn valid_yaml() -> impl Strategy<Value = String> {
    let adapters = vec((0..6_u8, 1..5_u32), 0..6);
    let service = (
        any::<bool>(),
        1..100_u32,
        vec(any::<Index>(), 0..3),
        adapters,
    );
    vec(service, 0..6).prop_map(|services| {
        let mut out = "models: {m: {}}\nservices:\n".to_owned();
        for (index, (plain, deadline_ms, dependencies, adapters)) in services.iter().enumerate() {
            let mut dependencies: Vec<usize> =
                dependencies.iter().map(|it| it.index(index + 1)).collect();
            dependencies.retain(|it| *it < index);
            dependencies.sort_unstable();
            dependencies.dedup();
            let dependencies: Vec<String> =
                dependencies.iter().map(|it| format!("s{it}")).collect();
            let kind = if *plain { "plain" } else { "model, model: m" };
            let _ = write!(out, "  s{index}: {{kind: {kind}, deadline: {deadline_ms}ms");
            let _ = write!(out, ", depends_on: [{}]", dependencies.join(", "));
            let mut adapters = adapters.clone();
            adapters.dedup_by_key(|it| it.0);
            adapters.sort_unstable();
            adapters.dedup_by_key(|it| it.0);
            let adapters: Vec<String> = adapters
                .iter()
                .map(|(it, v)| format!("a{it}: [{v}]"))
                .collect();
            let adapters_field = if *plain {
                String::new()
            } else {
                format!(", adapters: {{{}}}", adapters.join(", "))
            };
            let _ = writeln!(out, "{adapters_field}}}");
        }
        out
    })
}

/// Covers: a diff between two documents that went through JSON turns the first document into the
/// second, and a document parses back from its canonical form.
#[test]
fn diffs_turn_the_old_document_into_the_new_one() {
    check(4, &(valid_yaml(), valid_yaml()), |(old, new)| {
        let (old, new) = (parse(&old), parse(&new));
        let json =
            serde_json::to_string(&diff(&old, &new)).expect("changes can be encoded as JSON");
        let changes: Vec<_> = serde_json::from_str(&json).expect("the JSON was just encoded");
        assert_eq!(old.with_changes(&changes), Ok(new.clone()));
        assert_eq!(parse(&new.to_yaml()), new);
    });
}
