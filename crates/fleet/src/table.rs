//! All engines and instances that this host knows, and the newest versions of adapters.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    engine::Engine,
    listing::{Listing, Name},
    rendezvous::short_id,
};

/// Key of an engine in a [`Table`]. A later life under the same id keeps the key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

/// Time for which an engine whose entry vanished is still used if it has answered a moment ago: the
/// entry may have lapsed while the store was away, and work must end before the drain time is over.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(900);

/// The same after the store was away: entries of living engines are back about two seconds after it.
pub const REMOVAL_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(2300);

/// A good answer that is younger than this says that an engine lives.
const LIVELY: Duration = Duration::from_millis(1500);

/// Time from the announcement of a version after which no request may begin on older copies. The
/// platform's bound is 5 s, of which up to one passes before the announcement is read.
const OLD_VERSIONS_SERVE: Duration = Duration::from_millis(2500);

/// How an entry left the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The store has answered all along.
    StoreAvailable,
    /// The store was away.
    AfterOutage,
}

/// Engines by key and by id.
#[derive(Clone, Debug, Default)]
pub struct Table {
    engines: BTreeMap<Key, Engine>,
    ids: HashMap<Arc<str>, Key>,
    shorts: HashMap<u32, Key>,
    next: u32,
    versions: HashMap<Name, Announced>,
}

/// The newest version of an adapter that was announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announced {
    /// Its number.
    pub version: u64,
    /// When this host learned of it.
    pub received_at: Time,
}

impl Table {
    /// Adds an engine or takes over what the list says of it.
    pub fn upsert(&mut self, listing: Listing, now: Time) -> Key {
        if let Some(key) = self.ids.get(&listing.id) {
            if let Some(engine) = self.engines.get_mut(key) {
                engine.update(listing, now);
            }
            return *key;
        }
        let key = Key(self.next);
        self.next += 1;
        self.ids.insert(listing.id.clone(), key);
        self.shorts.insert(short_id(&listing.id), key);
        self.engines.insert(key, Engine::new(listing, now));
        key
    }

    /// Notes that the entry of an engine has vanished. It is dropped now or, if it may live, by a
    /// later [`Table::expire`]: at `latest` if the store has answered all along.
    pub fn schedule_removal(&mut self, id: &str, removal: Removal, latest: Time, now: Time) {
        let Some(key) = self.ids.get(id) else { return };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let hold = match removal {
            Removal::AfterOutage => REMOVAL_GRACE_AFTER_OUTAGE,
            Removal::StoreAvailable
                if engine.last_success_at + LIVELY > now && engine.accepts_work() =>
            {
                REMOVAL_GRACE.min(latest.saturating_sub(now))
            }
            Removal::StoreAvailable => Duration::ZERO,
        };
        engine.expires_at.get_or_insert(now + hold);
    }

    /// When the next engine is dropped, if one is to be.
    pub fn next_expiry(&self) -> Option<Time> {
        self.engines.values().filter_map(|it| it.expires_at).min()
    }

    /// Drops the engines whose time to come back is over.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Listing> {
        let over = |it: &Engine| it.expires_at.is_some_and(|at| at <= now);
        let gone: Vec<Listing> = (self.engines.values())
            .filter(|it| over(it))
            .map(|it| it.listing.clone())
            .collect();
        for listing in &gone {
            if let Some(key) = self.ids.remove(&listing.id) {
                self.engines.remove(&key);
                self.shorts.retain(|_, it| *it != key);
            }
        }
        gone
    }

    /// The engine of that key, if it still exists.
    pub fn get(&self, key: Key) -> Option<&Engine> {
        self.engines.get(&key)
    }

    /// The engine of that key, if it still exists.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Engine> {
        self.engines.get_mut(&key)
    }

    /// The key of an id.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// The key of an id's short form.
    pub fn find_by_short_id(&self, short: u32) -> Option<Key> {
        self.shorts.get(&short).copied()
    }

    /// The engine of an id's short form.
    pub fn get_by_short_id(&mut self, short: u32) -> Option<&mut Engine> {
        let key = self.find_by_short_id(short)?;
        self.engines.get_mut(&key)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Engine)> {
        self.engines.iter().map(|(key, it)| (*key, it))
    }

    /// Ids that are known.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.ids.keys().cloned().collect()
    }

    /// Notes an announced version; older ones than the known are passed over.
    pub fn announce(&mut self, name: Name, version: u64, now: Time) -> bool {
        let newer = (self.versions.get(&name)).is_none_or(|it| it.version < version);
        if newer {
            self.versions.insert(
                name,
                Announced {
                    version,
                    received_at: now,
                },
            );
        }
        newer
    }

    /// The newest announced version.
    pub fn newest_version(&self, name: &str) -> Option<Announced> {
        self.versions.get(name).copied()
    }

    /// How a copy of that version stands to what was announced.
    pub fn freshness(&self, name: &str, version: u64, now: Time) -> Freshness {
        match self.versions.get(name) {
            Some(it) if version < it.version && it.received_at + OLD_VERSIONS_SERVE <= now => {
                Freshness::Stale
            }
            Some(it) if version < it.version => Freshness::Older,
            _ => Freshness::Newest,
        }
    }

    /// The same for a request that has to wait at the engine before it begins. The wait counts twice,
    /// since it is an estimate.
    pub fn freshness_after(
        &self,
        name: &str,
        version: u64,
        now: Time,
        wait: Duration,
    ) -> Freshness {
        self.freshness(name, version, now + wait * 2)
    }
}

/// How a copy of an adapter stands to the newest version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// It is the newest that is known.
    Newest,
    /// There is a newer one, which may not be in place yet.
    Older,
    /// It must not be used any more.
    Stale,
}
