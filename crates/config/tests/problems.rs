//! The problems that are reported for invalid config files.

use config::{document, node::MAX_FILE_BYTES};
use insta::assert_snapshot;

/// Returns the problems of a file, one per line.
fn problems(text: impl AsRef<[u8]>) -> String {
    match document::parse("fleet.yaml", text.as_ref()) {
        Ok(_) => "no problem".to_owned(),
        Err(list) => list.to_string(),
    }
}

/// Covers: the example file is valid.
#[test]
fn example_is_valid() {
    let example = include_bytes!("../../../examples/fleet.yaml");
    assert_eq!(problems(example), "no problem");
}

/// Covers: unknown and repeated fields at every level, all reported at once.
#[test]
fn unknown_and_repeated_fields() {
    let text = "\
stores: {}
store: {rate: 1/s, rate: 2/s, full_speed: 1, in_flight: 1, burst: 9}
models:
  base: {fence: checked}
services:
  signs: {kind: model, model: base, deadlin: 5s}
";
    assert_snapshot!(problems(text));
}

/// Covers: invalid units, keywords, counts and names.
#[test]
fn invalid_values() {
    let text = "\
revision: -1
store: {rate: 4.5, full_speed: 0, in_flight: 1.5}
models:
  Base: {}
  base: {fencing: maybe, prefix_cache: yes}
tenants:
  a: {weight: -1, in_flight: x}
  b: {weight: 0}
services:
  one: {kind: plain, deadline: 5 s, retry: {repeat: maybe, budget: 110%}}
  two: {kind: plain, deadline: 0s, class: urgent, journal_outage: ignore}
  three: {kind: plain, deadline: 25h, depends_on: one}
  four: {kind: plain, deadline: [1s]}
  five: {kind: other}
  six: {}
  seven: plain
  eight: {kind: plain, deadline: 99999999999999999999s}
";
    assert_snapshot!(problems(text));
}

/// Covers: duplicate adapters, and versions that are zero, duplicate or missing.
#[test]
fn invalid_adapters() {
    let text = "\
models: {base: {}}
services:
  signs:
    kind: model
    model: base
    adapters:
      bay: [0]
      lot: [1, 1]
      bay: [2]
      gate: []
      door:
      Kerb: [1]
      ramp: [-1, 1.0, 4294967296, x, [1]]
";
    assert_snapshot!(problems(text));
}

/// Covers: dependencies and base models that are not declared, and fields that the kind of service
/// can't have.
#[test]
fn undeclared_names_and_misplaced_fields() {
    let text = "\
services:
  signs: {kind: model, model: gone, depends_on: [registry, registry, barrier], journal_outage: refuse}
  barrier: {kind: plain, model: gone, weights: {}, adapters: {}}
  cards: {kind: model}
";
    assert_snapshot!(problems(text));
}

/// Covers: each dependency cycle is reported once, with the services on it.
#[test]
fn dependency_cycles() {
    let text = "\
services:
  a: {kind: plain, depends_on: [b]}
  b: {kind: plain, depends_on: [c]}
  c: {kind: plain, depends_on: [a]}
  d: {kind: plain, depends_on: [a]}
  e: {kind: plain, depends_on: [e]}
  f: {kind: plain, depends_on: [g]}
  g: {kind: plain, depends_on: [f, a]}
";
    assert_snapshot!(problems(text));
}

/// Covers: a cycle of 5,000 services is found in one pass, and its middle is left out of the
/// message.
#[test]
fn long_cycle() {
    let service = |it| {
        format!(
            "  s{it}: {{kind: plain, depends_on: [s{}]}}\n",
            (it + 1) % 5_000
        )
    };
    let services: Vec<String> = (0..5_000).map(service).collect();
    assert_snapshot!(problems(format!("services:\n{}", services.concat())));
}

/// Covers: files that are not a single valid YAML document with a map.
#[test]
fn invalid_files() {
    let deep_flow = format!("services: {}{}", "[".repeat(10_000), "]".repeat(10_000));
    let deep_blocks: String = (0..100)
        .flat_map(|it| [" ".repeat(it), "a:\n".to_owned()])
        .collect();
    let cases: [(&str, &[u8]); 14] = [
        ("empty", b""),
        ("only a comment", b"# nothing\n"),
        ("a scalar", b"fleet"),
        ("a list", b"[1, 2]"),
        (
            "truncated in a list",
            b"services:\n  a: {kind: plain, depends_on: [b",
        ),
        ("truncated in quotes", b"services:\n  a: {kind: \"pla"),
        (
            "truncated after a key",
            b"services:\n  a:\n    kind: plain\n    dead",
        ),
        ("not UTF-8", b"services:\n  a\xff: {}\n"),
        ("UTF-16", b"\xff\xfes\0e\0r\0v\0"),
        ("tabs", b"services:\n\ta: {}\n"),
        ("anchors", b"services:\n  a: &x {kind: plain}\n  b: *x\n"),
        ("two documents", b"services: {}\n---\nservices: {}\n"),
        ("deep flow", deep_flow.as_bytes()),
        ("deep blocks", deep_blocks.as_bytes()),
    ];
    let outputs = cases.map(|(name, bytes)| format!("{name}\n{}", problems(bytes)));
    assert_snapshot!(outputs.join("\n\n"));
}

/// Covers: positions and the source text of numbers are correct after multibyte characters, in a
/// file with a byte order mark and carriage returns.
#[test]
fn positions_after_multibyte_characters() {
    let text =
        "\u{feff}# žluťoučký 🦄\r\nservices:\r\n  a: {kind: 1.10, class: 🦄, deadline: 0x10}\r\n";
    assert_snapshot!(problems(text));
}

/// Covers: a file above the size limit is rejected without parsing.
#[test]
fn oversize_file() {
    let text = vec![b'#'; MAX_FILE_BYTES + 1];
    assert_snapshot!(problems(text));
}

/// Covers: the list of problems is bounded and ends with the number of the problems left out.
#[test]
fn many_problems() {
    let services: Vec<String> = (0..500).map(|it| format!("  s{it}: {{}}\n")).collect();
    let output = problems(format!("services:\n{}", services.concat()));
    assert_eq!(output.lines().count(), config::problem::MAX_PROBLEMS + 1);
    assert_eq!(
        output.lines().last(),
        Some("fleet.yaml:101:8: 400 more problems are not shown")
    );
}
