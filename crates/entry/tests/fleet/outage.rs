//! Operation during a platform outage.

use standin::{client::Request, control::Outage, hosts, object};

use crate::fixture::{
    Delivery, Fixture, chat_request, check_whole, fetch_status, shape, wait_ready, wait_until,
};

fn set_platform(it: &Fixture, outage: Outage) {
    it.fleet
        .set_objects(&object::Switch::Outage(outage))
        .unwrap();
    it.fleet.set_hosts(&hosts::Switch::Outage(outage)).unwrap();
}

fn check_served(it: &Fixture, entry: usize, round: &str) {
    for reference in [
        "signs/bay-summary@6",
        "signs/bay-summary@7",
        "cards/formula-card@12",
    ] {
        let id = format!("{round}-{entry}-{reference}");
        let answer = chat_request(&id, reference, Delivery::Whole).send(it.entry(entry).address());
        check_whole(&answer.unwrap(), reference);
    }
    let lookup = Request::new("GET", "/services/registry/lookup/1").send(it.entry(entry).address());
    assert_eq!(lookup.unwrap().status, 200);
}

/// Covers: the only host of a domain dies during a platform outage. Another host claims its engine
/// unconfirmed and confirms the claim after the outage.
#[test]
fn engine_of_a_dead_host_is_claimed_without_the_platform() {
    let mut it = Fixture::start(&shape());
    let engine = it
        .fleet
        .engines()
        .iter()
        .find(|it| it.domain == "dar-b")
        .unwrap();
    let engine = engine.name.clone();
    let dead = it.index_of("entry-b1");
    assert_eq!(it.steward(0, &engine).as_deref(), Some("entry-b1"));
    set_platform(&it, Outage::Refuse);
    it.entry(dead).process().kill();
    wait_until("another host is steward", || {
        let steward = it.steward(0, &engine);
        steward.is_some_and(|it| it != "entry-b1")
    });
    check_served(&it, 0, "out");
    set_platform(&it, Outage::None);
    it.fleet.restart(dead).unwrap();
    wait_ready(it.entry(dead));
    wait_until("the domain's own host is steward again", || {
        it.steward(0, &engine).as_deref() == Some("entry-b1")
    });
    for entry in 0..4 {
        check_served(&it, entry, "back");
    }
    let ended: u64 = it.engine_counts().iter().map(|it| it.ended_by_unload).sum();
    assert_eq!(ended, 0);
}

/// Covers: a host that starts during a platform outage learns the configuration and upstreams from
/// its peers.
#[test]
fn host_that_starts_without_the_platform_serves() {
    let mut it = Fixture::start(&shape());
    set_platform(&it, Outage::Break);
    it.fleet.restart(2).unwrap();
    wait_ready(it.entry(2));
    // Three engines, and three instances of each of the two plain services.
    wait_until("the host knows the upstreams", || {
        fetch_status(it.entry(2)).is_some_and(|it| it["upstreams"] == 9)
    });
    check_served(&it, 2, "started");
}
