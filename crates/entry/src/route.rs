//! The routes of the callers' port. Each route is a plug-in with its own file.

use std::sync::Arc;

use kernel::{
    fault::{Fault, Kind},
    registry,
};
use serve::{Request, Responder};

use crate::{flow, host::Host, plugin::Route};

mod chat;
pub mod explain;
mod health;
mod metrics;
mod service;
pub mod status;

/// Dispatches each request to the matching route.
pub struct Router {
    host: Arc<Host>,
    routes: Vec<&'static Route>,
}

impl Router {
    /// Creates a router with all registered routes.
    pub fn new(host: Arc<Host>) -> Self {
        Self {
            host,
            routes: registry::all::<Route>(),
        }
    }

    fn find(&self, request: &Request) -> Result<&'static Route, Fault> {
        let matches = |it: &&&Route| it.path.matches(&request.path);
        let route = self.routes.iter().find(matches).copied();
        let route = route.ok_or_else(|| {
            Fault::new(
                Kind::UnknownPath,
                format!("there is no path {:?}", request.path),
            )
        })?;
        if route.methods.is_empty() || route.methods.contains(&request.method.as_str()) {
            return Ok(route);
        }
        let detail = format!("{} takes only {}", request.path, route.methods.join(", "));
        Err(Fault::new(Kind::BadRequest, detail))
    }
}

impl serve::Handler for Router {
    fn handle(&self, request: Request, responder: Responder) {
        match self.find(&request) {
            Ok(route) => (route.handle)(&self.host, &request, responder),
            Err(fault) => flow::refuse(&self.host, None, &fault, responder),
        }
    }
}

/// Creates a JSON response.
fn json(status: u16, body: &serde_json::Value) -> serve::Response {
    serve::Response {
        status,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: body.to_string().into_bytes(),
    }
}
