//! What an entry host knows of the engines of its region.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    ops::Bound::{Excluded, Unbounded},
};

use kernel::{
    arena::{Arena, Key},
    name::{Domain, Host, Model, Upstream},
    permit::Request,
    reference::Reference,
    service::State,
};

use super::{Backlog, Candidate, Change, Occupancy};

/// Points of each engine on the hash ring of its model.
const RING_POINTS: u64 = 32;

/// The most stewards that are asked to load an adapter.
const MAX_HOMES: usize = 3;

/// The most points of the ring that are looked at for one request.
const MAX_RING_STEPS: usize = 64;

#[derive(Debug)]
struct Entry {
    name: Upstream,
    steward: Host,
    domain: Domain,
    model: Model,
    fence: u64,
    state: State,
    level: Occupancy,
    loaded: Vec<Reference>,
}

impl Entry {
    /// One if a request could run there at once, else none.
    fn openings(&self) -> usize {
        usize::from(self.state == State::Live && self.level < Occupancy::FULL)
    }
}

/// What an entry host knows of the engines of its region. It lags behind the stewards.
#[derive(Debug)]
pub struct Directory {
    domain: Domain,
    engines: Arena<Entry>,
    names: HashMap<Upstream, Key<Entry>>,
    holders: HashMap<Reference, Vec<Key<Entry>>>,
    rings: HashMap<Model, BTreeMap<u64, Key<Entry>>>,
    backlogs: HashMap<Host, Backlog>,
    /// How many engines of each steward have room in their batch.
    open: HashMap<Host, usize>,
}

impl Directory {
    /// Knows nothing yet; `domain` is the failure domain of this entry host.
    pub fn new(domain: Domain) -> Self {
        Self {
            domain,
            engines: Arena::default(),
            names: HashMap::new(),
            holders: HashMap::new(),
            rings: HashMap::new(),
            backlogs: HashMap::new(),
            open: HashMap::new(),
        }
    }

    /// How many engines are known.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Takes over how long loads wait at a steward.
    pub fn set_backlog(&mut self, steward: &Host, backlog: Backlog) {
        self.backlogs.insert(steward.clone(), backlog);
    }

    /// Forgets a steward that has gone, with its engines.
    pub fn remove_steward(&mut self, steward: &Host) {
        self.backlogs.remove(steward);
        let entries = self.engines.iter();
        let gone: Vec<_> = entries
            .filter(|(_, it)| it.steward == *steward)
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.remove(key);
        }
    }

    /// Takes over what a steward tells. Only the engine's present steward is heard.
    pub fn apply(&mut self, steward: &Host, engine: &Upstream, change: Change) {
        if let Change::Added {
            domain,
            model,
            fence,
            state,
        } = change
        {
            let entry = Entry {
                name: engine.clone(),
                steward: steward.clone(),
                domain,
                model,
                fence,
                state,
                level: Occupancy::default(),
                loaded: Vec::new(),
            };
            self.join(entry);
            return;
        }
        let Some(key) = self.names.get(engine).copied() else {
            return;
        };
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        if entry.steward != *steward {
            return;
        }
        match change {
            Change::Loaded(reference) => self.loaded(key, reference),
            Change::Unloaded(reference) => self.unloaded(key, &reference),
            Change::Occupancy(level) => self.change(key, |it| it.level = level),
            Change::State(state) => self.change(key, |it| it.state = state),
            Change::Removed | Change::Added { .. } => self.remove(key),
        }
    }

    /// Changes an entry, and the count of its steward's open engines with it.
    fn change(&mut self, key: Key<Entry>, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        let before = entry.openings();
        change(entry);
        let after = entry.openings();
        let steward = entry.steward.clone();
        self.count(steward, before, after);
    }

    fn count(&mut self, steward: Host, before: usize, after: usize) {
        let open = self.open.entry(steward).or_default();
        *open = (*open + after).saturating_sub(before);
    }

    fn join(&mut self, entry: Entry) {
        if let Some(key) = self.names.get(&entry.name).copied() {
            if self
                .engines
                .get(key)
                .is_some_and(|it| it.fence > entry.fence)
            {
                return;
            }
            self.remove(key);
        }
        let name = entry.name.clone();
        let model = entry.model.clone();
        self.count(entry.steward.clone(), 0, entry.openings());
        let key = self.engines.insert(entry);
        let ring = self.rings.entry(model).or_default();
        for point in points(&name) {
            ring.insert(point, key);
        }
        self.names.insert(name, key);
    }

    fn remove(&mut self, key: Key<Entry>) {
        let Some(entry) = self.engines.remove(key) else {
            return;
        };
        self.count(entry.steward.clone(), entry.openings(), 0);
        self.names.remove(&entry.name);
        if let Some(ring) = self.rings.get_mut(&entry.model) {
            for point in points(&entry.name) {
                ring.remove(&point);
            }
        }
        for reference in &entry.loaded {
            self.forget_holder(key, reference);
        }
    }

    fn loaded(&mut self, key: Key<Entry>, reference: Reference) {
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        if entry.loaded.contains(&reference) {
            return;
        }
        entry.loaded.push(reference.clone());
        self.holders.entry(reference).or_default().push(key);
    }

    fn unloaded(&mut self, key: Key<Entry>, reference: &Reference) {
        if let Some(entry) = self.engines.get_mut(key) {
            entry.loaded.retain(|it| it != reference);
        }
        self.forget_holder(key, reference);
    }

    fn forget_holder(&mut self, key: Key<Entry>, reference: &Reference) {
        let Some(holders) = self.holders.get_mut(reference) else {
            return;
        };
        holders.retain(|it| *it != key);
        if holders.is_empty() {
            self.holders.remove(reference);
        }
    }

    /// The stewards to ask for a place, best first, each of them once.
    pub fn rank(&self, ask: &Request) -> Vec<Candidate> {
        let mut ranked = Vec::with_capacity(MAX_HOMES + 1);
        self.push_holders(ask, Fullness::Room, &mut ranked);
        self.push_homes(ask, &mut ranked);
        self.push_holders(ask, Fullness::Full, &mut ranked);
        ranked
    }

    fn push_holders(&self, ask: &Request, fullness: Fullness, ranked: &mut Vec<Candidate>) {
        let holders = self.holders.get(&ask.reference);
        let keys = holders.into_iter().flatten();
        let mut found: Vec<_> = keys
            .filter_map(|key| self.engines.get(*key))
            .filter(|it| it.state == State::Live && it.model == ask.model)
            .filter(|it| Fullness::of(it.level) == fullness)
            .collect();
        found.sort_by_key(|it| {
            (
                it.level,
                it.domain != self.domain,
                hash(&(ask.prefix, &it.name)),
            )
        });
        for entry in found {
            push(entry, ranked);
        }
    }

    fn push_homes(&self, ask: &Request, ranked: &mut Vec<Candidate>) {
        let mut homes = self.homes(ask);
        homes.sort_by_key(|it| (self.is_blocked(&it.steward), !self.is_open(&it.steward)));
        for entry in homes {
            push(entry, ranked);
        }
    }

    fn is_blocked(&self, steward: &Host) -> bool {
        self.backlogs.get(steward) == Some(&Backlog::Blocked)
    }

    fn is_open(&self, steward: &Host) -> bool {
        self.open.get(steward).is_some_and(|it| *it > 0)
    }

    /// The engines after the adapter's point on the ring, one for each steward. Of the stewards
    /// without an engine that has room, only the first is among them.
    fn homes(&self, ask: &Request) -> Vec<&Entry> {
        let mut homes: Vec<&Entry> = Vec::with_capacity(MAX_HOMES);
        let Some(ring) = self.rings.get(&ask.model) else {
            return homes;
        };
        let start = hash(&ask.reference);
        let after = ring.range((Excluded(start), Unbounded));
        let around = after.chain(ring.range(..=start));
        for (_, key) in around.take(MAX_RING_STEPS) {
            let Some(entry) = self.engines.get(*key) else {
                continue;
            };
            if entry.state != State::Live || homes.iter().any(|it| it.steward == entry.steward) {
                continue;
            }
            if !homes.is_empty() && !self.is_open(&entry.steward) {
                continue;
            }
            homes.push(entry);
            if homes.len() == MAX_HOMES {
                break;
            }
        }
        homes
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fullness {
    Room,
    Full,
}

impl Fullness {
    fn of(level: Occupancy) -> Self {
        if level >= Occupancy::FULL {
            Self::Full
        } else {
            Self::Room
        }
    }
}

fn push(entry: &Entry, ranked: &mut Vec<Candidate>) {
    if ranked.iter().any(|it| it.steward == entry.steward) {
        return;
    }
    ranked.push(Candidate {
        engine: entry.name.clone(),
        steward: entry.steward.clone(),
    });
}

fn points(name: &Upstream) -> impl Iterator<Item = u64> {
    (0..RING_POINTS).map(move |it| hash(&(name, it)))
}

/// The same for all processes of one release, so that entry hosts agree on homes.
fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
