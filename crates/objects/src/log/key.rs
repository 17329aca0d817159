//! The keys of the log's objects.

use config::revision::{EditId, Number};

/// Where the records are.
pub(super) const RECORDS: &str = "config/log/";

/// Names the newest complete snapshot.
pub(super) const HEAD: &str = "config/head";

/// The record of a revision. The digits keep the order of keys that of numbers.
pub(super) fn record(number: Number) -> String {
    format!("{RECORDS}{:020}", number.0)
}

/// A part of the changes of a long edit.
pub(super) fn edit(edit: EditId, part: u32) -> String {
    format!("config/edit/{edit}/{part:04}")
}

/// A part of a snapshot.
pub(super) fn snapshot(number: Number, part: u32) -> String {
    format!("config/snapshot/{:020}/{part:04}", number.0)
}
