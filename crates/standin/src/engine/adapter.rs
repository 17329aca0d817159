//! FencingPolicy to load and to unload adapters.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::StatusCode;
use kernel::reference::{Loaded, Reference};
use serde::Deserialize;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use super::{
    UnloadPolicy,
    batch::{Loading, Slot},
    core::{Core, Fence, State},
};
use crate::http::{Call, Reply};

/// How long the engine waits for the weight store before the load has failed.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Deserialize)]
struct LoadOrder {
    lora_name: String,
    lora_path: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct UnloadOrder {
    lora_name: String,
    #[serde(default)]
    fence: u64,
}

/// How a load goes on.
enum Begun {
    /// This order began it.
    New(watch::Receiver<Loading>),
    /// It has begun or ended before.
    Known(watch::Receiver<Loading>),
}

fn bad_request(message: &str) -> Reply {
    Reply::error(StatusCode::BAD_REQUEST, "bad-request", message)
}

fn stale_fence() -> Reply {
    let message = "a steward with a higher fencing number gave an order";
    Reply::error(StatusCode::PRECONDITION_FAILED, "stale-fence", message)
}

/// Answers an order to load, once it has been carried out.
pub async fn load(core: Arc<Core>, call: &Call) -> Reply {
    let order: LoadOrder = match call.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    if let Err(invalid) = order.lora_name.parse::<Loaded>() {
        return bad_request(&invalid.to_string());
    }
    if let Err(invalid) = order.lora_path.parse::<Reference>() {
        return bad_request(&invalid.to_string());
    }
    let begun = core.lock().begin(&order);
    let mut loading = match begun {
        Ok(Begun::New(loading)) => {
            // A load goes on when its caller has gone.
            tokio::spawn(fetch_into_slot(core, order));
            loading
        }
        Ok(Begun::Known(loading)) => loading,
        Err(reply) => return reply,
    };
    match loading
        .wait_for(|it| *it != Loading::Running)
        .await
        .as_deref()
    {
        Ok(Loading::Done) => Reply::json(StatusCode::OK, &serde_json::json!({})),
        _ => Reply::error(StatusCode::BAD_GATEWAY, "load-failed", "the load failed"),
    }
}

impl State {
    fn begin(&mut self, order: &LoadOrder) -> Result<Begun, Reply> {
        if self.check_fence(order.fence) == Fence::Refuse {
            return Err(stale_fence());
        }
        if self.leaving.is_on() {
            self.counts.while_leaving += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Reply::error(status, "leaving", "the engine is leaving"));
        }
        if let Some(slot) = self.slots.get(&order.lora_name) {
            if slot.path != order.lora_path {
                return Err(bad_request("the name is in use for another adapter"));
            }
            return Ok(Begun::Known(slot.loading.subscribe()));
        }
        if self.slots.len() >= self.settings.slots {
            self.counts.no_slot += 1;
            return Err(Reply::error(
                StatusCode::CONFLICT,
                "no-slot",
                "every slot is in use",
            ));
        }
        let loading = watch::Sender::new(Loading::Running);
        let receiver = loading.subscribe();
        let slot = Slot {
            path: order.lora_path.clone(),
            loading,
            running: 0,
        };
        self.slots.insert(order.lora_name.clone(), slot);
        Ok(Begun::New(receiver))
    }

    /// Ends a load unless the engine has restarted since it began.
    fn finish(&mut self, name: &str, incarnation: u64, outcome: Loading) {
        if self.incarnation != incarnation {
            return;
        }
        let Some(slot) = self.slots.get(name) else {
            return;
        };
        slot.loading.send_replace(outcome);
        if outcome == Loading::Done {
            self.counts.loads += 1;
            return;
        }
        self.counts.failed_loads += 1;
        self.slots.remove(name);
    }

    fn next_load_fails(&mut self) -> Outcome {
        if self.fail_loads == 0 {
            return Outcome::Open;
        }
        self.fail_loads -= 1;
        Outcome::Fails
    }
}

enum Outcome {
    Open,
    Fails,
}

async fn fetch_into_slot(core: Arc<Core>, order: LoadOrder) {
    let (incarnation, weights, time, outcome) = {
        let mut state = core.lock();
        let time = Duration::from_millis(state.settings.load_ms);
        let outcome = state.next_load_fails();
        (state.incarnation, state.settings.weights, time, outcome)
    };
    let loaded = match (outcome, weights) {
        (Outcome::Fails, _) => Loading::Failed,
        (Outcome::Open, Some(address)) => fetch(address, &order.lora_path).await,
        (Outcome::Open, None) => {
            tokio::time::sleep(time).await;
            Loading::Done
        }
    };
    core.lock().finish(&order.lora_name, incarnation, loaded);
}

async fn fetch(address: SocketAddr, path: &str) -> Loading {
    let answer = tokio::time::timeout(STORE_TIMEOUT, status(address, path)).await;
    match answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(status) if status == "200" => Loading::Done,
        Ok(status) => {
            log::info!(target: "standin", "The weight store answered {status} for {path}.");
            Loading::Failed
        }
        Err(error) => {
            log::info!(target: "standin", "The weight store is not reached: {error}.");
            Loading::Failed
        }
    }
}

/// The status of a `GET` of weights. Being async, it ends with the stand-in.
async fn status(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("GET /weights/{path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1);
    status
        .map(str::to_owned)
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Answers an order to unload.
pub fn unload(core: &Core, call: &Call) -> Reply {
    let order: UnloadOrder = match call.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let mut state = core.lock();
    if state.check_fence(order.fence) == Fence::Refuse {
        return stale_fence();
    }
    let Some(slot) = state.slots.get(&order.lora_name) else {
        let message = format!("{} is not loaded", order.lora_name);
        return Reply::error(StatusCode::NOT_FOUND, "not-loaded", &message);
    };
    let busy = Reply::error(StatusCode::CONFLICT, "busy", "the adapter is in use");
    if !slot.is_loaded() {
        return busy;
    }
    if slot.running > 0 {
        state.counts.busy_unloads += 1;
        if state.unload == UnloadPolicy::Refuse {
            return busy;
        }
        state.end_users(&order.lora_name);
    }
    state.slots.remove(&order.lora_name);
    state.counts.unloads += 1;
    Reply::json(StatusCode::OK, &serde_json::json!({}))
}
