//! Assigns new streams to the builds of a service, so that every host can compute which build began a stream, also one
//! that has just started.
//!
//! Expected workload: engines of a service are replaced by another build one after the other, while any number of hosts
//! are lost with all that they remember. A record of each stream would have to outlive the hosts, but the store takes
//! far fewer writes than there are streams. So the store holds one [`History`] for each service: how its streams are
//! divided between the builds, now and for as long as earlier streams can be resumed. It changes with the builds and
//! their shares of the engines only.
//!
//! A host begins a stream only at the build that the history assigns to it, as far as that host knows the history. The
//! build that began a stream is certain if all assignments of the history agree on it. A copy of the history proves this
//! only if it was read after the stream was to be resumed, since a build that an older copy doesn't name may have begun
//! the stream.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sha2::{Digest, Sha256};

use crate::{
    Time,
    listing::{Build, is_adapter},
    origin::STREAM_TTL,
};

/// Time for which a superseded assignment is kept. Streams that it began may be resumed for [`STREAM_TTL`], and hosts
/// with an older copy begin streams by it for a while.
pub const RETENTION: Duration = STREAM_TTL.saturating_mul(2);

/// Minimum age of an assignment before it is replaced because engines were added. Each change makes the origin of some
/// streams uncertain.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Minimum age of an assignment before it is replaced because the builds' shares of the engines have changed.
const MIN_SHIFT_AGE: Duration = Duration::from_secs(3);

/// Difference between the share of a build of the engines and of the streams from which the streams are divided anew.
const MAX_SHARE_ERROR: f64 = 0.1;

/// Maximum number of points of all builds together.
const MAX_POINTS: u32 = 4096;

/// Number of buckets of streams, one for each bit of [`Assignment::exceptions`].
const BUCKETS: u64 = 32;

/// Maximum number of witnesses of each build in an assignment.
const MAX_WITNESSES: usize = 8;

/// Number of engines, or of points, of each build.
pub type Counts = BTreeMap<Build, u32>;

/// Decides which build a stream is assigned to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream of an adapter or base model (`name`), if it is known. All streams of an adapter have
    /// the same key, so that the adapter is loaded at one build only. A base model is held by many engines, so its streams
    /// are divided by the id of the request that began them.
    pub fn new(name: Option<&str>, began_by: Option<&str>) -> Option<Self> {
        let adapter = name.filter(|it| is_adapter(it));
        let began_by = began_by.filter(|it| !it.is_empty());
        adapter.or(began_by).map(|it| Self(digest(it)))
    }

    fn bucket(self) -> u32 {
        1 << (self.0 % BUCKETS)
    }
}

/// First bits of a digest that is the same in all builds of this program.
fn digest(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    let (first, _) = digest.split_at(size_of::<u64>());
    first.iter().fold(0, |sum, it| sum << 8 | u64::from(*it))
}

/// Mixes two hashes into the weight of a point. The finalizer is that of `SplitMix64`.
fn weight(key: StreamKey, point: u64) -> u64 {
    let mut it = key.0 ^ point.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}

/// Engine that served a build when an assignment was made.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Witness {
    /// Id of the engine.
    pub engine: Arc<str>,
    /// Its incarnation then.
    pub incarnation: u64,
}

/// Witnesses of each build.
pub type Witnesses = BTreeMap<Build, Vec<Witness>>;

/// State of the witnesses of the current assignment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WitnessState {
    /// A witness of each build serves.
    Serving,
    /// There are none: the assignment was written by an earlier build of this program.
    Unnamed,
    /// A build has engines, but none of its witnesses serves any more.
    Gone,
}

/// Division of the streams between builds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Number of points of each build on the ring of the streams. Without any, streams began at any build.
    pub points: Counts,
    /// Buckets of which some streams began at another build than the assigned one.
    pub exceptions: u32,
    /// Some engines of each build. Empty if an earlier build of this program wrote the assignment.
    pub witnesses: Witnesses,
}

impl Assignment {
    /// Returns the build to which a stream is assigned: that with the point of the highest weight. When the number of
    /// points of a build changes, no stream moves between two other builds.
    fn build(&self, key: StreamKey) -> Option<&Build> {
        let mut builds = self.points.keys();
        if let (Some(only), None) = (builds.next(), builds.next()) {
            return Some(only);
        }
        let weight_of = |(build, points): (&Build, &u32)| {
            let first = digest(build);
            let weights = (0..u64::from(*points)).map(|it| weight(key, first.wrapping_add(it)));
            weights.max()
        };
        let best = self.points.iter().max_by_key(|it| weight_of(*it));
        best.map(|it| it.0)
    }

    fn is_exception(&self, key: Option<StreamKey>) -> bool {
        let buckets = key.map_or(u32::MAX, StreamKey::bucket);
        self.exceptions & buckets != 0
    }
}

/// Builds that may have begun a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Candidates {
    /// This build began it.
    One(Build),
    /// More than one build may have begun it.
    Several,
    /// Any build that the service had may have begun it; the history names at most this one.
    Any(Option<Build>),
}

/// Assignments of a service, as far as their streams may still be resumed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Number of the current assignment, counted from 1.
    number: u64,
    /// Oldest first. The last one is in force.
    assignments: Vec<Assignment>,
}

impl History {
    /// Restores a history with the number of its current assignment.
    pub fn new(number: u64, assignments: Vec<Assignment>) -> Self {
        Self {
            number,
            assignments,
        }
    }

    /// Returns the history of a service whose streams were first assigned by these engines, if there are any.
    pub fn presume(engines: &Counts) -> Option<Self> {
        let mut history = Self::default();
        history.assign(history.needed_points(engines, Duration::ZERO)?);
        Some(history)
    }

    /// Returns the number of the current assignment; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the assignments, the oldest first.
    pub fn assignments(&self) -> &[Assignment] {
        &self.assignments
    }

    fn current(&self) -> Option<&Assignment> {
        self.assignments.last()
    }

    /// Returns the number of the oldest assignment.
    fn first_number(&self) -> u64 {
        let kept = u64::try_from(self.assignments.len()).unwrap_or(u64::MAX);
        (self.number + 1).saturating_sub(kept)
    }

    /// Returns the build at which a new stream begins.
    pub fn build(&self, key: StreamKey) -> Option<&Build> {
        self.current()?.build(key)
    }

    /// Returns the builds to which the assignments give a stream.
    pub fn builds(&self, key: StreamKey) -> impl Iterator<Item = &Build> {
        self.assignments.iter().filter_map(move |it| it.build(key))
    }

    /// Returns the builds that may have begun a stream.
    pub fn candidates(&self, key: Option<StreamKey>) -> Candidates {
        let mut builds: BTreeSet<&Build> = BTreeSet::new();
        let mut is_open = self.assignments.is_empty();
        for it in &self.assignments {
            if it.is_exception(key) {
                return Candidates::Several;
            }
            match key {
                Some(key) => builds.extend(it.build(key)),
                None => builds.extend(it.points.keys()),
            }
            is_open |= it.points.is_empty();
        }
        if is_open {
            builds.extend(self.assignments.iter().flat_map(|it| it.points.keys()));
        }
        let mut builds = builds.into_iter();
        match (builds.next().cloned(), builds.next()) {
            (_, Some(_)) => Candidates::Several,
            (it, None) if is_open => Candidates::Any(it),
            (Some(it), None) => Candidates::One(it),
            (None, None) => Candidates::Any(None),
        }
    }

    /// Returns whether the assignments name another build.
    pub fn names_other_than(&self, build: &Build) -> bool {
        let mut builds = self.assignments.iter().flat_map(|it| it.points.keys());
        builds.any(|it| it != build)
    }

    /// Returns the witnesses of a build in each assignment that names any. If one of each list still serves, no stream of the
    /// build has begun at another one for lack of a reachable engine.
    pub fn witnesses(&self, build: &Build) -> Vec<&[Witness]> {
        let named = self
            .assignments
            .iter()
            .filter_map(|it| it.witnesses.get(build));
        named.map(Vec::as_slice).collect()
    }

    /// Returns the state of the witnesses of the current assignment, by the engines of each build that accept work.
    pub fn witness_state(
        &self,
        engines: &Counts,
        serves: impl Fn(&Build, &Witness) -> bool,
    ) -> WitnessState {
        let Some(current) = self.current().filter(|it| !it.points.is_empty()) else {
            return WitnessState::Serving;
        };
        if current.witnesses.is_empty() {
            return WitnessState::Unnamed;
        }
        let is_gone = |(build, witnesses): (&Build, &Vec<Witness>)| {
            engines.contains_key(build) && !witnesses.iter().any(|it| serves(build, it))
        };
        if current.witnesses.iter().any(is_gone) {
            WitnessState::Gone
        } else {
            WitnessState::Serving
        }
    }

    /// Names the witnesses of the current assignment: [`MAX_WITNESSES`] of each build at most, the first ones of each list.
    pub fn name_witnesses(&mut self, mut witnesses: Witnesses) {
        for it in witnesses.values_mut() {
            it.truncate(MAX_WITNESSES);
        }
        if let Some(it) = self.assignments.last_mut() {
            witnesses.retain(|build, _| it.points.contains_key(build));
            it.witnesses = witnesses;
        }
    }

    /// Adds an assignment like the current one, for which other witnesses can be named.
    pub fn repeat(&mut self) {
        if let Some(it) = self.current() {
            self.assign(it.points.clone());
        }
    }

    /// Returns the points for a new assignment if one is needed, by the engines of each build that accept work. `age` is
    /// the age of the current assignment.
    pub fn needed_points(&self, engines: &Counts, age: Duration) -> Option<Counts> {
        if engines.is_empty() {
            return None;
        }
        let points = scale(engines);
        let Some(current) = self.current().filter(|it| !it.points.is_empty()) else {
            return Some(points);
        };
        let is_gone = |it: &Build| !engines.contains_key(it);
        let is_new = |it: &Build| !current.points.contains_key(it);
        let share = |counts: &Counts, build: &Build| {
            let total: u32 = counts.values().sum();
            f64::from(counts.get(build).copied().unwrap_or(0)) / f64::from(total.max(1))
        };
        let is_off =
            |it: &Build| (share(engines, it) - share(&current.points, it)).abs() > MAX_SHARE_ERROR;
        let needs_change = current.points.keys().any(is_gone)
            || age >= MIN_AGE && engines.keys().any(is_new)
            || age >= MIN_SHIFT_AGE && engines.keys().any(is_off)
            || age >= RETENTION && current.exceptions != 0;
        needs_change.then_some(points)
    }

    /// Adds an assignment, which is in force from now on.
    pub fn assign(&mut self, points: Counts) {
        self.number += 1;
        self.assignments.push(Assignment {
            points,
            ..Assignment::default()
        });
    }

    /// Records that streams have begun at any build, before the current assignment.
    pub fn record_unassigned(&mut self) {
        let at = self.assignments.len().saturating_sub(1);
        self.assignments.insert(at, Assignment::default());
        self.number += 1;
    }

    /// Returns whether a stream may begin at another build than its own.
    pub fn allows_exception(&self, key: StreamKey) -> bool {
        self.current().is_none_or(|it| it.is_exception(Some(key)))
    }

    /// Records that a stream is to begin at another build than its own.
    pub fn record_exception(&mut self, key: StreamKey) {
        if let Some(it) = self.assignments.last_mut() {
            it.exceptions |= key.bucket();
        }
    }

    /// Adds what another copy of the history names before its assignments, as the store may have lost it.
    pub fn merge(&mut self, known: &Self) {
        let lost = known.assignments.iter().filter(|it| {
            let is_kept = |other: &&Assignment| {
                other.points == it.points
                    && other.witnesses == it.witnesses
                    && it.exceptions & !other.exceptions == 0
            };
            !self.assignments.iter().any(|other| is_kept(&other))
        });
        let lost: Vec<Assignment> = lost.cloned().collect();
        self.assignments.splice(0..0, lost);
        self.number = self.number.max(known.number) + 1;
    }
}

/// Scales the numbers of engines to points. Each build has one at least.
fn scale(engines: &Counts) -> Counts {
    let total: u32 = engines.values().sum();
    let scaled = |it: u32| {
        if total <= MAX_POINTS {
            return it;
        }
        let points = u64::from(it) * u64::from(MAX_POINTS) / u64::from(total);
        u32::try_from(points).unwrap_or(MAX_POINTS).max(1)
    };
    (engines.iter())
        .map(|(build, it)| (build.clone(), scaled(*it)))
        .collect()
}

/// Time since which this host knows that assignments are superseded. Clocks of hosts differ, so each host measures it
/// for itself, and begins again when it is restarted.
#[derive(Clone, Debug, Default)]
pub struct Superseded(BTreeMap<u64, Time>);

impl Superseded {
    /// Records the history as known to this host.
    pub fn observe(&mut self, history: &History, now: Time) {
        let first = history.first_number();
        self.0.retain(|it, _| (first..history.number).contains(it));
        for it in first..history.number {
            self.0.entry(it).or_insert(now);
        }
    }

    /// Returns whether streams that begin without regard to their assignment now are covered for as long as they can be
    /// resumed.
    pub fn covers_unassigned(&self, history: &History, now: Time) -> bool {
        let numbered = (history.first_number()..).zip(&history.assignments);
        let newest = numbered.filter(|it| it.1.points.is_empty()).last();
        let since = newest.and_then(|it| self.0.get(&it.0));
        since.is_some_and(|it| now + STREAM_TTL < *it + RETENTION)
    }

    /// Removes the assignments of which no stream can be resumed any more. Returns whether there were any.
    pub fn expire(&self, history: &mut History, now: Time) -> bool {
        let mut expired = 0;
        while self
            .0
            .values()
            .nth(expired)
            .is_some_and(|it| *it + RETENTION <= now)
        {
            expired += 1;
        }
        history.assignments.drain(..expired);
        expired > 0
    }
}
