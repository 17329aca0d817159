//! Tests of the reply channel.

use std::time::Duration;

use kernel::fault::Kind;

use super::channel;

/// A result is received if it is sent in time, and returned to its sender if the waiter has timed
/// out.
#[test]
fn a_result_is_received_or_returned_to_its_sender() {
    let (waiter, reply) = channel();
    assert_eq!(reply.send(Ok(1)), Ok(()));
    assert_eq!(waiter.wait(Duration::ZERO), Some(Ok(1)));
    let (waiter, reply) = channel();
    assert_eq!(waiter.wait(Duration::ZERO), None);
    assert_eq!(reply.send(Ok(2)), Err(Ok(2)));
}

/// A call that is dropped without an answer fails at once.
#[test]
fn a_dropped_call_fails() {
    let (waiter, reply) = channel::<u32>();
    drop(reply);
    let result = waiter.wait(Duration::MAX / 4).expect("the call failed");
    assert_eq!(result.unwrap_err().kind, Kind::StewardLost);
}
