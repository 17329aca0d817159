//! Tests of how an entry host ranks stewards.

use std::time::Duration;

use kernel::{
    name::{Host, Upstream},
    permit::{Holder, Request},
    request::Class,
    service::State,
};
use steward::route::{Backlog, Change, Directory, Occupancy};

fn request(reference: &str) -> Request {
    Request {
        request: "r".parse().unwrap(),
        holder: Holder {
            host: "h0".parse().unwrap(),
            incarnation: 1,
        },
        reference: reference.parse().unwrap(),
        model: "base".parse().unwrap(),
        tenant: "t".parse().unwrap(),
        class: Class::Standard,
        remaining: Duration::from_secs(1),
        prefix: 0,
        max_tokens: 1,
    }
}

fn host(index: usize) -> Host {
    format!("h{index}").parse().unwrap()
}

fn engine(index: usize) -> Upstream {
    format!("e{index}").parse().unwrap()
}

/// Creates a directory of engines with two adapters each, and stewards with three engines each.
fn directory(engines: usize) -> Directory {
    let mut directory = Directory::new("north".parse().unwrap());
    for index in 0..engines {
        join(&mut directory, index, index / 3, 1);
        for adapter in [index * 2, index * 2 + 1] {
            let loaded = Change::Loaded(format!("s/a{adapter}@1").parse().unwrap());
            directory.apply(&host(index / 3), &engine(index), loaded);
        }
    }
    directory
}

fn join(directory: &mut Directory, index: usize, steward: usize, fence: u64) {
    let change = Change::Added {
        domain: "north".parse().unwrap(),
        model: "base".parse().unwrap(),
        fence,
        state: State::Live,
    };
    directory.apply(&host(steward), &engine(index), change);
}

#[track_caller]
fn check(directory: &Directory, reference: &str, expected: &str) {
    let ranked = directory.rank(&request(reference));
    assert_eq!(ranked[0].engine.as_str(), expected, "{ranked:?}");
}

/// The engine that has the adapter loaded comes first. Of two such engines, the one with the lower
/// occupancy comes first.
#[test]
fn engines_with_the_adapter_rank_first_by_occupancy() {
    let mut directory = directory(9);
    check(&directory, "s/a6@1", "e3");
    directory.apply(
        &host(2),
        &engine(8),
        Change::Loaded("s/a6@1".parse().unwrap()),
    );
    directory.apply(&host(1), &engine(3), Change::Occupancy(Occupancy(4)));
    check(&directory, "s/a6@1", "e8");
    directory.apply(&host(2), &engine(8), Change::Occupancy(Occupancy::FULL));
    check(&directory, "s/a6@1", "e3");
}

/// A leaving engine is never ranked.
#[test]
fn leaving_engines_are_not_ranked() {
    let mut directory = directory(9);
    directory.apply(&host(1), &engine(3), Change::State(State::Leaving));
    for reference in (0..100).map(|it| format!("s/a{it}@1")) {
        let ranked = directory.rank(&request(&reference));
        assert!(ranked.iter().all(|it| it.engine != engine(3)), "{ranked:?}");
    }
}

/// All entry hosts agree on the homes of an adapter that is not loaded anywhere, independent of the
/// order in which they received the engines. A home where loads fail comes last.
#[test]
fn entry_hosts_agree_on_homes() {
    let mut forward = directory(9);
    let mut backward = Directory::new("south".parse().unwrap());
    for index in (0..9).rev() {
        join(&mut backward, index, index / 3, 1);
    }
    let ranked = forward.rank(&request("s/other@1"));
    assert_eq!(ranked, backward.rank(&request("s/other@1")));
    assert_eq!(ranked.len(), 3);
    forward.set_backlog(&ranked[0].steward, Backlog::Blocked);
    assert_eq!(forward.rank(&request("s/other@1"))[2], ranked[0]);
}

/// Changes from a replaced steward are ignored.
#[test]
fn changes_of_replaced_stewards_are_ignored() {
    let mut directory = directory(3);
    join(&mut directory, 0, 7, 2);
    directory.apply(&host(0), &engine(0), Change::Removed);
    join(&mut directory, 0, 0, 1);
    assert_eq!(directory.len(), 3);
    directory.apply(
        &host(7),
        &engine(0),
        Change::Loaded("s/b@1".parse().unwrap()),
    );
    assert_eq!(directory.rank(&request("s/b@1"))[0].steward, host(7));
}

/// The number of candidates for a request doesn't grow with the fleet, and each steward is listed
/// once.
#[test]
fn candidates_do_not_grow_with_the_fleet() {
    for engines in [18, 128, 512, 1_100] {
        let directory = directory(engines);
        for adapter in 0..100 {
            let ranked = directory.rank(&request(&format!("s/a{adapter}@1")));
            let mut stewards: Vec<_> = ranked.iter().map(|it| &it.steward).collect();
            stewards.sort();
            stewards.dedup();
            assert_eq!(stewards.len(), ranked.len(), "{ranked:?}");
            assert!(ranked.len() <= 4, "{engines} engines: {ranked:?}");
        }
    }
}
