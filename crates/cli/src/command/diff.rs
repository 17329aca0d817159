//! `comfreywing diff FILE`.

use config::change::diff;
use serde_json::json;

use super::{count, list};
use crate::{
    args::{Arguments, Diff},
    file,
    report::Report,
};

/// Shows what a file would change of the text in force.
pub fn run(arguments: &Arguments, options: &Diff) -> Result<Report, Report> {
    let edit = file::read(&options.file)?;
    let state = arguments.log()?.load()?;
    let number = state.number();
    let changes = diff(state.document(), &edit.document);
    let human = if changes.is_empty() {
        format!("no change from revision {number}")
    } else {
        format!(
            "{} from revision {number}:\n{}",
            count(&changes),
            list(&changes, state.document())
        )
    };
    let json = json!({ "revision": number, "changes": changes });
    Ok(Report::ok(human, json))
}
