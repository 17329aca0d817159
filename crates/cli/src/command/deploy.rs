//! `comfreywing deploy FILE`.

use std::path::Path;

use serde_json::json;

use crate::{
    args::Deploy,
    report::{Code, Report},
};

/// Checks a deploy file and the settings templates of its roles without contacting the platform.
pub fn run(options: &Deploy) -> Result<Report, Report> {
    let file = options.file.display();
    match platform::deploy::check(&options.file, Path::new(".")) {
        Ok(settings) => {
            let mut human = format!("{file} is valid: {} roles with settings", settings.len());
            if options.show {
                for (role, yaml) in &settings {
                    for part in ["\n\n# settings of ", role, "\n", yaml] {
                        human.push_str(part);
                    }
                }
            }
            Ok(Report::ok(human, json!({ "settings": settings })))
        }
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            let json = json!({ "problems": lines });
            Err(Report::new(Code::BadInput, lines.join("\n"), json))
        }
    }
}
