//! Reads config files.

use std::{fs::File, io::Read, path::Path};

use config::{
    document::{Edit, parse_edit},
    node::{MAX_FILE_BYTES, oversize_message},
    problem::{Position, Sink},
};

use crate::report::Report;

/// Reads and checks a config file. A file over the size limit is rejected without being read.
pub fn read(path: &Path) -> Result<Edit, Report> {
    let content = read_bytes(path)?;
    Ok(parse_edit(&path.display().to_string(), &content)?)
}

/// Reads a file, unless it is over the size limit.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, Report> {
    let name = path.display().to_string();
    let to_report = |error: std::io::Error| Report::bad_input(format!("{name}: {error}"));
    let file = File::open(path).map_err(to_report)?;
    let bytes = file.metadata().map_err(to_report)?.len();
    if bytes > MAX_FILE_BYTES as u64 {
        return Err(Sink::new(&name)
            .fail(Position::START, oversize_message(bytes))
            .into());
    }
    let mut content = Vec::new();
    let limit = MAX_FILE_BYTES as u64 + 1;
    file.take(limit)
        .read_to_end(&mut content)
        .map_err(to_report)?;
    Ok(content)
}
