//! The commands, a file each.

pub mod apply;
pub mod check;
pub mod deploy;
pub mod diff;
pub mod explain;
pub mod show;
pub mod status;

use config::{
    Document,
    change::{Change, describe},
};

/// Changes that are shown to people; a program gets all of them.
const MAX_SHOWN: usize = 100;

/// Changes of `before` for people, a line each.
fn list(changes: &[Change], before: &Document) -> String {
    let shown = changes.iter().take(MAX_SHOWN);
    let mut lines: Vec<String> = shown
        .map(|it| format!("  {}", describe(it, before)))
        .collect();
    if changes.len() > MAX_SHOWN {
        lines.push(format!("  and {} more", changes.len() - MAX_SHOWN));
    }
    lines.join("\n")
}

/// `1 change`, `2 changes`.
fn count(changes: &[Change]) -> String {
    match changes.len() {
        1 => "1 change".to_owned(),
        count => format!("{count} changes"),
    }
}
