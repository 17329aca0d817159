//! The keys of the objects that store the configuration log.

use config::revision::{EditId, Number};

/// Prefix of the keys of records.
pub(super) const RECORDS: &str = "config/log/";

/// Key of the object that names the newest complete snapshot.
pub(super) const HEAD: &str = "config/head";

/// Returns the key of the record of a revision. Zero padding makes the order of keys equal to that
/// of revision numbers.
pub(super) fn record(number: Number) -> String {
    format!("{RECORDS}{:020}", number.0)
}

/// Returns the key of a part of the changes of a long edit.
pub(super) fn edit(edit: EditId, part: u32) -> String {
    format!("config/edit/{edit}/{part:04}")
}

/// Returns the key of a part of a snapshot.
pub(super) fn snapshot(number: Number, part: u32) -> String {
    format!("config/snapshot/{:020}/{part:04}", number.0)
}
