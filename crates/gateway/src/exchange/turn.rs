//! Turns of a request at engines that limit the requests of all hosts together.

use std::time::Duration;

use fleet::{Time, listing::is_adapter, request_limit::Patience, table::Key};
use tokio::time;

use super::{
    Exchange,
    placement::{CLOSED_CHECK_INTERVAL, MAX_PACING_FRACTION},
};
use crate::{clock, gossip::GrantedTurn};

/// Minimum time for which a request may wait for a turn at an engine that limits its requests.
const MIN_TURN_WAIT: Duration = Duration::from_millis(100);

impl Exchange {
    /// Returns whether another engine takes requests now and could serve this one, perhaps after a load.
    pub(super) fn has_alternative(&self, key: Key, now: Time) -> bool {
        let name = self.request_head.name.as_ref();
        let table = self.gateway.table.borrow();
        let mut engines = table.iter();
        engines.any(|(other, it)| {
            other != key
                && it.listing.service == self.service
                && it.accepts_work()
                && it.closed_until(now).is_none()
                && !self.attempted_engines.contains(&other)
                && name.is_none_or(|name| is_adapter(name) || it.held.contains_key(name))
        })
    }

    /// Returns whether the request can be on time if it is sent now.
    pub(super) fn is_on_time(&self, now: Time) -> bool {
        let in_time = self.route.latency_target.mul_f64(MAX_PACING_FRACTION);
        now < self.started + in_time.max(MIN_TURN_WAIT)
    }

    /// Times for which the request may wait for a turn at an engine that limits its requests.
    pub(super) fn patience(&self, until: Time, now: Time) -> Patience {
        let longest = until.saturating_sub(now);
        let in_time = self.started + self.route.latency_target.mul_f64(MAX_PACING_FRACTION);
        let on_time = in_time.saturating_sub(now).max(MIN_TURN_WAIT);
        Patience {
            on_time: if self.has_begun {
                longest
            } else {
                on_time.min(longest)
            },
            longest,
        }
    }

    /// Returns whether an engine takes no request of this host only because others have the next turns.
    pub(super) fn lacks_turn(&self, key: Key, now: Time) -> bool {
        let table = self.gateway.table.borrow();
        table.get(key).is_some_and(|it| {
            it.taken_until(now).is_some() && it.backoff.closed_until(now).is_none()
        })
    }

    /// Returns whether requests are sent to an engine in turn only.
    fn needs_turn(&self, key: Key) -> bool {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        table.get(key).is_some_and(|it| it.needs_turn(now))
    }

    /// Returns whether an engine takes no request only because it has no room, which may change at any time.
    pub(super) fn lacks_only_room(&self, key: Key, now: Time) -> bool {
        let table = self.gateway.table.borrow();
        table.get(key).is_some_and(|it| {
            it.limit.rate().is_none()
                && it.lacks_room(now)
                && it.backoff.closed_until(now).is_none()
        })
    }

    /// Waits for a turn at an engine. Returns false if there is none. Without a limit no turn is needed.
    pub(super) async fn await_turn(&mut self, key: Key, patience: Patience) -> bool {
        let began_at = clock::now();
        let Ok(turn) = self.gossip.request_turn(key, patience).await else {
            return false;
        };
        let Some(turn) = turn else { return true };
        while clock::now() < turn.at
            && self.needs_turn(key)
            && self.is_valid_turn(&turn)
            && self.accepts_work(key)
        {
            let wait = turn.at.saturating_sub(clock::now());
            time::sleep(wait.min(CLOSED_CHECK_INTERVAL)).await;
        }
        self.trace.limit_wait += clock::now().saturating_sub(began_at);
        self.turn = Some(turn).filter(|it| self.is_valid_turn(it));
        self.turn.is_some() || !self.needs_turn(key)
    }

    /// Returns whether an engine still accepts work of this host, at its turns.
    fn accepts_work(&self, key: Key) -> bool {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let engine = table.get(key);
        engine.is_some_and(|it| it.accepts_work() && !it.backoff.is_closed(now))
    }

    /// Returns whether the request may be sent by a turn.
    fn is_valid_turn(&self, turn: &GrantedTurn) -> bool {
        let table = self.gateway.table.borrow();
        let engine = table.get(turn.engine);
        engine.is_some_and(|it| turn.is_valid(it, clock::now()))
    }

    /// Takes the turn for a request that is about to be sent to an engine, if the engine limits its requests. Returns
    /// false if there is no turn.
    pub(super) async fn take_turn(&mut self, key: Key) -> bool {
        let turn = self.turn.take().filter(|it| it.engine == key);
        if !self.needs_turn(key) || turn.is_some_and(|it| self.is_valid_turn(&it)) {
            return true;
        }
        let now = clock::now();
        self.gateway.record_room_wait(key);
        let patience = if self.has_alternative(key, now) {
            Patience {
                on_time: MIN_TURN_WAIT,
                longest: MIN_TURN_WAIT,
            }
        } else {
            let until = self.started + self.hold_time();
            self.patience(until.max(now + MIN_TURN_WAIT), now)
        };
        let has_turn = self.await_turn(key, patience).await;
        self.turn = None;
        has_turn
    }
}
