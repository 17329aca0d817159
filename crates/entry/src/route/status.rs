//! `GET /v1/status`.

use std::sync::Arc;

use kernel::{registry::inventory, service::State};
use member::Condition;
use serde_json::{Value, json};
use serve::{Request, Responder};

use crate::{
    host::Host,
    plugin::{Path, Route},
    readiness::Stage,
    route,
};

inventory::submit! {
    Route {
        name: "status",
        methods: &["GET"],
        path: Path::Exact("/v1/status"),
        handle,
    }
}

fn handle(host: &Arc<Host>, _: &Request, responder: Responder) {
    responder.send(route::json(200, &report(host)));
}

/// Returns the state of the fleet as known to this host.
pub fn report(host: &Host) -> Value {
    json!({
        "host": host.me.host.as_str(),
        "domain": host.settings.domain.as_str(),
        "incarnation": host.me.incarnation,
        "revision": host.configuration().0,
        "ready": host.readiness.stage() == Stage::Ready,
        "members": members(host),
        "engines": engines(host),
        "upstreams": host.host_list.instances().len(),
    })
}

fn members(host: &Host) -> Vec<Value> {
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.unwrap_or_default();
    members
        .iter()
        .map(|it| {
            json!({
                "host": it.holder.host.as_str(),
                "domain": it.domain.as_str(),
                "state": state_name(it.state),
            })
        })
        .collect()
}

fn state_name(state: Condition) -> &'static str {
    match state {
        Condition::Up => "up",
        Condition::Suspect => "suspect",
        Condition::Leaving => "leaving",
        Condition::Down => "down",
    }
}

fn engines(host: &Host) -> Vec<Value> {
    let views = host.directory.views();
    let views = views.iter();
    views
        .map(|(engine, steward, view)| {
            let loaded = view.loaded.iter();
            let loaded: Vec<Value> = loaded
                .map(|it| json!({ "name": it.to_string(), "running": Value::Null }))
                .collect();
            json!({
                "name": engine.as_str(),
                "domain": view.domain.as_str(),
                "steward": steward.as_str(),
                "fence": view.fence,
                "state": match view.state {
                    State::Live => "live",
                    State::Leaving => "leaving",
                },
                "loaded": loaded,
            })
        })
        .collect()
}
