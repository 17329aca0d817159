//! Sends the orders that `fleet::loader` decides on.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use fleet::{
    Time,
    listing::is_adapter,
    loader::{Action, Op, Order, Outcome, View, Wanted},
    table::Key,
};
use hyper::{Request, http::StatusCode};
use tokio::time;

use crate::{
    attribution::Attribution, call, clock, dialect::Command, gateway::Gateway, gossip::Gossip,
    message, watch,
};

/// Timeout for an engine's response to an order or a status query. A lost response never arrives.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two rounds while loads are in flight.
const BUSY_INTERVAL: Duration = Duration::from_millis(12);

/// Time between two rounds while no load is in flight.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Sends orders until the process ends.
pub async fn run(gateway: Rc<Gateway>, gossip: Rc<Gossip>) {
    let mut copied = HashSet::new();
    loop {
        let pause = if gateway.loader.borrow().in_flight_count() > 0 {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        let until_expiry = gateway.table.borrow().next_expiry();
        let until_expiry = until_expiry.map_or(pause, |it| it.saturating_sub(clock::now()));
        let _ = time::timeout(pause.min(until_expiry), gateway.orders_wakeup.notified()).await;
        record_completed_loads(&gateway);
        for action in next_actions(&gateway) {
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                match action {
                    Action::Send(order) => send_order(&gateway, &order).await,
                    Action::QueryStatus(key) => query_status(&gateway, key).await,
                }
                gateway.orders_wakeup.notify_one();
            });
        }
        gossip.send_updates().await;
        request_copies(&gateway, &gossip, &mut copied).await;
        remove_expired(&gateway);
        watch::apply_due(&gateway);
        gossip.check_next_identity();
    }
}

/// Requests loads of the adapters that are in use on draining engines of which this host is the steward. `copied` holds
/// the incarnations for which that was done.
async fn request_copies(
    gateway: &Rc<Gateway>,
    gossip: &Rc<Gossip>,
    copied: &mut HashSet<(Key, u64)>,
) {
    let now = clock::now();
    let mut wanted = Vec::new();
    {
        let table = gateway.table.borrow();
        copied.retain(|it| table.get(it.0).is_some());
        for key in gateway.orderable_engines() {
            let Some(engine) = table.get(key).filter(|it| it.is_leaving()) else {
                continue;
            };
            if copied.insert((key, engine.listing.incarnation)) {
                let names = table.adapters_to_copy(key, now);
                let service = &engine.listing.service;
                wanted.extend(names.into_iter().map(|it| (service.clone(), it)));
            }
        }
    }
    for (service, name) in wanted {
        log::debug!("requesting a copy of {name}, whose engine drains");
        let wanted = Wanted::anywhere(name);
        gossip.request_load(&service, &wanted, None, 0, 0).await;
    }
}

/// Removes engines whose entry vanished some time ago, and queues the announcement to other hosts.
fn remove_expired(gateway: &Rc<Gateway>) {
    let removed = gateway.table.borrow_mut().remove_expired(clock::now());
    for listing in removed {
        log::info!(event = "engine-gone", engine = &*listing.id; "engine {} was removed", listing.id);
        let incarnation = message::make_incarnation(&listing.id, listing.incarnation);
        gateway.vanished_engines.borrow_mut().push(incarnation);
        gateway.orders_wakeup.notify_one();
    }
}

/// Records the loads ordered by this host whose expected end has passed.
fn record_completed_loads(gateway: &Rc<Gateway>) {
    let now = clock::now();
    let completed = gateway.loader.borrow_mut().take_completed(now);
    for it in completed {
        if let Some(engine) = gateway.table.borrow_mut().get_mut(it.key) {
            engine.record_load(&it.name, it.version, now);
        }
        gateway.wake_waiters(&it.name);
    }
}

/// Decides on the next orders and status queries.
fn next_actions(gateway: &Rc<Gateway>) -> Vec<Action> {
    let Some(catalog) = gateway.catalog() else {
        return Vec::new();
    };
    if gateway.stopping.get() {
        return Vec::new();
    }
    let orderable = gateway.orderable_engines();
    let hosts = gateway.peers.borrow().host_count();
    let table = gateway.table.borrow();
    let in_flight_loads = gateway.in_flight_loads.borrow();
    let view = View {
        table: &table,
        catalog: &catalog,
        orderable: &orderable,
        hosts,
        window: gateway.settings.load_window(),
        in_flight: &in_flight_loads,
        now: clock::now(),
    };
    gateway.loader.borrow_mut().next_actions(&view)
}

/// Sends an order and applies its outcome.
async fn send_order(gateway: &Rc<Gateway>, order: &Order) {
    let outcome = match order_target(gateway, order.key) {
        Some((id, addr, fence)) => {
            withdraw_adapter(gateway, order, &id);
            let command = Command {
                name: &order.name,
                op: order.op,
                holder: &gateway.holder,
                fence,
                expected_orders: order.expected_orders,
                instance: &id,
            };
            let request = gateway.dialect.build_order(&command);
            let response = call_engine(gateway, order.key, &id, addr, request).await;
            let outcome = response.map_or(Outcome::NoAnswer, |(status, _)| {
                gateway.dialect.classify_outcome(status)
            });
            record_order(gateway, order, &id, fence, outcome);
            outcome
        }
        None => Outcome::Refused,
    };
    let now = clock::now();
    let started = gateway
        .loader
        .borrow_mut()
        .record_outcome(order, outcome, now);
    if let Some(load) = started
        && let Some(engine) = gateway.table.borrow().get(order.key)
    {
        let due = load.due.saturating_sub(now);
        let update = message::make_adapter_update(
            &engine.listing.id,
            &order.name,
            Some((load.version, due)),
        );
        gateway.adapter_updates.borrow_mut().push_back(update);
    }
    let still_held = matches!(outcome, Outcome::Conflict | Outcome::Refused);
    if still_held
        && order.op == Op::Unload
        && let Some(engine) = gateway.table.borrow_mut().get_mut(order.key)
    {
        // The unload did not happen, so the adapter withdrawn before the order is still held.
        engine.record_load(&order.name, 0, now);
    }
}

/// Sends an order or a status query. Returns the status and the body of the response; `None` if there is none.
pub async fn call_engine(
    gateway: &Rc<Gateway>,
    key: Key,
    id: &str,
    addr: SocketAddr,
    request: Request<Bytes>,
) -> Option<(StatusCode, Bytes)> {
    let response = call::send(&gateway.pool, addr, request, RESPONSE_TIMEOUT).await;
    let response = response
        .inspect_err(|it| log::debug!("engine {id}: {it}"))
        .ok()?;
    let response_head = (gateway.dialect).parse_response_head(&response.head.headers);
    // Only callers' requests have ids, so this is a late second response to one of them.
    if let Some(request) = &response_head.request_id {
        log::info!(
            event = "answer-refused", request = "-", engine = id, attribution = Attribution::Other.name(),
            status = response.head.status.as_u16(), sealed = response_head.sealed, id = &**request;
            "the response of engine {id} to request {request} is none to an order or a status query"
        );
        gateway.pool.suspend_reuse(addr);
        return None;
    }
    // An answer to an order may withhold a limit that applies to callers' requests.
    gateway.observe_engine(key, &response_head, Time::ZERO);
    let (head, body) = response.accept();
    Some((head.status, body))
}

/// Counts and logs an order.
fn record_order(gateway: &Rc<Gateway>, order: &Order, id: &str, fence: u64, outcome: Outcome) {
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
    gateway.metrics.count_order(op, outcome);
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

/// Stops sending requests for an adapter to an engine, before the order that unloads or replaces
/// the adapter there.
fn withdraw_adapter(gateway: &Rc<Gateway>, order: &Order, id: &str) {
    let mut table = gateway.table.borrow_mut();
    let Some(engine) = table.get_mut(order.key) else {
        return;
    };
    if engine.held.contains_key(&order.name) && is_adapter(&order.name) {
        engine.record_unload(&order.name, clock::now());
        let update = message::make_adapter_update(id, &order.name, None);
        gateway.adapter_updates.borrow_mut().push_back(update);
    }
}

/// Records the start that an engine states in its status report, which was asked for at `asked_at`.
pub fn record_start(gateway: &Gateway, key: Key, report: &[u8], asked_at: Time) {
    let Some(start) = gateway.dialect.parse_start(report) else {
        return;
    };
    let mut table = gateway.table.borrow_mut();
    let Some(engine) = table.get(key) else { return };
    let listed = engine.listing.incarnation;
    // An entry may state no start.
    if listed == 0 {
        return;
    }
    if start != listed {
        let id = &*engine.listing.id;
        log::info!(event = "engine-restarted", engine = id, born = start, listed; "engine {id} has started again since its entry was written");
    }
    table.record_start(key, start, asked_at);
}

/// Queries the status of an engine and applies it.
async fn query_status(gateway: &Rc<Gateway>, key: Key) {
    let status = match order_target(gateway, key) {
        Some((id, addr, _)) => {
            let asked_at = clock::now();
            let request = gateway.dialect.build_status_query(&id);
            let response = call_engine(gateway, key, &id, addr, request).await;
            let body = response.filter(|it| it.0 == StatusCode::OK).map(|it| it.1);
            if let Some(body) = &body {
                record_start(gateway, key, body, asked_at);
            }
            body.and_then(|it| gateway.dialect.parse_status(&it))
        }
        None => None,
    };
    let now = clock::now();
    let mut loader = gateway.loader.borrow_mut();
    loader.record_status(key, status.as_ref(), now);
    let Some(status) = status else { return };
    let mut table = gateway.table.borrow_mut();
    let Some(engine) = table.get_mut(key) else {
        return;
    };
    for held in &status.held {
        let known = engine.held.contains_key(&held.name);
        if !known && !is_adapter(&held.name) {
            engine.record_load(&held.name, held.version, now);
            let arrival = Some((held.version, Duration::ZERO));
            let update = message::make_adapter_update(&engine.listing.id, &held.name, arrival);
            gateway.adapter_updates.borrow_mut().push_back(update);
            gateway.wake_waiters(&held.name);
        }
    }
}

/// Id, address and fencing token of an engine, if this host may send it orders now.
fn order_target(gateway: &Rc<Gateway>, key: Key) -> Option<(std::sync::Arc<str>, SocketAddr, u64)> {
    let table = gateway.table.borrow();
    let listing = &table.get(key)?.listing;
    let fence = gateway.claims.borrow().fence(&listing.id, clock::now())?;
    Some((listing.id.clone(), listing.addr, fence))
}
