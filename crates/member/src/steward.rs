//! Choice of the steward of an engine.

use std::collections::BTreeMap;

use kernel::name::{Domain, Upstream};

use crate::{
    random,
    record::{Condition, Member},
};

/// The steward of an engine by rendezvous hashing over the eligible members of its failure domain:
/// those that are up or suspected. If the domain has no eligible member, those of all domains are
/// candidates.
///
/// A suspected member keeps its engines until it is down, so that a refuted suspicion moves no
/// engine. For many engines, a [`Map`] is faster.
pub fn of<'a>(
    engine: &Upstream,
    engine_domain: &Domain,
    members: &'a [Member],
) -> Option<&'a Member> {
    let candidates = members.iter().filter_map(Candidate::new);
    let local = candidates
        .clone()
        .filter(|it| it.member.domain == *engine_domain);
    highest_weight(engine, local).or_else(|| highest_weight(engine, candidates))
}

/// The eligible members, indexed by domain to find the stewards of many engines.
#[derive(Clone, Debug)]
pub struct Map<'a> {
    by_domain: BTreeMap<&'a Domain, Vec<Candidate<'a>>>,
    all: Vec<Candidate<'a>>,
}

impl<'a> Map<'a> {
    /// Creates a map of those of the given members that are eligible.
    pub fn new(members: &'a [Member]) -> Self {
        let all: Vec<Candidate<'a>> = members.iter().filter_map(Candidate::new).collect();
        let mut by_domain: BTreeMap<&Domain, Vec<Candidate<'a>>> = BTreeMap::new();
        for candidate in &all {
            let domain = by_domain.entry(&candidate.member.domain).or_default();
            domain.push(*candidate);
        }
        Self { by_domain, all }
    }

    /// The steward of an engine. Returns the same member as [`of`].
    pub fn of(&self, engine: &Upstream, engine_domain: &Domain) -> Option<&'a Member> {
        let local = self.by_domain.get(engine_domain).unwrap_or(&self.all);
        highest_weight(engine, local.iter().copied())
    }
}

/// A member that is eligible as a steward.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    id: u64,
    member: &'a Member,
}

impl<'a> Candidate<'a> {
    fn new(member: &'a Member) -> Option<Self> {
        let is_eligible = matches!(member.state, Condition::Up | Condition::Suspect);
        is_eligible.then(|| Self {
            id: random::host_id(&member.holder.host),
            member,
        })
    }
}

/// The candidate with the highest hash of the engine and itself.
fn highest_weight<'a>(
    engine: &Upstream,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a Member> {
    let engine_hash = random::hash(&[engine.as_str()]);
    let weight = |it: &Candidate<'_>| (random::combine(engine_hash, it.id), it.id);
    candidates.max_by_key(weight).map(|it| it.member)
}
