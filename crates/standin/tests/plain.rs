//! The stand-in of a plain service.

use std::{io::Write, net::TcpStream};

use standin::{
    client::{Answer, Failure, Request},
    control::{Outage, Toggle},
    plain::{Cut, Server, Settings, Switch},
};

fn check(run: impl FnOnce(&Server)) {
    run(&Server::start(Settings {
        name: "barrier-a1".to_owned(),
        service: "barrier".to_owned(),
    }));
}

fn open(server: &Server, id: &str) -> Result<Answer, Failure> {
    let request = Request::post("/openings?lane=2", &"lane 2");
    let request = request
        .with("x-request-id", id)
        .with("idempotency-key", "k1");
    request.send(server.address())
}

// Calls are counted by request id, key and path, and each answer tells what ran.
#[test]
fn counts_runs() {
    check(|server| {
        let answer = open(server, "r1").unwrap();
        assert_eq!(answer.json()["instance"], "barrier-a1");
        assert_eq!(answer.json()["path"], "/openings");
        open(server, "r1").unwrap();
        open(server, "r2").unwrap();
        let counts = server.counts();
        assert_eq!(
            (counts.runs_of_request("r1"), counts.runs_of_request("r2")),
            (2, 1)
        );
        assert_eq!((counts.runs_of_key("k1"), counts.total_runs()), (3, 3));
    });
}

// A cut before the run leaves no run behind; every later cut leaves one.
#[test]
fn breaks_off_at_each_place() {
    let cuts = [
        (Cut::BeforeRun, 0, false),
        (Cut::BeforeAnswer, 1, false),
        (Cut::DuringAnswer, 1, false),
        (Cut::AfterAnswer, 1, true),
    ];
    for (at, runs, answered) in cuts {
        check(|server| {
            server.set(Switch::Cut { at, times: 1 });
            assert_eq!(open(server, "r1").is_ok(), answered, "{at:?}");
            assert_eq!(server.counts().runs_of_request("r1"), runs, "{at:?}");
            assert_eq!(open(server, "r2").unwrap().status, 200);
        });
    }
}

// A leaving, refusing or broken instance says so and runs nothing.
#[test]
fn refuses_without_running() {
    check(|server| {
        server.set(Switch::Leaving(Toggle::On));
        let left = open(server, "r1").unwrap();
        assert_eq!((left.status, left.header("x-leaving")), (503, "true"));
        server.set(Switch::Leaving(Toggle::Off));
        server.set(Switch::Refuse(Toggle::On));
        let refused = open(server, "r1").unwrap();
        assert_eq!((refused.status, refused.header("x-leaving")), (503, ""));
        server.set(Switch::Outage(Outage::Break));
        assert!(open(server, "r1").is_err());
        let counts = server.counts();
        assert_eq!((counts.total_runs(), counts.calls), (0, 3));
        assert_eq!((counts.while_leaving, counts.refused), (1, 1));
    });
}

// A call whose caller has gone runs all the same, once.
#[test]
fn a_call_outlives_its_caller() {
    check(|server| {
        server.set(Switch::DelayMs(20));
        let mut caller = TcpStream::connect(server.address()).unwrap();
        caller
            .write_all(b"POST /openings HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        while server.counts().calls == 0 {
            std::thread::yield_now();
        }
        drop(caller);
        while server.counts().total_runs() == 0 {
            std::thread::yield_now();
        }
        assert_eq!(server.counts().total_runs(), 1);
    });
}
