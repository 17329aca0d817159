//! `comfreywing apply FILE`.

use config::{
    Document,
    change::{Change, diff},
    revision::{EditId, Number, Record, State},
};
use objects::log::{AppendOutcome, Log};
use serde_json::json;

use super::{format_changes, format_count};
use crate::{
    args::{Apply, Arguments},
    file,
    report::{Code, Report},
};

/// Applies a config file as the next revision.
pub fn run(arguments: &Arguments, options: &Apply) -> Result<Report, Report> {
    let edit = file::read(&options.file)?;
    let log = arguments.config_log()?;
    let state = log.load()?;
    let changes = diff(state.document(), &edit.document);
    if changes.is_empty() {
        return Ok(report_unchanged(state.number()));
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
        AppendOutcome::Accepted => Ok(report_accepted(&log, state, &record)),
        AppendOutcome::Conflict { theirs } => {
            let before = state.document();
            Err(report_conflict(
                (&[theirs], before),
                (&record.changes, before),
            ))
        }
        AppendOutcome::Unknown { reason } => Err(report_unknown(&record, &reason)),
    }
}

/// Rejects an edit that is based on an older revision, because it would revert the edits that were
/// accepted since then.
fn check_base(log: &Log, base: Number, state: &State, ours: &[Change]) -> Result<(), Report> {
    let number = state.number();
    if base == number {
        return Ok(());
    }
    if base > number {
        let message =
            format!("the file is based on revision {base}, but the latest revision is {number}");
        return Err(Report::bad_input(message));
    }
    let theirs = log.fetch_after(base)?;
    // The document at the base revision is not available, so the other side's changes are shown in
    // full.
    let empty = Document::default();
    Err(report_conflict((&theirs, &empty), (ours, state.document())))
}

/// Reports that the file equals the current document.
fn report_unchanged(number: Number) -> Report {
    let human = format!("no change: revision {number} already has this content");
    Report::ok(human, json!({ "revision": number, "changes": [] }))
}

/// Reports an accepted edit and writes a snapshot if one is due.
fn report_accepted(log: &Log, mut state: State, record: &Record) -> Report {
    let mut lines = vec![
        format!(
            "revision {} is accepted with {}:",
            record.number,
            format_count(&record.changes)
        ),
        format_changes(&record.changes, state.document()),
    ];
    state.adopt(record);
    // The edit is in the log even if the snapshot fails. The next edit tries the snapshot again.
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

/// Reports a conflict with the changes of both sides. Each side comes with the document that its
/// changes are relative to.
fn report_conflict(theirs: (&[Record], &Document), ours: (&[Change], &Document)) -> Report {
    let (records, base) = theirs;
    let (changes, before) = ours;
    let mut lines =
        vec!["conflict: another edit was accepted first; nothing was changed".to_owned()];
    for record in records {
        lines.push(format!(
            "theirs, revision {} by {}:",
            record.number, record.author
        ));
        lines.push(format_changes(&record.changes, base));
    }
    lines.push("yours, not applied:".to_owned());
    lines.push(format_changes(changes, before));
    lines.push(
        "Run comfreywing show, repeat your edit in its output and apply the result.".to_owned(),
    );
    let json = json!({ "theirs": records, "yours": changes });
    Report::new(Code::Conflict, lines.join("\n"), json)
}

/// Reports that the platform may or may not have accepted the edit.
fn report_unknown(record: &Record, reason: &str) -> Report {
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
