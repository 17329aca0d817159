//! The texts of the chat/completions convention.

use bytes::Bytes;
use serde::Deserialize;

use super::batch::Run;

/// Tokens of an answer whose request doesn't say how many.
pub const DEFAULT_MAX_TOKENS: u32 = 8;

/// The most tokens of an answer.
pub const MAX_TOKENS: u32 = 1 << 16;

/// What the stand-in reads of a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Ask {
    /// The loaded name.
    pub model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Lower goes first.
    #[serde(default)]
    pub priority: i64,
}

impl Ask {
    /// Tokens of the answer, from 1.
    pub fn chunks(&self) -> u32 {
        let asked = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        asked.clamp(1, MAX_TOKENS)
    }
}

/// What an answer says of itself.
#[derive(Clone, Debug)]
pub struct Voice {
    /// The `model` of the answer.
    pub model: String,
    /// The reference in the text.
    pub reference: String,
}

impl Voice {
    /// The voice of a request; `answer_as` puts another name in its place.
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

    fn text(&self, chunk: u32) -> String {
        format!("{}#{chunk} ", self.reference)
    }
}

/// The event of a chunk.
pub fn event(run: &Run, voice: &Voice, chunk: u32) -> Bytes {
    let last = chunk + 1 == run.chunks;
    let data = serde_json::json!({
        "id": run.id,
        "object": "chat.completion.chunk",
        "model": voice.model,
        "choices": [{
            "index": 0,
            "delta": {"role": "assistant", "content": voice.text(chunk)},
            "finish_reason": last.then_some("stop"),
        }],
    });
    format!("id: {chunk}\ndata: {data}\n\n").into()
}

/// The event after the last chunk.
pub fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// The whole answer.
pub fn whole(run: &Run, voice: &Voice) -> serde_json::Value {
    let text: String = (0..run.chunks).map(|it| voice.text(it)).collect();
    serde_json::json!({
        "id": run.id,
        "object": "chat.completion",
        "model": voice.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": run.chunks},
    })
}
