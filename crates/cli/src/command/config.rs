//! `comfreywing config FILE`.

use std::path::Path;

use fleet::{
    catalog::Catalog,
    check::{self, Difference, Finding},
};
use gateway::dialect;
use platform as _;
use serde_json::{Value, json};

use crate::{
    args::Config,
    file,
    report::{Code, Report},
};

/// Dialect in which hosts on a platform read their configuration.
const DIALECT: &str = "objects";

/// Checks a configuration without contacting the platform.
pub fn run(options: &Config) -> Result<Report, Report> {
    let catalog = read(&options.file)?;
    let against = options.against.as_deref().map(read).transpose()?;
    let findings = check::check(&catalog);
    let differences = against.map(|it| check::compare(&it, &catalog));
    let code = if findings.is_empty() {
        Code::Ok
    } else {
        Code::Failed
    };
    let human = format(options, &findings, differences.as_deref());
    let findings = findings.iter();
    let findings: Vec<Value> = findings
        .map(|it| json!({ "kind": it.kind(), "message": it.to_string() }))
        .collect();
    let differences = differences.map(|it| -> Vec<Value> {
        let all = it.iter();
        all.map(|it| json!({ "part": it.part, "change": it.change }))
            .collect()
    });
    let json = json!({ "findings": findings, "differences": differences });
    Ok(Report::new(code, human, json))
}

fn format(options: &Config, findings: &[Finding], differences: Option<&[Difference]>) -> String {
    let file = options.file.display();
    let mut lines = vec![match findings.len() {
        0 => format!("{file}: nothing found"),
        1 => format!("{file}: 1 finding"),
        count => format!("{file}: {count} findings"),
    }];
    lines.extend(findings.iter().map(|it| format!("  {it}")));
    if let (Some(all), Some(against)) = (differences, &options.against) {
        let against = against.display();
        lines.push(match all.len() {
            0 => format!("no difference from {against}"),
            1 => format!("1 difference from {against}:"),
            count => format!("{count} differences from {against}:"),
        });
        lines.extend(all.iter().map(|it| format!("  {it}")));
    }
    lines.join("\n")
}

/// Reads a configuration as hosts do.
fn read(path: &Path) -> Result<Catalog, Report> {
    let name = path.display();
    let content = file::read_bytes(path)?;
    let mut spec = parse(&content).map_err(|it| Report::bad_input(format!("{name}{it}")))?;
    if spec.get("metadata").is_some() {
        spec = spec["spec"].take();
    }
    let dialect = dialect::find(DIALECT).expect("the dialect is linked");
    let object = json!({ "metadata": { "name": "main", "rev": 0 }, "spec": spec });
    let object = dialect.parse_object(object.to_string().as_bytes());
    let parsed = match object {
        Some(it) => dialect.parse_catalog(&it),
        None => Err("it is no object of the store".to_owned()),
    };
    parsed.map_err(|it| Report::bad_input(format!("{name}: {it}")))
}

/// Parses JSON or YAML. The error begins with its position, and shows nothing of the file, which has keys.
fn parse(content: &[u8]) -> Result<Value, String> {
    let Ok(text) = std::str::from_utf8(content) else {
        return Err(": the file is not UTF-8".to_owned());
    };
    if text.trim_start().starts_with('{') {
        return serde_json::from_str(text).map_err(|it| {
            let (line, column, text) = (it.line(), it.column(), it.to_string());
            let reason = text.split_once(" at line ").map_or(&*text, |it| it.0);
            format!(":{line}:{column}: the file is not valid JSON: {reason}")
        });
    }
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options).map_err(|it| {
        let position = it.location().map_or(String::new(), |it| {
            format!(":{}:{}", it.line(), it.column())
        });
        format!("{position}: the file is not valid YAML")
    })
}
