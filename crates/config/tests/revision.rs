//! Revisions go up one by one and never back.

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Outcome, Record, State},
};

fn record(number: u64, old: &Document, new: &str) -> (Record, Document) {
    let new = document::parse("f", new.as_bytes()).expect("the text is right");
    let record = Record {
        number: Number(number),
        edit: EditId(u128::from(number)),
        author: "ann".to_owned(),
        changes: diff(old, &new),
    };
    (record, new)
}

/// Covers: only the next higher revision is adopted; a repeat, an older one and a gap are not.
#[test]
fn adoption() {
    let (first, text) = record(1, &Document::default(), "services: {a: {kind: plain}}");
    let (second, last) = record(2, &text, "services: {b: {kind: plain}}");
    let mut state = State::default();
    let gap = Outcome::Gap {
        current: Number(0),
        offered: Number(2),
    };
    assert_eq!(state.adopt(&second), gap);
    assert_eq!(state.adopt(&first), Outcome::Adopted);
    assert_eq!(state.adopt(&first), Outcome::Stale);
    assert_eq!(state.adopt(&second), Outcome::Adopted);
    assert_eq!(state.adopt(&first), Outcome::Stale);
    assert_eq!((state.number(), state.document()), (Number(2), &last));
    assert_eq!(state.replace(State::new(Number(1), text)), Outcome::Stale);
    assert_eq!(state.number(), Number(2));
}

/// Covers: a record that does not fit is refused and changes nothing.
#[test]
fn rejection() {
    let (_, text) = record(1, &Document::default(), "services: {a: {kind: plain}}");
    let (mut removal, _) = record(1, &text, "services: {}");
    let mut state = State::default();
    assert!(matches!(state.adopt(&removal), Outcome::Rejected(_)));
    assert_eq!(state, State::default());
    removal.changes.clear();
    assert_eq!(state.adopt(&removal), Outcome::Adopted);
}

/// Covers: the JSON form of a record, and bytes that are none.
#[test]
fn json() {
    let yaml = "models: {m: {}}\ntenants: {t: {weight: 2}}\nservices: {a: {kind: model, model: m, \
                depends_on: [b], adapters: {x: [1, 2]}}, b: {kind: plain}}";
    let (record, _) = record(7, &Document::default(), yaml);
    let json = record.to_json();
    insta::assert_snapshot!(String::from_utf8_lossy(&json));
    assert_eq!(Record::from_json(&json).expect("just written"), record);
    let error = Record::from_json(&json[1..]).expect_err("the first byte is missing");
    assert!(
        error
            .to_string()
            .starts_with("cannot decode a record of an edit")
    );
}

/// Covers: one change in a text of 23,000 adapters copies a small part of it, and its record is
/// small.
#[test]
fn one_change_copies_little() {
    let adapters: Vec<String> = (0..23_000)
        .map(|it| format!("      a{it}: [1]\n"))
        .collect();
    let head = "models: {m: {}}\nservices:\n  s:\n    kind: model\n    model: m\n    adapters:\n";
    let yaml = format!("{head}{}", adapters.concat());
    let old = document::parse("f", yaml.as_bytes()).expect("the text is right");
    assert_eq!(old.adapter_count(), 23_000);
    let published = yaml.replace("a11500: [1]", "a11500: [1, 2]");
    let new = document::parse("f", published.as_bytes()).expect("the text is right");
    let changes = diff(&old, &new);
    assert_eq!(changes.len(), 1);
    let edited = old.with_changes(&changes).expect("the change fits");
    assert_eq!(edited, new);
    let copied = edited.copied(&old);
    assert!(copied < 300, "one change copied {copied} entries of 23000");
    let record = Record {
        number: Number(2),
        edit: EditId(2),
        author: "ann".to_owned(),
        changes,
    };
    let bytes = record.to_json().len();
    assert!(bytes < 200, "the record has {bytes} bytes");
}
