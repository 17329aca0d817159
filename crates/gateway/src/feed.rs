//! Hands the store's lists on from host to host, over TCP on the peers' port.
//!
//! Each call to the store is paid for, so only some hosts of a failure domain read it (`fleet::reader`) and
//! the others ask them for what is new. A host that starts while the store is away asks whom it knows.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::reader::Role;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    clock,
    dialect::Kind,
    gateway::Gateway,
    kept::{Part, Reach},
    watch,
};

/// The lists that are handed on.
pub const LISTS: [Kind; 3] = [Kind::Config, Kind::Engines, Kind::Versions];

/// Time between two rounds of questions of a host that knows nothing.
const ROUND: Duration = Duration::from_millis(400);

/// Time for one whole answer.
const ANSWER: Duration = Duration::from_millis(700);

/// Time for the answer of a reader, after which another one is asked.
const READER_ANSWER: Duration = Duration::from_millis(350);

/// Time for which a reader that didn't answer isn't asked again.
const READER_FAILED: Duration = Duration::from_secs(2);

/// Longest time without a look at whether the reader is still fresh.
const LOOK: Duration = Duration::from_millis(250);

/// Age of a list beyond the reader's pause, after which the reader isn't relied on: a call and a word
/// between hosts take some ten ms.
const LAG: Duration = Duration::from_millis(350);

/// Largest answer in bytes: a configuration has 1 MB at most, an entry of an engine some hundred bytes.
const LARGEST: u64 = 16 << 20;

/// Time for the first list of the hosts.
const LISTED: Duration = Duration::from_millis(300);

/// Hosts of a domain up to which all read the store at their start.
const FEW: usize = 6;

/// Time in which all hosts that live are heard.
const HEARD: Duration = Duration::from_millis(450);

/// Longest question in bytes.
const QUESTION: u64 = 100;

/// What a host says of its view of the lists.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Word {
    /// Whether the store doesn't answer it.
    pub away: bool,
    /// By list, in the order of [`LISTS`]: how far it knows it, and how many ms ago it read it, if it does.
    pub lists: [(Reach, Option<u32>); 3],
}

/// A part of a list as it was handed on.
pub struct Told {
    /// Since when, how far, and whether the store was away a moment ago.
    key: (u64, Reach, bool),
    text: Bytes,
}

#[derive(Debug, Deserialize, Serialize)]
struct Question {
    kind: Kind,
    since: u64,
}

/// Place of a list in [`LISTS`].
pub fn index(kind: Kind) -> usize {
    LISTS.iter().position(|it| *it == kind).unwrap_or(0)
}

/// What this host says of its view of the lists.
pub fn word(gateway: &Gateway) -> Word {
    let list = |kind: Kind| {
        let age = gateway.read_age(kind);
        let age = age.map(|it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX));
        (gateway.kept.reach(kind), age)
    };
    Word {
        away: gateway.store_is_away(),
        lists: LISTS.map(list),
    }
}

/// The age up to which a reader's view of a list is relied on.
fn bound(gateway: &Gateway, kind: Kind) -> Duration {
    watch::longest(gateway, kind) + LAG
}

/// Takes a list from a reader: what is new, or a short wait for it.
pub async fn take(gateway: &Rc<Gateway>, kind: Kind, reader: &Arc<str>) {
    let own = gateway.kept.reach(kind);
    let source = gateway.peers.borrow().source(reader, kind, own);
    let Some((name, addr, reach)) = source else {
        time::sleep(LOOK).await;
        return;
    };
    if reach.last <= own.last && own.as_of > 0 {
        gateway.kept.reach_to(kind, reach.as_of);
        let now = clock::now();
        if let Some(age) = gateway.peers.borrow().age(reader, kind, now) {
            gateway.knows(kind, now.saturating_sub(age));
        }
        let _ = time::timeout(LOOK, gateway.heard.notified()).await;
        return;
    }
    match time::timeout(READER_ANSWER, ask(addr, kind, own.as_of)).await {
        Ok(Some(part)) if part.reach.as_of >= own.as_of && part.reach.as_of > 0 => {
            watch::take(gateway, kind, &part);
        }
        _ => {
            log::info!(event = "reader-failed", host = &*name; "host {name} didn't hand {kind:?} on");
            let until = clock::now() + READER_FAILED;
            gateway.peers.borrow_mut().distrust(&name, until);
        }
    }
}

/// Waits until the hosts of the domain were heard, where there are many: after a fall of all of them most
/// find a reader then, and the store isn't asked for everything by everyone.
pub async fn meet(gateway: &Rc<Gateway>) {
    let _ = time::timeout(LISTED, gateway.hosts_listed.notified()).await;
    let many = gateway.peers.borrow().of_domain(&gateway.settings.domain) > FEW;
    if many {
        time::sleep(HEARD).await;
    }
}

/// What this host does for a list now.
pub fn role(gateway: &Gateway, kind: Kind) -> Role {
    let now = clock::now();
    let domain = &gateway.settings.domain;
    let others = gateway.peers.borrow().sights(domain, kind, now);
    fleet::reader::choose_role(&gateway.holder, domain, &others, bound(gateway, kind))
}

/// Answers other hosts until the process ends.
pub async fn tell(listener: TcpListener, gateway: Rc<Gateway>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ROUND).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let _ = time::timeout(ANSWER, answer(stream, &gateway)).await;
        });
    }
}

async fn answer(mut stream: TcpStream, gateway: &Rc<Gateway>) -> std::io::Result<()> {
    let mut line = String::new();
    let (read, mut write) = stream.split();
    BufReader::new(read.take(QUESTION))
        .read_line(&mut line)
        .await?;
    let question: Question = serde_json::from_str(&line)?;
    let text = told(gateway, &question)?;
    write.write_all(&text).await?;
    write.shutdown().await
}

/// The answer to a question, made once for all that ask the same.
fn told(gateway: &Rc<Gateway>, question: &Question) -> std::io::Result<Bytes> {
    let outage = gateway.removal() == fleet::table::Removal::AfterOutage;
    let reach = gateway.kept.reach(question.kind);
    let key = (question.since, reach, outage);
    if let Some(told) = gateway.parts.borrow().get(&question.kind)
        && told.key == key
    {
        return Ok(told.text.clone());
    }
    let mut part = gateway.kept.since(question.kind, question.since);
    part.outage = outage;
    let text: Bytes = serde_json::to_vec(&part)?.into();
    let told = Told {
        key,
        text: text.clone(),
    };
    gateway.parts.borrow_mut().insert(question.kind, told);
    Ok(text)
}

/// Asks one host what is new in a list.
async fn ask(addr: SocketAddr, kind: Kind, since: u64) -> Option<Part> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let question = Question { kind, since };
    let mut line = serde_json::to_vec(&question).ok()?;
    line.push(b'\n');
    stream.write_all(&line).await.ok()?;
    let mut text = Vec::new();
    stream.take(LARGEST).read_to_end(&mut text).await.ok()?;
    serde_json::from_slice(&text).ok()
}

/// Asks other hosts until this one knows a configuration and engines, however it came to know them.
pub async fn start(gateway: Rc<Gateway>) {
    time::sleep(ROUND).await;
    while gateway.catalog().is_none() || !gateway.listed.get() {
        if gateway.store_is_away() {
            let hosts = gateway.peers.borrow().addresses();
            for addr in hosts {
                if addr != gateway.settings.peers && take_all(&gateway, addr).await {
                    log::warn!(event = "handover"; "config and engines taken from {addr}: the store is away");
                    return;
                }
            }
        }
        time::sleep(ROUND).await;
    }
}

/// Takes over what another host knows; false if it has no configuration itself.
async fn take_all(gateway: &Rc<Gateway>, addr: SocketAddr) -> bool {
    for kind in LISTS {
        let Ok(Some(part)) = time::timeout(ANSWER, ask(addr, kind, 0)).await else {
            return false;
        };
        if kind == Kind::Config && part.objects.is_empty() {
            return false;
        }
        let known = gateway.kept.reach(kind).as_of;
        if part.reach.as_of > known {
            watch::take(gateway, kind, &part);
        }
    }
    true
}
