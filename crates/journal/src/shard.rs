//! One shard, as one host drives it: calls and results of I/O go in, the next I/O and verdicts
//! come out.
//!
//! The driver asks [`Shard::step`] for the next I/O, carries it out and reports the result with
//! exactly one of `found`, `listed`, `got`, `written`, `taken`, `lost` and `failed`. Only one I/O of a shard
//! is under way at a time.

mod call;
mod flight;
mod floor;
mod result;
mod step;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use kernel::permit::Holder;

use self::{
    call::{Call, Phase},
    flight::{Flight, Queued},
    floor::Floor,
};
use crate::{
    index::Index,
    record::{Attempt, Event, Moment, Outcome, Record},
    scope::Digest,
    segment::Number,
};

/// The number of a call that was handed in; later calls have higher ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The next I/O.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing is to be done.
    Idle,
    /// Read where the segments begin that are still needed.
    ReadFloor,
    /// List the segments from this one on.
    List {
        /// The first segment that is wanted.
        from: Number,
    },
    /// Read one segment again, for an outcome in it.
    Get {
        /// The segment.
        segment: Number,
    },
    /// Create a segment that must be absent.
    Write {
        /// The segment.
        segment: Number,
        /// Its content.
        bytes: Vec<u8>,
    },
}

/// What a host may do about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// This host, and no other, may make the call now, once.
    First(Attempt),
    /// The call was made before; this is its answer.
    Repeat(Outcome),
    /// The call is running.
    Running,
    /// The call was begun before and nobody knows its outcome. It is not made again.
    OutcomeUnknown,
    /// The key was used for another call.
    KeyReused,
    /// Nothing could be recorded; this call is not made.
    Unavailable(String),
}

/// How old the view of a shard's end may be when a write begins, and how long the write may take.
/// Both, and a write of another host that took as long, are over before the earliest segment that
/// the view lacks can be deleted.
pub const MAX_VIEW_AGE: Duration = Duration::from_hours(6);

/// The state of one shard on one host.
#[derive(Clone, Debug)]
pub struct Shard {
    me: Holder,
    index: Index,
    /// The first segment that is not known.
    next: Number,
    tail: Tail,
    calls: BTreeMap<Ticket, Call>,
    tickets: u64,
    queue: VecDeque<Queued>,
    flight: Option<Flight>,
    /// Keys whose start is in the queue or in flight.
    starting: HashMap<Digest, Ticket>,
    /// Endings of own calls that are not written yet.
    endings: HashMap<Digest, Event>,
    /// Own calls that are running.
    running: BTreeSet<u64>,
    numbers: u64,
    /// Calls below this ticket were there when the I/O under way began.
    issued: Ticket,
    /// When the I/O under way began.
    issued_at: Moment,
    /// When the I/O began that saw the end of the shard last.
    seen_at: Moment,
    floor: Floor,
    reading: Reading,
}

/// When a shard is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// When a call needs it.
    OnDemand,
    /// At once.
    Wanted,
}

/// How much of the shard this host has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tail {
    /// Nothing; it is not known where the shard begins.
    Unknown,
    /// Not all of it.
    Unread,
    /// All of it, at some time.
    Seen,
}

/// Whether a list goes on behind what was returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// That was all.
    Complete,
    /// There is more.
    Partial,
}

impl Shard {
    /// A shard that nothing is known of yet.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            index: Index::default(),
            next: Number(0),
            tail: Tail::Unknown,
            calls: BTreeMap::new(),
            tickets: 0,
            queue: VecDeque::new(),
            flight: None,
            starting: HashMap::new(),
            endings: HashMap::new(),
            running: BTreeSet::new(),
            numbers: 0,
            issued: Ticket(0),
            issued_at: Moment(0),
            seen_at: Moment(0),
            floor: Floor::default(),
            reading: Reading::OnDemand,
        }
    }

    /// Hands in a call; the call has ended by `run_by`, whatever its outcome.
    pub fn begin(
        &mut self,
        key: Digest,
        fingerprint: Digest,
        run_by: Moment,
        now: Moment,
    ) -> Ticket {
        let ticket = Ticket(self.tickets);
        self.tickets += 1;
        self.calls
            .insert(ticket, Call::new(key, fingerprint, run_by));
        self.examine(ticket, now);
        ticket
    }

    /// The verdict on a call, once there is one.
    pub fn take_verdict(&mut self, ticket: Ticket) -> Option<Verdict> {
        let done = matches!(self.calls.get(&ticket)?.phase, Phase::Done(_));
        if !done {
            return None;
        }
        match self.calls.remove(&ticket)?.phase {
            Phase::Done(verdict) => Some(verdict),
            _ => None,
        }
    }

    /// Gives a call up that has no verdict yet: its caller doesn't wait any more, and it is not
    /// made.
    pub fn abandon(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        if let Phase::Done(Verdict::First(start)) = call.phase {
            self.end(call.key, &start, Event::Void);
            return;
        }
        // A start that is in flight may land; it is declared void then.
        let queued = self.queue.iter().position(|it| it.ticket == Some(ticket));
        if let Some(position) = queued {
            self.queue.remove(position);
            self.starting.remove(&call.key);
        }
    }

    /// Records how an own call ended.
    pub fn end(&mut self, key: Digest, attempt: &Attempt, event: Event) {
        self.running.remove(&attempt.number);
        self.endings.insert(key, event.clone());
        let record = Record {
            key,
            attempt: attempt.clone(),
            event,
        };
        self.queue.push_back(Queued {
            record,
            ticket: None,
        });
    }

    /// Whether the ending of a call is still to be written.
    pub fn has_pending_end(&self, key: Digest) -> bool {
        self.endings.contains_key(&key)
    }

    /// Whether records wait to be written.
    pub fn has_pending_writes(&self) -> bool {
        self.flight.is_some() || !self.queue.is_empty()
    }

    /// Asks for the shard to be read before a call needs it.
    pub fn request_preload(&mut self) {
        if self.tail != Tail::Seen {
            self.reading = Reading::Wanted;
        }
    }

    /// Whether the shard is to be read before a call needs it, and has not been.
    pub fn needs_preload(&self) -> bool {
        self.reading == Reading::Wanted
    }

    /// How many keys are known.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }
}
