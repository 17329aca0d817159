//! The choice of stewards.

use kernel::name::{Domain, Upstream};
use member::{Condition, Member, steward};

use crate::net::me;

const ENGINES: usize = 1000;

fn members(hosts: usize, domains: usize) -> Vec<Member> {
    (0..hosts)
        .map(|index| {
            let me = me(index, domains, 1);
            Member {
                holder: me.holder,
                domain: me.domain,
                address: me.address,
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

fn stewards(members: &[Member]) -> Vec<Option<Member>> {
    let of = |it| steward::of(&engine(it), &domain(it % 3), members).cloned();
    (0..ENGINES).map(of).collect()
}

/// Stewards stand in the engine's domain, share the engines about evenly, and do not depend on
/// the order of members.
#[test]
fn stewards_are_near_and_even() {
    let mut live = members(12, 3);
    let before = stewards(&live);
    for (index, steward) in before.iter().enumerate() {
        let steward = steward.as_ref().unwrap();
        assert_eq!(steward.domain, domain(index % 3));
    }
    for member in &live {
        let share = before.iter().flatten().filter(|it| *it == member).count();
        assert!(
            (50..=120).contains(&share),
            "{member:?} has {share} of {ENGINES}"
        );
    }
    live.reverse();
    assert_eq!(stewards(&live), before);
}

/// When a host goes, only its own engines move; when it comes back, only those move back. A
/// suspected host keeps its engines; a leaving one loses them.
#[test]
fn little_moves() {
    let live = members(12, 3);
    let before = stewards(&live);
    for (state, moves) in [
        (Condition::Suspect, false),
        (Condition::Leaving, true),
        (Condition::Down, true),
    ] {
        let mut changed = live.clone();
        changed[4].state = state;
        for (old, new) in before
            .iter()
            .flatten()
            .zip(stewards(&changed).iter().flatten())
        {
            let lost = moves && old.holder == live[4].holder;
            assert_eq!(old.holder != new.holder, lost);
        }
    }
}

/// A domain without hosts is served by hosts of other domains.
#[test]
fn an_empty_domain_is_served() {
    let mut live = members(12, 3);
    live.retain(|it| it.domain != domain(0));
    assert!(stewards(&live).iter().all(Option::is_some));
    assert!(steward::of(&engine(1), &domain(1), &[]).is_none());
}

/// A map gives the same stewards, whatever state the members are in.
#[test]
fn a_map_agrees() {
    let mut live = members(12, 3);
    live[0].state = Condition::Leaving;
    live[1].state = Condition::Suspect;
    live.retain(|it| it.domain != domain(2));
    let map = steward::Map::new(&live);
    for index in 0..ENGINES {
        let domain = domain(index % 3);
        let expected = steward::of(&engine(index), &domain, &live);
        assert_eq!(map.of(&engine(index), &domain), expected);
    }
}
