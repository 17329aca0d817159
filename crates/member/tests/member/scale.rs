//! Fleets whose hosts track only their own failure domain fully.

use member::{Condition, Detail, Input, Settings};

use crate::network::{Network, Process, drop_or_duplicate};

fn fleet(hosts: usize, domains: usize, seed: u64) -> Network {
    let settings = Settings {
        detail: Detail::Domain,
        ..Settings::default()
    };
    Network::new(hosts, domains, settings, seed)
}

/// Returns whether every host of a fleet of 40 hosts in 5 domains knows all 8 hosts of its own
/// domain and 3 live contacts in each of the 4 other domains.
fn has_full_view(net: &Network) -> bool {
    net.nodes.iter().all(|node| {
        let members: Vec<_> = node.state.members().collect();
        let own = members
            .iter()
            .filter(|it| it.domain == node.identity.domain);
        let contacts = members
            .iter()
            .filter(|it| it.domain != node.identity.domain);
        own.count() == 8 && contacts.filter(|it| it.state == Condition::Up).count() == 4 * 3
    })
}

/// Each host keeps exactly its domain and a few contacts, and declares nobody down.
#[test]
fn hosts_keep_a_bounded_number_of_contacts() {
    for seed in 0..3 {
        let mut net = fleet(40, 5, seed);
        net.run_until(200, has_full_view);
        net.run(100);
        assert!(has_full_view(&net), "seed {seed}");
        assert_eq!(net.down_changes(), 0, "seed {seed}");
    }
}

/// A revision reaches every host of every domain within 17 s, even with a tenth of the messages
/// lost.
#[test]
fn a_revision_reaches_all_domains() {
    for seed in 0..3 {
        let mut net = fleet(40, 5, seed);
        net.run_until(200, has_full_view);
        net.delivery_rule = drop_or_duplicate;
        net.input(7, Input::Revision(1));
        let is_known = |it: &Network| it.nodes.iter().all(|node| node.state.revision() == 1);
        let took = net.run_until(34, is_known);
        assert!(took.as_secs() <= 17, "seed {seed}: it took {took:?}");
    }
}

/// When five of the eight hosts of a domain die, the hosts of the other domains replace the dead
/// contacts with the three remaining hosts.
#[test]
fn dead_contacts_are_replaced() {
    let mut net = fleet(40, 5, 1);
    net.run_until(200, has_full_view);
    for host in [1, 6, 11, 16, 21] {
        net.nodes[host].process = Process::Stopped;
    }
    net.run_until(400, |net| {
        (0..40).filter(|it| it % 5 != 1).all(|index| {
            let members = net.nodes[index].state.members();
            let domain = &net.nodes[1].identity.domain;
            let contacts = members.filter(|it| it.domain == *domain);
            contacts.filter(|it| it.state == Condition::Up).count() == 3
        })
    });
}

/// The mean number of messages per host and period stays bounded after every host has published
/// many entries, although all hosts have the same seed.
#[test]
fn the_message_rate_is_bounded() {
    const MAX_MESSAGES_PER_PERIOD: u64 = 20;
    const PERIODS: u32 = 100;
    for seed in 0..3 {
        let mut net = fleet(40, 5, seed);
        net.run_until(200, has_full_view);
        for index in 0..40 {
            for key in 0..20 {
                let key = format!("engine/{key}");
                let value = Some(vec![1; 300]);
                net.input(index, Input::Publish { key, value });
            }
        }
        let before = net.sent;
        net.run(PERIODS);
        let mean = (net.sent - before) / u64::from(PERIODS) / 40;
        assert!(
            mean <= MAX_MESSAGES_PER_PERIOD,
            "seed {seed}: {mean} a period"
        );
        let is_complete = |it: &crate::network::Node| it.entries.len() == 7 * 20;
        assert!(net.nodes.iter().all(is_complete), "seed {seed}");
    }
}
