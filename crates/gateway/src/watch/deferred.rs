//! Entries of engines that may come from an older copy of the store. A store that comes back from a copy has entries of
//! incarnations that have ended since, and assigns revisions again, so neither the start that an entry states nor its
//! revision tells whether it is older than what this host knows. It is certain only of entries that were changed after
//! the first list of the era. An entry of another incarnation than the known one waits for that, or until the engine
//! would have written another one.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use fleet::{Time, identity::Announcement, table::Standing};

use crate::{
    clock,
    dialect::{Kind, Object},
    gateway::Gateway,
    watch,
};

/// Time in the new era in which a live engine writes its entry again.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Entries that are not applied yet.
#[derive(Default)]
pub struct DeferredEntries {
    /// Revision of the first list of the store's era. Later changes were made in this era.
    era_start: Cell<u64>,
    /// Names of the entries, and when they are applied if they are still there unchanged.
    due: RefCell<HashMap<String, Time>>,
}

impl DeferredEntries {
    /// Records the revision of the first list of a new era.
    pub fn begin_era(&self, as_of: u64) {
        self.era_start.set(as_of);
        self.due.borrow_mut().clear();
    }

    /// Records that an entry was written again or removed.
    pub fn remove(&self, name: &str) {
        self.due.borrow_mut().remove(name);
    }

    /// Takes the names of the entries that have not changed for long enough.
    fn take_due(&self, now: Time) -> Vec<String> {
        let mut due = self.due.borrow_mut();
        due.extract_if(|_, at| *at <= now).map(|it| it.0).collect()
    }
}

/// Returns whether an entry of a whole list is not to be applied, because it is or may be older than what this host knows
/// of its engine.
pub fn defer(gateway: &Gateway, object: &Object) -> bool {
    let deferred = &gateway.deferred_entries;
    if object.rev > deferred.era_start.get() {
        return false;
    }
    let Some(listing) = gateway.dialect.parse_listing(object) else {
        return false;
    };
    let standing = gateway.table.borrow().standing(&listing);
    let (id, born) = (&*listing.id, listing.incarnation);
    match standing {
        Standing::Current => return false,
        Standing::Outdated => {
            log::info!(event = "entry-outdated", engine = id, born, rev = object.rev; "ignoring an entry of an earlier incarnation of engine {id}");
        }
        Standing::Uncertain => {
            let mut due = deferred.due.borrow_mut();
            if !due.contains_key(id) {
                log::info!(event = "entry-deferred", engine = id, born, rev = object.rev; "the entry of engine {id} may be older than the known one");
                due.insert(id.to_owned(), clock::now() + REWRITE_TIME);
                let mut table = gateway.table.borrow_mut();
                if let Some(key) = table.find(id) {
                    table.record_break(key, clock::now(), Announcement::Done);
                }
            }
        }
    }
    true
}

/// Applies the deferred entries that no engine has replaced.
pub fn apply_due(gateway: &Rc<Gateway>) {
    for name in gateway.deferred_entries.take_due(clock::now()) {
        if let Some(object) = gateway.list_cache.get(Kind::Engines, &name) {
            watch::apply_object(gateway, Kind::Engines, &object);
        }
    }
}
