//! Requests and answers of the chat completions API.

use bytes::Bytes;
use serde::Deserialize;

use super::batch::Run;

/// Number of tokens of an answer if the request does not set it.
pub const DEFAULT_MAX_TOKENS: u32 = 8;

/// Maximum number of tokens of an answer.
pub const MAX_TOKENS: u32 = 1 << 16;

/// The fields of a request that the stand-in reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The loaded adapter name.
    pub model: String,
    /// True if the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Priority in the queue. Lower values start first.
    #[serde(default)]
    pub priority: i64,
}

impl ChatRequest {
    /// Returns the number of chunks of the answer, which is at least 1.
    pub fn chunks(&self) -> u32 {
        let requested = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        requested.clamp(1, MAX_TOKENS)
    }
}

/// The adapter that an answer claims to come from.
#[derive(Clone, Debug)]
pub struct AnswerSource {
    /// The `model` field of the answer.
    pub model: String,
    /// The reference in the text of the chunks.
    pub reference: String,
}

impl AnswerSource {
    /// Creates the source of the answer to a request. A non-empty `answer_as` replaces the adapter
    /// of the request.
    pub fn new(run: &Run, answer_as: &str) -> Self {
        if answer_as.is_empty() {
            return Self {
                model: run.loaded.clone(),
                reference: run.path.clone(),
            };
        }
        let reference = answer_as.split('+').next().unwrap_or(answer_as);
        Self {
            model: answer_as.to_owned(),
            reference: reference.to_owned(),
        }
    }

    fn chunk_text(&self, chunk: u32) -> String {
        format!("{}#{chunk} ", self.reference)
    }
}

/// Returns the event of a chunk.
pub fn chunk_event(run: &Run, source: &AnswerSource, chunk: u32) -> Bytes {
    let last = chunk + 1 == run.chunks;
    let data = serde_json::json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": source.model,
        "choices": [{
            "index": 0,
            "delta": {"role": "assistant", "content": source.chunk_text(chunk)},
            "finish_reason": last.then_some("stop"),
        }],
    });
    format!("id: {chunk}\ndata: {data}\n\n").into()
}

/// Returns the event after the last chunk.
pub fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Returns the body of an answer that is not streamed.
pub fn whole_answer(run: &Run, source: &AnswerSource) -> serde_json::Value {
    let text: String = (0..run.chunks).map(|it| source.chunk_text(it)).collect();
    serde_json::json!({
        "id": run.id,
        "object": "chat.completion",
        "model": source.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": run.chunks},
    })
}
