//! Tests of the choice of the hosts that read the store's lists for their domain.

use std::time::Duration;

use fleet::{
    reader::{DomainHost, ReadState, Role, choose_role, probe_interval},
    store_call::{Attempt, RecoveryBound, Schedule},
};

use crate::fixture::{at, ms};

const MAX_AGE: Duration = Duration::from_secs(2);

fn name(number: usize) -> String {
    format!("h-{number}")
}

/// Returns the roles of hosts that know each other's states.
fn roles(read_states: &[ReadState]) -> Vec<Role> {
    let choose = |number: usize| {
        let others: Vec<DomainHost> = (0..read_states.len())
            .filter(|it| *it != number)
            .map(|it| DomainHost {
                name: name(it).into(),
                read_state: read_states[it],
            })
            .collect();
        choose_role(&name(number), "z", &others, MAX_AGE)
    };
    (0..read_states.len()).map(choose).collect()
}

/// Returns the states of hosts that have adopted their roles.
fn stable(count: usize) -> Vec<ReadState> {
    let read_state = |it: &Role| match it {
        Role::Read => ReadState::Reading(ms(100)),
        Role::Follow(_) => ReadState::Following,
    };
    let first = roles(&vec![ReadState::Following; count]);
    let all = vec![ReadState::Reading(ms(100)); count];
    assert_eq!(first.len(), count);
    roles(&all).iter().map(read_state).collect()
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
    assert_eq!(roles(&[ReadState::Following; 8]), vec![Role::Read; 8]);
}

#[test]
fn a_reader_that_loses_the_store_is_replaced() {
    let mut read_states = stable(10);
    let before = readers(&roles(&read_states));
    read_states[before[0]] = ReadState::StoreUnreachable;
    let after = readers(&roles(&read_states));
    // The host that lost the store keeps trying to read, since it still ranks among the first.
    assert!(after.contains(&before[0]) && after.contains(&before[1]));
    assert_eq!(after.len(), 3);
}

#[test]
fn readers_with_outdated_lists_are_not_followed() {
    let mut read_states = stable(10);
    let before = readers(&roles(&read_states));
    read_states[before[0]] = ReadState::Reading(MAX_AGE + ms(1));
    let other: std::sync::Arc<str> = name(before[1]).into();
    for (number, it) in roles(&read_states).iter().enumerate() {
        assert!(before.contains(&number) || *it == Role::Follow(other.clone()));
    }
    read_states[before[1]] = ReadState::Reading(MAX_AGE + ms(1));
    assert_eq!(roles(&read_states), vec![Role::Read; 10]);
}

/// An outage of the store takes the readers from all hosts at once. Few of them probe often, all of them within
/// the bound.
#[test]
fn few_hosts_of_a_domain_probe_an_unavailable_store_often() {
    let bound = RecoveryBound(Duration::from_secs(3));
    for count in [1_usize, 4, 16, 104] {
        let names: Vec<String> = (0..count).map(|it| format!("h-{it}")).collect();
        let interval = |own: &String| {
            let others: Vec<DomainHost> = (names.iter())
                .filter(|it| *it != own)
                .map(|it| DomainHost {
                    name: it.as_str().into(),
                    read_state: ReadState::StoreUnreachable,
                })
                .collect();
            probe_interval(own, "z-1", &others, bound)
        };
        let intervals: Vec<Duration> = names.iter().map(interval).collect();
        let shortest = intervals.iter().min().expect("there are hosts");
        let often = intervals.iter().filter(|it| *it == shortest).count();
        assert_eq!(often, count.min(2.max(count.div_ceil(10))), "{count}");
        assert!(intervals.iter().all(|it| *it < bound.0 / 2), "{count}");
    }
}

/// A failed call is repeated some times within the term of a lease, and hosts spread their calls.
#[test]
fn failed_calls_are_repeated_seldom_and_spread() {
    let attempts = |random: f64| {
        let mut schedule = Schedule::default();
        let mut attempts = Vec::new();
        for time in (0..9000).step_by(300) {
            if schedule.is_due(at(time)) {
                schedule.record(Attempt::Failed, ms(3000), random, at(time));
                attempts.push(time);
            }
        }
        attempts
    };
    assert!((5..=8).contains(&attempts(0.0).len()));
    assert!((5..=8).contains(&attempts(1.0).len()));
    assert_ne!(attempts(0.0)[1], attempts(1.0)[1]);
    let mut schedule = Schedule::default();
    schedule.record(Attempt::Done, ms(3000), 0.5, at(0));
    assert!(!schedule.is_due(at(2999)));
    schedule.reset();
    assert!(schedule.is_due(at(1)));
    schedule.record(Attempt::Changed, ms(3000), 0.5, at(1));
    assert!(schedule.is_due(at(1)));
}
