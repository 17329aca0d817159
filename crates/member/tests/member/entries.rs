//! Replication of published entries, compared with a reference map.

use member::{Condition, Input, Settings, random::Generator};

use crate::network::{Entries, Network, Process, drop_or_duplicate, identity};

/// Publishes or removes a random entry of a random host, and updates the reference map likewise.
fn publish_random(net: &mut Network, reference: &mut Entries, random: &mut Generator) {
    let index = random.below(net.nodes.len());
    let key = format!("engine/{}", random.below(5));
    let owner = net.nodes[index].identity.holder.clone();
    let value = (random.below(4) > 0).then(|| random.draw().to_be_bytes().to_vec());
    match value.clone() {
        Some(value) => reference.insert((owner, key.clone()), value),
        None => reference.remove(&(owner, key.clone())),
    };
    net.input(index, Input::Publish { key, value });
}

/// The entries that a host should have received: all but its own.
fn expected_entries(reference: &Entries, net: &Network, index: usize) -> Entries {
    let own = &net.nodes[index].identity.holder;
    let others = reference.iter().filter(|((owner, _), _)| owner != own);
    others
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

fn matches_reference(net: &Network, reference: &Entries) -> bool {
    (0..net.nodes.len()).all(|it| net.nodes[it].entries == expected_entries(reference, net, it))
}

/// All hosts converge to the last value of every entry although messages are lost, duplicated and
/// reordered.
#[test]
fn entries_converge() {
    for seed in 0..20 {
        let mut net = Network::converged(8, 2, seed);
        let mut reference = Entries::new();
        let mut random = Generator::new(seed);
        net.delivery_rule = drop_or_duplicate;
        for _ in 0..100 {
            publish_random(&mut net, &mut reference, &mut random);
            if random.below(3) == 0 {
                net.run(1);
            }
        }
        net.run_until(200, |it| matches_reference(it, &reference));
    }
}

/// The entries of a dead host are removed. After it restarts, only the entries of the new
/// incarnation are present.
#[test]
fn entries_of_a_down_host_are_removed() {
    let mut net = Network::converged(6, 1, 3);
    let publish = |value: &[u8]| Input::Publish {
        key: "load".to_owned(),
        value: Some(value.to_vec()),
    };
    net.input(2, publish(b"old"));
    net.run_until(40, |it| it.others(2).all(|node| node.entries.len() == 1));
    net.nodes[2].process = Process::Stopped;
    net.run_until(20, |it| it.all_report(2, Condition::Down));
    assert!(net.others(2).all(|it| it.entries.is_empty()));
    net.restart(2, identity(2, 1, 2));
    net.input(2, publish(b"new"));
    let new = (identity(2, 1, 2).holder, "load".to_owned());
    net.run_until(40, |it| {
        let values = it.others(2).map(|node| node.entries.get(&new));
        values
            .into_iter()
            .all(|value| value.is_some_and(|it| it == b"new"))
    });
    assert!(net.others(2).all(|it| it.entries.len() == 1));
}

/// A host that joins receives all 240 entries, although one message holds only a few.
#[test]
fn a_new_host_receives_all_entries() {
    let mut net = Network::new(6, 1, Settings::default(), 5);
    for index in 0..6 {
        for number in 0..40 {
            let key = format!("engine/{number}");
            let value = Some(vec![0; 200]);
            net.input(index, Input::Publish { key, value });
        }
    }
    net.run_until(400, |it| {
        it.nodes.iter().all(|node| node.entries.len() == 200)
    });
    let joined = net.join(identity(6, 1, 1));
    net.run_until(400, |it| it.nodes[joined].entries.len() == 240);
}
