//! `GET /metrics`.

use std::sync::Arc;

use kernel::registry::inventory;
use serve::{Request, Responder, Response};

use crate::{
    host::Host,
    plugin::{Path, Route},
};

inventory::submit! {
    Route {
        name: "metrics",
        methods: &["GET"],
        path: Path::Exact("/metrics"),
        handle,
    }
}

fn handle(host: &Arc<Host>, _: &Request, responder: Responder) {
    let content_type = "text/plain; version=0.0.4".to_owned();
    responder.send(Response {
        status: 200,
        headers: vec![("content-type".to_owned(), content_type)],
        body: host.metrics.render().into_bytes(),
    });
}
