//! Adoption of revisions and their JSON form.

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Outcome, Record, State},
};

/// Returns the record of revision `number`, which turns `old` into the YAML document `new`, and the
/// parsed new document.
fn record(number: u64, old: &Document, new: &str) -> (Record, Document) {
    let new = document::parse("f", new.as_bytes()).expect("the document is valid");
    let record = Record {
        number: Number(number),
        edit: EditId(u128::from(number)),
        author: "ann".to_owned(),
        changes: diff(old, &new),
    };
    (record, new)
}

/// Covers: only the next revision is adopted; repeated and older revisions and those after a gap
/// are not.
#[test]
fn only_the_next_revision_is_adopted() {
    let (first, first_document) = record(1, &Document::default(), "services: {a: {kind: plain}}");
    let (second, second_document) = record(2, &first_document, "services: {b: {kind: plain}}");
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
    assert_eq!(
        (state.number(), state.document()),
        (Number(2), &second_document)
    );
    assert_eq!(
        state.replace(State::new(Number(1), first_document)),
        Outcome::Stale
    );
    assert_eq!(state.number(), Number(2));
}

/// Covers: a record that cannot be applied is rejected and changes nothing.
#[test]
fn inapplicable_record_is_rejected() {
    let (_, document) = record(1, &Document::default(), "services: {a: {kind: plain}}");
    let (mut removal, _) = record(1, &document, "services: {}");
    let mut state = State::default();
    assert!(matches!(state.adopt(&removal), Outcome::Rejected(_)));
    assert_eq!(state, State::default());
    removal.changes.clear();
    assert_eq!(state.adopt(&removal), Outcome::Adopted);
}

/// Covers: the JSON form of a record, and the error for invalid JSON.
#[test]
fn record_round_trips_through_json() {
    let yaml = "models: {m: {}}\ntenants: {t: {weight: 2}}\nservices: {a: {kind: model, model: m, \
                depends_on: [b], adapters: {x: [1, 2]}}, b: {kind: plain}}";
    let (record, _) = record(7, &Document::default(), yaml);
    let json = record.to_json();
    insta::assert_snapshot!(String::from_utf8_lossy(&json));
    assert_eq!(
        Record::from_json(&json).expect("the JSON was just encoded"),
        record
    );
    let error = Record::from_json(&json[1..]).expect_err("the first byte is missing");
    assert!(
        error
            .to_string()
            .starts_with("cannot decode a record of an edit")
    );
}

/// Covers: a change to one of 23,000 adapters copies less than 300 entries, and its record takes
/// less than 200 bytes.
#[test]
fn one_change_copies_little() {
    let adapters: Vec<String> = (0..23_000)
        .map(|it| format!("      a{it}: [1]\n"))
        .collect();
    let head = "models: {m: {}}\nservices:\n  s:\n    kind: model\n    model: m\n    adapters:\n";
    let yaml = format!("{head}{}", adapters.concat());
    let old = document::parse("f", yaml.as_bytes()).expect("the document is valid");
    assert_eq!(old.adapter_count(), 23_000);
    let changed_yaml = yaml.replace("a11500: [1]", "a11500: [1, 2]");
    let new = document::parse("f", changed_yaml.as_bytes()).expect("the document is valid");
    let changes = diff(&old, &new);
    assert_eq!(changes.len(), 1);
    let updated = old.with_changes(&changes).expect("the change applies");
    assert_eq!(updated, new);
    let copied = updated.unshared_entry_count(&old);
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
