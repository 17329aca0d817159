//! `comfreywing diff FILE`.

use config::change::diff;
use serde_json::json;

use super::{format_changes, format_count};
use crate::{
    args::{Arguments, Diff},
    file,
    report::Report,
};

/// Shows the changes that a config file would make to the current document.
pub fn run(arguments: &Arguments, options: &Diff) -> Result<Report, Report> {
    let edit = file::read(&options.file)?;
    let state = arguments.config_log()?.load()?;
    let number = state.number();
    let changes = diff(state.document(), &edit.document);
    let human = if changes.is_empty() {
        format!("no change from revision {number}")
    } else {
        format!(
            "{} from revision {number}:\n{}",
            format_count(&changes),
            format_changes(&changes, state.document())
        )
    };
    let json = json!({ "revision": number, "changes": changes });
    Ok(Report::ok(human, json))
}
