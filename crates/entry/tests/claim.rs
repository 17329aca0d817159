//! Claiming an engine.

use std::time::Duration;

use entry::claim::{self, Acquisition, Confirmation, FENCE_STEP, Liveness, Record, State};
use kernel::permit::Holder;
use objects::object::{Events, Failure, Object, Page, Reason, Store, Version};
use steward::Predecessor;

fn holder(host: &str, incarnation: u64) -> Holder {
    Holder {
        host: host.parse().unwrap(),
        incarnation,
    }
}

fn record(host: &str, incarnation: u64, state: State) -> Record {
    Record {
        holder: holder(host, incarnation),
        fence: 5 * FENCE_STEP + 7,
        state,
    }
}

fn check(found: Option<Record>, liveness: Liveness, expected: Predecessor) {
    let me = holder("me", 2);
    let fence = found.as_ref().map_or(FENCE_STEP, |_| 6 * FENCE_STEP);
    let version = found.as_ref().map(|_| 9);
    let acquisition = claim::plan_acquisition(found.map(|it| (9, it)), &me, liveness, 0);
    let record = Record {
        holder: me,
        fence,
        state: State::Held,
    };
    let expected = Acquisition::Write {
        version,
        record,
        predecessor: expected,
    };
    assert_eq!(acquisition, expected);
}

/// Covers: the fencing token rises with each change of the holder, and a predecessor counts as
/// ended only with proof.
#[test]
fn predecessor_follows_from_record_and_liveness() {
    check(None, Liveness::Terminated, Predecessor::None);
    check(
        Some(record("other", 1, State::Held)),
        Liveness::MayBeRunning,
        Predecessor::Unknown,
    );
    check(
        Some(record("other", 1, State::Held)),
        Liveness::Terminated,
        Predecessor::Gone,
    );
    check(
        Some(record("other", 1, State::Released)),
        Liveness::MayBeRunning,
        Predecessor::Released,
    );
    check(
        Some(record("me", 1, State::Held)),
        Liveness::MayBeRunning,
        Predecessor::Gone,
    );
    check(
        Some(record("me", 2, State::Released)),
        Liveness::MayBeRunning,
        Predecessor::Released,
    );
}

/// Covers: a process recognizes its own record after the response to its write was lost.
#[test]
fn own_record_is_held() {
    let found = Some((9, record("me", 2, State::Held)));
    let acquisition = claim::plan_acquisition(found, &holder("me", 2), Liveness::MayBeRunning, 0);
    let fence = 5 * FENCE_STEP + 7;
    assert_eq!(acquisition, Acquisition::Held { fence });
}

/// Covers: a record can be parsed from its serialized form, and invalid bytes are rejected.
#[test]
fn record_round_trips() {
    let it = record("other", 7, State::Released);
    assert_eq!(Record::from_bytes(&it.to_bytes()), Ok(it));
    assert!(Record::from_bytes(b"{}").is_err());
    assert!(Record::from_bytes(&[0xff]).is_err());
}

/// Covers: unconfirmed fencing tokens lie between two confirmed ones, differ between hosts, and
/// are confirmed unless another host was confirmed first.
#[test]
fn unconfirmed_fence_lies_between_confirmed_ones() {
    let other = record("other", 1, State::Held);
    let me = holder("me", 2);
    let fence = claim::unconfirmed_fence(other.fence, &me);
    assert!((other.fence + 1..6 * FENCE_STEP).contains(&fence));
    assert_ne!(
        fence,
        claim::unconfirmed_fence(other.fence, &holder("you", 2))
    );
    let expected = Confirmation::Write {
        version: Some(9),
        record: Record {
            holder: me.clone(),
            fence,
            state: State::Held,
        },
    };
    assert_eq!(
        claim::plan_confirmation(Some((9, other.clone())), &me, fence),
        expected
    );
    let later = Record {
        fence: 6 * FENCE_STEP,
        ..other
    };
    assert_eq!(
        claim::plan_confirmation(Some((9, later)), &me, fence),
        Confirmation::Lost
    );
}

/// Covers: a confirmed fencing token exceeds an unconfirmed one that the claim object does not
/// contain.
#[test]
fn confirmed_fence_exceeds_every_known_fence() {
    let found = Some((9, record("other", 1, State::Held)));
    let highest = 7 * FENCE_STEP + 100;
    let acquisition =
        claim::plan_acquisition(found, &holder("me", 2), Liveness::MayBeRunning, highest);
    let Acquisition::Write { record, .. } = acquisition else {
        panic!("{acquisition:?}");
    };
    assert_eq!(record.fence, 8 * FENCE_STEP);
}

/// A platform that becomes unavailable during a write, whose response is lost.
struct LostPlatform;

impl Store for LostPlatform {
    fn get(&self, _: Reason, _: &str) -> Result<Option<Object>, Failure> {
        let reason = "outage".to_owned();
        Err(Failure::Unavailable { reason })
    }

    fn create(&self, _: Reason, _: &str, _: &[u8]) -> Result<Version, Failure> {
        let reason = "no response".to_owned();
        Err(Failure::Unknown { reason })
    }

    fn update(&self, _: Reason, _: &str, _: Version, _: &[u8]) -> Result<Version, Failure> {
        unimplemented!()
    }

    fn delete(&self, _: Reason, _: &str, _: Version) -> Result<(), Failure> {
        unimplemented!()
    }

    fn list(&self, _: Reason, _: &str, _: &str, _: usize) -> Result<Page, Failure> {
        unimplemented!()
    }

    fn watch(&self, _: Reason, _: &str, _: Version, _: Duration) -> Result<Events, Failure> {
        unimplemented!()
    }
}

/// Covers: a claim that may have been written, and can't be read back.
#[test]
fn a_write_that_may_have_taken_effect_is_not_reported_as_without_effect() {
    let record = record("me", 2, State::Held);
    let written = claim::store::write(&LostPlatform, "steward/e", None, &record);
    let reason = "no response".to_owned();
    assert_eq!(written, Err(Failure::Unknown { reason }));
}
