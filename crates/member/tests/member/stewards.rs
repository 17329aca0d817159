//! Choice of stewards.

use kernel::name::{Domain, Upstream};
use member::{Condition, Member, steward};

use crate::network::identity;

const ENGINES: usize = 1000;

fn members(hosts: usize, domains: usize) -> Vec<Member> {
    (0..hosts)
        .map(|index| {
            let identity = identity(index, domains, 1);
            Member {
                holder: identity.holder,
                domain: identity.domain,
                address: identity.address,
                state: Condition::Up,
            }
        })
        .collect()
}

fn engine(index: usize) -> Upstream {
    format!("engine-{index}").parse().unwrap()
}

fn domain(index: usize) -> Domain {
    format!("domain-{index}").parse().unwrap()
}

/// The steward of each engine.
fn stewards(members: &[Member]) -> Vec<Option<Member>> {
    let steward_of = |it| steward::of(&engine(it), &domain(it % 3), members).cloned();
    (0..ENGINES).map(steward_of).collect()
}

/// Stewards are in the engine's domain, have about equal numbers of engines, and do not depend on
/// the order of members.
#[test]
fn stewards_are_local_and_evenly_spread() {
    let mut members = members(12, 3);
    let before = stewards(&members);
    for (index, steward) in before.iter().enumerate() {
        let steward = steward.as_ref().unwrap();
        assert_eq!(steward.domain, domain(index % 3));
    }
    for member in &members {
        let share = before.iter().flatten().filter(|it| *it == member).count();
        assert!(
            (50..=120).contains(&share),
            "{member:?} has {share} of {ENGINES}"
        );
    }
    members.reverse();
    assert_eq!(stewards(&members), before);
}

/// When a host is down or leaving, only its own engines move to other stewards. A suspected host
/// keeps its engines.
#[test]
fn only_engines_of_the_changed_host_move() {
    let members = members(12, 3);
    let before = stewards(&members);
    for (state, loses_engines) in [
        (Condition::Suspect, false),
        (Condition::Leaving, true),
        (Condition::Down, true),
    ] {
        let mut changed = members.clone();
        changed[4].state = state;
        for (old, new) in before
            .iter()
            .flatten()
            .zip(stewards(&changed).iter().flatten())
        {
            let moves = loses_engines && old.holder == members[4].holder;
            assert_eq!(old.holder != new.holder, moves);
        }
    }
}

/// The engines of a domain without hosts get stewards in other domains. Without any host, there is
/// no steward.
#[test]
fn a_domain_without_hosts_gets_stewards_from_other_domains() {
    let mut members = members(12, 3);
    members.retain(|it| it.domain != domain(0));
    assert!(stewards(&members).iter().all(Option::is_some));
    assert!(steward::of(&engine(1), &domain(1), &[]).is_none());
}

/// A map returns the same stewards as the function, also with leaving and suspected members.
#[test]
fn a_map_selects_the_same_stewards() {
    let mut members = members(12, 3);
    members[0].state = Condition::Leaving;
    members[1].state = Condition::Suspect;
    members.retain(|it| it.domain != domain(2));
    let map = steward::Map::new(&members);
    for index in 0..ENGINES {
        let domain = domain(index % 3);
        let expected = steward::of(&engine(index), &domain, &members);
        assert_eq!(map.of(&engine(index), &domain), expected);
    }
}
