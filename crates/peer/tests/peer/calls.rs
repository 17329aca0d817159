//! Tests of calls and gossip between members.

use std::{thread, time::Duration};

use kernel::{
    fault::Kind,
    permit::{Number, Outcome, Verdict},
};
use member::Condition;

use crate::fixture::{Node, TEST_TIMEOUT, host, permit, permit_request, settings, start_pair};

/// The caller receives every kind of verdict with all its fields.
#[test]
fn a_peer_decides_on_permit_requests() {
    let (_a, b) = start_pair();
    let check = |request: &str| {
        let verdict = b
            .service
            .handle()
            .place(&host("a"), permit_request(request), TEST_TIMEOUT);
        verdict.expect("the peer answers")
    };
    assert_eq!(check("granted"), Verdict::Granted(permit()));
    assert_eq!(check("elsewhere"), Verdict::NotSteward);
    let Verdict::Refused(fault) = check("refused") else {
        panic!("the request was not refused");
    };
    assert_eq!(fault.kind, Kind::Overloaded);
    assert_eq!(fault.retry_after, Some(Duration::from_secs(3)));
}

/// A release reaches the peer, and revisions and explanations reach the caller.
#[test]
fn releases_and_queries_reach_the_peer() {
    let (a, b) = start_pair();
    let handle = b.service.handle();
    let release = (
        "engine-1".parse().unwrap(),
        5,
        Number(7),
        Outcome::Interrupted,
    );
    handle.release(
        &host("a"),
        "engine-1".parse().unwrap(),
        5,
        Number(7),
        Outcome::Interrupted,
    );
    a.recorder
        .wait(|it| it.releases.contains(&release).then_some(()));
    let revisions = handle.fetch_revisions(&host("a"), 1).unwrap();
    assert_eq!(revisions, [2_u64.to_be_bytes(), 3_u64.to_be_bytes()]);
    let explained = handle.explain(&host("a"), "known").unwrap();
    assert_eq!(explained.as_deref(), Some("because"));
    assert_eq!(handle.explain(&host("a"), "unknown").unwrap(), None);
}

/// Published entries, their removal and announced revisions reach the peer. An entry that is too
/// large is rejected.
#[test]
fn entries_and_revisions_reach_the_peer() {
    let (a, b) = start_pair();
    let handle = a.service.handle();
    let wait_for_entry = |value: Option<&[u8]>| {
        let entry = (host("a"), "engine/1".to_owned(), value.map(<[u8]>::to_vec));
        b.recorder
            .wait(|it| (it.entries.last() == Some(&entry)).then_some(()));
    };
    handle.publish("engine/1", Some(b"full".to_vec())).unwrap();
    wait_for_entry(Some(b"full"));
    handle.publish("engine/1", None).unwrap();
    wait_for_entry(None);
    handle.announce_revision(41);
    b.recorder.wait(|it| (it.revision == 41).then_some(()));
    let large = handle.publish("engine/1", Some(vec![0; 5000]));
    assert_eq!(large.unwrap_err().kind, Kind::Internal);
}

/// A call fails when the connection to the steward ends, rather than at the caller's timeout, which
/// is far longer than that of the test.
#[test]
fn a_closed_connection_fails_the_call() {
    let (a, b) = start_pair();
    let handle = b.service.handle();
    let caller =
        thread::spawn(move || handle.place(&host("a"), permit_request("held"), TEST_TIMEOUT * 10));
    let reply = a.recorder.wait(|it| it.held.pop());
    a.service.stop();
    let fault = caller.join().unwrap().unwrap_err();
    assert_eq!(fault.kind, Kind::StewardLost);
    drop(reply);
}

/// A permit that is granted after its caller has timed out is released unused.
#[test]
fn a_permit_granted_late_is_released() {
    let (a, b) = start_pair();
    let handle = b.service.handle();
    let fault = handle.place(
        &host("a"),
        permit_request("held"),
        Duration::from_millis(200),
    );
    assert_eq!(fault.unwrap_err().kind, Kind::StewardLost);
    let reply = a.recorder.wait(|it| it.held.pop());
    reply(Verdict::Granted(permit()));
    let unused = |it: &(_, _, _, Outcome)| it.3 == Outcome::Unused;
    a.recorder
        .wait(|it| it.releases.iter().any(unused).then_some(()));
}

/// A call to an unknown host fails with `StewardLost`.
#[test]
fn a_call_to_an_unknown_host_fails() {
    let (_a, b) = start_pair();
    let verdict = b
        .service
        .handle()
        .place(&host("c"), permit_request("granted"), TEST_TIMEOUT);
    assert_eq!(verdict.unwrap_err().kind, Kind::StewardLost);
}

/// A host that announces its shutdown is reported as leaving, and as down after it has stopped.
#[test]
fn a_leaving_host_is_reported() {
    let (a, b) = start_pair();
    a.service.handle().leave();
    b.wait_for_state("a", Condition::Leaving);
    a.service.stop();
    b.wait_for_state("a", Condition::Down);
}

/// After a host restarts with a higher incarnation, its peers call the new process, and the entries
/// of the earlier incarnation are removed.
#[test]
fn a_restarted_host_is_called() {
    let (a, b) = start_pair();
    a.service
        .handle()
        .publish("load", Some(b"old".to_vec()))
        .unwrap();
    b.recorder.wait(|it| it.entries.pop());
    let address = a.service.address();
    a.service.stop();
    let mut restarted = settings("a", crate::fixture::KEY, vec![b.service.address()]);
    restarted.identity.holder.incarnation = 2;
    restarted.listen = address;
    restarted.identity.address = address;
    let a = Node::start(restarted);
    b.recorder.wait(|it| {
        let is_restarted = |it: &member::Change| it.member().holder.incarnation == 2;
        it.changes.iter().any(is_restarted).then_some(())
    });
    let removed = b.recorder.wait(|it| it.entries.pop());
    assert_eq!(removed, (host("a"), "load".to_owned(), None));
    let verdict = b
        .service
        .handle()
        .place(&host("a"), permit_request("granted"), TEST_TIMEOUT);
    assert_eq!(verdict.unwrap(), Verdict::Granted(permit()));
    a.service.stop();
}
