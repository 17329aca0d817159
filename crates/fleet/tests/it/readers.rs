//! Tests of the choice of the hosts that read the store's lists for their domain.

use std::time::Duration;

use fleet::reader::{DomainHost, Observation, Role, choose_role};

use crate::fixture::ms;

const MAX_AGE: Duration = Duration::from_secs(2);

fn name(number: usize) -> String {
    format!("h-{number}")
}

/// Returns the roles of hosts that know each other's observations.
fn roles(observations: &[Observation]) -> Vec<Role> {
    let choose = |number: usize| {
        let others: Vec<DomainHost> = (0..observations.len())
            .filter(|it| *it != number)
            .map(|it| DomainHost {
                name: name(it).into(),
                observation: observations[it],
            })
            .collect();
        choose_role(&name(number), "z", &others, MAX_AGE)
    };
    (0..observations.len()).map(choose).collect()
}

/// Returns the observations of hosts that have adopted their roles.
fn stable(count: usize) -> Vec<Observation> {
    let observe = |it: &Role| match it {
        Role::Read => Observation::Reading(ms(100)),
        Role::Follow(_) => Observation::Following,
    };
    let first = roles(&vec![Observation::Following; count]);
    let all = vec![Observation::Reading(ms(100)); count];
    assert_eq!(first.len(), count);
    roles(&all).iter().map(observe).collect()
}

/// Returns the hosts that read.
fn readers(roles: &[Role]) -> Vec<usize> {
    let reads = |it: &usize| roles[*it] == Role::Read;
    (0..roles.len()).filter(reads).collect()
}

#[test]
fn few_hosts_read_and_the_others_follow_them() {
    for (count, expected) in [(1, 1), (2, 2), (3, 2), (10, 2), (11, 2), (30, 3), (104, 11)] {
        let roles = roles(&stable(count));
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
fn a_host_that_knows_no_reader_reads_itself() {
    assert_eq!(roles(&[Observation::Following; 8]), vec![Role::Read; 8]);
}

#[test]
fn a_reader_that_loses_the_store_is_replaced() {
    let mut observations = stable(10);
    let before = readers(&roles(&observations));
    observations[before[0]] = Observation::StoreUnreachable;
    let after = readers(&roles(&observations));
    // The host that lost the store keeps trying to read, since it still ranks among the first.
    assert!(after.contains(&before[0]) && after.contains(&before[1]));
    assert_eq!(after.len(), 3);
}

#[test]
fn readers_with_outdated_lists_are_not_followed() {
    let mut observations = stable(10);
    let before = readers(&roles(&observations));
    observations[before[0]] = Observation::Reading(MAX_AGE + ms(1));
    let other: std::sync::Arc<str> = name(before[1]).into();
    for (number, it) in roles(&observations).iter().enumerate() {
        assert!(before.contains(&number) || *it == Role::Follow(other.clone()));
    }
    observations[before[1]] = Observation::Reading(MAX_AGE + ms(1));
    assert_eq!(roles(&observations), vec![Role::Read; 10]);
}
