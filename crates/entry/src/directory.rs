//! The directory of engines as hosts publish it to each other.
//!
//! A steward publishes one entry for each engine, with all that others need to know of it. A host
//! that receives an entry works out what changed and tells its own directory.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Mutex, RwLock},
};

use kernel::{
    name::{Domain, Host, Upstream},
    permit::{Ask, Holder},
    reference::Reference,
    service::State,
};
use serde::{Deserialize, Serialize};
use steward::route::{Backlog, Candidate, Change, Directory, Level};

/// Entries whose keys begin so tell of an engine.
const ENGINE_PREFIX: &str = "engine/";

/// The key of the entry that tells how long new loads wait.
const BACKLOG_KEY: &str = "backlog";

/// What a steward tells of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct View {
    /// Where the engine stands.
    pub domain: Domain,
    /// The base model.
    pub model: kernel::name::Model,
    /// The steward's fencing number.
    pub fence: u64,
    /// Whether it takes new work.
    pub state: State,
    /// How full its batch is.
    pub level: Level,
    /// The adapters that take new work.
    pub loaded: BTreeSet<Reference>,
}

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
    /// The entry's bytes. References that don't fit are left out; a host that doesn't know of a
    /// loaded adapter asks the steward of its home all the same.
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
            level: self.level.0,
            loaded: self.loaded.iter().map(ToString::to_string).collect(),
        }
    }

    /// Reads an entry; nothing if it can't be understood.
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
            level: Level(raw.level.min(Level::FULL.0)),
            loaded: loaded.collect::<Option<_>>()?,
        })
    }
}

/// The directory with what it was last told of each engine.
pub struct Shared {
    directory: RwLock<Directory>,
    views: Mutex<HashMap<Upstream, (Host, View)>>,
    /// The highest fencing number ever heard of, also of stewards that are gone.
    fences: Mutex<HashMap<Upstream, u64>>,
}

/// What an entry of another host means for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// The sender is steward of this engine with this fencing number.
    Steward {
        /// The engine.
        engine: Upstream,
        /// The fencing number.
        fence: u64,
    },
    /// Nothing beyond the directory.
    None,
}

impl Shared {
    /// Knows nothing yet.
    pub fn new(domain: Domain) -> Self {
        Self {
            directory: RwLock::new(Directory::new(domain)),
            views: Mutex::default(),
            fences: Mutex::default(),
        }
    }

    /// Ranks the stewards to ask.
    pub fn rank(&self, ask: &Ask) -> Vec<Candidate> {
        let directory = self.directory.read().expect("directory lock is poisoned");
        directory.rank(ask)
    }

    /// Every engine with its steward and what is known of it, in the order of names.
    pub fn views(&self) -> Vec<(Upstream, Host, View)> {
        let views = self.views.lock().expect("directory lock is poisoned");
        let all = views.iter();
        let mut all: Vec<_> = all
            .map(|(engine, (steward, view))| (engine.clone(), steward.clone(), view.clone()))
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// The highest fencing number that was ever heard of for an engine; 0 if there was none.
    pub fn highest_fence(&self, engine: &Upstream) -> u64 {
        let fences = self.fences.lock().expect("directory lock is poisoned");
        fences.get(engine).copied().unwrap_or_default()
    }

    /// Remembers a fencing number of an engine.
    pub fn note_fence(&self, engine: &Upstream, fence: u64) {
        let mut fences = self.fences.lock().expect("directory lock is poisoned");
        let highest = fences.entry(engine.clone()).or_default();
        *highest = fence.max(*highest);
    }

    /// The steward of an engine.
    pub fn steward(&self, engine: &Upstream) -> Option<Host> {
        let views = self.views.lock().expect("directory lock is poisoned");
        views.get(engine).map(|it| it.0.clone())
    }

    /// Takes over what the own steward decided to publish, and gives the entry for the others.
    pub fn publish(&self, me: &Host, engine: &Upstream, change: Change) -> Entry {
        let mut views = self.views.lock().expect("directory lock is poisoned");
        let value = match &change {
            Change::Gone => {
                views.remove(engine);
                None
            }
            Change::Joined {
                domain,
                model,
                fence,
                state,
            } => {
                let view = View {
                    domain: domain.clone(),
                    model: model.clone(),
                    fence: *fence,
                    state: *state,
                    level: Level::default(),
                    loaded: BTreeSet::new(),
                };
                let bytes = view.to_bytes();
                views.insert(engine.clone(), (me.clone(), view));
                Some(bytes)
            }
            other => match views.get_mut(engine) {
                Some((steward, view)) if steward == me => {
                    alter(view, other);
                    Some(view.to_bytes())
                }
                _ => None,
            },
        };
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.apply(me, engine, change);
        Entry {
            key: format!("{ENGINE_PREFIX}{engine}"),
            value,
        }
    }

    /// Takes over how long new loads wait at the own steward, and gives the entry for the others.
    pub fn publish_backlog(&self, me: &Host, backlog: Backlog) -> Entry {
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.set_backlog(me, backlog);
        Entry {
            key: BACKLOG_KEY.to_owned(),
            value: Some(vec![backlog_code(backlog)]),
        }
    }

    /// Takes over an entry of another host.
    pub fn receive(&self, owner: &Holder, key: &str, value: Option<&[u8]>) -> News {
        if key == BACKLOG_KEY {
            let code = value.and_then(|it| it.first().copied());
            let mut directory = self.directory.write().expect("directory lock is poisoned");
            directory.set_backlog(&owner.host, code.map(backlog).unwrap_or_default());
            return News::None;
        }
        let name = key.strip_prefix(ENGINE_PREFIX);
        let Some(engine) = name.and_then(|it| it.parse::<Upstream>().ok()) else {
            return News::None;
        };
        match value.and_then(View::from_bytes) {
            Some(view) => self.update(&owner.host, engine, view),
            None => self.remove(&owner.host, &engine),
        }
    }

    fn update(&self, steward: &Host, engine: Upstream, view: View) -> News {
        let fence = view.fence;
        self.note_fence(&engine, fence);
        let mut views = self.views.lock().expect("directory lock is poisoned");
        let before = views.get(&engine);
        if before.is_some_and(|(_, it)| it.fence > fence) {
            return News::None;
        }
        let changes = differences(before.filter(|it| it.0 == *steward).map(|it| &it.1), &view);
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        for change in changes {
            directory.apply(steward, &engine, change);
        }
        views.insert(engine.clone(), (steward.clone(), view));
        News::Steward { engine, fence }
    }

    fn remove(&self, steward: &Host, engine: &Upstream) -> News {
        let mut views = self.views.lock().expect("directory lock is poisoned");
        if views.get(engine).is_some_and(|it| it.0 == *steward) {
            views.remove(engine);
        }
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.apply(steward, engine, Change::Gone);
        News::None
    }

    /// Forgets the engines of a host that is down.
    pub fn forget(&self, steward: &Host) {
        let mut views = self.views.lock().expect("directory lock is poisoned");
        views.retain(|_, it| it.0 != *steward);
        let mut directory = self.directory.write().expect("directory lock is poisoned");
        directory.forget(steward);
    }
}

/// An entry to publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; nothing removes the entry.
    pub value: Option<Vec<u8>>,
}

fn alter(view: &mut View, change: &Change) {
    match change {
        Change::Loaded(reference) => {
            view.loaded.insert(reference.clone());
        }
        Change::Unloaded(reference) => {
            view.loaded.remove(reference);
        }
        Change::Level(level) => view.level = *level,
        Change::State(state) => view.state = *state,
        Change::Joined { .. } | Change::Gone => {}
    }
}

fn differences(before: Option<&View>, after: &View) -> Vec<Change> {
    let same_stewardship = before.filter(|it| it.fence == after.fence && it.model == after.model);
    let Some(before) = same_stewardship else {
        let joined = Change::Joined {
            domain: after.domain.clone(),
            model: after.model.clone(),
            fence: after.fence,
            state: after.state,
        };
        let loaded = after.loaded.iter().cloned().map(Change::Loaded);
        let level = Change::Level(after.level);
        return std::iter::once(joined)
            .chain(loaded)
            .chain([level])
            .collect();
    };
    let gone = before.loaded.difference(&after.loaded).cloned();
    let new = after.loaded.difference(&before.loaded).cloned();
    let mut changes: Vec<Change> = gone.map(Change::Unloaded).collect();
    changes.extend(new.map(Change::Loaded));
    if before.level != after.level {
        changes.push(Change::Level(after.level));
    }
    if before.state != after.state {
        changes.push(Change::State(after.state));
    }
    changes
}

fn backlog_code(backlog: Backlog) -> u8 {
    match backlog {
        Backlog::None => 0,
        Backlog::Short => 1,
        Backlog::Medium => 2,
        Backlog::Long => 3,
        Backlog::Blocked => 4,
    }
}

fn backlog(code: u8) -> Backlog {
    match code {
        0 => Backlog::None,
        1 => Backlog::Short,
        2 => Backlog::Medium,
        3 => Backlog::Long,
        _ => Backlog::Blocked,
    }
}
