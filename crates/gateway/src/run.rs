//! A request that runs at an engine.

use std::{rc::Rc, time::Duration};

use fleet::{Time, listing::Name, prefix::Chain, table::Key};
use hyper::{Response, body::Incoming};
use tokio::time;

use crate::{call, channel::Channel, clock, gateway::Gateway};

/// A request that runs at an engine. Dropping it ends it there.
pub struct Run {
    gateway: Rc<Gateway>,
    pub(crate) key: Key,
    name: Option<Name>,
    pub(crate) unread: u32,
    pub(crate) channel: Option<Channel>,
    sent: Time,
    pub(crate) expected: Duration,
}

impl Run {
    /// Counts a request that is sent to an engine now.
    pub(crate) fn begin(
        gateway: &Rc<Gateway>,
        key: Key,
        name: Option<Name>,
        chain: &Chain,
    ) -> Self {
        let now = clock::now();
        let mut unread = 0;
        if let Some(engine) = gateway.table.borrow_mut().get_mut(key) {
            unread = chain
                .tokens()
                .saturating_sub(engine.prefix_cache.cached_tokens(chain));
            engine.local_work.running += 1;
            engine.local_work.prefill_tokens += unread;
            engine.record_prompt(unread, now);
            engine.prefix_cache.insert(chain);
            if let Some(belief) = name.as_ref().and_then(|it| engine.held.get_mut(it)) {
                belief.running += 1;
                belief.record_uses(now, 1);
            }
        }
        if let Some(name) = &name {
            gateway.peers.borrow_mut().began(key, name);
        }
        Self {
            gateway: gateway.clone(),
            key,
            name,
            unread,
            channel: None,
            sent: now,
            expected: Duration::ZERO,
        }
    }

    /// Notes that the first event is there.
    pub(crate) fn first_event(&mut self) {
        let now = clock::now();
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(self.key) {
            engine.local_work.prefill_tokens =
                engine.local_work.prefill_tokens.saturating_sub(self.unread);
            if self.unread > 0 {
                engine.record_first_event(self.sent, self.expected, now);
            }
        }
        self.unread = 0;
    }

    /// Keeps the connection after the whole answer was read.
    pub(crate) fn keep(mut self, named: Option<Duration>) {
        if let Some(channel) = self.channel.take() {
            channel.keep(named);
        }
    }

    /// Reads an answer that isn't passed on, so that the connection can be kept.
    pub(crate) async fn finish(self, answer: Response<Incoming>) {
        let within = Duration::from_millis(50);
        if let Ok(Ok((head, _))) = time::timeout(within, call::read(answer)).await {
            self.keep(call::kept_for(&head.headers));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(self.key) else {
            return;
        };
        engine.local_work.running = engine.local_work.running.saturating_sub(1);
        engine.local_work.prefill_tokens =
            engine.local_work.prefill_tokens.saturating_sub(self.unread);
        if let Some(belief) = self.name.as_ref().and_then(|it| engine.held.get_mut(it)) {
            belief.running = belief.running.saturating_sub(1);
        }
    }
}
