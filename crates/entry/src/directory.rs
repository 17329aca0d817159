//! The directory of engines, replicated between hosts.
//!
//! A steward publishes one entry per engine with everything that other hosts need for routing. A
//! host that receives an entry applies the differences to its own directory.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Mutex, RwLock},
};

use kernel::{
    name::{Domain, Host, Upstream},
    permit::{Holder, Request},
    reference::Reference,
    service::State,
};
use serde::{Deserialize, Serialize};
use steward::route::{Backlog, Candidate, Change, Directory, Occupancy};

/// Prefix of the keys of engine entries.
const ENGINE_PREFIX: &str = "engine/";

/// The key of the entry with the backlog of a steward's loads.
const BACKLOG_KEY: &str = "backlog";

/// The state of an engine as published by its steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// The failure domain of the engine.
    pub domain: Domain,
    /// The base model of the engine.
    pub model: kernel::name::Model,
    /// The steward's fencing token.
    pub fence: u64,
    /// Tells whether the engine accepts new requests.
    pub state: State,
    /// The utilization of the engine's batch.
    pub occupancy: Occupancy,
    /// The loaded adapters that accept new requests.
    pub loaded: BTreeSet<Reference>,
}

/// The JSON form of a [`View`]. `leaving` is 0 or 1, and `level` is the occupancy.
#[derive(Deserialize, Serialize)]
struct Raw {
    domain: String,
    model: String,
    fence: u64,
    leaving: u8,
    level: u8,
    loaded: Vec<String>,
}

impl View {
    /// Serializes the view as an entry value. References that exceed the size limit are omitted: a
    /// host that does not know about a loaded adapter still sends requests to the stewards of the
    /// adapter's home engines, which the hash ring determines.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut raw = self.raw();
        loop {
            let bytes = serde_json::to_vec(&raw).expect("a view is valid JSON");
            if bytes.len() <= member::entry::MAX_VALUE_BYTES || raw.loaded.pop().is_none() {
                return bytes;
            }
        }
    }

    fn raw(&self) -> Raw {
        Raw {
            domain: self.domain.to_string(),
            model: self.model.to_string(),
            fence: self.fence,
            leaving: u8::from(self.state == State::Leaving),
            level: self.occupancy.0,
            loaded: self.loaded.iter().map(ToString::to_string).collect(),
        }
    }

    /// Parses an entry value. Returns `None` if the value is invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let raw: Raw = serde_json::from_slice(bytes).ok()?;
        let loaded = raw.loaded.iter().map(|it| it.parse().ok());
        Some(Self {
            domain: raw.domain.parse().ok()?,
            model: raw.model.parse().ok()?,
            fence: raw.fence,
            state: match raw.leaving {
                0 => State::Live,
                _ => State::Leaving,
            },
            occupancy: Occupancy(raw.level.min(Occupancy::FULL.0)),
            loaded: loaded.collect::<Option<_>>()?,
        })
    }
}

/// The directory, with the view of each engine that each host published.
pub struct SharedDirectory {
    directory: RwLock<Directory>,
    views: Mutex<Views>,
    /// The highest fencing token known for each engine, including those of earlier stewards.
    highest_fences: Mutex<HashMap<Upstream, u64>>,
}

/// The published views of the engines. Two hosts may both consider themselves steward of an engine.
/// The view with the highest fencing token is effective. When its host withdraws it, the next
/// highest becomes effective again.
#[derive(Default)]
struct Views {
    published: HashMap<Upstream, BTreeMap<Host, View>>,
    effective: HashMap<Upstream, (Host, View)>,
}

impl Views {
    /// Replaces or removes the view that `steward` published of an engine. Returns the resulting
    /// changes for the directory, each with the host that it belongs to.
    fn update(
        &mut self,
        steward: &Host,
        engine: &Upstream,
        view: Option<View>,
    ) -> Vec<(Host, Change)> {
        let published = self.published.entry(engine.clone()).or_default();
        match view {
            Some(view) => {
                published.insert(steward.clone(), view);
            }
            None => {
                published.remove(steward);
            }
        }
        let best = published.iter().max_by_key(|(_, it)| it.fence);
        let best = best.map(|(host, view)| (host.clone(), view.clone()));
        if published.is_empty() {
            self.published.remove(engine);
        }
        self.set_effective(engine, best)
    }

    fn set_effective(
        &mut self,
        engine: &Upstream,
        best: Option<(Host, View)>,
    ) -> Vec<(Host, Change)> {
        let before = match &best {
            Some(best) => self.effective.insert(engine.clone(), best.clone()),
            None => self.effective.remove(engine),
        };
        match (before, best) {
            (None, None) => Vec::new(),
            (Some((host, _)), None) => vec![(host, Change::Removed)],
            (before, Some((host, view))) => {
                let mut changes = Vec::new();
                let previous = before.as_ref().filter(|it| it.0 == host).map(|it| &it.1);
                // The directory knows only the current steward, so the previous one is removed
                // first.
                if let Some((other, _)) = before.as_ref().filter(|it| it.0 != host) {
                    changes.push((other.clone(), Change::Removed));
                }
                let new = diff(previous, &view).into_iter();
                changes.extend(new.map(|it| (host.clone(), it)));
                changes
            }
        }
    }
}

/// The stewardship that a received entry announces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Announcement {
    /// The sender is steward of an engine.
    Steward {
        /// The engine.
        engine: Upstream,
        /// The fencing token.
        fence: u64,
    },
    /// The entry announces no stewardship.
    None,
}

impl SharedDirectory {
    /// Creates an empty directory for a host in `domain`.
    pub fn new(domain: Domain) -> Self {
        Self {
            directory: RwLock::new(Directory::new(domain)),
            views: Mutex::default(),
            highest_fences: Mutex::default(),
        }
    }

    /// Ranks the stewards for a permit request.
    pub fn rank(&self, request: &Request) -> Vec<Candidate> {
        let directory = self.directory.read().expect("directory lock is poisoned");
        directory.rank(request)
    }

    /// Returns the effective view of every engine with its steward, ordered by engine name.
    pub fn views(&self) -> Vec<(Upstream, Host, View)> {
        let views = self.views.lock().expect("directory lock is poisoned");
        let all = views.effective.iter();
        let mut all: Vec<_> = all
            .map(|(engine, (steward, view))| (engine.clone(), steward.clone(), view.clone()))
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Returns the highest known fencing token of an engine, or 0 if none is known.
    pub fn highest_fence(&self, engine: &Upstream) -> u64 {
        let highest_fences = self
            .highest_fences
            .lock()
            .expect("directory lock is poisoned");
        highest_fences.get(engine).copied().unwrap_or_default()
    }

    /// Records a fencing token of an engine.
    pub fn record_fence(&self, engine: &Upstream, fence: u64) {
        let mut highest_fences = self
            .highest_fences
            .lock()
            .expect("directory lock is poisoned");
        let highest = highest_fences.entry(engine.clone()).or_default();
        *highest = fence.max(*highest);
    }

    /// Returns the known steward of an engine.
    pub fn steward(&self, engine: &Upstream) -> Option<Host> {
        let views = self.views.lock().expect("directory lock is poisoned");
        views.effective.get(engine).map(|it| it.0.clone())
    }

    /// Applies a change made by this host's steward. Returns the entry to publish to the other
    /// hosts.
    pub fn publish(&self, me: &Host, engine: &Upstream, change: Change) -> Entry {
        let mut views = self.views.lock().expect("directory lock is poisoned");
        let published = views.published.get(engine).and_then(|it| it.get(me));
        let view = apply_change(published, change);
        let value = view.as_ref().map(View::to_bytes);
        let changes = views.update(me, engine, view);
        self.apply(engine, changes);
        Entry {
            key: format!("{ENGINE_PREFIX}{engine}"),
            value,
        }
    }

    fn apply(&self, engine: &Upstream, changes: Vec<(Host, Change)>) {
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        for (steward, change) in changes {
            directory.apply(&steward, engine, change);
        }
    }

    /// Sets the load backlog of this host's steward. Returns the entry to publish to the other
    /// hosts.
    pub fn publish_backlog(&self, me: &Host, backlog: Backlog) -> Entry {
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.set_backlog(me, backlog);
        Entry {
            key: BACKLOG_KEY.to_owned(),
            value: Some(vec![encode_backlog(backlog)]),
        }
    }

    /// Applies an entry that another host published.
    pub fn receive(&self, owner: &Holder, key: &str, value: Option<&[u8]>) -> Announcement {
        if key == BACKLOG_KEY {
            let code = value.and_then(|it| it.first().copied());
            let mut directory = self.directory.write().expect("directory lock is poisoned");
            directory.set_backlog(&owner.host, code.map(decode_backlog).unwrap_or_default());
            return Announcement::None;
        }
        let name = key.strip_prefix(ENGINE_PREFIX);
        let Some(engine) = name.and_then(|it| it.parse::<Upstream>().ok()) else {
            return Announcement::None;
        };
        let view = value.and_then(View::from_bytes);
        let fence = view.as_ref().map(|it| it.fence);
        let mut views = self.views.lock().expect("directory lock is poisoned");
        let changes = views.update(&owner.host, &engine, view);
        self.apply(&engine, changes);
        drop(views);
        let Some(fence) = fence else {
            return Announcement::None;
        };
        self.record_fence(&engine, fence);
        Announcement::Steward { engine, fence }
    }

    /// Removes everything that a host published.
    pub fn remove_host(&self, steward: &Host) {
        let mut views = self.views.lock().expect("directory lock is poisoned");
        let published = views.published.iter();
        let engines: Vec<Upstream> = published
            .filter(|(_, it)| it.contains_key(steward))
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in engines {
            let changes = views.update(steward, &engine, None);
            self.apply(&engine, changes);
        }
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.remove_steward(steward);
    }
}

/// A key-value entry to publish to the other hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key of the entry.
    pub key: String,
    /// The value; `None` removes the entry.
    pub value: Option<Vec<u8>>,
}

/// Applies a steward's change to its view of an engine.
fn apply_change(view: Option<&View>, change: Change) -> Option<View> {
    let mut view = view.cloned();
    match change {
        Change::Removed => return None,
        Change::Added {
            domain,
            model,
            fence,
            state,
        } => {
            return Some(View {
                domain,
                model,
                fence,
                state,
                occupancy: Occupancy::default(),
                loaded: BTreeSet::new(),
            });
        }
        Change::Loaded(reference) => {
            view.as_mut()?.loaded.insert(reference);
        }
        Change::Unloaded(reference) => {
            view.as_mut()?.loaded.remove(&reference);
        }
        Change::Occupancy(occupancy) => view.as_mut()?.occupancy = occupancy,
        Change::State(state) => view.as_mut()?.state = state,
    }
    view
}

fn diff(before: Option<&View>, after: &View) -> Vec<Change> {
    let same_stewardship = before.filter(|it| it.fence == after.fence && it.model == after.model);
    let Some(before) = same_stewardship else {
        let added = Change::Added {
            domain: after.domain.clone(),
            model: after.model.clone(),
            fence: after.fence,
            state: after.state,
        };
        let loaded = after.loaded.iter().cloned().map(Change::Loaded);
        let occupancy = Change::Occupancy(after.occupancy);
        return std::iter::once(added)
            .chain(loaded)
            .chain([occupancy])
            .collect();
    };
    let removed = before.loaded.difference(&after.loaded).cloned();
    let new = after.loaded.difference(&before.loaded).cloned();
    let mut changes: Vec<Change> = removed.map(Change::Unloaded).collect();
    changes.extend(new.map(Change::Loaded));
    if before.occupancy != after.occupancy {
        changes.push(Change::Occupancy(after.occupancy));
    }
    if before.state != after.state {
        changes.push(Change::State(after.state));
    }
    changes
}

fn encode_backlog(backlog: Backlog) -> u8 {
    match backlog {
        Backlog::None => 0,
        Backlog::Short => 1,
        Backlog::Medium => 2,
        Backlog::Long => 3,
        Backlog::Blocked => 4,
    }
}

fn decode_backlog(code: u8) -> Backlog {
    match code {
        0 => Backlog::None,
        1 => Backlog::Short,
        2 => Backlog::Medium,
        3 => Backlog::Long,
        _ => Backlog::Blocked,
    }
}
