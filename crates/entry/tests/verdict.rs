//! The verdict on a permit request to this host's own steward.

use std::{
    sync::mpsc::{self, RecvTimeoutError, TryRecvError},
    time::Duration,
};

use entry::verdict::channel;
use kernel::permit::{Number, Permit, Verdict};

const TIMEOUT: Duration = Duration::from_secs(10);

fn permit() -> Permit {
    Permit {
        number: Number(1),
        upstream: "e1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        loaded: "s/a@1+1".parse().unwrap(),
        fence: 1,
        start_by: Duration::ZERO,
        run_by: Duration::ZERO,
        load_stall: Duration::ZERO,
        queue_wait: Duration::ZERO,
    }
}

/// Covers: a permit granted before and after the request is withdrawn.
#[test]
fn a_permit_for_a_withdrawn_request_is_returned() {
    let (sender, returned) = mpsc::channel();
    let (reply, waiter) = channel(move |it| sender.send(it).unwrap());
    reply(Verdict::Granted(permit()));
    assert_eq!(waiter.withdraw(), Some(permit()));
    assert_eq!(returned.try_recv(), Err(TryRecvError::Disconnected));

    let (sender, returned) = mpsc::channel();
    let (reply, waiter) = channel(move |it| sender.send(it).unwrap());
    assert_eq!(waiter.withdraw(), None);
    reply(Verdict::Granted(permit()));
    assert_eq!(returned.try_recv(), Ok(permit()));
}

/// Covers: a verdict that arrives, and one that never will.
#[test]
fn verdicts_are_received() {
    let (reply, waiter) = channel(|it| panic!("{it:?} was returned"));
    reply(Verdict::Granted(permit()));
    assert_eq!(waiter.wait(TIMEOUT), Ok(Verdict::Granted(permit())));
    let (reply, waiter) = channel(|it| panic!("{it:?} was returned"));
    drop(reply);
    assert_eq!(waiter.wait(TIMEOUT), Err(RecvTimeoutError::Disconnected));
}
