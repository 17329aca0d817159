//! `GET /healthz` and `GET /readyz`.

use std::sync::Arc;

use kernel::registry::inventory;
use serde_json::json;
use serve::{Request, Responder};

use crate::{
    host::Host,
    plugin::{Path, Route},
    readiness::Stage,
    route,
};

inventory::submit! {
    Route {
        name: "healthz",
        methods: &["GET", "HEAD"],
        path: Path::Exact("/healthz"),
        handle: alive,
    }
}

inventory::submit! {
    Route {
        name: "readyz",
        methods: &["GET", "HEAD"],
        path: Path::Exact("/readyz"),
        handle: ready,
    }
}

fn alive(_: &Arc<Host>, _: &Request, responder: Responder) {
    responder.send(route::json(200, &json!({ "alive": true })));
}

fn ready(host: &Arc<Host>, _: &Request, responder: Responder) {
    let stage = host.readiness.stage();
    let status = match stage {
        Stage::Ready => 200,
        Stage::Starting | Stage::Joining | Stage::Leaving => 503,
    };
    responder.send(route::json(status, &json!({ "stage": stage.as_str() })));
}
