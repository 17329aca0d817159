//! The commands. Each module has one command.

pub mod accounts;
pub mod apply;
pub mod check;
pub mod config;
pub mod deploy;
pub mod diff;
pub mod explain;
pub mod show;
pub mod status;

use ::config::{
    Document,
    change::{Change, describe},
};

/// Maximum number of changes in the output for people. The JSON output has all of them.
const MAX_SHOWN_CHANGES: usize = 100;

/// Formats changes to the document `before` for people, one per line.
fn format_changes(changes: &[Change], before: &Document) -> String {
    let shown = changes.iter().take(MAX_SHOWN_CHANGES);
    let mut lines: Vec<String> = shown
        .map(|it| format!("  {}", describe(it, before)))
        .collect();
    if changes.len() > MAX_SHOWN_CHANGES {
        lines.push(format!("  and {} more", changes.len() - MAX_SHOWN_CHANGES));
    }
    lines.join("\n")
}

/// Formats the number of changes, such as `1 change` or `2 changes`.
fn format_count(changes: &[Change]) -> String {
    match changes.len() {
        1 => "1 change".to_owned(),
        count => format!("{count} changes"),
    }
}
