//! `POST /v1/chat/completions`.

use std::sync::Arc;

use kernel::registry::inventory;
use serve::{Request, Responder};

use crate::{
    flow,
    host::Host,
    plugin::{Path, Route},
};

inventory::submit! {
    Route {
        name: "chat",
        methods: &["POST"],
        path: Path::Exact("/v1/chat/completions"),
        handle,
    }
}

fn handle(host: &Arc<Host>, request: &Request, responder: Responder) {
    if let Some((admitted, responder)) = flow::admit(host, request, responder) {
        flow::model::run(host, &admitted, &request.body, responder);
    }
}
