//! A fleet's processes: started, switched, signalled, and gone with their owner.

use std::{
    os::unix::process::ExitStatusExt,
    path::Path,
    process::{Command, Stdio},
    time::Duration,
};

use standin::{
    client::Request,
    engine::{Counts, Switch},
    fleet::{
        Failure, Fleet, Shape,
        process::{Pending, Plan, WaitOutcome},
        programs,
    },
};

fn small() -> Shape {
    Shape {
        engines: 1,
        plains: vec!["barrier".to_owned()],
        ..Shape::default()
    }
}

fn runs(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

fn spawn(program: &str, arguments: &[&str], name: &str) -> Result<Pending, Failure> {
    let arguments: Vec<String> = arguments.iter().map(|it| (*it).to_owned()).collect();
    let log = std::env::temp_dir().join(format!("comfreywing-{name}-{}", std::process::id()));
    let spawned = Pending::spawn(&Plan {
        name,
        program: Path::new(program),
        arguments: &arguments,
        word: "ready",
        log: log.clone(),
    });
    let _ = std::fs::remove_file(log);
    spawned
}

// Stand-ins run as processes, are in the host list, take switches, and end with the fleet.
#[test]
fn starts_and_ends_with_its_owner() {
    let fleet = Fleet::start_standins(&small()).unwrap();
    let list = Request::new("GET", "/hosts")
        .send(fleet.platform())
        .unwrap();
    let hosts = list.json()["hosts"].as_array().unwrap().len();
    assert_eq!(hosts, 4);
    let engine = &fleet.engines()[0];
    engine.set(&Switch::FailLoads(1)).unwrap();
    let counts: Counts = engine.counts().unwrap();
    assert_eq!(counts, Counts::default());
    let upstreams = fleet.engines().iter().chain(fleet.plains());
    let ids: Vec<u32> = upstreams.map(|it| it.process().id()).collect();
    assert!(ids.iter().all(|it| runs(*it)));
    drop(fleet);
    assert!(!ids.iter().any(|it| runs(*it)));
}

// A stopped process goes on when it is told to, and can be killed while it is stopped.
#[test]
fn processes_are_signalled() {
    let process = spawn(
        "/bin/sh",
        &["-c", "echo ready 127.0.0.1:1; cat"],
        "signalled",
    );
    let process = process.unwrap().ready().unwrap();
    let state = |wanted: &str| {
        let status = format!("/proc/{}/stat", process.id());
        while !std::fs::read_to_string(&status).unwrap().contains(wanted) {
            std::thread::yield_now();
        }
    };
    process.pause();
    state(") T ");
    process.resume();
    state(") S ");
    process.pause();
    process.kill();
    assert!(matches!(
        process.wait(Duration::ZERO),
        WaitOutcome::Exited(_)
    ));
    process.resume();
}

// A part that can't start, ends early or prints something else is named in the error.
#[test]
fn failed_starts_name_the_part() {
    let missing = spawn("/nonexistent", &[], "missing").unwrap_err();
    assert!(
        matches!(&missing, Failure::Start { name, .. } if name == "missing"),
        "{missing}"
    );
    let ended = spawn("/bin/sh", &["-c", "exit 3"], "ended")
        .unwrap()
        .ready()
        .unwrap_err();
    assert!(
        matches!(&ended, Failure::Ended { name, .. } if name == "ended"),
        "{ended}"
    );
    let other = spawn("/bin/sh", &["-c", "echo hello; cat"], "other").unwrap();
    let other = other.ready().unwrap_err();
    assert!(
        matches!(&other, Failure::Output { line, .. } if line == "hello"),
        "{other}"
    );
}

// When its input closes, the guard kills the processes that it was told of and that run the
// program, and no other one.
#[test]
fn the_guard_kills_what_is_left() {
    let child = |program: &str| {
        let spawned = Command::new(program).stdin(Stdio::piped()).arg("-").spawn();
        spawned.unwrap()
    };
    let (mut left, mut other) = (child("/bin/cat"), child("/bin/sh"));
    let standin = programs::standin().unwrap();
    let guard = spawn(standin.to_str().unwrap(), &["guard", "/bin/cat"], "guard");
    let guard = guard.unwrap().ready().unwrap();
    for child in [&left, &other] {
        guard.tell(&child.id().to_string()).unwrap();
    }
    // Waiting for a child closes its input, which would end it by itself.
    let _input = left.stdin.take();
    guard.close_input();
    assert_eq!(left.wait().unwrap().signal(), Some(9));
    assert!(
        matches!(guard.wait(Duration::from_mins(1)), WaitOutcome::Exited(status) if status.success())
    );
    assert_eq!(other.try_wait().unwrap(), None);
    other.kill().unwrap();
    other.wait().unwrap();
}
