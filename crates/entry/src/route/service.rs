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
        path: Path::Prefix(PREFIX),
        handle,
    }
}

fn handle(host: &Arc<Host>, request: &Request, responder: Responder) {
    let Some((admitted, responder)) = flow::admit(host, request, responder) else {
        return;
    };
    let path = &request.path[PREFIX.len()..];
    let (name, rest) = match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    };
    flow::plain::run(host, &admitted, (name, rest), request, responder);
}
