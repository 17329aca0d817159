//! Reads and writes claim records in the platform's object store.

use objects::object::{Failure, Reason, Store, Version};

use super::Record;

/// Reads the record under a key.
pub fn read(store: &dyn Store, key: &str) -> Result<Option<(Version, Record)>, Failure> {
    let Some(object) = store.get(Reason::Steward, key)? else {
        return Ok(None);
    };
    match Record::from_bytes(&object.value) {
        Ok(record) => Ok(Some((object.version, record))),
        Err(error) => Err(Failure::Unavailable {
            reason: format!("{key}: {error}"),
        }),
    }
}

/// Writes a record, on the condition that the object has the given version or, for `None`, is
/// absent.
pub fn write(
    store: &dyn Store,
    key: &str,
    version: Option<Version>,
    record: &Record,
) -> Result<(), Failure> {
    let bytes = record.to_bytes();
    let written = match version {
        Some(it) => store.update(Reason::Steward, key, it, &bytes),
        None => store.create(Reason::Steward, key, &bytes),
    };
    match written {
        Ok(_) => Ok(()),
        Err(Failure::Unknown { reason }) => resolve_unknown_write(store, key, record, reason),
        Err(error) => Err(error),
    }
}

/// Reads the object back after a write without a response. The write succeeded if the object equals
/// the written record; otherwise it may still take effect.
fn resolve_unknown_write(
    store: &dyn Store,
    key: &str,
    record: &Record,
    reason: String,
) -> Result<(), Failure> {
    match read(store, key) {
        Ok(Some((_, found))) if found == *record => Ok(()),
        Ok(_) | Err(_) => Err(Failure::Unknown { reason }),
    }
}
