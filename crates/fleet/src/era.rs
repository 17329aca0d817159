//! Eras of the store. A store that comes back from an older copy begins a new era: it has lost its latest
//! changes and assigns their revisions again. A revision therefore identifies a change only within an era.

use std::time::Duration;

use crate::{Time, lease};

/// Number of an era; 0 for a store that doesn't state one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

/// A change in the history of the store. Later changes compare greater, also across eras.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The era in which the store assigned the revision.
    pub era: Era,
    /// The revision.
    pub rev: u64,
}

/// The era that an answer of the store states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement {
    /// The answer states no era.
    Absent,
    /// The answer states this era.
    Stated(Era),
    /// The statement can't be parsed.
    Unreadable,
}

/// Relation of an answer of the store to the current era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer belongs to the current era, which is the first known one or unchanged.
    Current(Era),
    /// The answer is the first one of a new era.
    Advanced {
        /// The previous era.
        from: Era,
        /// The new era.
        to: Era,
    },
    /// The answer belongs to an earlier era and must be discarded.
    Outdated,
    /// The era of the answer is unknown. No claim may be based on it.
    Unknown,
}

/// Tracks the current era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker(Option<Known>);

/// The current era.
#[derive(Clone, Copy, Debug)]
struct Known {
    era: Era,
    /// Earliest time at which the era is known to have begun.
    since: Time,
    /// True if no host can have a lease of an earlier era.
    is_first: bool,
}

/// Origin of the fleet at the start of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// The fleet starts for the first time, so there are no earlier leases.
    First,
    /// Hosts may have run before.
    Later,
}

impl Tracker {
    /// Records the era that an answer states.
    pub fn observe(&mut self, statement: Statement, start: Start, now: Time) -> Verdict {
        let stated = match (statement, self.0) {
            (Statement::Stated(it), _) => it,
            (Statement::Absent, None) => Era(0),
            (Statement::Absent, Some(it)) if it.era == Era(0) => Era(0),
            (Statement::Absent | Statement::Unreadable, _) => return Verdict::Unknown,
        };
        match self.0 {
            Some(it) if stated < it.era => Verdict::Outdated,
            Some(it) if stated == it.era => Verdict::Current(stated),
            previous => {
                self.0 = Some(Known {
                    era: stated,
                    since: now,
                    is_first: previous.is_none() && start == Start::First,
                });
                match previous {
                    Some(it) => Verdict::Advanced {
                        from: it.era,
                        to: stated,
                    },
                    None => Verdict::Current(stated),
                }
            }
        }
    }

    /// Records that another host has known an era for some time.
    pub fn observe_age(&mut self, era: Era, age: Duration, now: Time) {
        if let Some(it) = &mut self.0
            && it.era == era
        {
            it.since = it.since.min(now.saturating_sub(age));
        }
    }

    /// Returns the current era, once an answer has stated it.
    pub fn current(&self) -> Option<Era> {
        self.0.map(|it| it.era)
    }

    /// Returns the time since the beginning of the current era, as far as it is known. In the first era of
    /// a fleet it is unlimited.
    pub fn age(&self, now: Time) -> Duration {
        match self.0 {
            Some(it) if it.is_first => Duration::MAX,
            Some(it) => now.saturating_sub(it.since),
            None => Duration::ZERO,
        }
    }

    /// Returns whether every lease of an earlier era has ended. Until then, a missing or old claim doesn't
    /// show that no host may send orders: the newer one may be among the lost changes.
    pub fn is_settled(&self, now: Time) -> bool {
        self.current() == Some(Era(0)) || self.age(now) >= lease::TERM
    }
}

/// Bits of a fencing token below the era. They hold every revision of a store with 10,000 changes a second
/// for three years.
const REVISION_BITS: u32 = 40;

/// Bits of a fencing token that hold the era. Both parts together stay within the 53 bits that a JSON number
/// represents exactly.
const ERA_BITS: u32 = 13;

/// Returns the fencing token of a claim that was written at this position; `None` if the position is out of
/// range. A later position gives a higher token, whatever host writes the claim. In era 0 the token
/// is the revision.
pub fn fencing_token(position: Position) -> Option<u64> {
    let Position { era, rev } = position;
    let in_range = era.0 < 1 << ERA_BITS && rev < 1 << REVISION_BITS;
    in_range.then_some(era.0 << REVISION_BITS | rev)
}
