//! `comfreywing show`.

use serde_json::json;

use crate::{args::Arguments, report::Report};

/// Shows the text in force. What it prints can be edited and applied: its field `revision` says
/// which revision it was made from.
pub fn run(arguments: &Arguments) -> Result<Report, Report> {
    let state = arguments.log()?.load()?;
    let number = state.number();
    let yaml = state.document().to_yaml();
    let human = format!("revision: {number}\n{yaml}");
    let json = json!({ "revision": number, "text": yaml });
    Ok(Report::ok(human, json))
}
