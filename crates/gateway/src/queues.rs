//! Requests of this host that wait for room at engines: wakes the one whose turn it is.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    account::{Account, ledger::AccountId},
    queue::{
        Claim, Entry, Queue, Ticket,
        elsewhere::{Collector, Unreported},
    },
    table::Key,
};
use tokio::{sync::Notify, time};

use crate::{clock, gateway::Gateway};

type Sleepers = HashMap<(Arc<str>, Ticket), Rc<Notify>>;

/// Requests that wait, by service.
#[derive(Default)]
pub(crate) struct Queues {
    by_service: RefCell<HashMap<Arc<str>, Queue>>,
    sleepers: RefCell<Sleepers>,
    elsewhere: RefCell<Collector>,
    unreported: RefCell<Unreported>,
}

impl Queues {
    /// Calls `function` with the queue of a service.
    pub(crate) fn with<T>(&self, service: &Arc<str>, function: impl FnOnce(&mut Queue) -> T) -> T {
        let mut queues = self.by_service.borrow_mut();
        if let Some(it) = queues.get_mut(service) {
            return function(it);
        }
        let queue = queues.entry(service.clone()).or_default();
        queue.set_elsewhere(self.elsewhere.borrow().snapshot().clone());
        function(queue)
    }

    /// Records that a request of an account of this weight takes room at its engine.
    pub(crate) fn record_taken(
        &self,
        service: &Arc<str>,
        claim: &Claim,
        account: Option<&Account>,
        weight: f64,
        now: Time,
    ) {
        let waiting = self.with(service, |it| {
            it.record_taken(claim.account.as_ref(), claim.work / weight, now);
            it.len()
        });
        let mut unreported = self.unreported.borrow_mut();
        unreported.record(account, claim.work, waiting);
    }

    /// Returns the work of this host since the last call, of accounts whose use isn't reported otherwise.
    pub(crate) fn take_unreported(&self) -> Vec<(AccountId, f64)> {
        self.unreported.borrow_mut().take()
    }

    /// Records work of another host for accounts, or work that it returns if negative: tokens over the weight of the account.
    pub(crate) fn record_elsewhere(&self, work: &[(Arc<str>, f64)], now: Time) {
        let mut collector = self.elsewhere.borrow_mut();
        for (account, amount) in work {
            collector.record(account, *amount, now);
        }
        let Some(snapshot) = collector.take_snapshot(now) else {
            return;
        };
        for queue in self.by_service.borrow_mut().values_mut() {
            queue.set_elsewhere(snapshot.clone());
        }
    }

    /// Wakes a request.
    pub(crate) fn wake(&self, service: &Arc<str>, ticket: Ticket) {
        let sleepers = self.sleepers.borrow();
        if let Some(it) = sleepers.get(&(service.clone(), ticket)) {
            it.notify_one();
        }
    }

    /// Wakes the request that is first to take room at an engine.
    pub(crate) fn wake_first(&self, service: &Arc<str>, engine: Key, now: Time) {
        if self.sleepers.borrow().is_empty() {
            return;
        }
        let first = self.with(service, |it| it.first(engine, now));
        if let Some(it) = first {
            self.wake(service, it);
        }
    }

    /// Number of requests that wait, by service.
    pub(crate) fn lengths(&self) -> Vec<(Arc<str>, usize)> {
        let queues = self.by_service.borrow();
        let lengths = queues
            .iter()
            .map(|(service, it)| (service.clone(), it.len()));
        lengths.collect()
    }
}

/// Place of a request in the queue of its service, which it leaves when this is dropped.
pub(crate) struct Place {
    gateway: Rc<Gateway>,
    service: Arc<str>,
    ticket: Ticket,
    woken: Rc<Notify>,
}

impl Place {
    /// Takes over the place that a request has been given.
    pub(crate) fn new(gateway: &Rc<Gateway>, service: &Arc<str>, entry: Entry) -> Option<Self> {
        let Entry::Waiting(ticket) = entry else {
            return None;
        };
        let woken = Rc::new(Notify::new());
        let mut sleepers = gateway.queues.sleepers.borrow_mut();
        sleepers.insert((service.clone(), ticket), woken.clone());
        Some(Self {
            gateway: gateway.clone(),
            service: service.clone(),
            ticket,
            woken,
        })
    }

    /// Identifies the request in the queue.
    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Waits until it may be this request's turn, at most for `pause`. Returns how long it took.
    pub(crate) async fn sleep(&self, pause: Duration) -> Duration {
        let began = clock::now();
        let _ = time::timeout(pause, self.woken.notified()).await;
        clock::now().saturating_sub(began)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let queues = &self.gateway.queues;
        let key = (self.service.clone(), self.ticket);
        queues.sleepers.borrow_mut().remove(&key);
        let engine = queues.with(&self.service, |it| {
            let engine = it.engine(self.ticket);
            it.leave(self.ticket);
            engine
        });
        if let Some(it) = engine {
            queues.wake_first(&self.service, it, clock::now());
        }
    }
}
