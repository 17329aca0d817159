//! Small sets of engines for the tests, and their configuration.

use std::{sync::Arc, time::Duration};

use fleet::{
    Time,
    account::Access,
    catalog::{Capacity, Catalog, Limits, Model, RequestKind, Route, Service, Target},
    listing::{Held, Listing, Name, State},
    placement::PlacementRequest,
    prefix::{Chain, Part},
    table::{Key, Table},
};

pub fn ms(it: u64) -> Time {
    Duration::from_millis(it)
}

/// Current time of the tests. It is long after the origin, so that earlier times exist.
pub const NOW: Time = Duration::from_secs(1000);

/// Returns the time this many milliseconds after [`NOW`].
pub fn at(it: u64) -> Time {
    NOW + ms(it)
}

pub fn held(name: &str, version: u64) -> Held {
    Held {
        name: name.into(),
        version,
    }
}

/// Returns the entry of an engine that holds the base model `m` and these adapters.
pub fn listing(id: &str, adapters: &[&str]) -> Listing {
    let adapters = adapters.iter().map(|it| held(&format!("m/{it}"), 1));
    Listing {
        id: id.into(),
        incarnation: 1,
        service: "chat".into(),
        build: "v1".into(),
        addr: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: "z-1".into(),
        slots: 8,
        state: State::Ready,
        held: std::iter::once(held("m", 1)).chain(adapters).collect(),
    }
}

/// Returns a table of engines with these ids and adapters, and their keys in the same order.
pub fn table(engines: &[(&str, &[&str])]) -> (Table, Vec<Key>) {
    let mut table = Table::default();
    let upsert = |(id, adapters): &(&str, &[&str])| table.upsert(listing(id, adapters), NOW);
    let keys = engines.iter().map(upsert).collect();
    (table, keys)
}

/// Returns the configuration of one service whose engines have two adapter slots.
pub fn catalog() -> Catalog {
    let model = Model {
        name: "m".into(),
        weights_mb: 1000.0,
        adapter_mb: 40.0,
        load_time: Duration::from_secs(3),
    };
    let capacity = Capacity {
        slots: 8,
        kv_tokens: 100_000,
        adapter_slots: 2,
        weights_mb: 1100.0,
        loads_per_s: 1.0,
        models: vec![model],
    };
    let service = Service {
        name: "chat".into(),
        connections: 100,
        engine: Some(capacity),
    };
    Catalog::new(
        1,
        vec![route(RequestKind::Resumable)],
        vec![service],
        Limits::default(),
    )
}

pub fn route(kind: RequestKind) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/r/".into(),
        kind,
        timeout: Duration::from_secs(10),
        latency_target: ms(800),
        max_gap: ms(250),
        priority: 1,
        attempts: 2,
        access: Access::Accounts,
        targets: vec![Target {
            service: Arc::from("chat"),
            weight: 1,
        }],
    }
}

/// A request of domain `z-1` for an adapter.
pub fn request<'a>(name: &'a Name, chain: &'a Chain, random: u64) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "chat",
        name: Some(name),
        chain,
        max_gap: ms(300),
        domain: "z-1",
        tried: &[],
        build: None,
        turn: None,
        random,
    }
}

pub fn prompt(tokens: u32) -> Chain {
    Chain::new("m/a", &[Part { id: 7, tokens }])
}
