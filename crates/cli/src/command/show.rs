//! `comfreywing show`.

use serde_json::json;

use crate::{args::Arguments, report::Report};

/// Shows the current config document. The output can be edited and applied; its field `revision` is
/// the revision that the edit is based on.
pub fn run(arguments: &Arguments) -> Result<Report, Report> {
    let state = arguments.config_log()?.load()?;
    let number = state.number();
    let yaml = state.document().to_yaml();
    let human = format!("revision: {number}\n{yaml}");
    let json = json!({ "revision": number, "text": yaml });
    Ok(Report::ok(human, json))
}
