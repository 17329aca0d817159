//! Order of the requests that wait at a host for room at the engines of a service, and the return of those refused.
//!
//! Expected load: a burst of one route, or an account that sends many times its usual, while a part of the engines has
//! crashed. More requests wait than are served on time. If each of them asks on its own whether there is room, chance
//! decides: the account that sends most gets most, a late request takes the slot of one that could be on time, and
//! large prompts, which need more room at once, wait longest. If all that are refused come back after the same time,
//! they come as the next burst.
//!
//! Only requests for the same engine compete. An engine whose adapters are asked for too often therefore doesn't keep
//! back the requests for others, nor does an adapter that is still loaded.

pub mod elsewhere;
mod returns;
mod shares;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{Time, admission, table::Key};

use self::{elsewhere::Elsewhere, returns::Returns, shares::Shares};

/// Maximum number of requests of a host that wait for one engine. It bounds the work of a decision.
const MAX_WAITING_PER_ENGINE: usize = 64;

/// Time after which a request that has not asked for room again no longer keeps others back.
const MAX_SILENCE: Duration = Duration::from_millis(150);

/// Time for which accounts that have more than their share leave time to the others, after one of those had to wait.
const YIELD_TIME: Duration = Duration::from_millis(500);

/// A request that asks for room at an engine.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Client account; `None` if the request needs none.
    pub account: Option<Arc<str>>,
    /// Tokens of the prompt and of the longest output.
    pub work: f64,
    /// Arrival of the request.
    pub arrived: Time,
    /// Time until which its first event is on time.
    pub target: Time,
    /// The engine chosen for it.
    pub engine: Key,
    /// Expected time to its first event at that engine, once it has a slot.
    pub service_time: Duration,
}

impl Claim {
    /// Returns whether the request is still on time if it gets a slot now.
    fn can_be_on_time(&self, now: Time) -> bool {
        now + self.service_time <= self.target
    }

    /// Returns whether the request would be sent to its engine, which has a queue of this length.
    fn is_admissible(&self, queue_wait: Duration, now: Time) -> bool {
        let waited = now.saturating_sub(self.arrived);
        let target = self.target.saturating_sub(self.arrived);
        admission::may_queue(waited, target, queue_wait + self.service_time, queue_wait)
    }
}

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Decision on a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// The request may take the room.
    Take,
    /// This request comes first.
    After(Ticket),
}

/// Result of [`Queue::wait`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// The request waits.
    Waiting(Ticket),
    /// Too many requests that come first wait for the engine.
    Full,
}

#[derive(Clone, Debug)]
struct Waiting {
    claim: Claim,
    has_excess: bool,
    asked_at: Time,
}

/// Place in the order; the least comes first.
type Rank = (bool, u8, bool, Time, Time, Ticket);

impl Waiting {
    fn rank(&self, ticket: Ticket, now: Time) -> Rank {
        let it = &self.claim;
        let is_late = !it.can_be_on_time(now);
        (
            is_late,
            it.priority,
            self.has_excess,
            it.target,
            it.arrived,
            ticket,
        )
    }

    fn is_active(&self, now: Time) -> bool {
        now.saturating_sub(self.asked_at) <= MAX_SILENCE
    }
}

/// Requests of one service that wait at this host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: HashMap<Ticket, Waiting>,
    lines: BTreeMap<Key, Vec<Ticket>>,
    next_ticket: u64,
    shares: Shares,
    elsewhere: Arc<Elsewhere>,
    returns: Returns,
    /// When a request of an account within its share last had to wait, and the urgency of the request.
    last_fair_wait: Option<(Time, u8)>,
}

impl Queue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request may take the room that its engine has now. `own` is its ticket, if it has waited.
    pub fn turn(
        &mut self,
        claim: &Claim,
        own: Option<Ticket>,
        queue_wait: Duration,
        now: Time,
    ) -> Turn {
        let Some(line) = self.lines.get(&claim.engine) else {
            return Turn::Take;
        };
        if line.iter().all(|it| Some(*it) == own) {
            return Turn::Take;
        }
        let rank = self.rank(claim, own, now);
        let first = self.lines[&claim.engine].iter().filter_map(|ticket| {
            let it = self.waiting.get(ticket)?;
            let competes = Some(*ticket) != own
                && it.is_active(now)
                && it.claim.is_admissible(queue_wait, now);
            competes.then(|| it.rank(*ticket, now))
        });
        match first.min() {
            Some(it) if it < rank => Turn::After(it.5),
            _ => Turn::Take,
        }
    }

    /// Lets a request wait for its engine, or goes on doing so. If too many wait, the last in the order leaves.
    pub fn wait(&mut self, claim: Claim, own: Option<Ticket>, now: Time) -> Entry {
        // It was displaced since it asked last.
        if own.is_some_and(|it| !self.waiting.contains_key(&it)) {
            return Entry::Full;
        }
        let rank = self.rank(&claim, own, now);
        let ticket = rank.5;
        if own.is_some() {
            self.leave(ticket);
        } else {
            self.next_ticket += 1;
        }
        let line = self.lines.entry(claim.engine).or_default();
        if line.len() >= MAX_WAITING_PER_ENGINE {
            let ranks = line
                .iter()
                .filter_map(|it| Some(self.waiting.get(it)?.rank(*it, now)));
            match ranks.max() {
                Some(last) if last > rank => self.leave(last.5),
                _ => return Entry::Full,
            }
        }
        let has_excess = rank.2;
        if !has_excess {
            self.last_fair_wait = Some((now, claim.priority));
        }
        self.lines.entry(claim.engine).or_default().push(ticket);
        let waiting = Waiting {
            claim,
            has_excess,
            asked_at: now,
        };
        self.waiting.insert(ticket, waiting);
        Entry::Waiting(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some(it) = self.waiting.remove(&ticket) else {
            return;
        };
        let engine = it.claim.engine;
        if let Some(line) = self.lines.get_mut(&engine) {
            line.retain(|it| *it != ticket);
            if line.is_empty() {
                self.lines.remove(&engine);
            }
        }
    }

    /// The engine for which a request waits.
    pub fn engine(&self, ticket: Ticket) -> Option<Key> {
        Some(self.waiting.get(&ticket)?.claim.engine)
    }

    /// The request that is first to take room at an engine.
    pub fn first(&self, engine: Key, now: Time) -> Option<Ticket> {
        let line = self.lines.get(&engine)?.iter();
        let ranks = line.filter_map(|ticket| {
            let it = self.waiting.get(ticket)?;
            it.is_active(now).then(|| it.rank(*ticket, now))
        });
        ranks.min().map(|it| it.5)
    }

    /// Number of requests that are served before this one at its engine.
    pub fn ahead(&mut self, claim: &Claim, own: Option<Ticket>, now: Time) -> usize {
        if !self.lines.contains_key(&claim.engine) {
            return 0;
        }
        let rank = self.rank(claim, own, now);
        let line = self.lines[&claim.engine].iter();
        let ranks = line.filter_map(|it| Some(self.waiting.get(it)?.rank(*it, now)));
        ranks.filter(|it| *it < rank).count()
    }

    /// Records that a request takes room at its engine. `work` is its tokens over the weight of its account
    /// ([`crate::account::Accounts::weight`]).
    pub fn record_taken(&mut self, account: Option<&Arc<str>>, work: f64, now: Time) {
        self.shares.record(account, work, now);
        self.returns.record_served(now);
    }

    /// Sets the work of other hosts, which counts for the shares of accounts.
    pub fn set_elsewhere(&mut self, work: Arc<Elsewhere>) {
        self.elsewhere = work;
    }

    /// Returns the target by which a request may queue at an engine. As long as requests of other accounts have to wait,
    /// an account that has more than its share leaves them a part of the time, as a less urgent route does. Otherwise the
    /// account that sends most would take all room at the engines as it comes free.
    pub fn target(
        &mut self,
        target: Duration,
        account: Option<&Arc<str>>,
        priority: u8,
        now: Time,
    ) -> Duration {
        let others_wait = self.last_fair_wait.is_some_and(|(at, urgency)| {
            now.saturating_sub(at) <= YIELD_TIME && urgency <= priority
        });
        if others_wait && self.shares.has_excess(account, &self.elsewhere, now) {
            admission::yielding_target(target)
        } else {
            target
        }
    }

    /// Returns when a refused caller is to come back, who has `left` of its time.
    pub fn retry_after(
        &mut self,
        drain: Duration,
        left: Duration,
        random: f64,
        now: Time,
    ) -> Duration {
        self.returns.next(drain, left, random, now)
    }

    fn rank(&mut self, claim: &Claim, own: Option<Ticket>, now: Time) -> Rank {
        let has_excess = (self.shares).has_excess(claim.account.as_ref(), &self.elsewhere, now);
        let ticket = own.unwrap_or(Ticket(self.next_ticket));
        (
            !claim.can_be_on_time(now),
            claim.priority,
            has_excess,
            claim.target,
            claim.arrived,
            ticket,
        )
    }
}
