//! Calls between members.

use std::{thread, time::Duration};

use kernel::{
    fault::Kind,
    permit::{Number, Outcome, Verdict},
};
use member::Condition;

use crate::fixture::{HANG, Node, ask, host, pair, permit, settings};

/// Every kind of verdict crosses the wire whole.
#[test]
fn a_peer_places_requests() {
    let (_a, b) = pair();
    let check = |request: &str| {
        let verdict = b.service.handle().place(&host("a"), ask(request), HANG);
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

/// Releases, revisions and explanations arrive.
#[test]
fn a_peer_answers_inquiries() {
    let (a, b) = pair();
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

/// Published entries and revisions reach the peer, and a removal does.
#[test]
fn entries_spread() {
    let (a, b) = pair();
    let handle = a.service.handle();
    let seen = |value: Option<&[u8]>| {
        let entry = (host("a"), "engine/1".to_owned(), value.map(<[u8]>::to_vec));
        b.recorder
            .wait(|it| (it.entries.last() == Some(&entry)).then_some(()));
    };
    handle.publish("engine/1", Some(b"full".to_vec())).unwrap();
    seen(Some(b"full"));
    handle.publish("engine/1", None).unwrap();
    seen(None);
    handle.announce_revision(41);
    b.recorder.wait(|it| (it.revision == 41).then_some(()));
    let large = handle.publish("engine/1", Some(vec![0; 5000]));
    assert_eq!(large.unwrap_err().kind, Kind::Internal);
}

/// A steward whose connection breaks is lost at once: the caller's own time limit is far longer
/// than the hang limit of the test.
#[test]
fn a_broken_connection_ends_the_call() {
    let (a, b) = pair();
    let handle = b.service.handle();
    let caller = thread::spawn(move || handle.place(&host("a"), ask("held"), HANG * 10));
    let reply = a.recorder.wait(|it| it.held.pop());
    a.service.stop();
    let fault = caller.join().unwrap().unwrap_err();
    assert_eq!(fault.kind, Kind::StewardLost);
    drop(reply);
}

/// A permit that is granted after its caller has given up comes back unused.
#[test]
fn a_late_permit_is_given_back() {
    let (a, b) = pair();
    let handle = b.service.handle();
    let fault = handle.place(&host("a"), ask("held"), Duration::from_millis(200));
    assert_eq!(fault.unwrap_err().kind, Kind::StewardLost);
    let reply = a.recorder.wait(|it| it.held.pop());
    reply(Verdict::Granted(permit()));
    let unused = |it: &(_, _, _, Outcome)| it.3 == Outcome::Unused;
    a.recorder
        .wait(|it| it.releases.iter().any(unused).then_some(()));
}

/// A host that is not known is not asked.
#[test]
fn an_unknown_host_is_lost() {
    let (_a, b) = pair();
    let verdict = b.service.handle().place(&host("c"), ask("granted"), HANG);
    assert_eq!(verdict.unwrap_err().kind, Kind::StewardLost);
}

/// A host that leaves is seen to leave, and when it has gone, to be down.
#[test]
fn a_leaving_host_is_seen() {
    let (a, b) = pair();
    a.service.handle().leave();
    b.wait_until("a", Condition::Leaving);
    a.service.stop();
    b.wait_until("a", Condition::Down);
}

/// A host that is replaced under its name gets calls again, and its entries are its new ones.
#[test]
fn a_replaced_host_is_called() {
    let (a, b) = pair();
    a.service
        .handle()
        .publish("load", Some(b"old".to_vec()))
        .unwrap();
    b.recorder.wait(|it| it.entries.pop());
    let address = a.service.address();
    a.service.stop();
    let mut again = settings("a", crate::fixture::KEY, vec![b.service.address()]);
    again.me.holder.incarnation = 2;
    again.listen = address;
    again.me.address = address;
    let a = Node::start(again);
    b.recorder.wait(|it| {
        let up = |it: &member::Change| it.member().holder.incarnation == 2;
        it.changes.iter().any(up).then_some(())
    });
    let gone = b.recorder.wait(|it| it.entries.pop());
    assert_eq!(gone, (host("a"), "load".to_owned(), None));
    let verdict = b.service.handle().place(&host("a"), ask("granted"), HANG);
    assert_eq!(verdict.unwrap(), Verdict::Granted(permit()));
    a.service.stop();
}
