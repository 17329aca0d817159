//! The state machine of one shard on one host. Its inputs are calls and the results of I/O
//! operations; its outputs are the next I/O operation and the verdicts on calls.
//!
//! The driver gets the next operation from [`Shard::next_step`], performs it and reports the result
//! with exactly one of `on_floor_read`, `on_listed`, `on_segment_read`, `on_written`,
//! `on_number_taken`, `on_write_lost` and `on_failed`. At most one operation of a shard is in
//! progress at a time.

mod call;
mod floor;
mod pending_write;
mod result;
mod step;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use kernel::permit::Holder;

use self::{
    call::{Call, Phase},
    floor::Floor,
    pending_write::{PendingWrite, Queued},
};
use crate::{
    index::Index,
    record::{Attempt, Event, Moment, Outcome, Record},
    scope::Digest,
    segment::Number,
};

/// The number of a submitted call. Later calls have higher numbers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// An I/O operation for the driver to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// There is nothing to do.
    Idle,
    /// Read the floor of the shard.
    ReadFloor,
    /// List the segments from a number on.
    List {
        /// The number of the first segment to list.
        from: Number,
    },
    /// Read a segment again to get an outcome from it.
    Get {
        /// The number of the segment.
        segment: Number,
    },
    /// Create a segment, provided that its object does not exist.
    Write {
        /// The number of the segment.
        segment: Number,
        /// The content of the segment.
        bytes: Vec<u8>,
    },
}

/// The decision about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// This host is the first to use the key. Only this host may make the call, once.
    First(Attempt),
    /// The call was made before with this answer.
    Repeat(Outcome),
    /// The call is running.
    Running,
    /// The call was started before and its outcome is unknown. It is not made again.
    OutcomeUnknown,
    /// The key was used for a different request.
    KeyReused,
    /// The start of the call can't be recorded for this reason. The call is not made.
    Unavailable(String),
}

/// The maximum age of a host's view of a shard's end when a write starts, and the maximum duration
/// of the write.
///
/// The sum of both and of an equally long write by another host is less than the time after which
/// the first segment missing from the view can be deleted. A write based on a stale view therefore
/// can't reuse the number of a deleted segment.
pub const MAX_VIEW_AGE: Duration = Duration::from_hours(6);

/// The state of one shard on one host.
#[derive(Clone, Debug)]
pub struct Shard {
    holder: Holder,
    index: Index,
    /// The number after the last segment that was read or written.
    next_segment: Number,
    coverage: Coverage,
    calls: BTreeMap<Ticket, Call>,
    next_ticket: u64,
    queue: VecDeque<Queued>,
    pending_write: Option<PendingWrite>,
    /// Keys whose start record is queued or being written.
    pending_starts: HashMap<Digest, Ticket>,
    /// The ends of this host's calls that are not written yet.
    pending_ends: HashMap<Digest, Event>,
    /// The attempt numbers of this host's running calls.
    running: BTreeSet<u64>,
    last_attempt: u64,
    /// Calls with a lower ticket were submitted before the current I/O operation started.
    first_newer_ticket: Ticket,
    /// The start time of the current I/O operation.
    io_started_at: Moment,
    /// The start time of the last I/O operation that reached the end of the shard.
    end_seen_at: Moment,
    floor: Floor,
    preload: Preload,
}

/// The state of a request to read the shard before a call needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Preload {
    /// The shard is read when a call needs it.
    NotRequested,
    /// The shard is to be read as soon as possible.
    Requested,
}

/// The part of the shard that this host has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Coverage {
    /// The host has read nothing and does not know the floor.
    Unknown,
    /// The host has not reached the end of the shard.
    Partial,
    /// The host has reached the end of the shard; other hosts may have appended segments since.
    Complete,
}

/// The completeness of a list of segments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// The list includes the last segment.
    Complete,
    /// More segments follow.
    Partial,
}

impl Shard {
    /// Creates the state of a shard that has not been read.
    pub fn new(holder: Holder) -> Self {
        Self {
            holder,
            index: Index::default(),
            next_segment: Number(0),
            coverage: Coverage::Unknown,
            calls: BTreeMap::new(),
            next_ticket: 0,
            queue: VecDeque::new(),
            pending_write: None,
            pending_starts: HashMap::new(),
            pending_ends: HashMap::new(),
            running: BTreeSet::new(),
            last_attempt: 0,
            first_newer_ticket: Ticket(0),
            io_started_at: Moment(0),
            end_seen_at: Moment(0),
            floor: Floor::default(),
            preload: Preload::NotRequested,
        }
    }

    /// Submits a call. The caller ensures that the call has ended by `run_by`, whatever its outcome.
    pub fn begin(
        &mut self,
        key: Digest,
        fingerprint: Digest,
        run_by: Moment,
        now: Moment,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.calls
            .insert(ticket, Call::new(key, fingerprint, run_by));
        self.examine(ticket, now);
        ticket
    }

    /// Removes and returns the verdict on a call, if there is one.
    pub fn take_verdict(&mut self, ticket: Ticket) -> Option<Verdict> {
        let is_done = matches!(self.calls.get(&ticket)?.phase, Phase::Done(_));
        if !is_done {
            return None;
        }
        match self.calls.remove(&ticket)?.phase {
            Phase::Done(verdict) => Some(verdict),
            _ => None,
        }
    }

    /// Withdraws a call whose caller no longer waits for the verdict. The call is not made.
    pub fn abandon(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        if let Phase::Done(Verdict::First(attempt)) = call.phase {
            self.end(call.key, &attempt, Event::Void);
            return;
        }
        // A start record that is being written may still become part of the shard. The call is
        // then recorded as void.
        let queued = self.queue.iter().position(|it| it.ticket == Some(ticket));
        if let Some(position) = queued {
            self.queue.remove(position);
            self.pending_starts.remove(&call.key);
        }
    }

    /// Queues a record of the end of a call that this host made.
    pub fn end(&mut self, key: Digest, attempt: &Attempt, event: Event) {
        self.running.remove(&attempt.number);
        self.pending_ends.insert(key, event.clone());
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

    /// Returns whether the end of a call has not been written yet.
    pub fn has_pending_end(&self, key: Digest) -> bool {
        self.pending_ends.contains_key(&key)
    }

    /// Returns whether records are queued or being written.
    pub fn has_pending_writes(&self) -> bool {
        self.pending_write.is_some() || !self.queue.is_empty()
    }

    /// Requests that the shard is read before a call needs it.
    pub fn request_preload(&mut self) {
        if self.coverage != Coverage::Complete {
            self.preload = Preload::Requested;
        }
    }

    /// Returns whether a requested preload has not completed yet.
    pub fn needs_preload(&self) -> bool {
        self.preload == Preload::Requested
    }

    /// Returns the number of keys in the index.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }
}
