//! Runs requests and sends their answers.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::{mpsc, watch};

use super::{
    End, Pace,
    batch::{Progress, Refusal, Run, Start, Submission},
    chat::{self, AnswerSource, ChatRequest},
    core::Core,
};
use crate::http::{self, Call, Reply, body::Disconnected};

/// Number of events that are buffered for a slow reader.
const STREAM_BUFFER_EVENTS: usize = 1;

/// Handles a completion request.
pub async fn complete(core: Arc<Core>, call: &Call) -> Reply {
    let request: ChatRequest = match call.json() {
        Ok(request) => request,
        Err(reply) => return reply,
    };
    let submission = Submission {
        id: call.header("x-request-id").unwrap_or("unnamed").to_owned(),
        loaded: request.model.clone(),
        priority: request.priority,
        chunks: request.chunks(),
    };
    let admitted = core.lock().admit(submission);
    let run = match admitted {
        Ok((run, start)) => {
            // A request runs on after its caller disconnects, so that it can be resumed.
            tokio::spawn(generate(core.clone(), run.clone(), start));
            run
        }
        Err(refusal) => return refuse(refusal),
    };
    if request.stream {
        return answer_stream(&core, &run, 0);
    }
    answer_whole(&core, &run).await
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

async fn generate(core: Arc<Core>, run: Arc<Run>, start: Start) {
    if let Start::Queued(start) = start {
        tokio::select! {
            _ = start => {}
            () = run.wait_for_end() => {}
        }
    }
    while !has_ended(&run) {
        tokio::select! {
            () = wait_for_token(&core) => generate_token(&core, &run),
            () = run.wait_for_end() => {}
        }
    }
    core.lock().remove(&run);
}

fn has_ended(run: &Run) -> bool {
    run.progress.borrow().end.is_some()
}

async fn wait_for_token(core: &Core) {
    let (pace, time) = {
        let state = core.lock();
        (state.pace, state.time_per_token())
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

fn generate_token(core: &Core, run: &Run) {
    let generated = run.progress.send_if_modified(|it| {
        if it.end.is_some() {
            return false;
        }
        it.generated += 1;
        if it.generated == run.chunks {
            it.end = Some(End::Finished);
        }
        true
    });
    core.lock().counts.tokens += u64::from(generated);
}

async fn answer_whole(core: &Core, run: &Run) -> Reply {
    run.wait_for_end().await;
    if run.progress.borrow().end != Some(End::Finished) {
        return Reply::Close;
    }
    let source = AnswerSource::new(run, &core.lock().answer_as);
    match take_break(core, run, 0) {
        Some(_) => Reply::Close,
        None => Reply::json(StatusCode::OK, &chat::whole_answer(run, &source)),
    }
}

/// Returns the chunk after which an answer that starts at chunk `from` is aborted, and uses up one
/// of the aborts set by [`super::Switch::BreakStreams`].
fn take_break(core: &Core, run: &Run, from: u32) -> Option<u32> {
    let mut state = core.lock();
    let after = state.break_after;
    if state.break_times == 0 || after < from || after >= run.chunks {
        return None;
    }
    state.break_times -= 1;
    Some(after)
}

fn answer_stream(core: &Core, run: &Arc<Run>, from: u32) -> Reply {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_EVENTS);
    let source = AnswerSource::new(run, &core.lock().answer_as);
    let stream = Stream {
        source,
        break_after: take_break(core, run, from),
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
    source: AnswerSource,
    break_after: Option<u32>,
    sender: mpsc::Sender<Result<Bytes, Disconnected>>,
}

/// Next step of a stream.
enum Step {
    Chunk,
    Done,
    Close,
}

impl Stream {
    async fn send_all(self, from: u32) {
        let mut progress = self.run.progress.subscribe();
        let mut chunk = from;
        loop {
            let event = match self.next_step(&mut progress, chunk).await {
                Step::Chunk => chat::chunk_event(&self.run, &self.source, chunk),
                Step::Done => {
                    let _ = self.sender.send(Ok(chat::done_event())).await;
                    return;
                }
                Step::Close => return http::abort_body(&self.sender).await,
            };
            if self.sender.send(Ok(event)).await.is_err() {
                return;
            }
            chunk += 1;
        }
    }

    async fn next_step(&self, progress: &mut watch::Receiver<Progress>, chunk: u32) -> Step {
        if self.break_after.is_some_and(|it| chunk > it) {
            return Step::Close;
        }
        let advanced = progress.wait_for(|it| it.generated > chunk || it.end.is_some());
        let Ok(progress) = advanced.await else {
            return Step::Close;
        };
        match (progress.generated > chunk, progress.end) {
            (true, _) => Step::Chunk,
            (false, Some(End::Finished)) => Step::Done,
            (false, _) => Step::Close,
        }
    }
}

/// Handles a request to resume a stream from a given chunk.
pub fn resume(core: &Core, id: &str, call: &Call) -> Reply {
    let Some(from) = call
        .query_number("from")
        .and_then(|it| u32::try_from(it).ok())
    else {
        return Reply::error(StatusCode::BAD_REQUEST, "bad-request", "from is missing");
    };
    let (found, admitted) = {
        let state = core.lock();
        (state.find_request(id), state.was_admitted(id))
    };
    match (found, admitted) {
        (Some(run), _) => answer_stream(core, &run, from),
        (None, true) => Reply::error(StatusCode::GONE, "dropped", "the request is forgotten"),
        (None, false) => Reply::error(StatusCode::NOT_FOUND, "not-found", "no such request"),
    }
}

/// Handles a request to cancel another request.
pub fn cancel(core: &Core, id: &str) -> Reply {
    let Some(run) = core.lock().find_request(id) else {
        return Reply::error(StatusCode::NOT_FOUND, "not-found", "no such request");
    };
    run.end(End::Cancelled);
    core.lock().remove(&run);
    Reply::json(StatusCode::OK, &serde_json::json!({}))
}
