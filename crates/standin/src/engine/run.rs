//! Runs requests and streams their chunks.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::{mpsc, watch};

use super::{
    End, Pace,
    batch::{Order, Progress, Refusal, Run, Turn},
    chat::{self, Ask, Voice},
    core::Core,
};
use crate::http::{self, Call, Reply, body::Broken};

/// Events that may wait for a slow reader.
const STREAM_BUFFER: usize = 1;

/// Answers a completion.
pub async fn start(core: Arc<Core>, call: &Call) -> Reply {
    let ask: Ask = match call.json() {
        Ok(ask) => ask,
        Err(reply) => return reply,
    };
    let order = Order {
        id: call.header("x-request-id").unwrap_or("unnamed").to_owned(),
        loaded: ask.model.clone(),
        priority: ask.priority,
        chunks: ask.chunks(),
    };
    let taken = core.lock().take(order);
    let run = match taken {
        Ok((run, turn)) => {
            // A request runs on when its caller has gone, so that it can be resumed.
            tokio::spawn(drive(core.clone(), run.clone(), turn));
            run
        }
        Err(refusal) => return refuse(refusal),
    };
    if ask.stream {
        return stream(&core, &run, 0);
    }
    whole(&core, &run).await
}

fn refuse(refusal: Refusal) -> Reply {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match refusal {
        Refusal::Leaving => Reply::error(unavailable, "leaving", "the engine is leaving"),
        Refusal::Full => Reply::error(unavailable, "full", "batch and queue are full"),
        Refusal::NotLoaded => Reply::error(
            StatusCode::NOT_FOUND,
            "not-loaded",
            "the adapter is not loaded",
        ),
    }
}

async fn drive(core: Arc<Core>, run: Arc<Run>, turn: Turn) {
    if let Turn::Later(turn) = turn {
        tokio::select! {
            _ = turn => {}
            () = run.ended() => {}
        }
    }
    while !is_over(&run) {
        tokio::select! {
            () = pace(&core) => make_token(&core, &run),
            () = run.ended() => {}
        }
    }
    core.lock().leave(&run);
}

fn is_over(run: &Run) -> bool {
    run.progress.borrow().end.is_some()
}

async fn pace(core: &Core) {
    let (pace, time) = {
        let state = core.lock();
        (state.pace, state.token_time())
    };
    match pace {
        Pace::Timed => tokio::time::sleep(time).await,
        Pace::Stepped => {
            if let Ok(step) = core.steps.acquire().await {
                step.forget();
            }
        }
    }
}

fn make_token(core: &Core, run: &Run) {
    let made = run.progress.send_if_modified(|it| {
        if it.end.is_some() {
            return false;
        }
        it.made += 1;
        if it.made == run.chunks {
            it.end = Some(End::Finished);
        }
        true
    });
    core.lock().counts.tokens += u64::from(made);
}

async fn whole(core: &Core, run: &Run) -> Reply {
    run.ended().await;
    if run.progress.borrow().end != Some(End::Finished) {
        return Reply::Break;
    }
    let voice = Voice::new(run, &core.lock().answer_as);
    match next_break(core, run, 0) {
        Some(_) => Reply::Break,
        None => Reply::json(StatusCode::OK, &chat::whole(run, &voice)),
    }
}

/// The chunk after which a stream that starts at `from` is to break off.
fn next_break(core: &Core, run: &Run, from: u32) -> Option<u32> {
    let mut state = core.lock();
    let after = state.break_after;
    if state.break_times == 0 || after < from || after >= run.chunks {
        return None;
    }
    state.break_times -= 1;
    Some(after)
}

fn stream(core: &Core, run: &Arc<Run>, from: u32) -> Reply {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let voice = Voice::new(run, &core.lock().answer_as);
    let stream = Stream {
        voice,
        break_after: next_break(core, run, from),
        run: run.clone(),
        sender,
    };
    tokio::spawn(stream.send_all(from));
    let reply = Reply::stream(receiver);
    reply
        .with("content-type", "text/event-stream")
        .with("cache-control", "no-cache")
}

struct Stream {
    run: Arc<Run>,
    voice: Voice,
    break_after: Option<u32>,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
}

/// What a stream does next.
enum Next {
    Chunk,
    Done,
    Break,
}

impl Stream {
    async fn send_all(self, from: u32) {
        let mut progress = self.run.progress.subscribe();
        let mut chunk = from;
        loop {
            let event = match self.next(&mut progress, chunk).await {
                Next::Chunk => chat::event(&self.run, &self.voice, chunk),
                Next::Done => {
                    let _ = self.sender.send(Ok(chat::done())).await;
                    return;
                }
                Next::Break => return http::break_off(&self.sender).await,
            };
            if self.sender.send(Ok(event)).await.is_err() {
                return;
            }
            chunk += 1;
        }
    }

    async fn next(&self, progress: &mut watch::Receiver<Progress>, chunk: u32) -> Next {
        if self.break_after.is_some_and(|it| chunk > it) {
            return Next::Break;
        }
        let moved = progress.wait_for(|it| it.made > chunk || it.end.is_some());
        let Ok(progress) = moved.await else {
            return Next::Break;
        };
        match (progress.made > chunk, progress.end) {
            (true, _) => Next::Chunk,
            (false, Some(End::Finished)) => Next::Done,
            (false, _) => Next::Break,
        }
    }
}

/// Answers with the stream of a request, from a chunk on.
pub fn resume(core: &Core, id: &str, call: &Call) -> Reply {
    let Some(from) = call.number("from").and_then(|it| u32::try_from(it).ok()) else {
        return Reply::error(StatusCode::BAD_REQUEST, "bad-request", "from is missing");
    };
    let (found, taken) = {
        let state = core.lock();
        (state.find(id), state.was_taken(id))
    };
    match (found, taken) {
        (Some(run), _) => stream(core, &run, from),
        (None, true) => Reply::error(StatusCode::GONE, "dropped", "the request is forgotten"),
        (None, false) => Reply::error(StatusCode::NOT_FOUND, "not-found", "no such request"),
    }
}

/// Answers an order to cancel a request.
pub fn cancel(core: &Core, id: &str) -> Reply {
    let Some(run) = core.lock().find(id) else {
        return Reply::error(StatusCode::NOT_FOUND, "not-found", "no such request");
    };
    run.end(End::Cancelled);
    core.lock().leave(&run);
    Reply::json(StatusCode::OK, &serde_json::json!({}))
}
