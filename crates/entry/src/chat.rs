//! The chat completions API: parses request bodies, rewrites engine chunks and joins chunks into
//! one response body. Performs no I/O.

use kernel::{
    fault::{Fault, Kind},
    reference::Reference,
};
use serde_json::{Map, Value, json};

/// Token limit of a response if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Number of bytes of the first message that are hashed as the prompt prefix.
const PREFIX_BYTES: usize = 512;

/// The requested form of the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// One JSON body.
    Whole,
    /// Server-sent events.
    Streamed,
}

/// A validated request body.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The requested service, adapter and version.
    pub reference: Reference,
    /// The requested form of the response.
    pub delivery: Delivery,
    /// The token limit of the response.
    pub max_tokens: u32,
    /// The hash of the prompt prefix.
    pub prefix_hash: u64,
    /// The original body, which is forwarded to the engine.
    pub body: Value,
}

/// Parses and validates a request body.
pub fn parse(bytes: &[u8]) -> Result<Call, Fault> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|it| bad_request(format!("the body is not valid JSON: {it}")))?;
    let Value::Object(body) = value else {
        return Err(bad_request("the body is not a JSON object"));
    };
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad_request("field model is missing or not a string"))?;
    let reference = model
        .parse()
        .map_err(|it| bad_request(format!("field model: {it}")))?;
    let messages = body.get("messages").and_then(Value::as_array);
    let messages =
        messages.ok_or_else(|| bad_request("field messages is missing or not a list"))?;
    if messages.is_empty() {
        return Err(bad_request("field messages is empty"));
    }
    check_choice_count(&body)?;
    Ok(Call {
        reference,
        delivery: delivery(&body)?,
        max_tokens: max_tokens(&body)?,
        prefix_hash: prefix_hash(messages),
        body: Value::Object(body),
    })
}

fn bad_request(detail: impl Into<String>) -> Fault {
    Fault::new(Kind::BadRequest, detail)
}

/// Rejects requests for several choices, as each choice would need its own stream.
fn check_choice_count(body: &Map<String, Value>) -> Result<(), Fault> {
    match body.get("n").and_then(Value::as_u64) {
        None | Some(1) => Ok(()),
        Some(it) => Err(bad_request(format!(
            "field n is {it}: only 1 choice is supported"
        ))),
    }
}

fn delivery(body: &Map<String, Value>) -> Result<Delivery, Fault> {
    match body.get("stream") {
        None | Some(Value::Null | Value::Bool(false)) => Ok(Delivery::Whole),
        Some(Value::Bool(true)) => Ok(Delivery::Streamed),
        Some(_) => Err(bad_request("field stream is neither true nor false")),
    }
}

fn max_tokens(body: &Map<String, Value>) -> Result<u32, Fault> {
    let Some(value) = body.get("max_tokens").filter(|it| !it.is_null()) else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    let number = value.as_u64().and_then(|it| u32::try_from(it).ok());
    match number {
        Some(it) if it > 0 => Ok(it),
        _ => Err(bad_request("field max_tokens is no whole number from 1")),
    }
}

/// Hashes the start of the first message with FNV-1a. Requests with equal prefixes can then be
/// routed to the same engine.
fn prefix_hash(messages: &[Value]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let content = messages[0].get("content").and_then(Value::as_str);
    let bytes = content.unwrap_or_default().bytes().take(PREFIX_BYTES);
    bytes.fold(OFFSET, |hash, it| {
        (hash ^ u64::from(it)).wrapping_mul(PRIME)
    })
}

/// Parses one chunk of an engine's stream.
pub fn parse_chunk(json: &str) -> Result<Value, Fault> {
    serde_json::from_str(json).map_err(|it| {
        Fault::new(
            Kind::BadAnswer,
            format!("a chunk of the engine is no JSON: {it}"),
        )
    })
}

/// Replaces the engine's model name in a chunk by the reference that the caller requested.
pub fn set_model(chunk: &mut Value, reference: &Reference) {
    if let Some(model) = chunk.get_mut("model") {
        *model = Value::String(reference.to_string());
    }
}

/// Formats a chunk as a server-sent event.
pub fn format_event(index: u64, chunk: &Value) -> Vec<u8> {
    format!("id: {index}\ndata: {chunk}\n\n").into_bytes()
}

/// The event that ends a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// Joins the chunks of a stream into one response.
#[derive(Debug, Default)]
pub struct Completion {
    id: Value,
    created: Value,
    message: Map<String, Value>,
    finish_reason: Value,
    usage: Value,
}

impl Completion {
    /// Adds the next chunk.
    pub fn add(&mut self, chunk: &Value) {
        if self.id.is_null() {
            self.id = chunk["id"].clone();
            self.created = chunk["created"].clone();
        }
        let choice = &chunk["choices"][0];
        if let Value::Object(delta) = &choice["delta"] {
            merge(&mut self.message, delta);
        }
        if !choice["finish_reason"].is_null() {
            self.finish_reason = choice["finish_reason"].clone();
        }
        if !chunk["usage"].is_null() {
            self.usage = chunk["usage"].clone();
        }
    }

    /// Serializes the response body.
    pub fn body(mut self, reference: &Reference) -> Vec<u8> {
        self.message
            .entry("role")
            .or_insert_with(|| "assistant".into());
        self.message.entry("content").or_insert(Value::Null);
        let choice = json!({
            "index": 0,
            "message": self.message,
            "finish_reason": self.finish_reason,
        });
        let mut body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": reference.to_string(),
            "choices": [choice],
        });
        if !self.usage.is_null() {
            body["usage"] = self.usage;
        }
        body.to_string().into_bytes()
    }
}

/// Delta fields that arrive complete in one chunk. All other strings arrive in pieces and are
/// concatenated.
const UNSPLIT_FIELDS: [&str; 5] = ["id", "index", "name", "role", "type"];

fn merge(target: &mut Map<String, Value>, delta: &Map<String, Value>) {
    for (name, piece) in delta {
        let Some(found) = target.get_mut(name) else {
            target.insert(name.clone(), piece.clone());
            continue;
        };
        if !UNSPLIT_FIELDS.contains(&name.as_str()) {
            append(found, piece);
        }
    }
}

fn append(target: &mut Value, piece: &Value) {
    match (target, piece) {
        (Value::String(target), Value::String(piece)) => target.push_str(piece),
        (Value::Object(target), Value::Object(piece)) => merge(target, piece),
        (Value::Array(target), Value::Array(pieces)) => {
            for piece in pieces {
                append_indexed(target, piece);
            }
        }
        (target @ Value::Null, piece) => *target = piece.clone(),
        _ => {}
    }
}

/// Appends to the list entry with the same `index`. Deltas of lists, such as tool calls, use
/// `index` to name the entry that they continue.
fn append_indexed(target: &mut Vec<Value>, piece: &Value) {
    let index = piece.get("index");
    let found = target
        .iter_mut()
        .find(|it| index.is_some() && it.get("index") == index);
    match found {
        Some(it) => append(it, piece),
        None => target.push(piece.clone()),
    }
}
