//! Which host is steward of an engine.

use kernel::name::{Domain, Upstream};

use crate::{
    random,
    record::{Condition, Member},
};

/// The steward of an engine by rendezvous hashing over the members of its failure domain that may
/// take work. Where the domain has none, all members are candidates.
///
/// A suspected member keeps its engines until it is down, so that a refuted suspicion moves none.
pub fn of<'a>(engine: &Upstream, engine_domain: &Domain, live: &'a [Member]) -> Option<&'a Member> {
    let near = live.iter().filter(|it| it.domain == *engine_domain);
    best(engine, near).or_else(|| best(engine, live.iter()))
}

fn best<'a>(engine: &Upstream, candidates: impl Iterator<Item = &'a Member>) -> Option<&'a Member> {
    candidates
        .filter(|it| matches!(it.state, Condition::Up | Condition::Suspect))
        .max_by_key(|it| weight(engine, it))
}

fn weight<'a>(engine: &Upstream, member: &'a Member) -> (u64, &'a str) {
    let host = member.holder.host.as_str();
    (random::hash(&[engine.as_str(), host]), host)
}
