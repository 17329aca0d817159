//! Network faults, false suspicions, leaving hosts and the platform's host list.

use std::time::{Duration, Instant};

use kernel::service;
use member::{
    Condition, Input, Listing, Message, Output, Settings, State,
    message::Body,
    random::Generator,
    record::{Intent, Record, Standing},
};

use crate::network::{Delivery, Network, address, deliver, identity};

/// Drops all messages from host 1 to host 2.
fn drop_one_way(_: &mut Generator, from: usize, to: usize) -> Delivery {
    if (from, to) == (1, 2) {
        Delivery::Drop
    } else {
        Delivery::Deliver
    }
}

/// Drops all messages between hosts 1 and 2.
fn drop_both_ways(_: &mut Generator, from: usize, to: usize) -> Delivery {
    if from.min(to) == 1 && from.max(to) == 2 {
        Delivery::Drop
    } else {
        Delivery::Deliver
    }
}

/// Drops all messages to host 2.
fn drop_inbound(_: &mut Generator, _: usize, to: usize) -> Delivery {
    if to == 2 {
        Delivery::Drop
    } else {
        Delivery::Deliver
    }
}

/// Drops all messages from host 2.
fn drop_outbound(_: &mut Generator, from: usize, _: usize) -> Delivery {
    if from == 2 {
        Delivery::Drop
    } else {
        Delivery::Deliver
    }
}

/// Separates hosts with even indices from those with odd indices.
fn partition(_: &mut Generator, from: usize, to: usize) -> Delivery {
    if from % 2 == to % 2 {
        Delivery::Deliver
    } else {
        Delivery::Drop
    }
}

/// A failed link between two hosts, in one direction or both, does not make either of them
/// suspected, since other hosts still reach both.
#[test]
fn a_failed_link_raises_no_suspicion() {
    for seed in 0..10 {
        for delivery_rule in [drop_one_way, drop_both_ways] {
            let mut net = Network::converged(8, 2, seed);
            net.delivery_rule = delivery_rule;
            net.run(100);
            let has_no_changes = net.nodes.iter().all(|it| it.changes.is_empty());
            assert!(has_no_changes, "seed {seed}");
        }
    }
}

/// A host that can't send, or can't receive, for one second is not declared down. It may be
/// suspected.
#[test]
fn a_one_second_outage_marks_no_host_down() {
    for seed in 0..10 {
        for delivery_rule in [drop_inbound, drop_outbound] {
            let mut net = Network::converged(8, 2, seed);
            net.delivery_rule = delivery_rule;
            net.run(2);
            net.delivery_rule = deliver;
            net.run(20);
            assert_eq!(net.down_changes(), 0, "seed {seed}");
            assert!(net.all_agree(), "seed {seed}");
        }
    }
}

/// A host that was paused while another one was suspected does not declare that one down on
/// resuming, since the refutation may still be in its socket buffer.
#[test]
fn a_pause_extends_suspicion_deadlines() {
    const TICK: Duration = Duration::from_millis(50);
    let mut now = Instant::now();
    let settings = Settings::default();
    let suspicion = settings.suspicion_timeout;
    let mut state = State::new(identity(0, 2, 1), settings, 1);
    let mut receive = |standing, refutation, now| {
        let from = address(2);
        let message = Message {
            sender: record_of(2, 0, Standing::Alive),
            revision: 0,
            records: vec![record_of(1, refutation, standing)],
            body: Body::News,
        };
        let mut outputs = state.handle(Input::Tick, now);
        outputs.extend(state.handle(Input::Datagram { from, message }, now));
        let changes = outputs.into_iter().filter_map(|it| match it {
            Output::Changed(change) if change.host() == &identity(1, 2, 1).holder.host => {
                Some(change)
            }
            _ => None,
        });
        changes.map(|it| it.member().state).collect::<Vec<_>>()
    };
    assert_eq!(receive(Standing::Alive, 0, now), [Condition::Up]);
    now += TICK;
    assert_eq!(receive(Standing::Suspect, 0, now), [Condition::Suspect]);
    now += suspicion * 10;
    assert_eq!(receive(Standing::Alive, 1, now), [Condition::Up]);
}

/// A host that is cut off in one direction may be declared down. It is up again once the fault
/// ends.
#[test]
fn a_host_cut_off_in_one_direction_recovers() {
    for seed in 0..10 {
        for delivery_rule in [drop_inbound, drop_outbound] {
            let mut net = Network::converged(8, 2, seed);
            net.delivery_rule = delivery_rule;
            net.run(40);
            net.delivery_rule = deliver;
            net.run_until(40, Network::all_agree);
        }
    }
}

/// Both halves of a partitioned network declare each other down and merge again once the partition
/// ends.
#[test]
fn partitions_merge_again() {
    for seed in 0..10 {
        let mut net = Network::converged(12, 2, seed);
        // Without seeds, the halves can reach each other only by the records that they have kept.
        for index in 0..12 {
            net.input(index, Input::Seeds(Vec::new()));
        }
        net.delivery_rule = partition;
        net.run(40);
        assert!(net.each_reports_other_half_down());
        net.delivery_rule = deliver;
        net.run_until(60, Network::all_agree);
    }
}

impl Network {
    /// Returns whether every host reports the next host, which is in the other half, as down.
    fn each_reports_other_half_down(&self) -> bool {
        (0..self.nodes.len()).all(|index| {
            let other = self.nodes[(index + 1) % self.nodes.len()]
                .identity
                .holder
                .clone();
            self.nodes[index].state_of(&other) == Some(Condition::Down)
        })
    }
}

fn record_of(index: usize, refutation: u32, standing: Standing) -> Record {
    let identity = identity(index, 2, 1);
    Record {
        holder: identity.holder,
        refutation,
        domain: identity.domain,
        address: identity.address,
        standing,
        intent: Intent::Staying,
    }
}

/// A falsely suspected host refutes the suspicion before any host declares it down, even if the
/// same suspicion arrives repeatedly.
#[test]
fn a_false_suspicion_is_refuted() {
    for seed in 0..10 {
        let mut net = Network::converged(8, 2, seed);
        for _ in 0..20 {
            let message = Message {
                sender: record_of(1, 0, Standing::Alive),
                revision: 0,
                records: vec![record_of(2, 0, Standing::Suspect)],
                body: Body::News,
            };
            let from = address(1);
            net.input(4, Input::Datagram { from, message });
            net.run(1);
        }
        net.run(20);
        assert_eq!(net.down_changes(), 0, "seed {seed}");
        assert!(net.all_agree());
    }
}

/// All hosts report a leaving host as leaving, even while it is suspected.
#[test]
fn a_leaving_host_is_reported_as_leaving() {
    let mut net = Network::converged(8, 2, 1);
    net.input(3, Input::Leave);
    net.run_until(10, |it| it.all_report(3, Condition::Leaving));
    net.delivery_rule = |_, from, to| {
        if from == 3 || to == 3 {
            Delivery::Drop
        } else {
            Delivery::Deliver
        }
    };
    net.run(2);
    let seen = net
        .others(3)
        .map(|it| it.state_of(&identity(3, 2, 1).holder));
    let usable = seen.filter(|it| matches!(it, Some(Condition::Up | Condition::Suspect)));
    assert_eq!(usable.count(), 0);
}

/// The platform's host list can only exclude a host from new work. A host that is missing in the
/// list is used as long as gossip reports it as alive, and a host that only the list names is
/// contacted.
#[test]
fn the_host_list_only_marks_hosts_as_leaving() {
    let mut net = Network::converged(4, 2, 1);
    let listing = |index: usize, state| Listing {
        host: crate::network::name(index).parse().unwrap(),
        address: address(index),
        domain: identity(index, 2, 1).domain,
        state,
    };
    net.input(0, Input::Listed(vec![listing(1, service::State::Leaving)]));
    let state_seen = |net: &Network, host| net.nodes[0].state_of(&identity(host, 2, 1).holder);
    assert_eq!(state_seen(&net, 1), Some(Condition::Leaving));
    assert_eq!(state_seen(&net, 2), Some(Condition::Up));
    assert_eq!(net.nodes[0].changes.len(), 1);
    net.input(0, Input::Listed(Vec::new()));
    assert_eq!(state_seen(&net, 1), Some(Condition::Up));
    let fifth = net.join(identity(4, 2, 1));
    net.input(fifth, Input::Seeds(Vec::new()));
    net.run(20);
    assert_eq!(state_seen(&net, 4), None);
    net.input(0, Input::Listed(vec![listing(4, service::State::Live)]));
    net.run_until(20, Network::all_agree);
}
