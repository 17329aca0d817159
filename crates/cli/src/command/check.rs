//! `comfreywing check FILE`.

use serde_json::json;

use crate::{args::Check, file, report::Report};

/// Checks a config file without contacting the platform.
pub fn run(options: &Check) -> Result<Report, Report> {
    let document = file::read(&options.file)?.document;
    let services = document.services().count();
    let adapters = document.adapter_count();
    let human = format!(
        "{} is valid: {services} services, {adapters} adapters",
        options.file.display()
    );
    let json = json!({ "services": services, "adapters": adapters });
    Ok(Report::ok(human, json))
}
