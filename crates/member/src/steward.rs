//! Which host is steward of an engine.

use std::collections::BTreeMap;

use kernel::name::{Domain, Upstream};

use crate::{
    random,
    record::{Condition, Member},
};

/// The steward of an engine by rendezvous hashing over the members of its failure domain that may
/// take work. Where the domain has none, all members are candidates.
///
/// A suspected member keeps its engines until it is down, so that a refuted suspicion moves none.
/// For many engines, a [`Map`] is faster.
pub fn of<'a>(engine: &Upstream, engine_domain: &Domain, live: &'a [Member]) -> Option<&'a Member> {
    let candidates = live.iter().filter_map(Candidate::new);
    let near = candidates
        .clone()
        .filter(|it| it.member.domain == *engine_domain);
    best(engine, near).or_else(|| best(engine, candidates))
}

/// The members that may take work, made ready to find the stewards of many engines.
#[derive(Clone, Debug)]
pub struct Map<'a> {
    by_domain: BTreeMap<&'a Domain, Vec<Candidate<'a>>>,
    all: Vec<Candidate<'a>>,
}

impl<'a> Map<'a> {
    /// The map of some members.
    pub fn new(live: &'a [Member]) -> Self {
        let all: Vec<Candidate<'a>> = live.iter().filter_map(Candidate::new).collect();
        let mut by_domain: BTreeMap<&Domain, Vec<Candidate<'a>>> = BTreeMap::new();
        for candidate in &all {
            let domain = by_domain.entry(&candidate.member.domain).or_default();
            domain.push(*candidate);
        }
        Self { by_domain, all }
    }

    /// The same steward as [`of`] gives.
    pub fn of(&self, engine: &Upstream, engine_domain: &Domain) -> Option<&'a Member> {
        let near = self.by_domain.get(engine_domain).unwrap_or(&self.all);
        best(engine, near.iter().copied())
    }
}

/// A member that may take work.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    id: u64,
    member: &'a Member,
}

impl<'a> Candidate<'a> {
    fn new(member: &'a Member) -> Option<Self> {
        let usable = matches!(member.state, Condition::Up | Condition::Suspect);
        usable.then(|| Self {
            id: random::id(&member.holder.host),
            member,
        })
    }
}

fn best<'a>(
    engine: &Upstream,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a Member> {
    let engine = random::hash(&[engine.as_str()]);
    let weight = |it: &Candidate<'_>| (random::combine(engine, it.id), it.id);
    candidates.max_by_key(weight).map(|it| it.member)
}
