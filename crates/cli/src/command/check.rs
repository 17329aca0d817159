//! `comfreywing check FILE`.

use serde_json::json;

use crate::{args::Check, file, report::Report};

/// Checks a file without the platform.
pub fn run(check: &Check) -> Result<Report, Report> {
    let text = file::read(&check.file)?.document;
    let services = text.services().count();
    let adapters = text.adapter_count();
    let human = format!(
        "{} is right: {services} services, {adapters} adapters",
        check.file.display()
    );
    let json = json!({ "services": services, "adapters": adapters });
    Ok(Report::ok(human, json))
}
