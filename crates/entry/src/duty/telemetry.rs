//! Copies counters of other components into the metrics.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use member::Condition;
use telemetry::metrics::{Direction, Transport};

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "telemetry",
        phase: Phase::Service,
        run,
    }
}

/// How often the counters are read.
const INTERVAL: Duration = Duration::from_secs(1);

/// All conditions of a member.
const CONDITIONS: [Condition; 4] = [
    Condition::Up,
    Condition::Suspect,
    Condition::Leaving,
    Condition::Down,
];

fn run(host: &Arc<Host>, stop: &Stop) {
    while !stop.is_set() {
        for (reason, total) in host.store.call_counts() {
            host.metrics.set_platform_calls(reason, total);
        }
        if let Some(peer) = host.peer.get() {
            update_peer_metrics(host, peer);
        }
        host.metrics.set_in_flight(host.running.total());
        stop.sleep(INTERVAL);
    }
}

fn update_peer_metrics(host: &Host, peer: &peer::Handle) {
    let totals = peer.counters();
    let bytes = [
        (Direction::In, Transport::Datagram, totals.datagram_bytes_in),
        (
            Direction::Out,
            Transport::Datagram,
            totals.datagram_bytes_out,
        ),
        (Direction::In, Transport::Stream, totals.stream_bytes_in),
        (Direction::Out, Transport::Stream, totals.stream_bytes_out),
    ];
    for (direction, transport, total) in bytes {
        host.metrics.set_control_bytes(direction, transport, total);
    }
    let members = peer.members();
    for condition in CONDITIONS {
        let count = members.iter().filter(|it| it.state == condition).count();
        host.metrics.set_members(condition, count as u64);
    }
}
