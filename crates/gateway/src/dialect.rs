//! Interface to a platform: its headers, its calls to engines and the store, and their formats. A
//! dialect translates and makes no decisions.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    account::KeyDigest,
    catalog::Catalog,
    era::Statement,
    listing::{Listing, Name},
    loader::{Op, Outcome, Status},
    prefix::Part,
    request_limit::{self, Rate},
};
use hyper::{HeaderMap, Request, http};
use serde::{Deserialize, Serialize};

/// Kind of objects in the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// The operator's configuration, a single object.
    Config,
    /// Engines, and instances of plain services.
    Engines,
    /// Announced versions of adapters.
    Versions,
    /// Leases of hosts, with their addresses.
    Hosts,
    /// Claims of hosts on engines.
    Claims,
    /// Division of the streams of a service between its builds.
    Assignments,
}

impl Kind {
    /// Name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Engines => "engines",
            Self::Versions => "versions",
            Self::Hosts => "hosts",
            Self::Claims => "claims",
            Self::Assignments => "assignments",
        }
    }
}

/// Contents of the headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id of the request.
    pub id: String,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Adapter or base model that the request uses.
    pub name: Option<Name>,
    /// Parts of the prompt, by which cached prefixes are found.
    pub prompt_parts: Vec<Part>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens of the prompt and of the longest output that the caller allows, if it states both.
    pub total_tokens: Option<u64>,
    /// Digest of the API key of the caller.
    pub key: Option<KeyDigest>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Id of the request whose response began the stream, if the caller resumes a stream.
    pub resumed_request: Option<String>,
}

/// Headers that a request to an engine has in addition to the caller's.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHead<'a> {
    /// Remaining time until the request's deadline.
    pub timeout: Duration,
    /// Id of the engine that must handle the request. Any other engine refuses it.
    pub instance: &'a str,
    /// Version of the adapter that the engine must hold.
    pub version: Option<u64>,
    /// Priority of the request; 0 is the highest.
    pub priority: Option<u8>,
    /// Id of the last event already received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// Contents of the headers of an engine's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// True if the response has the engine's seal, which marks it as the engine's own answer.
    pub sealed: bool,
    /// True if the engine states that it did not run the request.
    pub not_executed: bool,
    /// Id of the engine that answered, if the response names it.
    pub instance: Option<String>,
    /// True if the engine announces that it accepts no more work.
    pub leaving: bool,
    /// Time for which the engine wants no requests from this host.
    pub retry_after: Option<Duration>,
    /// Limit of the requests that the engine takes from all hosts.
    pub request_limit: request_limit::Statement<Rate>,
    /// Refusals in a second that the engine withstands. It crashes if it has to refuse more for want of room.
    pub refusal_tolerance: request_limit::Statement<u32>,
    /// Name of a header whose value can't be parsed, and that is treated as absent.
    pub invalid_header: Option<&'static str>,
}

/// Object of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Object {
    /// Name of the object.
    pub name: String,
    /// Revision of the last change.
    pub rev: u64,
    /// Contents, as written by the owner of the object.
    pub spec: serde_json::Value,
}

/// Page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// Objects on the page.
    pub objects: Vec<Object>,
    /// True if more objects follow after the last one.
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    pub as_of: u64,
}

/// Changes since a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// Changes in order.
    pub events: Vec<Change>,
    /// Revision from which to continue watching.
    pub as_of: u64,
}

/// Change of one object.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object is new or has changed.
    Put(Object),
    /// The object with this name was deleted.
    Deleted(String),
}

/// Order to an engine, with its sender and fencing token.
#[derive(Clone, Debug)]
pub struct Command<'a> {
    /// Adapter or base model to load or unload.
    pub name: &'a str,
    /// Operation to perform.
    pub op: Op,
    /// Host that sends the order.
    pub holder: &'a str,
    /// Fencing token of the host's claim.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// Id of the engine that must handle the order.
    pub instance: &'a str,
}

/// Names, formats and calls of a platform.
pub trait Dialect {
    /// Name by which the settings select the dialect.
    fn name(&self) -> &'static str;

    /// Parses the headers of a caller's request. The error says what is wrong with them.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, &'static str>;
    /// Returns whether a caller's header must not be forwarded, because only hosts may set it.
    fn is_reserved(&self, header: &http::HeaderName) -> bool;
    /// Returns whether a header says who the caller is. Where there are client accounts, engines don't get those that a
    /// caller sends.
    fn is_credential(&self, header: &http::HeaderName) -> bool;
    /// Writes the header that tells an engine the client account of a request.
    fn write_account(&self, headers: &mut HeaderMap, account: &str);
    /// Value of `WWW-Authenticate`, which says how a caller has to send its key.
    fn challenge(&self) -> http::HeaderValue;
    /// Returns whether a caller's header may differ between attempts of the same request.
    fn is_per_attempt(&self, header: &http::HeaderName) -> bool;
    /// Writes the headers that a host adds to a request for an engine.
    fn write_upstream_head(&self, headers: &mut HeaderMap, head: &UpstreamHead);
    /// Parses the headers of an engine's response.
    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead;

    /// Builds a cheap request that checks whether the store answers.
    fn probe(&self) -> Request<Bytes>;
    /// Builds a request for one object.
    fn get(&self, kind: Kind, name: &str) -> Request<Bytes>;
    /// Builds a request for a page of objects that starts after a name. A stale page is cheaper,
    /// but may be seconds old.
    fn list(&self, kind: Kind, after: Option<&str>, stale: bool) -> Request<Bytes>;
    /// Builds a request that waits for changes since a revision.
    fn watch(&self, kind: Kind, since: u64, wait: Duration) -> Request<Bytes>;
    /// Builds a request that creates an object, or replaces it if it still has the given revision.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &serde_json::Value,
        rev: Option<u64>,
    ) -> Request<Bytes>;
    /// Builds a request that deletes an object, if it still has the given revision.
    fn delete(&self, kind: Kind, name: &str, rev: Option<u64>) -> Request<Bytes>;
    /// Parses the era that the headers of an answer of the store state.
    fn parse_era(&self, headers: &HeaderMap) -> Statement;
    /// Parses one object.
    fn parse_object(&self, body: &[u8]) -> Option<Object>;
    /// Parses a page.
    fn parse_page(&self, body: &[u8]) -> Option<Page>;
    /// Parses changes.
    fn parse_changes(&self, body: &[u8]) -> Option<Changes>;

    /// Parses the operator's configuration. The error says what is wrong with it.
    fn parse_catalog(&self, object: &Object) -> Result<Catalog, String>;
    /// Parses an entry of the list of engines. Returns `None` if it does not describe a usable
    /// engine.
    fn parse_listing(&self, object: &Object) -> Option<Listing>;
    /// Parses an announced version.
    fn parse_announcement(&self, object: &Object) -> Option<(Name, u64)>;

    /// Builds the request that sends an order to an engine.
    fn build_order(&self, command: &Command) -> Request<Bytes>;
    /// Determines the outcome of an order from the status of the engine's response.
    fn classify_outcome(&self, status: http::StatusCode) -> Outcome;
    /// Builds the request for an engine's status report.
    fn build_status_query(&self, instance: &str) -> Request<Bytes>;
    /// Parses an engine's status report.
    fn parse_status(&self, body: &[u8]) -> Option<Status>;
    /// Parses the start of the engine that its status report states, comparable with
    /// [`Listing::incarnation`]. Returns `None` if it states none.
    fn parse_start(&self, body: &[u8]) -> Option<u64>;
}

/// Registration of a dialect: a function that creates it.
pub struct Plugin(pub fn() -> Arc<dyn Dialect>);

inventory::collect!(Plugin);

/// Finds a registered dialect by its name.
pub fn find(name: &str) -> Option<Arc<dyn Dialect>> {
    let all: HashMap<&str, Arc<dyn Dialect>> = inventory::iter::<Plugin>()
        .map(|it| (it.0)())
        .map(|it| (it.name(), it))
        .collect();
    all.get(name).cloned()
}
