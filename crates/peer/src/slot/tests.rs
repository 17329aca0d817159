//! Waiting for answers.

use std::time::Duration;

use kernel::fault::Kind;

use super::new;

/// An answer that came before is taken; one that comes after the caller has given up comes back.
#[test]
fn answers_are_taken_or_come_back() {
    let (wait, reply) = new();
    assert_eq!(reply.fill(Ok(1)), Ok(()));
    assert_eq!(wait.wait(Duration::ZERO), Some(Ok(1)));
    let (wait, reply) = new();
    assert_eq!(wait.wait(Duration::ZERO), None);
    assert_eq!(reply.fill(Ok(2)), Err(Ok(2)));
}

/// A call that is dropped without an answer fails at once.
#[test]
fn a_dropped_call_fails() {
    let (wait, reply) = new::<u32>();
    drop(reply);
    let answer = wait.wait(Duration::MAX / 4).expect("the call failed");
    assert_eq!(answer.unwrap_err().kind, Kind::StewardLost);
}
