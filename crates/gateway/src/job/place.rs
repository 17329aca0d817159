//! Where a request goes, and the wait for its adapter.

use std::{rc::Rc, time::Duration};

use fleet::{
    Time,
    listing::Name,
    placement::{Choice, Placement},
    table::Key,
};
use tokio::time;

use crate::{
    clock,
    gateway::{Gateway, WAITERS},
    job::Job,
    reply::Fault,
};

/// Part of the caller's time after which a request that has no place is refused: the rest is for the
/// caller's next try.
const HOLD_PART: f64 = 0.3;

/// Part of the time for the first event for which a prompt waits here for its turn at an engine.
const PACED_PART: f64 = 0.6;

/// Pause between two looks at whether an engine has read enough.
const PACED: Duration = Duration::from_millis(15);

/// Longest time that a request without a place is held.
const HOLD: Duration = Duration::from_millis(2200);

/// Time after which a load is asked for again at the same host, since datagrams get lost.
const ASK_AGAIN: Duration = Duration::from_millis(90);

/// Asks to one host before the next in line is asked.
const ASKS: u32 = 5;

impl Job {
    /// How long it may be held without a place.
    pub(super) fn hold(&self) -> Duration {
        let whole = self.deadline.saturating_sub(self.began);
        whole.mul_f64(HOLD_PART).min(HOLD)
    }

    /// Finds a place, and waits for the adapter's load until then if there is none.
    pub(crate) async fn place(&mut self, until: Time) -> Result<Choice, Fault> {
        let name = self.envelope.name.clone();
        let until = until.min(self.deadline);
        let mut waiting: Option<Waiting> = None;
        loop {
            self.gateway.settle();
            let place = self.gateway.place(
                &self.service,
                name.as_ref(),
                &self.chain,
                self.route.max_gap,
                &self.tried,
            );
            let now = clock::now();
            match place {
                Placement::Send(choice) => {
                    if choice.wants_replica {
                        self.spread(name.as_ref(), choice.key).await;
                    }
                    // A plain instance that is full says so at once; what is expected of it is no reason.
                    if name.is_some() && now + choice.expected_wait > self.deadline {
                        return Err(Fault::Overload);
                    }
                    return Ok(choice);
                }
                Placement::Delay(choice) => {
                    // Waiting here costs nothing that waiting at the engine doesn't, and spares the
                    // streams that run there.
                    let paced = now < self.began + self.route.latency_target.mul_f64(PACED_PART);
                    if choice.wants_replica {
                        self.spread(name.as_ref(), choice.key).await;
                    }
                    if !paced {
                        return Ok(choice);
                    }
                    time::sleep(PACED).await;
                    self.story.paced += PACED;
                }
                Placement::Unavailable | Placement::Load if now >= until => {
                    return Err(match place {
                        Placement::Load => Fault::AdapterLoad,
                        _ => Fault::NoEngine,
                    });
                }
                Placement::Unavailable => time::sleep(Duration::from_millis(50)).await,
                Placement::Load => {
                    let Some(name) = &name else {
                        return Err(Fault::NoEngine);
                    };
                    if waiting.is_none() {
                        let it = Waiting::new(&self.gateway, name);
                        if it.wait.count.get() > WAITERS {
                            return Err(Fault::Overload);
                        }
                        waiting = Some(it);
                    }
                    let Some(waiting) = &waiting else { continue };
                    let due = self.gateway.comes(name);
                    if due.is_none() {
                        self.ask(name, waiting, now).await;
                    }
                    let there = waiting.wait.there.notified();
                    let soon = due.filter(|it| *it > now).map(|it| it.saturating_sub(now));
                    let pause = soon.unwrap_or(ASK_AGAIN).min(until.saturating_sub(now));
                    let _ = time::timeout(pause, there).await;
                    self.story.load += clock::now().saturating_sub(now);
                }
            }
        }
    }

    /// Asks for a load, unless another request has just done so.
    async fn ask(&self, name: &Name, waiting: &Waiting, now: Time) {
        let wait = &waiting.wait;
        if wait.asked.get().is_some_and(|it| it + ASK_AGAIN > now) {
            return;
        }
        wait.asked.set(Some(now));
        let asks = wait.asks.get();
        wait.asks.set(asks + 1);
        let nth = usize::try_from(asks / ASKS).unwrap_or(0);
        let waiting = u32::try_from(wait.count.get()).unwrap_or(u32::MAX);
        if !self
            .gossip
            .want(&self.service, name, None, waiting, nth)
            .await
        {
            log::debug!("nobody orders engines that could load {name}");
        }
    }

    /// Asks for one more copy of an adapter that is in demand, of one host after the other.
    async fn spread(&self, name: Option<&Name>, from: Key) {
        let Some(name) = name.filter(|it| fleet::listing::is_adapter(it)) else {
            return;
        };
        let now = clock::now();
        let Some((nth, uses)) = self.gateway.spreads(name, from, now) else {
            return;
        };
        self.gossip
            .want(&self.service, name, Some(uses), 0, nth)
            .await;
    }
}

/// One more request that waits for an adapter.
struct Waiting {
    gateway: Rc<Gateway>,
    name: Name,
    wait: Rc<crate::gateway::Wait>,
}

impl Waiting {
    fn new(gateway: &Rc<Gateway>, name: &Name) -> Self {
        let wait = gateway.wait(name);
        wait.count.set(wait.count.get() + 1);
        Self {
            gateway: gateway.clone(),
            name: name.clone(),
            wait,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.wait.count.set(self.wait.count.get() - 1);
        self.gateway.waited(&self.name);
    }
}
