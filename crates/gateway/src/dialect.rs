//! How a platform names things: headers, calls to engines and the store, and their formats. A dialect
//! translates and decides nothing.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    catalog::Catalog,
    listing::{Listing, Name},
    loader::{Op, Outcome, Status},
    prefix::Part,
};
use hyper::{HeaderMap, Request, http};
use serde::{Deserialize, Serialize};

/// Kinds of objects in the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// The operator's configuration, one object.
    Config,
    /// Engines and instances of plain services.
    Engines,
    /// Announced versions of adapters.
    Versions,
    /// Leases of hosts, with their addresses.
    Hosts,
    /// Claims of hosts on engines.
    Claims,
}

impl Kind {
    /// The word for it in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Engines => "engines",
            Self::Versions => "versions",
            Self::Hosts => "hosts",
            Self::Claims => "claims",
        }
    }
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Its id.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The adapter or base model.
    pub name: Option<Name>,
    /// The parts of the prompt.
    pub prompt_parts: Vec<Part>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The last event that the caller has, where a stream is resumed.
    pub last_event_id: Option<String>,
}

/// What a request to an engine carries beside the caller's headers.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHead<'a> {
    /// What is left of the time.
    pub timeout: Duration,
    /// The engine that is meant.
    pub instance: &'a str,
    /// The version of the adapter that is meant.
    pub version: Option<u64>,
    /// Rank, 0 first.
    pub priority: Option<u8>,
    /// The last event that is there already.
    pub last_event_id: Option<&'a str>,
}

/// What the head of an engine's answer says beside the status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the engine vouches for the answer.
    pub sealed: bool,
    /// Whether the engine says that it did not run the request.
    pub not_executed: bool,
    /// The engine that answered, where it says so.
    pub instance: Option<String>,
}

/// An object of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub rev: u64,
    /// What its writer put there.
    pub spec: serde_json::Value,
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether more follow after the last one.
    pub has_more: bool,
    /// The store's revision.
    pub as_of: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in order.
    pub events: Vec<Change>,
    /// The revision to go on from.
    pub as_of: u64,
}

/// One change.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object is new or has changed.
    Put(Object),
    /// The object of that name is gone.
    Deleted(String),
}

/// An order and who gives it.
#[derive(Clone, Debug)]
pub struct Command<'a> {
    /// The adapter or base model.
    pub name: &'a str,
    /// What is to be done.
    pub op: Op,
    /// The host that gives it.
    pub holder: &'a str,
    /// The fencing token.
    pub fence: u64,
    /// Orders that the engine must have accepted before.
    pub expected_orders: u64,
    /// The engine that is meant.
    pub instance: &'a str,
}

/// Names, formats and calls of a platform.
pub trait Dialect {
    /// The name by which settings choose it.
    fn name(&self) -> &'static str;

    /// Reads the head of a caller's request; the error says what is wrong with it.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, &'static str>;
    /// Whether a caller's header must not be passed on, since the system sets it itself.
    fn is_reserved(&self, header: &http::HeaderName) -> bool;
    /// Writes what the system says to the engine.
    fn write_upstream_head(&self, headers: &mut HeaderMap, head: &UpstreamHead);
    /// Reads the head of an engine's answer.
    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead;

    /// A cheap question that tells whether the store answers.
    fn probe(&self) -> Request<Bytes>;
    /// One object.
    fn get(&self, kind: Kind, name: &str) -> Request<Bytes>;
    /// A page of the objects of a kind, after a name. A stale one is cheaper and seconds old.
    fn list(&self, kind: Kind, after: Option<&str>, stale: bool) -> Request<Bytes>;
    /// Changes of a kind since a revision, waiting for one.
    fn watch(&self, kind: Kind, since: u64, wait: Duration) -> Request<Bytes>;
    /// Creates an object, or replaces it if it still has that revision.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        rev: Option<u64>,
    ) -> Request<Bytes>;
    /// Deletes an object, if it still has that revision.
    fn delete(&self, kind: Kind, name: &str, rev: Option<u64>) -> Request<Bytes>;
    /// Reads one object.
    fn parse_object(&self, body: &[u8]) -> Option<Object>;
    /// Reads a page.
    fn parse_page(&self, body: &[u8]) -> Option<Page>;
    /// Reads changes.
    fn parse_changes(&self, body: &[u8]) -> Option<Changes>;

    /// Reads the operator's configuration; the error says what is wrong with it.
    fn parse_catalog(&self, object: &Object) -> Result<Catalog, String>;
    /// Reads an entry of the list of engines; `None` if it names no engine to use.
    fn parse_listing(&self, object: &Object) -> Option<Listing>;
    /// Reads an announced version.
    fn parse_announcement(&self, object: &Object) -> Option<(Name, u64)>;

    /// The call that gives an order.
    fn build_order(&self, command: &Command) -> Request<Bytes>;
    /// What the answer to an order means.
    fn classify_outcome(&self, status: http::StatusCode) -> Outcome;
    /// The call that asks an engine for a report.
    fn build_status_query(&self, instance: &str) -> Request<Bytes>;
    /// Reads a report.
    fn parse_status(&self, body: &[u8]) -> Option<Status>;
}

/// A dialect that registers itself.
pub struct Plugin(pub fn() -> Arc<dyn Dialect>);

inventory::collect!(Plugin);

/// The registered dialect of that name.
pub fn find(name: &str) -> Option<Arc<dyn Dialect>> {
    let all: HashMap<&str, Arc<dyn Dialect>> = inventory::iter::<Plugin>()
        .map(|it| (it.0)())
        .map(|it| (it.name(), it))
        .collect();
    all.get(name).cloned()
}
