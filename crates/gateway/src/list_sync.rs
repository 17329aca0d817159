//! Synchronizes the store's lists between hosts, over TCP on the peers' port.
//!
//! Each call to the store is billed, so only some hosts of a failure domain read it
//! (`fleet::reader`). The others request the changes from these readers. A host that starts while
//! the store is unavailable requests the lists from any host it knows.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    assignment::StreamKey,
    era::{Era, Position},
    reader::Role,
    store_call::RecoveryBound,
    table::Removal,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch::Receiver,
    time,
};

use crate::{
    assignments::{self, StoredHistory},
    clock,
    dialect::Kind,
    gateway::Gateway,
    gossip::Gossip,
    handover,
    list_cache::{Delta, Watermark},
    watch,
};

/// Lists that hosts pass on to each other.
pub const LISTS: [Kind; 3] = [Kind::Config, Kind::Engines, Kind::Versions];

/// Time between two rounds of requests by a host that has no lists.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout for a whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for the response of a reader, after which another reader is tried.
const READER_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a reader that failed to respond is not tried again.
const READER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum time between two checks whether the reader is up to date.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age of a list, beyond the reader's interval between reads, after which the reader is no longer
/// used. A store call and a message between hosts take some 10 ms.
const MAX_HANDOVER_LAG: Duration = Duration::from_millis(350);

/// Maximum size of a response. A configuration has at most 1 MB, an engine's entry a few hundred
/// bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Maximum wait for the first list of hosts.
const HOST_LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of hosts in a domain up to which every host reads the store at its start.
const SMALL_DOMAIN_HOSTS: usize = 6;

/// Time within which heartbeats of all live hosts are received.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(450);

/// Precision of the time since the return of the store in a response, in ms. Hosts that request the same delta within it
/// share the response.
const RETURN_AGE_STEP_MS: u64 = 100;

/// Maximum size of a request, in bytes. It may hold the name of a service.
const MAX_REQUEST_BYTES: u64 = 1 << 10;

/// State of a host's lists, as sent to other hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct ListState {
    /// True if the store does not answer the host.
    #[serde(rename = "away")]
    pub store_unavailable: bool,
    /// Number of the store's era, as known to the host.
    pub era: u64,
    /// Time in ms since the beginning of that era, as far as the host knows.
    pub era_age: u32,
    /// Revision of the host's configuration; 0 if it has none.
    pub config: u64,
    /// For each list, in the order of [`LISTS`]: the watermark, and the time in ms since the host
    /// read the list; `None` if the host does not read it from the store.
    pub lists: [(Watermark, Option<u32>); 3],
}

/// Response with a delta of a list, kept for hosts that request the same one.
pub struct CachedResponse {
    /// Start of the delta, watermark, and time in ms since the return of the store if it was unavailable a moment ago.
    key: (Position, Watermark, Option<u64>),
    body: Bytes,
}

/// Request for the changes of a list since a revision, sent as one line of JSON.
#[derive(Debug, Deserialize, Serialize)]
struct ListRequest {
    kind: Kind,
    since: u64,
    /// Number of the era that assigned the revision.
    #[serde(default)]
    era: u64,
}

/// Request for the assignment of the streams of a service, sent as one line of JSON. The response is a
/// [`StoredHistory`], or `null` if the host doesn't know it. Earlier builds close the connection.
#[derive(Debug, Deserialize, Serialize)]
struct AssignmentRequest {
    assignment_of: String,
}

/// Request of a host that the store doesn't answer: to record that a stream of a service may begin at another build than the
/// assigned one, sent as one line of JSON. The response is `true` if the store has recorded it. Earlier builds close the
/// connection.
#[derive(Debug, Deserialize, Serialize)]
struct ExceptionRequest {
    exception_of: String,
    /// Key of the stream, in decimal digits.
    stream: String,
}

/// Request of another host.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum HostRequest {
    List(ListRequest),
    Assignment(AssignmentRequest),
    Exception(ExceptionRequest),
}

/// Index of a list in [`LISTS`].
pub fn list_index(kind: Kind) -> usize {
    LISTS.iter().position(|it| *it == kind).unwrap_or(0)
}

/// State of this host's lists.
pub fn list_state(gateway: &Gateway) -> ListState {
    let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
    let list = |kind: Kind| {
        let age = gateway.read_age(kind).map(millis);
        (gateway.list_cache.watermark(kind), age)
    };
    ListState {
        store_unavailable: gateway.is_store_unavailable(),
        era: gateway.store_era().0,
        era_age: millis(gateway.store_era_age()),
        config: gateway.catalog().map_or(0, |it| it.revision),
        lists: LISTS.map(list),
    }
}

/// Maximum age of a reader's list at which the reader is used.
fn max_list_age(gateway: &Gateway, kind: Kind) -> Duration {
    watch::max_read_interval(gateway, kind) + MAX_HANDOVER_LAG
}

/// Takes the changes of a list from a reader, or waits a short time for changes.
pub async fn sync_from_reader(gateway: &Rc<Gateway>, kind: Kind, reader: &Arc<str>) {
    let own = gateway.list_cache.watermark(kind);
    let source = gateway.peers.borrow().list_source(reader, kind, own);
    let Some((name, addr, watermark)) = source else {
        time::sleep(FRESHNESS_CHECK_INTERVAL).await;
        return;
    };
    if watermark.last() <= own.last() && own.as_of > 0 {
        if watermark.era == own.era {
            gateway.list_cache.advance(kind, watermark.as_of);
            let now = clock::now();
            if let Some(age) = gateway.peers.borrow().list_age(reader, kind, now) {
                gateway.mark_complete(kind, now.saturating_sub(age));
            }
        }
        let _ = time::timeout(FRESHNESS_CHECK_INTERVAL, gateway.lists_received.notified()).await;
        return;
    }
    match time::timeout(READER_TIMEOUT, fetch(addr, kind, own.as_of())).await {
        Ok(Some(delta)) if delta.watermark.as_of() >= own.as_of() && delta.watermark.as_of > 0 => {
            watch::apply_delta(gateway, kind, &delta);
        }
        _ => {
            log::info!(event = "reader-failed", host = &*name; "host {name} did not provide the list {kind:?}");
            let until = clock::now() + READER_RETRY_DELAY;
            gateway.peers.borrow_mut().distrust(&name, until);
        }
    }
}

/// Takes the configuration from another host that has adopted a newer one than this host. This host may be cut off from
/// the store, or the store may have lost it until the operator writes it again.
pub async fn adopt_newer_config(gateway: &Rc<Gateway>) {
    let own = gateway.catalog().map_or(0, |it| it.revision);
    let source = gateway.peers.borrow().newer_config(own, clock::now());
    let Some((name, addr)) = source else { return };
    let fetched = fetch(addr, Kind::Config, Position::default());
    match time::timeout(READER_TIMEOUT, fetched).await {
        Ok(Some(delta)) => watch::adopt_configs(gateway, &delta.objects),
        _ => gateway
            .peers
            .borrow_mut()
            .distrust(&name, clock::now() + READER_RETRY_DELAY),
    }
}

/// Waits for heartbeats of the domain's hosts, if the domain is large. After a restart of all
/// hosts, most of them then find a reader, and do not all read whole lists from the store.
pub async fn wait_for_peers(gateway: &Rc<Gateway>) {
    let _ = time::timeout(HOST_LIST_TIMEOUT, gateway.hosts_listed.notified()).await;
    let is_large = gateway
        .peers
        .borrow()
        .domain_host_count(&gateway.settings.domain)
        > SMALL_DOMAIN_HOSTS;
    if is_large {
        time::sleep(HEARTBEAT_WAIT).await;
    }
}

/// Role of this host for a list: reader or follower.
pub fn current_role(gateway: &Gateway, kind: Kind) -> Role {
    let now = clock::now();
    let domain = &gateway.settings.domain;
    let era = gateway.list_cache.watermark(kind).era;
    let others = (gateway.peers.borrow()).domain_hosts(domain, kind, Era(era), now);
    fleet::reader::choose_role(
        &gateway.holder,
        domain,
        &others,
        max_list_age(gateway, kind),
    )
}

/// Time between two probes of this host while the store doesn't answer it.
pub fn probe_interval(gateway: &Gateway) -> Duration {
    let domain = &gateway.settings.domain;
    let now = clock::now();
    let others = (gateway.peers.borrow()).domain_hosts(domain, Kind::Engines, Era(0), now);
    let bound = RecoveryBound(gateway.settings.store_blind_time());
    let interval = fleet::reader::probe_interval(&gateway.holder, domain, &others, bound);
    interval.mul_f64(rand::random_range(0.7..1.0))
}

/// Serves lists, and requests that are passed on, to other hosts until the process ends.
pub async fn serve(
    listener: TcpListener,
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    closing: Receiver<bool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(BOOTSTRAP_INTERVAL).await;
            continue;
        };
        let gateway = gateway.clone();
        let gossip = gossip.clone();
        let closing = closing.clone();
        tokio::task::spawn_local(async move {
            match handover::is_request(&stream, RESPONSE_TIMEOUT).await {
                Some(true) => handover::serve(stream, gateway, gossip, closing).await,
                Some(false) => {
                    let _ = time::timeout(RESPONSE_TIMEOUT, respond(stream, &gateway)).await;
                }
                None => {}
            }
        });
    }
}

/// Reads one request and writes the response.
async fn respond(mut stream: TcpStream, gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let mut line = String::new();
    let (read, mut write) = stream.split();
    BufReader::new(read.take(MAX_REQUEST_BYTES))
        .read_line(&mut line)
        .await?;
    let body = match serde_json::from_str(&line)? {
        HostRequest::List(it) => cached_response(gateway, &it)?,
        HostRequest::Assignment(it) => {
            serde_json::to_vec(&assignments::copy(gateway, &it.assignment_of))?.into()
        }
        HostRequest::Exception(it) => {
            let service = it.exception_of.into();
            let is_recorded = match it.stream.parse() {
                Ok(key) => assignments::record_for_host(gateway, &service, StreamKey(key)).await,
                Err(_) => false,
            };
            serde_json::to_vec(&is_recorded)?.into()
        }
    };
    write.write_all(&body).await?;
    write.shutdown().await
}

/// Response to a request, serialized once for all hosts that request the same delta.
fn cached_response(gateway: &Rc<Gateway>, request: &ListRequest) -> std::io::Result<Bytes> {
    let returned_ms = match gateway.removal_kind() {
        Removal::AfterOutage { returned_at } => {
            let age = clock::now().saturating_sub(returned_at).as_millis();
            Some(u64::try_from(age).unwrap_or(u64::MAX) / RETURN_AGE_STEP_MS * RETURN_AGE_STEP_MS)
        }
        Removal::StoreAvailable => None,
    };
    let watermark = gateway.list_cache.watermark(request.kind);
    let since = Position {
        era: Era(request.era),
        rev: request.since,
    };
    let key = (since, watermark, returned_ms);
    if let Some(cached) = gateway.list_responses.borrow().get(&request.kind)
        && cached.key == key
    {
        return Ok(cached.body.clone());
    }
    let mut delta = gateway.list_cache.delta_since(request.kind, since);
    delta.outage = returned_ms.is_some();
    delta.returned_ms = returned_ms;
    let body: Bytes = serde_json::to_vec(&delta)?.into();
    let cached = CachedResponse {
        key,
        body: body.clone(),
    };
    gateway
        .list_responses
        .borrow_mut()
        .insert(request.kind, cached);
    Ok(body)
}

/// Requests the changes of a list from one host.
async fn fetch(addr: SocketAddr, kind: Kind, since: Position) -> Option<Delta> {
    let request = ListRequest {
        kind,
        since: since.rev,
        era: since.era.0,
    };
    ask(addr, &request).await
}

/// Requests the assignment of the streams of a service from one host.
pub async fn fetch_assignment(addr: SocketAddr, service: &str) -> Option<StoredHistory> {
    let request = AssignmentRequest {
        assignment_of: service.to_owned(),
    };
    time::timeout(READER_TIMEOUT, ask::<Option<StoredHistory>>(addr, &request))
        .await
        .ok()??
}

/// Asks one host to record that a stream may begin at another build than the assigned one. Returns whether the store has
/// recorded it.
pub async fn request_exception(addr: SocketAddr, service: &str, key: StreamKey) -> bool {
    let request = ExceptionRequest {
        exception_of: service.to_owned(),
        stream: key.0.to_string(),
    };
    ask(addr, &request).await.unwrap_or(false)
}

/// Sends a request to one host and reads the response. Returns `None` if it fails.
async fn ask<T: DeserializeOwned>(addr: SocketAddr, request: &impl Serialize) -> Option<T> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let mut line = serde_json::to_vec(request).ok()?;
    line.push(b'\n');
    stream.write_all(&line).await.ok()?;
    let mut body = Vec::new();
    stream
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body)
        .await
        .ok()?;
    serde_json::from_slice(&body).ok()
}

/// Requests the lists from other hosts until this host has a configuration and engines from any
/// source.
pub async fn bootstrap(gateway: Rc<Gateway>) {
    time::sleep(BOOTSTRAP_INTERVAL).await;
    while gateway.catalog().is_none() || !gateway.engines_listed.get() {
        if gateway.is_store_doubtful() {
            let hosts = gateway.peers.borrow().addresses();
            for addr in hosts {
                if addr != gateway.settings.peers && bootstrap_from(&gateway, addr).await {
                    log::warn!(event = "handover"; "took configuration and engines from {addr}: the store is unavailable");
                    return;
                }
            }
        }
        time::sleep(BOOTSTRAP_INTERVAL).await;
    }
}

/// Takes all lists from another host. Returns false if that host has no configuration.
async fn bootstrap_from(gateway: &Rc<Gateway>, addr: SocketAddr) -> bool {
    for kind in LISTS {
        let Ok(Some(delta)) =
            time::timeout(RESPONSE_TIMEOUT, fetch(addr, kind, Position::default())).await
        else {
            return false;
        };
        if kind == Kind::Config && delta.objects.is_empty() {
            return false;
        }
        let known = gateway.list_cache.watermark(kind).as_of();
        if delta.watermark.as_of() > known {
            watch::apply_delta(gateway, kind, &delta);
        }
    }
    true
}
