//! Other hosts are lost when they are silent, not when this host is late to read their messages.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::Time;
use gateway::{message::Heartbeat, peers::Peers};

/// Time between two heartbeats of the other hosts.
const INTERVAL: Duration = Duration::from_millis(200);

fn ms(it: u64) -> Time {
    Duration::from_millis(it)
}

fn host(number: u8) -> (Arc<str>, SocketAddr) {
    let addr = SocketAddr::from(([127, 0, 1, number], 7000));
    (format!("h-{number}").into(), addr)
}

/// Other hosts, as seen by one that reads all messages of three of them until `until`.
fn heard_until(until: Time) -> Peers {
    let mut peers = Peers::default();
    let mut now = ms(0);
    while now <= until {
        for number in 1..4 {
            hear(&mut peers, number, now);
        }
        peers.observe_all_read(now);
        assert!(peers.take_lost(now).is_empty());
        now += INTERVAL;
    }
    peers
}

fn hear(peers: &mut Peers, number: u8, now: Time) {
    let (name, addr) = host(number);
    peers.receive_heartbeat(&name, &Heartbeat::default(), addr, now);
}

fn count_live(peers: &Peers, now: Time) -> usize {
    peers.live_hosts(now).len()
}

/// A host that was busy for two seconds took all others for lost, and had them join again.
#[test]
fn hosts_are_not_lost_while_their_messages_wait_to_be_read() {
    let mut peers = heard_until(ms(1000));
    let busy_until = ms(3000);
    assert_eq!(count_live(&peers, busy_until), 3);
    assert!(peers.take_lost(busy_until).is_empty());
    // The messages of one host had no room in the socket.
    hear(&mut peers, 1, busy_until);
    hear(&mut peers, 2, busy_until);
    peers.observe_all_read(busy_until);
    assert!(peers.take_lost(busy_until).is_empty());
    hear(&mut peers, 3, busy_until + INTERVAL);
    assert!(peers.take_lost(busy_until + INTERVAL).is_empty());
}

#[test]
fn a_silent_host_is_lost_in_the_time_in_which_messages_were_read() {
    let mut peers = heard_until(ms(1000));
    let mut now = ms(1000);
    while now < ms(2600) {
        now += INTERVAL;
        hear(&mut peers, 1, now);
        hear(&mut peers, 2, now);
        peers.observe_all_read(now);
    }
    let lost: Vec<Arc<str>> = peers.take_lost(now);
    assert_eq!(lost, [host(3).0]);
    assert_eq!(count_live(&peers, now), 2);
}

#[test]
fn a_host_that_is_always_late_notices_losses_too() {
    let mut peers = heard_until(ms(1000));
    let mut now = ms(1000);
    while now < ms(8000) {
        now += ms(1000);
        hear(&mut peers, 1, now);
        peers.observe_all_read(now);
    }
    assert_eq!(count_live(&peers, now), 1);
}

/// The socket is empty, so the other hosts have sent nothing.
#[test]
fn a_host_that_is_cut_off_loses_all_others() {
    let mut peers = heard_until(ms(1000));
    let mut now = ms(1000);
    while now < ms(2600) {
        now += INTERVAL;
        peers.observe_all_read(now);
    }
    assert_eq!(peers.take_lost(now).len(), 3);
    assert_eq!(count_live(&peers, now), 0);
}
