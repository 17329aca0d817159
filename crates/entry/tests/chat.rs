//! Parsing of request bodies and joining of chunks.

use entry::chat::{self, Completion, Delivery};
use insta::assert_snapshot;
use serde_json::{Value, json};

fn check(body: &str) -> String {
    match chat::parse(body.as_bytes()) {
        Ok(it) => format!("{} {:?} {}", it.reference, it.delivery, it.max_tokens),
        Err(fault) => fault.to_string(),
    }
}

/// Covers: required fields of a body, and errors that name the invalid field.
#[test]
fn body_is_checked() {
    let messages = r#""messages":[{"role":"user","content":"hi"}]"#;
    assert_snapshot!(check(&format!(r#"{{"model":"signs/a@7",{messages}}}"#)), @"signs/a@7 Whole 256");
    assert_snapshot!(check(&format!(r#"{{"model":"signs/a@7",{messages},"stream":true,"max_tokens":3}}"#)), @"signs/a@7 Streamed 3");
    assert_snapshot!(check(&format!(r#"{{"model":"signs/a@0",{messages}}}"#)), @r#"bad-request: field model: "0" is not a version: use a whole number from 1"#);
    assert_snapshot!(check(&format!(r#"{{"model":"a@1",{messages}}}"#)), @r#"bad-request: field model: "a@1" is not SERVICE/ADAPTER@VERSION: it has no '/'"#);
    assert_snapshot!(check(&format!(r#"{{"model":"signs/a@7",{messages},"n":2}}"#)), @"bad-request: field n is 2: only 1 choice is supported");
    assert_snapshot!(check(&format!(r#"{{"model":"signs/a@7",{messages},"max_tokens":0}}"#)), @"bad-request: field max_tokens is no whole number from 1");
    assert_snapshot!(check(r#"{"model":"signs/a@7","messages":[]}"#), @"bad-request: field messages is empty");
    assert_snapshot!(check("[]"), @"bad-request: the body is not a JSON object");
    assert_snapshot!(check("{"), @"bad-request: the body is not valid JSON: EOF while parsing an object at line 1 column 1");
}

/// Covers: all parts of the deltas, including tool calls, are in the joined response.
#[test]
fn chunks_join_to_one_answer() {
    let delta = |delta: Value| json!({ "id": "x", "created": 1, "choices": [{ "delta": delta }] });
    let mut completion = Completion::default();
    completion.add(&delta(json!({ "role": "assistant", "content": "a" })));
    completion.add(&delta(json!({ "content": "b" })));
    completion.add(&delta(
        json!({ "tool_calls": [{ "index": 0, "id": "t", "function": { "name": "f", "arguments": "{" } }] }),
    ));
    completion.add(&delta(
        json!({ "tool_calls": [{ "index": 0, "function": { "arguments": "}" } }] }),
    ));
    completion.add(&json!({ "choices": [{ "delta": {}, "finish_reason": "stop" }], "usage": { "total_tokens": 2 } }));
    let reference = "signs/a@7".parse().unwrap();
    let body: Value = serde_json::from_slice(&completion.body(&reference)).unwrap();
    let message = &body["choices"][0]["message"];
    assert_eq!(message["content"], "ab");
    assert_eq!(
        message["tool_calls"][0]["function"],
        json!({ "name": "f", "arguments": "{}" })
    );
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    assert_eq!(body["model"], "signs/a@7");
    assert_eq!(body["usage"]["total_tokens"], 2);
}

/// Covers: a body with `stream: null` requests a single response body.
#[test]
fn delivery_is_whole_by_default() {
    let body = br#"{"model":"s/a@1","messages":[{}],"stream":null}"#;
    assert_eq!(chat::parse(body).unwrap().delivery, Delivery::Whole);
}
