//! Which hosts read the store's lists for their domain.

use std::time::Duration;

use fleet::reader::{Other, Role, Sight, role};

use crate::fixture::ms;

const BOUND: Duration = Duration::from_secs(2);

fn name(number: usize) -> String {
    format!("h-{number}")
}

/// The roles of hosts that see each other and the store like this.
fn roles(sights: &[Sight]) -> Vec<Role> {
    let own = |number: usize| {
        let others: Vec<Other> = (0..sights.len())
            .filter(|it| *it != number)
            .map(|it| Other {
                name: name(it).into(),
                sight: sights[it],
            })
            .collect();
        role(&name(number), "z", &others, BOUND)
    };
    (0..sights.len()).map(own).collect()
}

/// What they see once they do what they are to do.
fn settled(count: usize) -> Vec<Sight> {
    let sight = |it: &Role| match it {
        Role::Read => Sight::Reads(ms(100)),
        Role::Follow(_) => Sight::Follows,
    };
    let first = roles(&vec![Sight::Follows; count]);
    let all = vec![Sight::Reads(ms(100)); count];
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
    assert_eq!(roles(&[Sight::Follows; 8]), vec![Role::Read; 8]);
}

#[test]
fn a_reader_without_the_store_is_replaced() {
    let mut sights = settled(10);
    let before = readers(&roles(&sights));
    sights[before[0]] = Sight::Away;
    let after = readers(&roles(&sights));
    // The one that lost the store goes on trying: it is among the first.
    assert!(after.contains(&before[0]) && after.contains(&before[1]));
    assert_eq!(after.len(), 3);
}

#[test]
fn readers_that_know_too_little_are_not_relied_on() {
    let mut sights = settled(10);
    let before = readers(&roles(&sights));
    sights[before[0]] = Sight::Reads(BOUND + ms(1));
    let other: std::sync::Arc<str> = name(before[1]).into();
    for (number, it) in roles(&sights).iter().enumerate() {
        assert!(before.contains(&number) || *it == Role::Follow(other.clone()));
    }
    sights[before[1]] = Sight::Reads(BOUND + ms(1));
    assert_eq!(roles(&sights), vec![Role::Read; 10]);
}
