//! `GET /v1/explain/REQUEST-ID`.

use std::sync::Arc;

use kernel::{
    fault::{Fault, Kind},
    registry::inventory,
};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use serve::{Request, Responder};

use crate::{
    flow,
    host::Host,
    plugin::{Path, Route},
    route,
};

const PREFIX: &str = "/v1/explain/";

inventory::submit! {
    Route {
        name: "explain",
        methods: &["GET"],
        path: Path::Prefix(PREFIX),
        handle,
    }
}

fn handle(host: &Arc<Host>, request: &Request, responder: Responder) {
    let id = percent_decode_str(&request.path[PREFIX.len()..]).decode_utf8_lossy();
    if let Some(it) = find(host, &id) {
        responder.send(route::json(200, &it));
        return;
    }
    let detail = format!("host {} remembers no request {id:?}", host.me.host);
    let fault = Fault::new(Kind::UnknownPath, detail);
    flow::refuse(host, None, &fault, responder);
}

fn find(host: &Host, id: &str) -> Option<Value> {
    let steps = host.trace.steps(id)?;
    Some(json!({ "request": id, "host": host.me.host.as_str(), "steps": steps }))
}

/// Returns the trace of a request as JSON text.
pub fn report(host: &Host, id: &str) -> Option<String> {
    find(host, id).map(|it| it.to_string())
}
