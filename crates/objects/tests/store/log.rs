//! The configuration log.

use std::sync::Arc;

use config::{
    Document,
    change::diff,
    document,
    revision::{EditId, Number, Record, State},
};
use objects::{
    log::{AppendOutcome, Error, Log, SNAPSHOT_REVISIONS, SnapshotOutcome},
    object::MAX_VALUE_BYTES,
};

use crate::fake::{Fake, Trouble};

fn parse(yaml: &str) -> Document {
    document::parse("f", yaml.as_bytes()).expect("the text is right")
}

/// A text with one plain service.
fn plain(name: &str) -> Document {
    parse(&format!("services: {{{name}: {{kind: plain}}}}"))
}

fn edit(state: &State, id: u128, text: &Document) -> Record {
    Record {
        number: state.number().next(),
        edit: EditId(id),
        author: "ann".to_owned(),
        changes: diff(state.document(), text),
    }
}

fn open() -> (Arc<Fake>, Log) {
    let fake = Arc::new(Fake::default());
    (Arc::clone(&fake), Log::new(fake))
}

/// Appends an edit under `troubles`; gives what came of it in a word, and the number of records.
fn check_append(troubles: &[Trouble], expected: (&str, usize)) {
    let (fake, log) = open();
    fake.trouble(troubles);
    let outcome = log.append(&edit(&State::default(), 1, &plain("a")));
    let word = match outcome {
        Ok(AppendOutcome::Accepted) => "accepted",
        Ok(AppendOutcome::Conflict { .. }) => "conflict",
        Ok(AppendOutcome::Unknown { .. }) => "unknown",
        Err(Error::Store(_)) => "failed",
        Err(error) => panic!("{error}"),
    };
    fake.trouble(&[]);
    let records = log.fetch_after(Number(0)).expect("the fake is up").len();
    assert_eq!((word, records), expected, "{troubles:?}");
}

/// Covers: the outcome of an append is the truth, whatever answer is lost or late.
#[test]
fn append_under_trouble() {
    use Trouble::{Late, LostAnswer, LostCall, None, Outage};
    check_append(&[], ("accepted", 1));
    check_append(&[Outage], ("failed", 0));
    check_append(&[LostAnswer], ("accepted", 1));
    check_append(&[LostCall], ("accepted", 1));
    check_append(&[Late], ("accepted", 1));
    check_append(&[LostAnswer, Outage], ("accepted", 1));
    check_append(&[LostAnswer, LostCall, LostAnswer], ("accepted", 1));
    check_append(&[LostCall, None, Outage], ("unknown", 0));
    check_append(&[LostAnswer, Outage, Outage], ("unknown", 1));
    check_append(
        &[LostAnswer, Outage, LostAnswer, Outage, None, None],
        ("accepted", 1),
    );
}

/// Covers: of two edits for one number one is accepted, and the other gets to see it.
#[test]
fn racing_edits() {
    let (_, log) = open();
    let first = edit(&State::default(), 1, &plain("a"));
    let second = edit(&State::default(), 2, &plain("b"));
    assert_eq!(log.append(&first).expect("up"), AppendOutcome::Accepted);
    let conflict = AppendOutcome::Conflict {
        theirs: first.clone(),
    };
    assert_eq!(log.append(&second).expect("up"), conflict);
    assert_eq!(log.append(&first).expect("up"), AppendOutcome::Accepted);
    assert_eq!(log.load().expect("up").document(), &plain("a"));
}

/// Covers: an edit that lost its race behind a lost answer is told of the conflict.
#[test]
fn race_behind_a_lost_answer() {
    let (fake, log) = open();
    let first = edit(&State::default(), 1, &plain("a"));
    let second = edit(&State::default(), 2, &plain("b"));
    log.append(&first).expect("up");
    fake.trouble(&[Trouble::LostCall]);
    let outcome = log.append(&second).expect("up");
    assert_eq!(outcome, AppendOutcome::Conflict { theirs: first });
}

/// Covers: 23,000 adapters fit, in one edit and in a snapshot, each object below the limit.
#[test]
fn many_adapters() {
    let (fake, log) = open();
    let adapters: Vec<String> = (0..23_000)
        .map(|it| format!("      bay-summary-{it}: [1]\n"))
        .collect();
    let head =
        "models: {m: {}}\nservices:\n  signs:\n    kind: model\n    model: m\n    adapters:\n";
    let large = parse(&format!("{head}{}", adapters.concat()));
    let mut state = State::default();
    let record = edit(&state, 1, &large);
    assert_eq!(log.append(&record).expect("up"), AppendOutcome::Accepted);
    assert!(record.to_json().len() > MAX_VALUE_BYTES);
    state.adopt(&record);
    let due = State::new(Number(SNAPSHOT_REVISIONS), large.clone());
    assert_eq!(
        log.write_snapshot_if_due(&due).expect("up"),
        SnapshotOutcome::Written
    );
    assert_eq!(log.load().expect("up").document(), &large);
    let parts = fake
        .keys()
        .iter()
        .filter(|it| it.starts_with("config/snapshot/"))
        .count();
    assert!(parts > 1);
}

/// A log of `count` edits; returns the last state.
fn fill(log: &Log, mut state: State, count: u64) -> State {
    for _ in 0..count {
        let id = state.number().next().0;
        let record = edit(&state, u128::from(id), &plain(&format!("s{id}")));
        assert_eq!(log.append(&record).expect("up"), AppendOutcome::Accepted);
        state.adopt(&record);
        log.write_snapshot_if_due(&state).expect("up");
    }
    state
}

/// Covers: a load reads the newest snapshot and the records above it, and no others; snapshots
/// before the last two are gone.
#[test]
fn load_from_a_snapshot() {
    let (fake, log) = open();
    let state = fill(&log, State::default(), 3 * SNAPSHOT_REVISIONS + 5);
    fake.take_calls("list");
    fake.take_calls("get");
    assert_eq!(log.load().expect("up"), state);
    assert_eq!((fake.take_calls("get"), fake.take_calls("list")), (2, 1));
    let keys = fake.keys();
    let parts = keys.iter().filter(|it| it.starts_with("config/snapshot/"));
    assert_eq!(parts.count(), 2);
}

/// Covers: a snapshot that broke off or that another host writes leaves the log as it was.
#[test]
fn snapshot_under_trouble() {
    for broken in 0..4 {
        let (fake, log) = open();
        let mut state = State::default();
        for _ in 0..SNAPSHOT_REVISIONS {
            let id = state.number().next().0;
            let record = edit(&state, u128::from(id), &plain(&format!("s{id}")));
            log.append(&record).expect("up");
            state.adopt(&record);
        }
        for trouble in [Trouble::Outage, Trouble::LostAnswer] {
            let mut troubles = vec![Trouble::None; broken];
            troubles.push(trouble);
            fake.trouble(&troubles);
            let _ = log.write_snapshot_if_due(&state);
            fake.trouble(&[]);
            assert_eq!(log.load().expect("up"), state, "call {broken}: {trouble:?}");
        }
    }
}

/// Covers: a watcher gets the records above what it holds, in order.
#[test]
fn fetch_after() {
    let (_, log) = open();
    fill(&log, State::default(), 200);
    let numbers = |from| -> Vec<u64> {
        let records = log.fetch_after(Number(from)).expect("up");
        records.iter().map(|it| it.number.0).collect()
    };
    assert_eq!(numbers(198), [199, 200]);
    assert_eq!(numbers(200), [0; 0]);
    assert_eq!(numbers(0), (1..=200).collect::<Vec<_>>());
}
