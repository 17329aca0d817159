//! What a right text says, its canonical form, and changes of it.

use config::{
    Document,
    change::{Invalid, describe, diff},
    document,
};
use kernel::{fault::Kind, reference::Reference};

const EXAMPLE: &str = include_str!("../../../examples/fleet.yaml");

fn parse(yaml: &str) -> Document {
    document::parse("fleet.yaml", yaml.as_bytes()).expect("the text is right")
}

/// What a reference leads to, in one line.
fn resolve(text: &Document, reference: &str) -> Result<String, (Kind, String)> {
    let reference: Reference = reference.parse().expect("the reference is well formed");
    match text.resolve(&reference) {
        Ok(it) => Ok(format!("{} {:?} {:?}", it.model, it.fencing, it.deadline)),
        Err(fault) => Err((fault.kind, fault.detail)),
    }
}

fn check_resolve(reference: &str, expected: Result<&str, (Kind, &str)>) {
    let expected = expected.map(str::to_owned);
    let expected = expected.map_err(|(kind, detail)| (kind, detail.to_owned()));
    assert_eq!(resolve(&parse(EXAMPLE), reference), expected);
}

/// Covers: published references, and each way not to be one.
#[test]
fn references() {
    check_resolve("signs/bay-summary@7", Ok("base-7b Checked 5s"));
    check_resolve("signs/bay-summary@6", Ok("base-7b Checked 5s"));
    check_resolve(
        "signs/bay-summary@8",
        Err((
            Kind::UnknownVersion,
            "signs/bay-summary@8 is not published: the versions are 6, 7",
        )),
    );
    check_resolve(
        "signs/formula-card@11",
        Err((
            Kind::UnknownAdapter,
            "service \"signs\" has no adapter \"formula-card\"",
        )),
    );
    check_resolve(
        "barrier/x@1",
        Err((
            Kind::UnknownAdapter,
            "service \"barrier\" is plain: it has no adapters",
        )),
    );
    check_resolve(
        "signz/x@1",
        Err((Kind::UnknownService, "there is no service \"signz\"")),
    );
}

/// Covers: the canonical form, defaults written out, and that it reads back as the same text.
#[test]
fn canonical_form() {
    let yaml = "\
models: {'on': {}}
services:
  b: {kind: plain, deadline: 120s}
  a: {kind: model, model: 'on', depends_on: [b], adapters: {'1.10': [2, 1], z: 3}}
";
    let shown = parse(yaml).to_yaml();
    insta::assert_snapshot!(shown);
    assert_eq!(parse(&shown).to_yaml(), shown);
    let example = parse(EXAMPLE);
    assert_eq!(parse(&example.to_yaml()), example);
}

/// Covers: the revision that a file was made from is read and is no part of the text.
#[test]
fn base_revision() {
    let edit = document::parse_edit("f", b"revision: 12\nservices: {}\n").expect("right");
    assert_eq!(edit.base.map(|it| it.0), Some(12));
    assert_eq!(edit.document, Document::default());
}

fn check_diff(old: &str, new: &str, expected: &[&str]) {
    let (old, new) = (parse(old), parse(new));
    let changes = diff(&old, &new);
    let shown: Vec<String> = changes.iter().map(|it| describe(it, &old)).collect();
    assert_eq!(shown, expected);
    assert_eq!(old.with_changes(&changes), Ok(new));
}

/// Covers: every kind of change, and that a difference applied gives the new text even where its
/// parts alone would not be consistent.
#[test]
fn differences() {
    let plain = "services: {a: {kind: plain, depends_on: [b]}, b: {kind: plain}}";
    let turned = "services: {a: {kind: plain}, b: {kind: plain, depends_on: [a]}}";
    let model = "models: {m: {}}\nservices: {a: {kind: model, model: m, adapters: {x: 1, y: 1}}}";
    let other = "tenants: {t: {}}\nmodels: {n: {}}\nstore: {rate: 2/s, full_speed: 1, in_flight: 1}\n\
                 services: {a: {kind: model, model: n, adapters: {x: [1, 2]}}}";
    check_diff(plain, plain, &[]);
    check_diff(
        plain,
        turned,
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

fn check_invalid(old: &str, donor: &str, pick: &str, expected: &str) {
    let (old, donor) = (parse(old), parse(donor));
    let changes = diff(&old, &donor);
    let change = changes.iter().find(|it| it.to_string() == pick);
    let mut text = old.clone();
    let outcome: Result<(), Invalid> = text.apply(change.expect("the difference has this change"));
    assert_eq!(
        outcome.map_err(|it| it.to_string()),
        Err(expected.to_owned())
    );
    assert_eq!(text, old);
}

/// Covers: a change that would leave the text inconsistent is refused and changes nothing.
#[test]
fn invalid_changes() {
    let used = "models: {m: {}}\nservices: {a: {kind: model, model: m, depends_on: [b], adapters: {x: 1}}, \
                b: {kind: plain}}";
    let turned = "services: {b: {kind: plain, depends_on: [a]}, a: {kind: plain}}";
    let empty = "services: {}";
    check_invalid(
        used,
        empty,
        "remove model m",
        "service a uses base model m, which is not declared",
    );
    check_invalid(
        used,
        empty,
        "remove service b",
        "service a depends on b, which is not declared",
    );
    check_invalid(
        used,
        turned,
        "set service b",
        "dependency cycle: b -> a -> b",
    );
    check_invalid(
        used,
        turned,
        "set service a",
        "service a is plain: it has no adapters",
    );
    check_invalid(empty, used, "set adapter a/x", "service a is not declared");
    check_invalid(
        empty,
        used,
        "set service a",
        "service a uses base model m, which is not declared",
    );
}
