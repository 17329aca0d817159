//! The list of upstreams.

use std::time::Instant;

use entry::host_list::HostList;
use kernel::{name::Service, service::State};
use objects::hosts::{Host, Role};

fn service() -> Service {
    "barrier".parse().unwrap()
}

fn plain(address: &str) -> Host {
    Host {
        name: "p1".parse().unwrap(),
        address: address.parse().unwrap(),
        domain: "north".parse().unwrap(),
        role: Role::Plain(service()),
        state: State::Live,
    }
}

/// Covers: an instance that reported that it leaves, while the list still says that it is live.
#[test]
fn leaving_instances_get_no_calls() {
    let (list, now) = (HostList::default(), Instant::now());
    list.replace(&[plain("127.0.0.1:1")], now);
    let domain = "north".parse().unwrap();
    let (called, _) = list.pick(&service(), &domain, &[], now).unwrap();
    list.mark_leaving(&called);
    list.replace(&[plain("127.0.0.1:1")], now);
    assert!(!list.has_plain(&service()));
    list.replace(&[plain("127.0.0.1:2")], now);
    assert!(list.has_plain(&service()));
}

/// Covers: an answer that arrives after the instance was replaced under its name.
#[test]
fn a_late_refusal_by_an_earlier_instance_does_not_take_its_successor_out_of_use() {
    let (list, now) = (HostList::default(), Instant::now());
    list.replace(&[plain("127.0.0.1:1")], now);
    let domain = "north".parse().unwrap();
    let (called, _) = list.pick(&service(), &domain, &[], now).unwrap();
    list.replace(&[plain("127.0.0.1:2")], now);
    list.mark_leaving(&called);
    assert!(list.has_plain(&service()));
}
