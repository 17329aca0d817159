//! An entry host's view of the engines of its region.

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

/// Number of points of each engine on the hash ring of its model.
const RING_POINTS_PER_ENGINE: u64 = 32;

/// Upper bound on the stewards that are asked to load an adapter.
const MAX_HOMES: usize = 3;

/// Upper bound on the ring points that are visited for one request.
const MAX_RING_STEPS: usize = 64;

/// A known engine.
#[derive(Debug)]
struct Entry {
    name: Upstream,
    steward: Host,
    domain: Domain,
    model: Model,
    fence: u64,
    state: State,
    occupancy: Occupancy,
    loaded: Vec<Reference>,
}

impl Entry {
    /// Returns 1 if a request could run on the engine at once, otherwise 0.
    fn open_engine_count(&self) -> usize {
        usize::from(self.state == State::Live && self.occupancy < Occupancy::FULL)
    }
}

/// An entry host's view of the engines of its region, built from what stewards publish. It lags
/// behind the stewards.
#[derive(Debug)]
pub struct Directory {
    domain: Domain,
    engines: Arena<Entry>,
    by_name: HashMap<Upstream, Key<Entry>>,
    engines_by_adapter: HashMap<Reference, Vec<Key<Entry>>>,
    rings: HashMap<Model, BTreeMap<u64, Key<Entry>>>,
    backlogs: HashMap<Host, Backlog>,
    /// Number of engines of each steward that have room in their batch.
    open_engines: HashMap<Host, usize>,
}

impl Directory {
    /// Creates an empty directory. `domain` is the failure domain of this entry host.
    pub fn new(domain: Domain) -> Self {
        Self {
            domain,
            engines: Arena::default(),
            by_name: HashMap::new(),
            engines_by_adapter: HashMap::new(),
            rings: HashMap::new(),
            backlogs: HashMap::new(),
            open_engines: HashMap::new(),
        }
    }

    /// Returns the number of known engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Sets how long loads wait at a steward.
    pub fn set_backlog(&mut self, steward: &Host, backlog: Backlog) {
        self.backlogs.insert(steward.clone(), backlog);
    }

    /// Removes a steward and its engines.
    pub fn remove_steward(&mut self, steward: &Host) {
        self.backlogs.remove(steward);
        let entries = self.engines.iter();
        let removed: Vec<_> = entries
            .filter(|(_, it)| it.steward == *steward)
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.remove(key);
        }
    }

    /// Applies a change published by a steward. Changes from any but the engine's current steward
    /// are ignored.
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
                occupancy: Occupancy::default(),
                loaded: Vec::new(),
            };
            self.insert(entry);
            return;
        }
        let Some(key) = self.by_name.get(engine).copied() else {
            return;
        };
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        if entry.steward != *steward {
            return;
        }
        match change {
            Change::Loaded(reference) => self.add_loaded(key, reference),
            Change::Unloaded(reference) => self.remove_loaded(key, &reference),
            Change::Occupancy(occupancy) => self.update(key, |it| it.occupancy = occupancy),
            Change::State(state) => self.update(key, |it| it.state = state),
            Change::Removed | Change::Added { .. } => self.remove(key),
        }
    }

    /// Updates an entry, and the number of open engines of its steward with it.
    fn update(&mut self, key: Key<Entry>, update: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        let before = entry.open_engine_count();
        update(entry);
        let after = entry.open_engine_count();
        let steward = entry.steward.clone();
        self.update_open_engines(steward, before, after);
    }

    fn update_open_engines(&mut self, steward: Host, before: usize, after: usize) {
        let open = self.open_engines.entry(steward).or_default();
        *open = (*open + after).saturating_sub(before);
    }

    fn insert(&mut self, entry: Entry) {
        if let Some(key) = self.by_name.get(&entry.name).copied() {
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
        self.update_open_engines(entry.steward.clone(), 0, entry.open_engine_count());
        let key = self.engines.insert(entry);
        let ring = self.rings.entry(model).or_default();
        for point in ring_points(&name) {
            ring.insert(point, key);
        }
        self.by_name.insert(name, key);
    }

    fn remove(&mut self, key: Key<Entry>) {
        let Some(entry) = self.engines.remove(key) else {
            return;
        };
        self.update_open_engines(entry.steward.clone(), entry.open_engine_count(), 0);
        self.by_name.remove(&entry.name);
        if let Some(ring) = self.rings.get_mut(&entry.model) {
            for point in ring_points(&entry.name) {
                ring.remove(&point);
            }
        }
        for reference in &entry.loaded {
            self.remove_engine_with_adapter(key, reference);
        }
    }

    fn add_loaded(&mut self, key: Key<Entry>, reference: Reference) {
        let Some(entry) = self.engines.get_mut(key) else {
            return;
        };
        if entry.loaded.contains(&reference) {
            return;
        }
        entry.loaded.push(reference.clone());
        self.engines_by_adapter
            .entry(reference)
            .or_default()
            .push(key);
    }

    fn remove_loaded(&mut self, key: Key<Entry>, reference: &Reference) {
        if let Some(entry) = self.engines.get_mut(key) {
            entry.loaded.retain(|it| it != reference);
        }
        self.remove_engine_with_adapter(key, reference);
    }

    fn remove_engine_with_adapter(&mut self, key: Key<Entry>, reference: &Reference) {
        let Some(engines) = self.engines_by_adapter.get_mut(reference) else {
            return;
        };
        engines.retain(|it| *it != key);
        if engines.is_empty() {
            self.engines_by_adapter.remove(reference);
        }
    }

    /// Ranks the stewards to ask for a permit, best first: those of engines that have the adapter
    /// loaded and room in their batch, then those of the adapter's home engines, then those of full
    /// engines that have the adapter loaded. Each steward is listed once.
    pub fn rank(&self, request: &Request) -> Vec<Candidate> {
        let mut ranked = Vec::with_capacity(MAX_HOMES + 1);
        self.push_engines_with_adapter(request, Fullness::HasRoom, &mut ranked);
        self.push_homes(request, &mut ranked);
        self.push_engines_with_adapter(request, Fullness::Full, &mut ranked);
        ranked
    }

    fn push_engines_with_adapter(
        &self,
        request: &Request,
        fullness: Fullness,
        ranked: &mut Vec<Candidate>,
    ) {
        let engines = self.engines_by_adapter.get(&request.reference);
        let keys = engines.into_iter().flatten();
        let mut found: Vec<_> = keys
            .filter_map(|key| self.engines.get(*key))
            .filter(|it| it.state == State::Live && it.model == request.model)
            .filter(|it| Fullness::of(it.occupancy) == fullness)
            .collect();
        found.sort_by_key(|it| {
            (
                it.occupancy,
                it.domain != self.domain,
                hash(&(request.prefix, &it.name)),
            )
        });
        for entry in found {
            push_unless_listed(entry, ranked);
        }
    }

    fn push_homes(&self, request: &Request, ranked: &mut Vec<Candidate>) {
        let mut homes = self.homes(request);
        homes.sort_by_key(|it| (self.is_blocked(&it.steward), !self.is_open(&it.steward)));
        for entry in homes {
            push_unless_listed(entry, ranked);
        }
    }

    fn is_blocked(&self, steward: &Host) -> bool {
        self.backlogs.get(steward) == Some(&Backlog::Blocked)
    }

    fn is_open(&self, steward: &Host) -> bool {
        self.open_engines.get(steward).is_some_and(|it| *it > 0)
    }

    /// Returns the home engines of the adapter: the next engines after the adapter's point on the
    /// ring, one per steward. A steward without an open engine is included only as the first home.
    fn homes(&self, request: &Request) -> Vec<&Entry> {
        let mut homes: Vec<&Entry> = Vec::with_capacity(MAX_HOMES);
        let Some(ring) = self.rings.get(&request.model) else {
            return homes;
        };
        let start = hash(&request.reference);
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

/// Tells engines with room in their batch from full ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fullness {
    HasRoom,
    Full,
}

impl Fullness {
    fn of(occupancy: Occupancy) -> Self {
        if occupancy >= Occupancy::FULL {
            Self::Full
        } else {
            Self::HasRoom
        }
    }
}

fn push_unless_listed(entry: &Entry, ranked: &mut Vec<Candidate>) {
    if ranked.iter().any(|it| it.steward == entry.steward) {
        return;
    }
    ranked.push(Candidate {
        engine: entry.name.clone(),
        steward: entry.steward.clone(),
    });
}

fn ring_points(name: &Upstream) -> impl Iterator<Item = u64> {
    (0..RING_POINTS_PER_ENGINE).map(move |it| hash(&(name, it)))
}

/// Hashes a value. All processes of one release get the same hash, so that entry hosts agree on
/// homes.
fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
