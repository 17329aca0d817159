//! `comfreywing apply FILE`.

use config::{
    Document,
    change::{Change, diff},
    revision::{EditId, Number, Record, State},
};
use objects::log::{AppendOutcome, Log};
use serde_json::json;

use super::{count, list};
use crate::{
    args::{Apply, Arguments},
    file,
    report::{Code, Report},
};

/// Puts a file in force as the next revision.
pub fn run(arguments: &Arguments, options: &Apply) -> Result<Report, Report> {
    let edit = file::read(&options.file)?;
    let log = arguments.log()?;
    let state = log.load()?;
    let changes = diff(state.document(), &edit.document);
    if changes.is_empty() {
        return Ok(unchanged(state.number()));
    }
    if let Some(base) = options.base.map(Number).or(edit.base) {
        check_base(&log, base, &state, &changes)?;
    }
    let record = Record {
        number: state.number().next(),
        edit: EditId(rand::random()),
        author: options.author.clone(),
        changes,
    };
    match log.append(&record)? {
        AppendOutcome::Accepted => Ok(accepted(&log, state, &record)),
        AppendOutcome::Conflict { theirs } => {
            let before = state.document();
            Err(conflict((&[theirs], before), (&record.changes, before)))
        }
        AppendOutcome::Unknown { reason } => Err(unknown(&record, &reason)),
    }
}

/// Refuses an edit of an older text: it would revert what was accepted since.
fn check_base(log: &Log, base: Number, state: &State, ours: &[Change]) -> Result<(), Report> {
    let number = state.number();
    if base == number {
        return Ok(());
    }
    if base > number {
        let message = format!("the file was made from revision {base}, but {number} is the last");
        return Err(Report::bad_input(message));
    }
    let theirs = log.fetch_after(base)?;
    // The text at the base is not at hand, so that their changes are shown in full.
    let base = Document::default();
    Err(conflict((&theirs, &base), (ours, state.document())))
}

fn unchanged(number: Number) -> Report {
    let human = format!("no change: revision {number} says the same");
    Report::ok(human, json!({ "revision": number, "changes": [] }))
}

fn accepted(log: &Log, mut state: State, record: &Record) -> Report {
    let mut lines = vec![
        format!(
            "revision {} is accepted with {}:",
            record.number,
            count(&record.changes)
        ),
        list(&record.changes, state.document()),
    ];
    state.adopt(record);
    // The edit is in the log whatever becomes of the snapshot; the next edit tries again.
    if let Err(error) = log.write_snapshot_if_due(&state) {
        lines.push(format!("no snapshot was written: {error}"));
    }
    let json = json!({
        "revision": record.number,
        "edit": record.edit.to_string(),
        "changes": record.changes,
    });
    Report::ok(lines.join("\n"), json)
}

/// Shows both sides, each with the text that it changes.
fn conflict(theirs: (&[Record], &Document), ours: (&[Change], &Document)) -> Report {
    let (records, base) = theirs;
    let (changes, before) = ours;
    let mut lines =
        vec!["conflict: another edit was accepted first; nothing was changed".to_owned()];
    for record in records {
        lines.push(format!(
            "theirs, revision {} by {}:",
            record.number, record.author
        ));
        lines.push(list(&record.changes, base));
    }
    lines.push("yours, not in force:".to_owned());
    lines.push(list(changes, before));
    lines
        .push("Run comfreywing show, make your edit in what it prints, and apply that.".to_owned());
    let json = json!({ "theirs": records, "yours": changes });
    Report::new(Code::Conflict, lines.join("\n"), json)
}

fn unknown(record: &Record, reason: &str) -> Report {
    let human = format!(
        "the outcome is unknown: revision {} may be accepted: {reason}\n\
         Run the same command again: if the edit was accepted, it reports no change.",
        record.number
    );
    let json = json!({
        "revision": record.number,
        "edit": record.edit.to_string(),
        "message": reason,
    });
    Report::new(Code::Unreachable, human, json)
}
