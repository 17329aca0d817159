//! Commands to load and to unload adapters.

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
    batch::{LoadState, Slot},
    core::{Core, FenceDecision, State},
};
use crate::http::{Call, Reply};

/// Timeout of fetching weights, after which the load fails.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Deserialize)]
struct LoadCommand {
    lora_name: String,
    lora_path: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct UnloadCommand {
    lora_name: String,
    #[serde(default)]
    fence: u64,
}

/// Outcome of a load command. The receiver reports the progress of the load.
enum BeginOutcome {
    /// This command started the load.
    Started(watch::Receiver<LoadState>),
    /// The load was started by an earlier command and may have finished.
    Existing(watch::Receiver<LoadState>),
}

fn bad_request(message: &str) -> Reply {
    Reply::error(StatusCode::BAD_REQUEST, "bad-request", message)
}

fn stale_fence() -> Reply {
    let message = "a steward with a higher fencing number gave an order";
    Reply::error(StatusCode::PRECONDITION_FAILED, "stale-fence", message)
}

/// Handles a load command and responds once the load has ended.
pub async fn load(core: Arc<Core>, call: &Call) -> Reply {
    let command: LoadCommand = match call.json() {
        Ok(command) => command,
        Err(reply) => return reply,
    };
    if let Err(invalid) = command.lora_name.parse::<Loaded>() {
        return bad_request(&invalid.to_string());
    }
    if let Err(invalid) = command.lora_path.parse::<Reference>() {
        return bad_request(&invalid.to_string());
    }
    let outcome = core.lock().begin_load(&command);
    let mut load_state = match outcome {
        Ok(BeginOutcome::Started(load_state)) => {
            // A load runs to its end even if its caller disconnects.
            tokio::spawn(fetch_into_slot(core, command));
            load_state
        }
        Ok(BeginOutcome::Existing(load_state)) => load_state,
        Err(reply) => return reply,
    };
    match load_state
        .wait_for(|it| *it != LoadState::Running)
        .await
        .as_deref()
    {
        Ok(LoadState::Done) => Reply::json(StatusCode::OK, &serde_json::json!({})),
        _ => Reply::error(StatusCode::BAD_GATEWAY, "load-failed", "the load failed"),
    }
}

impl State {
    fn begin_load(&mut self, command: &LoadCommand) -> Result<BeginOutcome, Reply> {
        if self.check_fence(command.fence) == FenceDecision::Refuse {
            return Err(stale_fence());
        }
        if self.leaving.is_on() {
            self.counts.while_leaving += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Reply::error(status, "leaving", "the engine is leaving"));
        }
        if let Some(slot) = self.slots.get(&command.lora_name) {
            if slot.path != command.lora_path {
                return Err(bad_request("the name is in use for another adapter"));
            }
            return Ok(BeginOutcome::Existing(slot.load_state.subscribe()));
        }
        if self.slots.len() >= self.settings.slots {
            self.counts.no_slot += 1;
            return Err(Reply::error(
                StatusCode::CONFLICT,
                "no-slot",
                "every slot is in use",
            ));
        }
        let load_state = watch::Sender::new(LoadState::Running);
        let receiver = load_state.subscribe();
        let slot = Slot {
            path: command.lora_path.clone(),
            load_state,
            running: 0,
        };
        self.slots.insert(command.lora_name.clone(), slot);
        Ok(BeginOutcome::Started(receiver))
    }

    /// Records the outcome of a load unless the engine has restarted since the load began.
    fn finish_load(&mut self, name: &str, incarnation: u64, outcome: LoadState) {
        if self.incarnation != incarnation {
            return;
        }
        let Some(slot) = self.slots.get(name) else {
            return;
        };
        slot.load_state.send_replace(outcome);
        if outcome == LoadState::Done {
            self.counts.loads += 1;
            return;
        }
        self.counts.failed_loads += 1;
        self.slots.remove(name);
    }

    fn take_load_fault(&mut self) -> Fault {
        if self.fail_loads == 0 {
            return Fault::None;
        }
        self.fail_loads -= 1;
        Fault::Fail
    }
}

/// Failure that is injected into a load.
enum Fault {
    None,
    Fail,
}

async fn fetch_into_slot(core: Arc<Core>, command: LoadCommand) {
    let (incarnation, weights, duration, fault) = {
        let mut state = core.lock();
        let duration = Duration::from_millis(state.settings.load_ms);
        let fault = state.take_load_fault();
        (state.incarnation, state.settings.weights, duration, fault)
    };
    let load_state = match (fault, weights) {
        (Fault::Fail, _) => LoadState::Failed,
        (Fault::None, Some(address)) => fetch_weights(address, &command.lora_path).await,
        (Fault::None, None) => {
            tokio::time::sleep(duration).await;
            LoadState::Done
        }
    };
    core.lock()
        .finish_load(&command.lora_name, incarnation, load_state);
}

async fn fetch_weights(address: SocketAddr, path: &str) -> LoadState {
    let response = tokio::time::timeout(FETCH_TIMEOUT, request_weights(address, path)).await;
    match response.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(status) if status == "200" => LoadState::Done,
        Ok(status) => {
            log::info!(target: "standin", "The weight store answered {path} with status {status}.");
            LoadState::Failed
        }
        Err(error) => {
            log::info!(target: "standin", "The weight store cannot be reached: {error}.");
            LoadState::Failed
        }
    }
}

/// Requests weights and returns the status code of the response. The request is async so that it
/// ends with the stand-in.
async fn request_weights(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("GET /weights/{path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let response = String::from_utf8_lossy(&response);
    let status = response.split(' ').nth(1);
    status
        .map(str::to_owned)
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Handles an unload command.
pub fn unload(core: &Core, call: &Call) -> Reply {
    let command: UnloadCommand = match call.json() {
        Ok(command) => command,
        Err(reply) => return reply,
    };
    let mut state = core.lock();
    if state.check_fence(command.fence) == FenceDecision::Refuse {
        return stale_fence();
    }
    let Some(slot) = state.slots.get(&command.lora_name) else {
        let message = format!("{} is not loaded", command.lora_name);
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
        state.end_requests_on(&command.lora_name);
    }
    state.slots.remove(&command.lora_name);
    state.counts.unloads += 1;
    Reply::json(StatusCode::OK, &serde_json::json!({}))
}
