//! Failure detection: dead hosts are detected in time, and live hosts are not declared down.

use std::time::Duration;

use member::{
    Condition, Identity, Input, Message, Settings,
    message::Body,
    record::{Intent, Record, Standing},
};

use crate::network::{Network, Node, Process, deliver, drop_or_duplicate, identity};

/// Hosts that know only one address discover each other, and then suspect nobody and declare nobody
/// down.
#[test]
fn hosts_discover_each_other() {
    for seed in 0..20 {
        let mut net = Network::new(12, 3, Settings::default(), seed);
        net.run_until(20, Network::all_agree);
        net.clear_changes();
        net.run(60);
        assert!(net.nodes.iter().all(|it| it.changes.is_empty()));
    }
}

/// All hosts of a domain of 52 report a dead host as down within 3 s.
#[test]
fn a_death_is_known_in_time() {
    for seed in 0..5 {
        let mut net = Network::converged(52, 1, seed);
        net.nodes[17].process = Process::Stopped;
        let took = net.run_until(20, |it| it.all_report(17, Condition::Down));
        assert!(
            took <= Duration::from_secs(3),
            "seed {seed}: it took {took:?}"
        );
        assert_eq!(net.down_changes(), 51);
    }
}

/// The simultaneous deaths of a rack of eight hosts are detected within 6 s, twice the time of a
/// single death.
#[test]
fn simultaneous_deaths_are_known_in_time() {
    for seed in 0..5 {
        let mut net = Network::converged(52, 1, seed);
        for host in 10..18 {
            net.nodes[host].process = Process::Stopped;
        }
        let took = net.run_until(40, |it| {
            (10..18).all(|host| it.all_report(host, Condition::Down))
        });
        assert!(
            took <= Duration::from_secs(6),
            "seed {seed}: it took {took:?}"
        );
        assert_eq!(net.down_changes(), 8 * 44);
    }
}

/// With a tenth of the messages lost and a tenth duplicated, hosts discover each other and detect a
/// dead host. Hosts wrongly declared down recover.
#[test]
fn the_fleet_converges_despite_message_loss() {
    for seed in 0..20 {
        let mut net = Network::new(12, 3, Settings::default(), seed);
        net.delivery_rule = drop_or_duplicate;
        net.run(200);
        net.nodes[5].process = Process::Stopped;
        net.run_until(40, |it| it.all_report(5, Condition::Down));
        net.delivery_rule = deliver;
        net.run_until(40, Network::all_agree);
    }
}

/// A host whose process was paused for longer than any timeout declares nobody down when it
/// resumes, and is soon reported as up again.
#[test]
fn a_paused_host_recovers() {
    for seed in 0..10 {
        let mut net = Network::converged(8, 2, seed);
        net.nodes[3].process = Process::Stopped;
        net.run_until(20, |it| it.all_report(3, Condition::Down));
        net.run(40);
        net.nodes[3].process = Process::Running;
        net.run_until(20, Network::all_agree);
        let changes = net.nodes[3].changes.iter();
        assert_eq!(
            changes
                .filter(|it| matches!(it, member::Change::Down(_)))
                .count(),
            0
        );
    }
}

/// A new process with the same name and address replaces the old one. Records of the old
/// incarnation that are still in flight have no effect.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    for seed in 0..10 {
        let mut net = Network::converged(8, 2, seed);
        net.restart(3, identity(3, 2, 2));
        net.run_until(20, Network::all_agree);
        net.run(40);
        assert!(net.all_agree());
    }
}

/// A process that was replaced while it was paused learns that it is superseded, and other hosts
/// ignore its messages.
#[test]
fn a_replaced_process_learns_that_it_is_superseded() {
    let mut net = Network::converged(8, 2, 1);
    net.nodes[3].process = Process::Stopped;
    let mut new_identity = identity(3, 2, 2);
    new_identity.address = crate::network::address(8);
    let successor = net.join(new_identity.clone());
    net.run(40);
    net.nodes[3].process = Process::Running;
    net.run_until(20, |it| it.nodes[3].superseded_by.is_some());
    assert_eq!(
        net.nodes[3].superseded_by,
        Some(new_identity.holder.clone())
    );
    net.run(20);
    let others = net.nodes.iter().enumerate().filter(|it| it.0 != 3);
    assert!(
        others
            .into_iter()
            .all(|it| it.1.state_of(&new_identity.holder).is_some())
    );
    assert_eq!(net.nodes[successor].superseded_by, None);
}

/// When a host with another name takes over an address, the previous host at that address is
/// declared down. A late datagram of the previous host does not revert this.
#[test]
fn a_host_with_another_name_takes_over_an_address() {
    for seed in 0..10 {
        let mut net = Network::converged(8, 2, seed);
        let old = net.nodes[3].identity.clone();
        let mut other = identity(3, 2, 1);
        other.holder.host = "another".parse().unwrap();
        net.restart(3, other);
        net.run_until(20, Network::all_agree);
        let is_down = |it: &Node| it.state_of(&old.holder) == Some(Condition::Down);
        assert!(net.others(3).all(is_down), "seed {seed}");
        net.clear_changes();
        let message = Message {
            sender: record_of(&old),
            revision: 0,
            records: Vec::new(),
            body: Body::News,
        };
        let from = old.address;
        net.input(0, Input::Datagram { from, message });
        net.run(20);
        assert_eq!(net.down_changes(), 0, "seed {seed}");
    }
}

fn record_of(identity: &Identity) -> Record {
    Record {
        holder: identity.holder.clone(),
        refutation: 0,
        domain: identity.domain.clone(),
        address: identity.address,
        standing: Standing::Alive,
        intent: Intent::Staying,
    }
}
