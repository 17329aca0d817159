//! Request in progress at an engine.

use std::{rc::Rc, time::Duration};

use fleet::{
    Time,
    capacity::{Load, Samples},
    listing::Name,
    origin::BuildId,
    prefix::Chain,
    reading::End,
    table::Key,
};
use hyper::Response;
use tokio::time;

use crate::{
    call, clock,
    connection::{self, Connection},
    gateway::Gateway,
    gossip::Gossip,
};

/// Maximum time for the rest of a response that is not forwarded. The next attempt waits for it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum size of the body of a response that is not forwarded, in bytes. More costs as much as a new connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Time after the first event in which a response counts as just begun.
const BEGINNING: Duration = Duration::from_secs(1);

/// Request in progress at an engine, counted in the engine's workload. Dropping it closes the
/// connection, which cancels the request at the engine.
pub struct InFlight {
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    pub(crate) key: Key,
    /// Build of the engine when the request was sent; `None` if the engine is unknown.
    build: Option<BuildId>,
    name: Option<Name>,
    /// Prompt tokens that the engine has yet to prefill.
    pub(crate) prefill_tokens: u32,
    pub(crate) connection: Option<Connection>,
    pub(crate) sent_at: Time,
    /// When the first event of a stream arrived.
    begun_at: Option<Time>,
    /// Time to the first event that was expected at placement.
    pub(crate) expected_wait: Duration,
    /// Prompt tokens that the engine had to prefill until the first event, when the request was sent; `None` if the request
    /// had to wait for a slot first.
    tokens_ahead: Option<f64>,
    /// Load of the engine when the request was sent, and until its first event.
    load: Load,
    /// Number of the attempt in the trace of its request.
    pub(crate) attempt: usize,
}

impl InFlight {
    /// Counts a request that is about to be sent to an engine.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        gossip: &Rc<Gossip>,
        key: Key,
        name: Option<Name>,
        chain: &Chain,
    ) -> Self {
        let now = clock::now();
        let mut prefill_tokens = 0;
        let mut build = None;
        let mut tokens_ahead = None;
        let mut load = Load::Busy;
        if let Some(engine) = gateway.table.borrow_mut().get_mut(key) {
            build = Some(BuildId::of(&engine.listing));
            prefill_tokens = chain
                .tokens()
                .saturating_sub(engine.prefix_cache.cached_tokens(chain));
            engine.backoff.record_start(now);
            if engine.has_free_slot(now) {
                let pending = engine.pending_prefill_tokens(now);
                load = engine.load(now);
                tokens_ahead = Some(pending + f64::from(prefill_tokens));
            }
            engine.record_sent(None, prefill_tokens, now);
            engine.local_work.running += 1;
            engine.local_work.prefill_tokens += prefill_tokens;
            engine.record_prompt(prefill_tokens, now);
            engine.prefix_cache.insert(chain);
            if let Some(estimate) = name.as_ref().and_then(|it| engine.held.get_mut(it)) {
                estimate.running += 1;
                estimate.record_uses(now, 1);
            }
        }
        if let Some(name) = &name {
            gateway.peers.borrow_mut().count_start(key, name);
        }
        Self {
            gateway: gateway.clone(),
            gossip: gossip.clone(),
            key,
            build,
            name,
            prefill_tokens,
            connection: None,
            sent_at: now,
            begun_at: None,
            expected_wait: Duration::ZERO,
            tokens_ahead,
            load,
            attempt: 0,
        }
    }

    /// Build of the engine that sends the response, by its current entry. If the engine has started again since the request
    /// was sent and the connection lives on, it is one to the new incarnation, whose entry may have been read since.
    pub(crate) fn build(&self) -> Option<BuildId> {
        let table = self.gateway.table.borrow();
        let listed = table.get(self.key).map(|it| BuildId::of(&it.listing));
        listed.or(self.build)
    }

    /// When the connection of the request was opened.
    pub(crate) fn connected_at(&self) -> Option<Time> {
        self.connection.as_ref()?.opened_at()
    }

    /// Records that the first event of the response has arrived, so the prefill is done.
    pub(crate) fn record_first_event(&mut self) {
        let now = clock::now();
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(self.key) {
            self.load = engine.load_since(self.sent_at, self.load);
            engine.local_work.prefill_tokens = engine
                .local_work
                .prefill_tokens
                .saturating_sub(self.prefill_tokens);
            engine.record_prefilled(self.sent_at, now);
        }
        self.record_speed(now);
        self.end_prompt(End::Read, now);
        self.prefill_tokens = 0;
        self.begun_at = Some(now);
    }

    /// Records the end of the prompt, and announces it to other hosts.
    fn end_prompt(&self, end: End, now: Time) {
        if self.prefill_tokens == 0 {
            return;
        }
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(self.key) else {
            return;
        };
        let tokens = self.prefill_tokens;
        engine.reading.record_end(None, tokens, end, now);
        let id = engine.listing.id.clone();
        drop(table);
        self.gossip.announce_prompt_end(&id, tokens, end);
    }

    /// Records how long the engine took until the first event. After a suspension of this host that isn't known.
    fn record_speed(&self, now: Time) {
        let tokens = self.tokens_ahead.filter(|_| self.prefill_tokens > 0);
        let Some(tokens) = tokens.filter(|_| self.sent_at >= self.gateway.caught_up_at.get())
        else {
            return;
        };
        let sample = Samples::of(tokens, now.saturating_sub(self.sent_at));
        self.gateway
            .record_speed(self.key, sample, self.load, "own");
        let mut samples = self.gateway.speed_samples.borrow_mut();
        samples
            .entry((self.key, self.load))
            .or_default()
            .add(sample);
    }

    /// Returns whether the engine has just begun to generate the response, or may be about to.
    pub(crate) fn may_be_beginning(&self) -> bool {
        (self.begun_at).is_none_or(|it| clock::now() < it + BEGINNING)
    }

    /// Returns the connection to the pool after the whole response was read.
    pub(crate) fn release_connection(mut self, keep_alive: Option<Duration>) {
        if let Some(connection) = self.connection.take() {
            connection.release(keep_alive);
        }
    }

    /// Reads a response that is not forwarded, so that its connection can be reused. The connection is closed
    /// if the rest of the response is long.
    pub(crate) async fn discard_response(self, response: Response<connection::Body>) {
        let (head, body) = response.into_parts();
        let result = time::timeout(DISCARD_TIMEOUT, body.discard(MAX_DISCARDED_BYTES)).await;
        match result {
            Ok(Ok(())) => self.release_connection(call::keep_alive_timeout(&head.headers)),
            Ok(Err(error)) => log::debug!("discarded response: {error}"),
            Err(_) => log::debug!("discarded response: no end within {DISCARD_TIMEOUT:?}"),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end_prompt(End::Dropped, clock::now());
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(self.key) else {
            return;
        };
        engine.local_work.running = engine.local_work.running.saturating_sub(1);
        engine.local_work.prefill_tokens = engine
            .local_work
            .prefill_tokens
            .saturating_sub(self.prefill_tokens);
        if let Some(estimate) = self.name.as_ref().and_then(|it| engine.held.get_mut(it)) {
            estimate.running = estimate.running.saturating_sub(1);
        }
        let service = engine.listing.service.clone();
        let now = clock::now();
        if let Some(it) = self.begun_at {
            table.record_run(&service, now.saturating_sub(it));
        }
        drop(table);
        self.gateway.queues.wake_first(&service, self.key, now);
    }
}
