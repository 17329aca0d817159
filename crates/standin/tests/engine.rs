//! Tests for the engine stand-in: one for each documented behavior and each switch.

use std::{io::Write, net::TcpStream};

use serde_json::{Value, json};
use standin::{
    client::{Answer, Event, Request},
    control::{Outage, Toggle},
    engine::{End, FencingPolicy, Pace, Server, Settings, Switch, UnloadPolicy},
    weights,
};

const NAME: &str = "signs/bay-summary@7+31";

struct Engine {
    server: Server,
}

impl Engine {
    fn send(&self, request: &Request) -> Answer {
        request.send(self.server.address()).unwrap()
    }

    fn send_for_code(&self, request: &Request) -> String {
        let answer = self.send(request);
        let code = answer.json()["error"]["code"].clone();
        format!("{} {}", answer.status, code.as_str().unwrap_or_default())
    }

    fn load(&self, name: &str, fence: u64) -> String {
        let path = name.split('+').next().unwrap();
        let body = json!({"lora_name": name, "lora_path": path, "fence": fence});
        self.send_for_code(&Request::post("/v1/load_lora_adapter", &body))
    }

    fn unload(&self, name: &str, fence: u64) -> String {
        let body = json!({"lora_name": name, "fence": fence});
        self.send_for_code(&Request::post("/v1/unload_lora_adapter", &body))
    }

    fn stream(&self, id: &str) -> Vec<Event> {
        let stream = chat_request(id, &json!({"stream": true})).stream(self.server.address());
        stream.unwrap().collect()
    }

    fn resume(&self, id: &str, from: u32) -> Vec<Event> {
        let path = format!("/v1/requests/{id}/stream?from={from}");
        let stream = Request::new("GET", path).stream(self.server.address());
        stream.unwrap().collect()
    }

    fn models(&self) -> Value {
        self.send(&Request::new("GET", "/v1/models")).json()
    }

    fn wait_until_active(&self, count: usize) {
        while self.server.counts().active != count {
            std::thread::yield_now();
        }
    }

    /// Streams a request on another thread, calls `run` once the engine has accepted the request,
    /// and returns the events of the stream.
    fn run_during_stream(&self, run: impl FnOnce()) -> Vec<Event> {
        std::thread::scope(|scope| {
            let events = scope.spawn(|| self.stream("r1"));
            self.wait_until_active(1);
            run();
            events.join().unwrap()
        })
    }
}

fn chat_request(id: &str, fields: &Value) -> Request {
    let mut body = json!({"model": NAME, "messages": [], "max_tokens": 3});
    body.as_object_mut()
        .unwrap()
        .extend(fields.as_object().unwrap().clone());
    Request::post("/v1/chat/completions", &body).with("x-request-id", id)
}

fn settings() -> Settings {
    Settings {
        slots: 2,
        capacity: 1,
        queue: 1,
        load_ms: 0,
        token_us: 10,
        ..Settings::default()
    }
}

fn with_engine(settings: Settings, run: impl FnOnce(&Engine)) {
    let server = Server::start(settings);
    let engine = Engine { server };
    assert_eq!(engine.load(NAME, 1), "200 ");
    run(&engine);
}

fn with_stepped_engine(run: impl FnOnce(&Engine)) {
    with_engine(settings(), |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        run(engine);
    });
}

/// Checks that all chunks come from the adapter [`NAME`] and returns their ids, with `end` for
/// `[DONE]`.
fn chunk_ids(events: &[Event]) -> Vec<&str> {
    let ids = events.iter().map(|event| {
        if event.is_done() {
            return "end";
        }
        let chunk = event.json();
        assert_eq!(chunk["model"], NAME);
        let text = format!("signs/bay-summary@7#{} ", event.id);
        assert_eq!(chunk["choices"][0]["delta"]["content"], text);
        &event.id
    });
    ids.collect()
}

// A whole answer names the loaded adapter and has every chunk; the journal contains the request.
#[test]
fn whole_answers_contain_every_chunk() {
    with_engine(settings(), |engine| {
        let answer = engine.send(&chat_request("r1", &json!({}))).json();
        assert_eq!(answer["model"], NAME);
        let text = "signs/bay-summary@7#0 signs/bay-summary@7#1 signs/bay-summary@7#2 ";
        assert_eq!(answer["choices"][0]["message"]["content"], text);
        let counts = engine.server.counts();
        let entry = counts.entries_for("r1")[0].clone();
        assert_eq!((entry.chunks, entry.ended), (3, Some(End::Finished)));
    });
}

// A stream numbers its chunks from 0 without a gap and ends with a finish reason and [DONE].
#[test]
fn streams_number_chunks_in_order() {
    with_engine(settings(), |engine| {
        let events = engine.stream("r1");
        assert_eq!(chunk_ids(&events), ["0", "1", "2", "end"]);
        let reasons = events
            .iter()
            .map(|it| it.json()["choices"][0]["finish_reason"].clone());
        let reasons: Vec<_> = reasons.collect();
        assert_eq!(
            reasons,
            [json!(null), json!(null), json!("stop"), json!(null)]
        );
    });
}

// Under stepped pace, each token is generated only after its step, and its chunk arrives before the
// next step.
#[test]
fn stepped_tokens_are_generated_one_by_one() {
    with_stepped_engine(|engine| {
        let mut stream = chat_request("r1", &json!({"stream": true}))
            .stream(engine.server.address())
            .unwrap();
        for chunk in ["0", "1", "2"] {
            engine.server.set(Switch::Step(1));
            assert_eq!(stream.next().unwrap().id, chunk);
        }
        assert!(stream.next().unwrap().is_done());
    });
}

// A stream whose connection was closed can be resumed at a given chunk without running the request
// again.
#[test]
fn an_aborted_stream_can_be_resumed() {
    with_engine(settings(), |engine| {
        engine
            .server
            .set(Switch::BreakStreams { after: 1, times: 1 });
        assert_eq!(chunk_ids(&engine.stream("r1")), ["0", "1"]);
        assert_eq!(chunk_ids(&engine.resume("r1", 2)), ["2", "end"]);
        assert_eq!(chunk_ids(&engine.resume("r1", 3)), ["end"]);
        assert_eq!(engine.server.counts().entries_for("r1").len(), 1);
        let unknown = engine.send_for_code(&Request::new("GET", "/v1/requests/r2/stream?from=0"));
        assert_eq!(unknown, "404 not-found");
    });
}

// Ended requests beyond the limit are dropped and get status 410, unlike unknown requests.
#[test]
fn old_requests_are_dropped() {
    let kept = Settings {
        kept: 1,
        ..settings()
    };
    with_engine(kept, |engine| {
        engine.stream("r1");
        engine.stream("r2");
        engine.wait_until_active(0);
        let dropped = engine.send_for_code(&Request::new("GET", "/v1/requests/r1/stream?from=0"));
        assert_eq!(dropped, "410 dropped");
    });
}

// The stream of a cancelled request ends without [DONE], and the request leaves the batch.
#[test]
fn a_cancelled_request_ends_early() {
    with_stepped_engine(|engine| {
        let events = engine.run_during_stream(|| {
            engine.server.set(Switch::Step(1));
            let cancel = Request::new("POST", "/v1/requests/r1/cancel");
            assert_eq!(engine.send(&cancel).status, 200);
        });
        assert!(events.iter().all(|it| !it.is_done()), "{events:?}");
        engine.wait_until_active(0);
        let counts = engine.server.counts();
        assert_eq!(counts.entries_for("r1")[0].ended, Some(End::Cancelled));
    });
}

// Commands with a stale fencing token are refused or carried out, depending on the policy; both are
// counted.
#[test]
fn stale_fencing_tokens_follow_the_policy() {
    with_engine(settings(), |engine| {
        assert_eq!(engine.load("a/b@1+1", 5), "200 ");
        assert_eq!(engine.load("a/b@2+1", 4), "412 stale-fence");
        assert_eq!(engine.unload("a/b@1+1", 4), "412 stale-fence");
        engine.server.set(Switch::Fencing(FencingPolicy::Ignored));
        assert_eq!(engine.unload("a/b@1+1", 4), "200 ");
        let counts = engine.server.counts();
        assert_eq!((counts.stale_refused, counts.stale_obeyed), (2, 1));
    });
}

// The number of slots is limited, load commands are idempotent, and invalid names are rejected.
#[test]
fn slots_are_limited() {
    with_engine(settings(), |engine| {
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(engine.load("a/b@2+1", 1), "409 no-slot");
        assert_eq!(engine.unload("a/b@2+1", 1), "404 not-loaded");
        assert_eq!(engine.unload("a/b@1+1", 1), "200 ");
        assert_eq!(engine.load("a/b@2+1", 1), "200 ");
        assert_eq!(engine.load("a/b@0+1", 1), "400 bad-request");
        assert_eq!(engine.models()["data"].as_array().unwrap().len(), 2);
    });
}

// A load that is made to fail leaves its slot free.
#[test]
fn failed_loads_free_their_slot() {
    with_engine(settings(), |engine| {
        engine.server.set(Switch::FailLoads(1));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(engine.server.counts().failed_loads, 1);
    });
}

// Unloading an adapter in use is refused or ends its request, depending on the policy; both are
// counted.
#[test]
fn busy_unloads_follow_the_policy() {
    with_stepped_engine(|engine| {
        let events = engine.run_during_stream(|| {
            assert_eq!(engine.unload(NAME, 1), "409 busy");
            engine.server.set(Switch::Unload(UnloadPolicy::Obey));
            assert_eq!(engine.unload(NAME, 1), "200 ");
        });
        assert!(events.iter().all(|it| !it.is_done()), "{events:?}");
        let counts = engine.server.counts();
        assert_eq!((counts.busy_unloads, counts.ended_by_unload), (2, 1));
        assert_eq!(counts.entries_for("r1")[0].ended, Some(End::Unloaded));
    });
}

// A restart empties the slots, aborts streams, and drops requests and the highest fencing token.
#[test]
fn a_restart_resets_the_engine() {
    with_stepped_engine(|engine| {
        let before = engine.models()["incarnation"].as_u64().unwrap();
        let events = engine.run_during_stream(|| engine.server.set(Switch::Restart));
        assert!(events.iter().all(|it| !it.is_done()), "{events:?}");
        let models = engine.models();
        assert!(models["incarnation"].as_u64().unwrap() > before);
        assert_eq!(models["data"], json!([]));
        assert_eq!(
            engine.send_for_code(&chat_request("r2", &json!({}))),
            "404 not-loaded"
        );
        let forgotten = engine.send_for_code(&Request::new("GET", "/v1/requests/r1/stream?from=0"));
        assert_eq!(forgotten, "404 not-found");
        assert_eq!(engine.load(NAME, 0), "200 ");
    });
}

// A leaving engine finishes its requests and refuses new requests and loads without running them.
#[test]
fn a_leaving_engine_finishes_running_requests() {
    with_stepped_engine(|engine| {
        let events = engine.run_during_stream(|| {
            engine.server.set(Switch::Leaving(Toggle::On));
            assert_eq!(
                engine.send_for_code(&chat_request("r2", &json!({}))),
                "503 leaving"
            );
            assert_eq!(engine.load("a/b@1+1", 1), "503 leaving");
            engine.server.set(Switch::Step(3));
        });
        assert_eq!(chunk_ids(&events), ["0", "1", "2", "end"]);
        let counts = engine.server.counts();
        assert_eq!(
            (counts.while_leaving, counts.entries_for("r2").len()),
            (2, 0)
        );
    });
}

// Batch and queue are limited; waiting requests start in the order of priority, then of arrival.
#[test]
fn the_queue_is_ordered_by_priority() {
    let queue = Settings {
        queue: 2,
        ..settings()
    };
    with_engine(queue, |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        std::thread::scope(|scope| {
            let requests = [("r1", 0), ("r2", 5), ("r3", 1)];
            let threads = requests.map(|(id, priority)| {
                let request = chat_request(id, &json!({"priority": priority, "max_tokens": 1}));
                let thread = scope.spawn(move || engine.send(&request).status);
                while engine.server.counts().entries_for(id).is_empty() {
                    std::thread::yield_now();
                }
                thread
            });
            assert_eq!(
                engine.send_for_code(&chat_request("r4", &json!({}))),
                "503 full"
            );
            for (left, ended) in [(2, "r1"), (1, "r3"), (0, "r2")] {
                engine.server.set(Switch::Step(1));
                engine.wait_until_active(left);
                let counts = engine.server.counts();
                assert_eq!(counts.entries_for(ended)[0].ended, Some(End::Finished));
            }
            assert_eq!(threads.map(|it| it.join().unwrap()), [200; 3]);
        });
    });
}

// An answer can be made to claim another adapter, both in the model field and in the text.
#[test]
fn answers_can_claim_another_adapter() {
    with_engine(settings(), |engine| {
        engine
            .server
            .set(Switch::AnswerAs("signs/bay-summary@6+2".to_owned()));
        let answer = engine.send(&chat_request("r1", &json!({}))).json();
        assert_eq!(answer["model"], "signs/bay-summary@6+2");
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert!(text.starts_with("signs/bay-summary@6#0 "), "{text}");
    });
}

// The load report shows an earlier state of the batch, the model list the current one.
#[test]
fn the_load_report_lags() {
    let late = Settings {
        report_lag_ms: 3_600_000,
        ..settings()
    };
    with_engine(late, |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        let report = || engine.send(&Request::new("GET", "/v1/load")).json();
        assert_eq!(report()["running"], 0);
        engine.run_during_stream(|| {
            assert_eq!(report()["running"], 0);
            assert_eq!(engine.models()["data"][0]["running"], 1);
            engine.server.set(Switch::Step(3));
        });
    });
}

// During an outage of either kind no request runs, and the outage can still be ended.
#[test]
fn outages_block_requests_but_not_switches() {
    with_engine(settings(), |engine| {
        engine.server.set(Switch::Outage(Outage::Refuse));
        assert_eq!(
            engine.send_for_code(&chat_request("r1", &json!({}))),
            "503 outage"
        );
        engine.server.set(Switch::Outage(Outage::Break));
        assert!(
            chat_request("r1", &json!({}))
                .send(engine.server.address())
                .is_err()
        );
        engine.server.set(Switch::Outage(Outage::None));
        assert_eq!(engine.server.counts().journal, []);
        assert_eq!(engine.send(&chat_request("r1", &json!({}))).status, 200);
    });
}

// Loads fetch from the weight store and fail with it.
#[test]
fn loads_fail_with_the_weight_store() {
    let limits = weights::Settings {
        load_ms: 0,
        loads_per_second: 0.0,
        ..weights::Settings::default()
    };
    let store = weights::Server::start(limits);
    let settings = Settings {
        weights: Some(store.address()),
        ..settings()
    };
    with_engine(settings, |engine| {
        store.set(weights::Switch::Outage(Outage::Refuse));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        store.set(weights::Switch::Outage(Outage::Break));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        store.set(weights::Switch::Outage(Outage::None));
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(store.counts().finished, 2);
    });
}

// A load finishes even if its caller disconnects, and a repeated command joins it.
#[test]
fn a_load_finishes_after_its_caller_disconnects() {
    let store = weights::Server::start(weights::Settings::default());
    let settings = Settings {
        weights: Some(store.address()),
        ..settings()
    };
    with_engine(settings, |engine| {
        let body = r#"{"lora_name": "a/b@1+1", "lora_path": "a/b@1", "fence": 1}"#;
        let length = body.len();
        let head = "POST /v1/load_lora_adapter HTTP/1.1\r\nhost: x\r\ncontent-length:";
        let mut caller = TcpStream::connect(engine.server.address()).unwrap();
        write!(caller, "{head} {length}\r\n\r\n{body}").unwrap();
        while store.counts().started < 2 {
            std::thread::yield_now();
        }
        drop(caller);
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(store.counts().started, 2);
    });
}
