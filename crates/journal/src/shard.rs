//! One shard, as one host drives it: calls and results of I/O go in, the next I/O and verdicts
//! come out.
//!
//! The driver asks [`Shard::step`] for the next I/O, carries it out and reports the result with
//! exactly one of `listed`, `got`, `written`, `taken`, `lost` and `failed`. Only one I/O of a shard
//! is under way at a time.

mod call;
mod flight;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use kernel::permit::Holder;

use self::{
    call::{Call, Phase},
    flight::{Answer, Flight, Queued},
};
use crate::{
    index::Index,
    record::{Event, Moment, Outcome, Record, Start},
    scope::Digest,
    segment::{Number, Segment, Unreadable},
};

/// The number of a call that was handed in; later calls have higher ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The next I/O.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing is to be done.
    Idle,
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
    First(Start),
    /// The call was made before; this is its answer.
    Repeat(Outcome),
    /// The call is running.
    Running,
    /// The call was begun before and nobody knows its outcome. It is not made again.
    Unknown,
    /// The key was used for another call.
    Reused,
    /// Nothing could be recorded; this call is not made.
    Down(String),
}

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
}

/// Whether the end of the shard was seen since this host started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tail {
    Unread,
    Seen,
}

/// Whether a list goes on behind what was returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// That was all.
    End,
    /// There is more.
    More,
}

impl Shard {
    /// A shard that nothing is known of yet.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            index: Index::default(),
            next: Number(0),
            tail: Tail::Unread,
            calls: BTreeMap::new(),
            tickets: 0,
            queue: VecDeque::new(),
            flight: None,
            starting: HashMap::new(),
            endings: HashMap::new(),
            running: BTreeSet::new(),
            numbers: 0,
            issued: Ticket(0),
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
        self.settle(now);
        ticket
    }

    /// The verdict on a call, once there is one.
    pub fn take(&mut self, ticket: Ticket) -> Option<Verdict> {
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
    pub fn end(&mut self, key: Digest, start: &Start, event: Event) {
        self.running.remove(&start.number);
        self.endings.insert(key, event.clone());
        let record = Record {
            key,
            start: start.clone(),
            event,
        };
        self.queue.push_back(Queued {
            record,
            ticket: None,
        });
    }

    /// Whether the ending of a call is still to be written.
    pub fn is_ending(&self, key: Digest) -> bool {
        self.endings.contains_key(&key)
    }

    /// Whether records wait to be written.
    pub fn has_work(&self) -> bool {
        self.flight.is_some() || !self.queue.is_empty()
    }

    /// How many keys are known.
    pub fn keys(&self) -> usize {
        self.index.len()
    }

    /// The next I/O.
    pub fn step(&mut self, now: Moment) -> Step {
        self.settle(now);
        self.issued = Ticket(self.tickets);
        if let Some(flight) = &self.flight {
            return match flight.answer {
                Answer::Unseen => Step::List { from: self.next },
                Answer::Absent => flight.write(),
            };
        }
        let idle = self.queue.is_empty() && self.calls.values().all(Call::is_done);
        let refresh = self.calls.values().any(|it| it.phase == Phase::Refresh);
        if !idle && (self.tail == Tail::Unread || refresh) {
            return Step::List { from: self.next };
        }
        if let Some(segment) = self.calls.values().find_map(Call::fetches) {
            return Step::Get { segment };
        }
        if self.queue.is_empty() {
            return Step::Idle;
        }
        self.launch()
    }

    fn launch(&mut self) -> Step {
        let count = Segment::fitting(self.queue.iter().map(|it| &it.record));
        let queued: Vec<Queued> = self.queue.drain(..count).collect();
        let writer = self.start();
        let flight = Flight::new(self.next, writer, queued);
        let step = flight.write();
        self.flight = Some(flight);
        step
    }

    fn start(&mut self) -> Start {
        self.numbers += 1;
        Start {
            host: self.me.host.to_string(),
            incarnation: self.me.incarnation,
            number: self.numbers,
        }
    }

    /// The segments that a list returned, in order. Behind one that can't be read nothing is
    /// certain, so that calls which wait are not made.
    pub fn listed(
        &mut self,
        items: &[(Number, Vec<u8>)],
        rest: Rest,
        now: Moment,
    ) -> Result<(), Unreadable> {
        for (number, bytes) in items {
            if let Err(unreadable) = self.take_in(*number, bytes) {
                self.failed(&unreadable.to_string());
                return Err(unreadable);
            }
        }
        if rest == Rest::End {
            self.tail = Tail::Seen;
            self.refreshed();
            if let Some(flight) = &mut self.flight {
                flight.answer = Answer::Absent;
            }
        }
        self.settle(now);
        Ok(())
    }

    fn take_in(&mut self, number: Number, bytes: &[u8]) -> Result<(), Unreadable> {
        if number != self.next {
            return Err(Unreadable::Missing {
                wanted: self.next,
                found: number,
            });
        }
        let segment = Segment::from_bytes(number, bytes)?;
        let flight = self.flight.take();
        for record in &segment.records {
            self.index.take_in(number, record);
        }
        self.next = number.next();
        match flight {
            Some(flight) if flight.writer == segment.writer => self.land(flight),
            Some(flight) => self.requeue(flight),
            None => {}
        }
        Ok(())
    }

    /// The segment that was to be written is there.
    pub fn written(&mut self, now: Moment) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        for queued in &flight.queued {
            self.index.take_in(flight.segment, &queued.record);
        }
        self.next = flight.segment.next();
        self.land(flight);
        self.refreshed();
        self.settle(now);
    }

    /// Another segment has the number of the one that was to be written; it may also be the own
    /// one, written by an attempt whose answer was lost.
    pub fn taken(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
        }
    }

    /// The answer to a write was lost: it may have taken effect, or may still do so.
    pub fn lost(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
            flight.doubtful = true;
        }
    }

    /// An I/O had no effect. Calls that wait for it get their verdicts at once.
    pub fn failed(&mut self, reason: &str) {
        // A segment that may have been written keeps its place until that is settled.
        let certain = self.flight.take_if(|it| !it.doubtful);
        if let Some(flight) = certain {
            self.requeue(flight);
        }
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
        }
        self.queue.retain(|it| it.ticket.is_none());
        let flying = self.flight.as_ref();
        self.starting
            .retain(|_, ticket| flying.is_some_and(|it| it.carries(*ticket)));
        for call in self.calls.values_mut() {
            call.fail(reason);
        }
    }

    /// A segment that was read again for an outcome in it.
    pub fn got(&mut self, number: Number, bytes: Option<&[u8]>) {
        let segment = bytes.and_then(|it| Segment::from_bytes(number, it).ok());
        let records = segment.map(|it| it.records).unwrap_or_default();
        for call in self.calls.values_mut() {
            if call.phase != Phase::Fetch(number) {
                continue;
            }
            let found = records.iter().rev().find_map(|it| match &it.event {
                Event::Finished { outcome } if it.key == call.key => Some(outcome.clone()),
                _ => None,
            });
            let verdict = found.map_or(Verdict::Unknown, Verdict::Repeat);
            call.phase = Phase::Done(verdict);
        }
    }
}
