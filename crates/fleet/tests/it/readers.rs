//! Which hosts read the store's lists for their domain.

use std::time::Duration;

use fleet::reader::{DomainHost, Observation, Role, choose_role};

use crate::fixture::ms;

const BOUND: Duration = Duration::from_secs(2);

fn name(number: usize) -> String {
    format!("h-{number}")
}

/// The roles of hosts that see each other and the store like this.
fn roles(sights: &[Observation]) -> Vec<Role> {
    let own = |number: usize| {
        let others: Vec<DomainHost> = (0..sights.len())
            .filter(|it| *it != number)
            .map(|it| DomainHost {
                name: name(it).into(),
                observation: sights[it],
            })
            .collect();
        choose_role(&name(number), "z", &others, BOUND)
    };
    (0..sights.len()).map(own).collect()
}

/// What they see once they do what they are to do.
fn settled(count: usize) -> Vec<Observation> {
    let sight = |it: &Role| match it {
        Role::Read => Observation::Reading(ms(100)),
        Role::Follow(_) => Observation::Following,
    };
    let first = roles(&vec![Observation::Following; count]);
    let all = vec![Observation::Reading(ms(100)); count];
    assert_eq!(first.len(), count);
    roles(&all).iter().map(sight).collect()
}

fn readers(roles: &[Role]) -> Vec<usize> {
    let reads = |it: &usize| roles[*it] == Role::Read;
    (0..roles.len()).filter(reads).collect()
}

#[test]
fn few_hosts_read_and_the_others_follow_them() {
    for (count, expected) in [(1, 1), (2, 2), (3, 2), (10, 2), (11, 2), (30, 3), (104, 11)] {
        let roles = roles(&settled(count));
        let readers = readers(&roles);
        assert_eq!(readers.len(), expected, "{count} hosts");
        for it in &roles {
            if let Role::Follow(it) = it {
                assert!(readers.iter().any(|reader| *name(*reader) == **it));
            }
        }
    }
}

#[test]
fn a_host_that_knows_no_reader_reads() {
    assert_eq!(roles(&[Observation::Following; 8]), vec![Role::Read; 8]);
}

#[test]
fn a_reader_without_the_store_is_replaced() {
    let mut sights = settled(10);
    let before = readers(&roles(&sights));
    sights[before[0]] = Observation::StoreUnreachable;
    let after = readers(&roles(&sights));
    // The one that lost the store goes on trying: it is among the first.
    assert!(after.contains(&before[0]) && after.contains(&before[1]));
    assert_eq!(after.len(), 3);
}

#[test]
fn readers_that_know_too_little_are_not_relied_on() {
    let mut sights = settled(10);
    let before = readers(&roles(&sights));
    sights[before[0]] = Observation::Reading(BOUND + ms(1));
    let other: std::sync::Arc<str> = name(before[1]).into();
    for (number, it) in roles(&sights).iter().enumerate() {
        assert!(before.contains(&number) || *it == Role::Follow(other.clone()));
    }
    sights[before[1]] = Observation::Reading(BOUND + ms(1));
    assert_eq!(roles(&sights), vec![Role::Read; 10]);
}
