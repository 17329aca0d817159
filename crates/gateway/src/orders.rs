//! Sends the orders that `fleet::loader` decides on.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use fleet::{
    listing::is_adapter,
    loader::{Action, Op, Order, Outcome, View},
    table::Key,
};
use hyper::{Request, http::StatusCode};
use tokio::time;

use crate::{call, clock, dialect::Command, gateway::Gateway, gossip::Gossip, message};

/// Time for an engine's answer to an order or a look; one that is lost never comes.
const ANSWER: Duration = Duration::from_millis(300);

/// Time between two rounds while loads are on their way.
const BUSY: Duration = Duration::from_millis(12);

/// Time between two rounds when nothing happens.
const IDLE: Duration = Duration::from_millis(250);

/// Gives orders until the process ends.
pub async fn give(gateway: Rc<Gateway>, gossip: Rc<Gossip>) {
    loop {
        let pause = if gateway.loader.borrow().in_flight_count() > 0 {
            BUSY
        } else {
            IDLE
        };
        let lapse = gateway.table.borrow().next_expiry();
        let lapse = lapse.map_or(pause, |it| it.saturating_sub(clock::now()));
        let _ = time::timeout(pause.min(lapse), gateway.order.notified()).await;
        enter_done(&gateway);
        for step in decide(&gateway) {
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                match step {
                    Action::Send(order) => send(&gateway, &order).await,
                    Action::QueryStatus(key) => look(&gateway, key).await,
                }
                gateway.order.notify_one();
            });
        }
        gossip.spread().await;
        expire(&gateway);
    }
}

fn expire(gateway: &Rc<Gateway>) {
    let gone = gateway.table.borrow_mut().remove_expired(clock::now());
    for listing in gone {
        log::info!(event = "engine-gone", engine = &*listing.id; "engine {} is gone", listing.id);
        let life = message::life(&listing.id, listing.incarnation);
        gateway.leaving.borrow_mut().push(life);
        gateway.order.notify_one();
    }
}

fn enter_done(gateway: &Rc<Gateway>) {
    let now = clock::now();
    let done = gateway.loader.borrow_mut().take_completed(now);
    for it in done {
        if let Some(engine) = gateway.table.borrow_mut().get_mut(it.key) {
            engine.record_load(&it.name, it.version, now);
        }
        gateway.wake(&it.name);
    }
}

fn decide(gateway: &Rc<Gateway>) -> Vec<Action> {
    let Some(catalog) = gateway.catalog() else {
        return Vec::new();
    };
    if gateway.stopping.get() {
        return Vec::new();
    }
    let mine = gateway.mine();
    let hosts = gateway.peers.borrow().hosts();
    let table = gateway.table.borrow();
    let coming = gateway.coming.borrow();
    let view = View {
        table: &table,
        catalog: &catalog,
        orderable: &mine,
        hosts,
        window: gateway.settings.load_window(),
        in_flight: &coming,
        now: clock::now(),
    };
    gateway.loader.borrow_mut().next_actions(&view)
}

async fn send(gateway: &Rc<Gateway>, order: &Order) {
    let outcome = match target(gateway, order.key) {
        Some((id, addr, fence)) => {
            leave(gateway, order, &id);
            let command = Command {
                name: &order.name,
                op: order.op,
                holder: &gateway.holder,
                fence,
                expected_orders: order.expected_orders,
                instance: &id,
            };
            let request = gateway.dialect.build_order(&command);
            let outcome = match call::call(&gateway.pool, addr, request, ANSWER).await {
                Ok((status, _)) => gateway.dialect.classify_outcome(status),
                Err(_) => Outcome::NoAnswer,
            };
            told(gateway, order, &id, fence, outcome);
            outcome
        }
        None => Outcome::Refused,
    };
    let now = clock::now();
    let begun = gateway
        .loader
        .borrow_mut()
        .record_outcome(order, outcome, now);
    if let Some(load) = begun
        && let Some(engine) = gateway.table.borrow().get(order.key)
    {
        let due = load.due.saturating_sub(now);
        let news = message::news(&engine.listing.id, &order.name, Some((load.version, due)));
        gateway.news.borrow_mut().push_back(news);
    }
    let kept = matches!(outcome, Outcome::Conflict | Outcome::Refused);
    if kept
        && order.op == Op::Unload
        && let Some(engine) = gateway.table.borrow_mut().get_mut(order.key)
    {
        engine.record_load(&order.name, 0, now);
    }
}

fn told(gateway: &Rc<Gateway>, order: &Order, id: &str, fence: u64, outcome: Outcome) {
    let op = match order.op {
        Op::Load(_) => "load",
        Op::Unload => "unload",
    };
    let outcome = match outcome {
        Outcome::Accepted => "accepted",
        Outcome::InEffect => "holds",
        Outcome::Conflict => "conflict",
        Outcome::Refused => "refused",
        Outcome::NoAnswer => "silent",
    };
    gateway.metrics.order(op, outcome);
    let level = match outcome {
        "accepted" | "holds" => log::Level::Debug,
        _ => log::Level::Info,
    };
    log::log!(
        level,
        event = "order", engine = id, name = &*order.name, op, outcome, fence,
        expected = order.expected_orders;
        "order {op} to engine {id}: {outcome}"
    );
}

/// Takes an adapter out of use before the order that unloads or replaces it.
fn leave(gateway: &Rc<Gateway>, order: &Order, id: &str) {
    let mut table = gateway.table.borrow_mut();
    let Some(engine) = table.get_mut(order.key) else {
        return;
    };
    if engine.held.contains_key(&order.name) && is_adapter(&order.name) {
        engine.remove_held(&order.name, clock::now());
        let news = message::news(id, &order.name, None);
        gateway.news.borrow_mut().push_back(news);
    }
}

async fn look(gateway: &Rc<Gateway>, key: Key) {
    let report = match target(gateway, key) {
        Some((id, addr, _)) => {
            let request: Request<Bytes> = gateway.dialect.build_status_query(&id);
            match call::call(&gateway.pool, addr, request, ANSWER).await {
                Ok((StatusCode::OK, body)) => gateway.dialect.parse_status(&body),
                _ => None,
            }
        }
        None => None,
    };
    let now = clock::now();
    let mut loader = gateway.loader.borrow_mut();
    loader.record_status(key, report.as_ref(), now);
    let Some(report) = report else { return };
    let mut table = gateway.table.borrow_mut();
    let Some(engine) = table.get_mut(key) else {
        return;
    };
    for hold in &report.held {
        let known = engine.held.contains_key(&hold.name);
        if !known && !is_adapter(&hold.name) {
            engine.record_load(&hold.name, hold.version, now);
            let there = Some((hold.version, Duration::ZERO));
            let news = message::news(&engine.listing.id, &hold.name, there);
            gateway.news.borrow_mut().push_back(news);
            gateway.wake(&hold.name);
        }
    }
}

fn target(
    gateway: &Rc<Gateway>,
    key: Key,
) -> Option<(std::sync::Arc<str>, std::net::SocketAddr, u64)> {
    let table = gateway.table.borrow();
    let listing = &table.get(key)?.listing;
    let fence = gateway.claims.borrow().fence(&listing.id, clock::now())?;
    Some((listing.id.clone(), listing.addr, fence))
}
