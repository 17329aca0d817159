//! Tests of the configuration log.

use std::sync::Arc;

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Record, State},
};
use objects::{
    log::{AppendOutcome, Error, Log, SNAPSHOT_INTERVAL_REVISIONS, SnapshotOutcome},
    object::MAX_VALUE_BYTES,
};

use crate::fake::{FakeStore, Fault};

fn parse(yaml: &str) -> Document {
    document::parse("f", yaml.as_bytes()).expect("valid document")
}

/// Returns a document with one plain service.
fn document_with(name: &str) -> Document {
    parse(&format!("services: {{{name}: {{kind: plain}}}}"))
}

fn edit(state: &State, id: u128, document: &Document) -> Record {
    Record {
        number: state.number().next(),
        edit: EditId(id),
        author: "ann".to_owned(),
        changes: diff(state.document(), document),
    }
}

fn open_log() -> (Arc<FakeStore>, Log) {
    let store = Arc::new(FakeStore::default());
    (Arc::clone(&store), Log::new(store))
}

/// Appends an edit with injected faults, and compares the outcome and the resulting number of
/// records with `expected`.
fn check_append(faults: &[Fault], expected: (&str, usize)) {
    let (store, log) = open_log();
    store.inject_faults(faults);
    let result = log.append(&edit(&State::default(), 1, &document_with("a")));
    let outcome = match result {
        Ok(AppendOutcome::Accepted) => "accepted",
        Ok(AppendOutcome::Conflict { .. }) => "conflict",
        Ok(AppendOutcome::Unknown { .. }) => "unknown",
        Err(Error::Store(_)) => "failed",
        Err(error) => panic!("{error}"),
    };
    store.inject_faults(&[]);
    let records = log.fetch_after(Number(0)).expect("store is up").len();
    assert_eq!((outcome, records), expected, "{faults:?}");
}

/// The reported outcome of an append agrees with the log when requests or responses are lost or
/// delayed.
#[test]
fn append_with_faults() {
    use Fault::{DelayedWrite, LostRequest, LostResponse, None, Outage};
    check_append(&[], ("accepted", 1));
    check_append(&[Outage], ("failed", 0));
    check_append(&[LostResponse], ("accepted", 1));
    check_append(&[LostRequest], ("accepted", 1));
    check_append(&[DelayedWrite], ("accepted", 1));
    check_append(&[LostResponse, Outage], ("accepted", 1));
    check_append(&[LostResponse, LostRequest, LostResponse], ("accepted", 1));
    check_append(&[LostRequest, None, Outage], ("unknown", 0));
    check_append(&[LostResponse, Outage, Outage], ("unknown", 1));
    check_append(
        &[LostResponse, Outage, LostResponse, Outage, None, None],
        ("accepted", 1),
    );
}

/// Of two edits with the same number, the first is accepted and the second is a conflict that
/// contains the first.
#[test]
fn racing_edits() {
    let (_, log) = open_log();
    let first = edit(&State::default(), 1, &document_with("a"));
    let second = edit(&State::default(), 2, &document_with("b"));
    assert_eq!(
        log.append(&first).expect("store is up"),
        AppendOutcome::Accepted
    );
    let conflict = AppendOutcome::Conflict {
        theirs: first.clone(),
    };
    assert_eq!(log.append(&second).expect("store is up"), conflict);
    assert_eq!(
        log.append(&first).expect("store is up"),
        AppendOutcome::Accepted
    );
    assert_eq!(
        log.load().expect("store is up").document(),
        &document_with("a")
    );
}

/// An append whose request is lost reports a conflict if another edit has its number.
#[test]
fn conflict_after_a_lost_request() {
    let (store, log) = open_log();
    let first = edit(&State::default(), 1, &document_with("a"));
    let second = edit(&State::default(), 2, &document_with("b"));
    log.append(&first).expect("store is up");
    store.inject_faults(&[Fault::LostRequest]);
    let outcome = log.append(&second).expect("store is up");
    assert_eq!(outcome, AppendOutcome::Conflict { theirs: first });
}

/// A document with 23,000 adapters, which is larger than one object, can be stored in one edit and
/// in a snapshot.
#[test]
fn many_adapters() {
    let (store, log) = open_log();
    let adapters: Vec<String> = (0..23_000)
        .map(|it| format!("      bay-summary-{it}: [1]\n"))
        .collect();
    let header =
        "models: {m: {}}\nservices:\n  signs:\n    kind: model\n    model: m\n    adapters:\n";
    let large = parse(&format!("{header}{}", adapters.concat()));
    let mut state = State::default();
    let record = edit(&state, 1, &large);
    assert_eq!(
        log.append(&record).expect("store is up"),
        AppendOutcome::Accepted
    );
    assert!(record.to_json().len() > MAX_VALUE_BYTES);
    state.adopt(&record);
    let due = State::new(Number(SNAPSHOT_INTERVAL_REVISIONS), large.clone());
    assert_eq!(
        log.write_snapshot_if_due(&due).expect("store is up"),
        SnapshotOutcome::Written
    );
    assert_eq!(log.load().expect("store is up").document(), &large);
    let parts = store
        .keys()
        .iter()
        .filter(|it| it.starts_with("config/snapshot/"))
        .count();
    assert!(parts > 1);
}

/// Appends `count` edits with snapshots when due, and returns the last state.
fn append_edits(log: &Log, mut state: State, count: u64) -> State {
    for _ in 0..count {
        let id = state.number().next().0;
        let record = edit(&state, u128::from(id), &document_with(&format!("s{id}")));
        assert_eq!(
            log.append(&record).expect("store is up"),
            AppendOutcome::Accepted
        );
        state.adopt(&record);
        log.write_snapshot_if_due(&state).expect("store is up");
    }
    state
}

/// A load reads only the newest snapshot and the records after it. Snapshots before the last two
/// are deleted.
#[test]
fn load_from_a_snapshot() {
    let (store, log) = open_log();
    let state = append_edits(&log, State::default(), 3 * SNAPSHOT_INTERVAL_REVISIONS + 5);
    store.take_call_count("list");
    store.take_call_count("get");
    assert_eq!(log.load().expect("store is up"), state);
    assert_eq!(
        (store.take_call_count("get"), store.take_call_count("list")),
        (2, 1)
    );
    let keys = store.keys();
    let parts = keys.iter().filter(|it| it.starts_with("config/snapshot/"));
    assert_eq!(parts.count(), 2);
}

/// A snapshot that fails at any call, or that an earlier attempt has already started, leaves the log
/// unchanged.
#[test]
fn snapshot_with_faults() {
    for failed_call in 0..4 {
        let (store, log) = open_log();
        let mut state = State::default();
        for _ in 0..SNAPSHOT_INTERVAL_REVISIONS {
            let id = state.number().next().0;
            let record = edit(&state, u128::from(id), &document_with(&format!("s{id}")));
            log.append(&record).expect("store is up");
            state.adopt(&record);
        }
        for fault in [Fault::Outage, Fault::LostResponse] {
            let mut faults = vec![Fault::None; failed_call];
            faults.push(fault);
            store.inject_faults(&faults);
            let _ = log.write_snapshot_if_due(&state);
            store.inject_faults(&[]);
            assert_eq!(
                log.load().expect("store is up"),
                state,
                "call {failed_call}: {fault:?}"
            );
        }
    }
}

/// Fetching returns the records after a number, in order.
#[test]
fn fetch_after() {
    let (_, log) = open_log();
    append_edits(&log, State::default(), 200);
    let numbers = |from| -> Vec<u64> {
        let records = log.fetch_after(Number(from)).expect("store is up");
        records.iter().map(|it| it.number.0).collect()
    };
    assert_eq!(numbers(198), [199, 200]);
    assert_eq!(numbers(200), [0; 0]);
    assert_eq!(numbers(0), (1..=200).collect::<Vec<_>>());
}
