//! Tests for the stand-in of the weight store.

use std::{io::Write, net::TcpStream};

use standin::{
    client::Request,
    control::Outage,
    weights::{Counts, Server, Settings, Switch},
};

const UNLIMITED: Settings = Settings {
    loads_per_second: 0.0,
    full_speed: 1,
    in_flight_cap: 2,
    load_ms: 0,
};

fn load(server: &Server, adapter: &str) -> u16 {
    let request = Request::new("GET", format!("/weights/{adapter}"));
    request.send(server.address()).unwrap().status
}

fn with_server(settings: Settings, run: impl FnOnce(&Server)) {
    run(&Server::start(settings));
}

// Loads over the rate get status 429 and are not counted as started.
#[test]
fn limits_the_rate() {
    let slow = Settings {
        loads_per_second: 0.001,
        ..UNLIMITED
    };
    with_server(slow, |server| {
        assert_eq!(load(server, "a/b@1"), 200);
        assert_eq!(load(server, "a/b@2"), 429);
        let counts = server.counts();
        assert_eq!((counts.started, counts.over_rate), (1, 1));
    });
}

// Concurrent loads are counted with their peak and with each breach of a limit. A caller that
// disconnects ends its load.
#[test]
fn counts_loads_over_the_limits() {
    let long = Settings {
        load_ms: 3_600_000,
        ..UNLIMITED
    };
    with_server(long, |server| {
        let mut callers = Vec::new();
        for count in 1..=3 {
            let mut caller = TcpStream::connect(server.address()).unwrap();
            caller
                .write_all(b"GET /weights/a/b@1 HTTP/1.1\r\nhost: x\r\n\r\n")
                .unwrap();
            callers.push(caller);
            while server.counts().started < count {
                std::thread::yield_now();
            }
        }
        drop(callers);
        while server.counts().in_flight > 0 {
            std::thread::yield_now();
        }
        let expected = Counts {
            started: 3,
            over_full_speed: 2,
            over_cap: 1,
            peak_in_flight: 3,
            ..Counts::default()
        };
        assert_eq!(server.counts(), expected);
    });
}

// A missing adapter gets status 404 and an outage status 503, with separate counters.
#[test]
fn distinguishes_missing_adapters_from_outages() {
    with_server(UNLIMITED, |server| {
        server.set(Switch::Missing(["a/b@1".to_owned()].into()));
        assert_eq!(load(server, "a/b@1"), 404);
        server.set(Switch::Outage(Outage::Refuse));
        assert_eq!(load(server, "a/b@2"), 503);
        server.set(Switch::Outage(Outage::None));
        assert_eq!(load(server, "a/b@2"), 200);
        let counts = server.counts();
        assert_eq!((counts.missing, counts.refused, counts.finished), (1, 1, 1));
    });
}
