//! Calls to plain services below `/services/`.

use std::sync::Arc;

use kernel::registry::inventory;
use serve::{Request, Responder};

use crate::{
    flow,
    host::Host,
    plugin::{Path, Route},
};

const PREFIX: &str = "/services/";

inventory::submit! {
    Route {
        name: "service",
        methods: &[],
        path: Path::Below(PREFIX),
        handle,
    }
}

fn handle(host: &Arc<Host>, request: &Request, responder: Responder) {
    let Some((admitted, responder)) = flow::admit(host, request, responder) else {
        return;
    };
    let below = &request.path[PREFIX.len()..];
    let (name, rest) = match below.find('/') {
        Some(at) => below.split_at(at),
        None => (below, "/"),
    };
    flow::plain::run(host, &admitted, (name, rest), request, responder);
}
