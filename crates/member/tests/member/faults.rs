//! Cuts, false suspicions, leaving hosts and the platform's list.

use std::time::{Duration, Instant};

use kernel::service;
use member::{
    Condition, Input, Listing, Message, Output, Settings, State,
    message::Body,
    random::Generator,
    record::{Intent, Record, Standing},
};

use crate::net::{Fate, Net, address, deliver, me};

fn one_way(_: &mut Generator, from: usize, to: usize) -> Fate {
    if (from, to) == (1, 2) {
        Fate::Lose
    } else {
        Fate::Deliver
    }
}

fn both_ways(_: &mut Generator, from: usize, to: usize) -> Fate {
    if from.min(to) == 1 && from.max(to) == 2 {
        Fate::Lose
    } else {
        Fate::Deliver
    }
}

/// A host that hears nobody but is heard.
fn deaf(_: &mut Generator, _: usize, to: usize) -> Fate {
    if to == 2 { Fate::Lose } else { Fate::Deliver }
}

/// A host that nobody hears.
fn mute(_: &mut Generator, from: usize, _: usize) -> Fate {
    if from == 2 { Fate::Lose } else { Fate::Deliver }
}

fn halves(_: &mut Generator, from: usize, to: usize) -> Fate {
    if from % 2 == to % 2 {
        Fate::Deliver
    } else {
        Fate::Lose
    }
}

/// A cut between two hosts, in one direction or both, makes nobody suspect them, since others
/// reach them.
#[test]
fn a_cut_link_harms_nobody() {
    for seed in 0..10 {
        for rule in [one_way, both_ways] {
            let mut net = Net::settled(8, 2, seed);
            net.rule = rule;
            net.run(100);
            let quiet = net.nodes.iter().all(|it| it.changes.is_empty());
            assert!(quiet, "seed {seed}");
        }
    }
}

/// A host that nobody hears, or that hears nobody, for a second is suspected at most.
#[test]
fn a_short_cut_kills_nobody() {
    for seed in 0..10 {
        for rule in [deaf, mute] {
            let mut net = Net::settled(8, 2, seed);
            net.rule = rule;
            net.run(2);
            net.rule = deliver;
            net.run(20);
            assert_eq!(net.deaths(), 0, "seed {seed}");
            assert!(net.all_up(), "seed {seed}");
        }
    }
}

/// A host that was not running while somebody was suspected waits for the refutation, which may
/// stand in its socket, before it holds anybody dead.
#[test]
fn a_pause_is_excused() {
    const TICK: Duration = Duration::from_millis(50);
    let mut now = Instant::now();
    let settings = Settings::default();
    let suspicion = settings.suspicion_timeout;
    let mut state = State::new(me(0, 2, 1), settings, 1);
    let mut hear = |standing, refutation, now| {
        let from = address(2);
        let message = Message {
            sender: record(2, 0, Standing::Alive),
            revision: 0,
            records: vec![record(1, refutation, standing)],
            body: Body::News,
        };
        let mut outputs = state.handle(Input::Tick, now);
        outputs.extend(state.handle(Input::Datagram { from, message }, now));
        let changes = outputs.into_iter().filter_map(|it| match it {
            Output::Changed(change) if change.host() == &me(1, 2, 1).holder.host => Some(change),
            _ => None,
        });
        changes.map(|it| it.member().state).collect::<Vec<_>>()
    };
    assert_eq!(hear(Standing::Alive, 0, now), [Condition::Up]);
    now += TICK;
    assert_eq!(hear(Standing::Suspect, 0, now), [Condition::Suspect]);
    now += suspicion * 10;
    assert_eq!(hear(Standing::Alive, 1, now), [Condition::Up]);
}

/// A host that is cut off in one direction may be held dead, and is alive again afterwards.
#[test]
fn a_host_cut_off_one_way_comes_back() {
    for seed in 0..10 {
        for rule in [deaf, mute] {
            let mut net = Net::settled(8, 2, seed);
            net.rule = rule;
            net.run(40);
            net.rule = deliver;
            net.run_until(40, Net::all_up);
        }
    }
}

/// Both halves of a cut go on by themselves and find each other again.
#[test]
fn halves_join_again() {
    for seed in 0..10 {
        let mut net = Net::settled(12, 2, seed);
        // Without seeds, the halves have only each other's records to go by.
        for index in 0..12 {
            net.input(index, Input::Seeds(Vec::new()));
        }
        net.rule = halves;
        net.run(40);
        assert!(net.all_see_half_down());
        net.rule = deliver;
        net.run_until(60, Net::all_up);
    }
}

impl Net {
    fn all_see_half_down(&self) -> bool {
        (0..self.nodes.len()).all(|index| {
            let other = self.nodes[(index + 1) % self.nodes.len()].me.holder.clone();
            self.nodes[index].sees(&other) == Some(Condition::Down)
        })
    }
}

fn record(index: usize, refutation: u32, standing: Standing) -> Record {
    let me = me(index, 2, 1);
    Record {
        holder: me.holder,
        refutation,
        domain: me.domain,
        address: me.address,
        standing,
        intent: Intent::Staying,
    }
}

/// A false suspicion of a host is refuted by it before anybody holds it dead, also when the same
/// suspicion arrives again and again.
#[test]
fn a_false_suspicion_is_refuted() {
    for seed in 0..10 {
        let mut net = Net::settled(8, 2, seed);
        for _ in 0..20 {
            let message = Message {
                sender: record(1, 0, Standing::Alive),
                revision: 0,
                records: vec![record(2, 0, Standing::Suspect)],
                body: Body::News,
            };
            let from = address(1);
            net.input(4, Input::Datagram { from, message });
            net.run(1);
        }
        net.run(20);
        assert_eq!(net.deaths(), 0, "seed {seed}");
        assert!(net.all_up());
    }
}

/// A host that leaves is seen as leaving by all, even if it is suspected meanwhile.
#[test]
fn a_leaving_host_is_seen() {
    let mut net = Net::settled(8, 2, 1);
    net.input(3, Input::Leave);
    net.run_until(10, |it| it.all_see(3, Condition::Leaving));
    net.rule = |_, from, to| {
        if from == 3 || to == 3 {
            Fate::Lose
        } else {
            Fate::Deliver
        }
    };
    net.run(2);
    let seen = net.others(3).map(|it| it.sees(&me(3, 2, 1).holder));
    let usable = seen.filter(|it| matches!(it, Some(Condition::Up | Condition::Suspect)));
    assert_eq!(usable.count(), 0);
}

/// The platform's list can only take a host away from new work; a host that it lacks is used as
/// long as peers see it alive, and one that only it knows is greeted.
#[test]
fn the_host_list_lags() {
    let mut net = Net::settled(4, 2, 1);
    let listing = |index: usize, state| Listing {
        host: crate::net::name(index).parse().unwrap(),
        address: address(index),
        domain: me(index, 2, 1).domain,
        state,
    };
    net.input(0, Input::Listed(vec![listing(1, service::State::Leaving)]));
    let seen = |net: &Net, host| net.nodes[0].sees(&me(host, 2, 1).holder);
    assert_eq!(seen(&net, 1), Some(Condition::Leaving));
    assert_eq!(seen(&net, 2), Some(Condition::Up));
    assert_eq!(net.nodes[0].changes.len(), 1);
    net.input(0, Input::Listed(Vec::new()));
    assert_eq!(seen(&net, 1), Some(Condition::Up));
    let fifth = net.join(me(4, 2, 1));
    net.input(fifth, Input::Seeds(Vec::new()));
    net.run(20);
    assert_eq!(seen(&net, 4), None);
    net.input(0, Input::Listed(vec![listing(4, service::State::Live)]));
    net.run_until(20, Net::all_up);
}
