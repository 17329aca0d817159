//! References, the canonical form, diffs and changes of config documents.

use config::{
    Document,
    change::{Invalid, describe, diff},
    document,
};
use kernel::{fault::Kind as FaultKind, reference::Reference};

const EXAMPLE: &str = include_str!("../../../examples/fleet.yaml");

fn parse(yaml: &str) -> Document {
    document::parse("fleet.yaml", yaml.as_bytes()).expect("the document is valid")
}

/// Resolves a reference and formats the result in one line.
fn resolve(document: &Document, reference: &str) -> Result<String, (FaultKind, String)> {
    let reference: Reference = reference.parse().expect("the reference is well formed");
    match document.resolve(&reference) {
        Ok(it) => Ok(format!("{} {:?} {:?}", it.model, it.fencing, it.deadline)),
        Err(fault) => Err((fault.kind, fault.detail)),
    }
}

fn check_resolve(reference: &str, expected: Result<&str, (FaultKind, &str)>) {
    let expected = expected.map(str::to_owned);
    let expected = expected.map_err(|(kind, detail)| (kind, detail.to_owned()));
    assert_eq!(resolve(&parse(EXAMPLE), reference), expected);
}

/// Covers: published references, and the fault for each kind of unknown reference.
#[test]
fn references() {
    check_resolve("signs/bay-summary@7", Ok("base-7b Checked 5s"));
    check_resolve("signs/bay-summary@6", Ok("base-7b Checked 5s"));
    check_resolve(
        "signs/bay-summary@8",
        Err((
            FaultKind::UnknownVersion,
            "signs/bay-summary@8 is not published: the versions are 6, 7",
        )),
    );
    check_resolve(
        "signs/formula-card@11",
        Err((
            FaultKind::UnknownAdapter,
            "service \"signs\" has no adapter \"formula-card\"",
        )),
    );
    check_resolve(
        "barrier/x@1",
        Err((
            FaultKind::UnknownAdapter,
            "service \"barrier\" is plain: it has no adapters",
        )),
    );
    check_resolve(
        "signz/x@1",
        Err((FaultKind::UnknownService, "there is no service \"signz\"")),
    );
}

/// Covers: the canonical form has defaults written out and parses back to the same document.
#[test]
fn canonical_form() {
    let yaml = "\
models: {'on': {}}
services:
  b: {kind: plain, deadline: 120s}
  a: {kind: model, model: 'on', depends_on: [b], adapters: {'1.10': [2, 1], z: 3}}
";
    let rendered = parse(yaml).to_yaml();
    insta::assert_snapshot!(rendered);
    assert_eq!(parse(&rendered).to_yaml(), rendered);
    let example = parse(EXAMPLE);
    assert_eq!(parse(&example.to_yaml()), example);
}

/// Covers: the revision that a file is based on is parsed and is not part of the document.
#[test]
fn base_revision() {
    let edit =
        document::parse_edit("f", b"revision: 12\nservices: {}\n").expect("the document is valid");
    assert_eq!(edit.base.map(|it| it.0), Some(12));
    assert_eq!(edit.document, Document::default());
}

fn check_diff(old: &str, new: &str, expected: &[&str]) {
    let (old, new) = (parse(old), parse(new));
    let changes = diff(&old, &new);
    let descriptions: Vec<String> = changes.iter().map(|it| describe(it, &old)).collect();
    assert_eq!(descriptions, expected);
    assert_eq!(old.with_changes(&changes), Ok(new));
}

/// Covers: every kind of change, and that a diff gives the new document when applied as a whole,
/// even if the single changes would leave it inconsistent.
#[test]
fn diffs() {
    let plain = "services: {a: {kind: plain, depends_on: [b]}, b: {kind: plain}}";
    let reversed = "services: {a: {kind: plain}, b: {kind: plain, depends_on: [a]}}";
    let model = "models: {m: {}}\nservices: {a: {kind: model, model: m, adapters: {x: 1, y: 1}}}";
    let other = "tenants: {t: {}}\nmodels: {n: {}}\nstore: {rate: 2/s, full_speed: 1, in_flight: 1}\n\
                 services: {a: {kind: model, model: n, adapters: {x: [1, 2]}}}";
    check_diff(plain, plain, &[]);
    check_diff(
        plain,
        reversed,
        &[
            "set service a: depends_on [b] -> []",
            "set service b: depends_on [] -> [a]",
        ],
    );
    check_diff(
        model,
        other,
        &[
            "set store: rate 1/s -> 2/s",
            "remove model m",
            "set model n: fencing ignored; prefix_cache off",
            "set tenant t: weight 1; in_flight unlimited",
            "set service a: model m -> n",
            "set adapter a/x: versions 1 -> 1, 2",
            "remove adapter a/y",
        ],
    );
    check_diff(
        other,
        plain,
        &[
            "set store: rate 2/s -> 1/s",
            "remove model n",
            "remove tenant t",
            "set service a: kind model -> plain; retry.repeat allowed -> never; journal_outage refuse; \
             depends_on [] -> [b]",
            "remove adapter a/x",
            "set service b: kind plain; deadline 30s; class standard; retry.repeat never; \
             retry.budget 0.1; journal_outage refuse; depends_on []",
        ],
    );
}

/// Applies to `old` a single change of the diff to `new`, the one whose `Display` form is `change`.
fn check_invalid(old: &str, new: &str, change: &str, expected: &str) {
    let (old, new) = (parse(old), parse(new));
    let changes = diff(&old, &new);
    let change = changes.iter().find(|it| it.to_string() == change);
    let mut document = old.clone();
    let result: Result<(), Invalid> = document.apply(change.expect("the diff has this change"));
    assert_eq!(
        result.map_err(|it| it.to_string()),
        Err(expected.to_owned())
    );
    assert_eq!(document, old);
}

/// Covers: a change that would leave the document inconsistent is rejected and changes nothing.
#[test]
fn invalid_changes() {
    let declared = "models: {m: {}}\nservices: {a: {kind: model, model: m, depends_on: [b], adapters: {x: 1}}, \
                b: {kind: plain}}";
    let reversed = "services: {b: {kind: plain, depends_on: [a]}, a: {kind: plain}}";
    let empty = "services: {}";
    check_invalid(
        declared,
        empty,
        "remove model m",
        "service a uses base model m, which is not declared",
    );
    check_invalid(
        declared,
        empty,
        "remove service b",
        "service a depends on b, which is not declared",
    );
    check_invalid(
        declared,
        reversed,
        "set service b",
        "dependency cycle: b -> a -> b",
    );
    check_invalid(
        declared,
        reversed,
        "set service a",
        "service a is plain: it has no adapters",
    );
    check_invalid(
        empty,
        declared,
        "set adapter a/x",
        "service a is not declared",
    );
    check_invalid(
        empty,
        declared,
        "set service a",
        "service a uses base model m, which is not declared",
    );
}
