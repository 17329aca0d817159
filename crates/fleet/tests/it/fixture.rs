//! Small fleets.

use std::{sync::Arc, time::Duration};

use fleet::{
    Time,
    catalog::{Catalog, Kind, Limits, Model, Route, Service, Shape, Target},
    listing::{Hold, Listing, State},
    prefix::{Chain, Part},
    table::{Key, Table},
};

pub fn ms(it: u64) -> Time {
    Duration::from_millis(it)
}

/// A moment long after the start, so that times before it exist.
pub const NOW: Time = Duration::from_secs(1000);

pub fn at(it: u64) -> Time {
    NOW + ms(it)
}

pub fn hold(name: &str, version: u64) -> Hold {
    Hold {
        name: name.into(),
        version,
    }
}

/// An engine that holds the base model `m` and these adapters.
pub fn listing(id: &str, adapters: &[&str]) -> Listing {
    let adapters = adapters.iter().map(|it| hold(&format!("m/{it}"), 1));
    Listing {
        id: id.into(),
        born: 1,
        service: "chat".into(),
        addr: "10.0.0.1:80".parse().expect("it is an address"),
        domain: "z-1".into(),
        slots: 8,
        state: State::Ready,
        holds: std::iter::once(hold("m", 1)).chain(adapters).collect(),
    }
}

pub fn table(engines: &[(&str, &[&str])]) -> (Table, Vec<Key>) {
    let mut table = Table::default();
    let adopt = |(id, adapters): &(&str, &[&str])| table.adopt(listing(id, adapters), NOW);
    let keys = engines.iter().map(adopt).collect();
    (table, keys)
}

/// One service whose engines have two places for adapters.
pub fn catalog() -> Catalog {
    let model = Model {
        name: "m".into(),
        weights_mb: 1000.0,
        adapter_mb: 40.0,
        load: Duration::from_secs(3),
    };
    let shape = Shape {
        slots: 8,
        tokens: 100_000,
        adapter_slots: 2,
        weights_mb: 1100.0,
        loads_per_s: 1.0,
        models: vec![model],
    };
    let service = Service {
        name: "chat".into(),
        connections: 100,
        engine: Some(shape),
    };
    Catalog::new(
        1,
        vec![route(Kind::Resumable)],
        vec![service],
        Limits::default(),
    )
}

pub fn route(kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/r/".into(),
        kind,
        timeout: Duration::from_secs(10),
        target: ms(800),
        gap: ms(250),
        priority: 1,
        attempts: 2,
        targets: vec![Target {
            service: Arc::from("chat"),
            weight: 1,
        }],
    }
}

pub fn prompt(tokens: u32) -> Chain {
    Chain::new("m/a", &[Part { id: 7, tokens }])
}
