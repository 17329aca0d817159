//! What a host knows of configuration and engines, for one that starts while the store is away.
//!
//! A host that has neither asks the hosts that it knows, or its seeds, over TCP on the peers' port. What
//! it gets is as old as the last answer of the store there; the store goes before it once it answers.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    dialect::{Kind, Object},
    gateway::Gateway,
    watch,
};

/// Time between two rounds of questions.
const ROUND: Duration = Duration::from_millis(400);

/// Time for one whole answer.
const ANSWER: Duration = Duration::from_millis(700);

/// Largest answer in bytes: a configuration has 1 MB at most, an entry of an engine some hundred bytes.
const LARGEST: u64 = 16 << 20;

/// The objects as they came from the store.
#[derive(Default)]
pub struct Kept(RefCell<BTreeMap<(Kind, String), Object>>);

impl Kept {
    /// Keeps an object.
    pub fn put(&self, kind: Kind, object: &Object) {
        let key = (kind, object.name.clone());
        self.0.borrow_mut().insert(key, object.clone());
    }

    /// Forgets an object.
    pub fn remove(&self, kind: Kind, name: &str) {
        self.0.borrow_mut().remove(&(kind, name.to_owned()));
    }
}

#[derive(Deserialize, Serialize)]
struct Told {
    kind: Kind,
    object: Object,
}

/// Tells other hosts until the process ends.
pub async fn tell(listener: TcpListener, gateway: Rc<Gateway>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            time::sleep(ROUND).await;
            continue;
        };
        let text = {
            let kept = gateway.kept.0.borrow();
            let told = kept.iter().map(|((kind, _), object)| Told {
                kind: *kind,
                object: object.clone(),
            });
            serde_json::to_vec(&told.collect::<Vec<_>>())
        };
        let Ok(text) = text else { continue };
        tokio::task::spawn_local(async move {
            let _ = time::timeout(ANSWER, async {
                stream.write_all(&text).await?;
                stream.shutdown().await
            })
            .await;
        });
    }
}

/// Asks other hosts until this one knows a configuration and engines.
pub async fn ask(gateway: Rc<Gateway>) {
    time::sleep(ROUND).await;
    while gateway.catalog().is_none() || !gateway.listed.get() {
        if gateway.store_is_away() {
            let hosts = gateway.peers.borrow().addresses();
            for addr in hosts {
                if addr == gateway.settings.peers {
                    continue;
                }
                if let Ok(Some(told)) = time::timeout(ANSWER, read(addr)).await
                    && take(&gateway, told)
                {
                    log::warn!(event = "handover"; "config and engines taken from {addr}: the store is away");
                    return;
                }
            }
        }
        time::sleep(ROUND).await;
    }
}

async fn read(addr: SocketAddr) -> Option<Vec<Told>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut text = Vec::new();
    let mut limited = stream.take(LARGEST);
    limited.read_to_end(&mut text).await.ok()?;
    serde_json::from_slice(&text).ok()
}

/// Takes over what another host told; false if it has no configuration itself.
fn take(gateway: &Rc<Gateway>, told: Vec<Told>) -> bool {
    if !told.iter().any(|it| it.kind == Kind::Config) {
        return false;
    }
    let (engines, others): (Vec<_>, Vec<_>) =
        told.into_iter().partition(|it| it.kind == Kind::Engines);
    for it in &others {
        watch::put(gateway, it.kind, &it.object);
    }
    if !gateway.listed.get() {
        let engines: Vec<Object> = engines.into_iter().map(|it| it.object).collect();
        watch::listed(gateway, Kind::Engines, &engines);
    }
    true
}
