//! The engine stand-in, one test for each of its promises and switches.

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
    fn call(&self, request: &Request) -> Answer {
        request.send(self.server.address()).unwrap()
    }

    fn code(&self, request: &Request) -> String {
        let answer = self.call(request);
        let code = answer.json()["error"]["code"].clone();
        format!("{} {}", answer.status, code.as_str().unwrap_or_default())
    }

    fn load(&self, name: &str, fence: u64) -> String {
        let path = name.split('+').next().unwrap();
        let body = json!({"lora_name": name, "lora_path": path, "fence": fence});
        self.code(&Request::post("/v1/load_lora_adapter", &body))
    }

    fn unload(&self, name: &str, fence: u64) -> String {
        let body = json!({"lora_name": name, "fence": fence});
        self.code(&Request::post("/v1/unload_lora_adapter", &body))
    }

    fn stream(&self, id: &str) -> Vec<Event> {
        let stream = ask(id, &json!({"stream": true})).stream(self.server.address());
        stream.unwrap().collect()
    }

    fn resume(&self, id: &str, from: u32) -> Vec<Event> {
        let path = format!("/v1/requests/{id}/stream?from={from}");
        let stream = Request::new("GET", path).stream(self.server.address());
        stream.unwrap().collect()
    }

    fn models(&self) -> Value {
        self.call(&Request::new("GET", "/v1/models")).json()
    }

    fn active(&self, count: usize) {
        while self.server.counts().active != count {
            std::thread::yield_now();
        }
    }

    /// Streams a request on another thread, lets `run` act once it is taken, and returns it.
    fn during(&self, run: impl FnOnce()) -> Vec<Event> {
        std::thread::scope(|scope| {
            let events = scope.spawn(|| self.stream("r1"));
            self.active(1);
            run();
            events.join().unwrap()
        })
    }
}

fn ask(id: &str, more: &Value) -> Request {
    let mut body = json!({"model": NAME, "messages": [], "max_tokens": 3});
    body.as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
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

fn check(settings: Settings, run: impl FnOnce(&Engine)) {
    let server = Server::start(settings);
    let engine = Engine { server };
    assert_eq!(engine.load(NAME, 1), "200 ");
    run(&engine);
}

fn stepped(run: impl FnOnce(&Engine)) {
    check(settings(), |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        run(engine);
    });
}

/// The ids of the chunks, checked to be from the named adapter, with `[DONE]` as `end`.
fn ids(events: &[Event]) -> Vec<&str> {
    let shown = events.iter().map(|event| {
        if event.is_done() {
            return "end";
        }
        let chunk = event.json();
        assert_eq!(chunk["model"], NAME);
        let text = format!("signs/bay-summary@7#{} ", event.id);
        assert_eq!(chunk["choices"][0]["delta"]["content"], text);
        &event.id
    });
    shown.collect()
}

// A whole answer names what was loaded and has every chunk; the journal has the request.
#[test]
fn answers_whole() {
    check(settings(), |engine| {
        let answer = engine.call(&ask("r1", &json!({}))).json();
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
fn streams_in_order() {
    check(settings(), |engine| {
        let events = engine.stream("r1");
        assert_eq!(ids(&events), ["0", "1", "2", "end"]);
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

// The second token isn't made before it is stepped, and the first one arrives meanwhile.
#[test]
fn steps_token_by_token() {
    stepped(|engine| {
        let mut stream = ask("r1", &json!({"stream": true}))
            .stream(engine.server.address())
            .unwrap();
        for chunk in ["0", "1", "2"] {
            engine.server.set(Switch::Step(1));
            assert_eq!(stream.next().unwrap().id, chunk);
        }
        assert!(stream.next().unwrap().is_done());
    });
}

// A stream that broke off is resumed at a known chunk; what ran is not run again.
#[test]
fn resumes_where_a_stream_broke() {
    check(settings(), |engine| {
        engine
            .server
            .set(Switch::BreakStreams { after: 1, times: 1 });
        assert_eq!(ids(&engine.stream("r1")), ["0", "1"]);
        assert_eq!(ids(&engine.resume("r1", 2)), ["2", "end"]);
        assert_eq!(ids(&engine.resume("r1", 3)), ["end"]);
        assert_eq!(engine.server.counts().entries_for("r1").len(), 1);
        let unknown = engine.code(&Request::new("GET", "/v1/requests/r2/stream?from=0"));
        assert_eq!(unknown, "404 not-found");
    });
}

// An ended request beyond the kept ones is forgotten, which is told from one never seen.
#[test]
fn forgets_old_requests() {
    let kept = Settings {
        kept: 1,
        ..settings()
    };
    check(kept, |engine| {
        engine.stream("r1");
        engine.stream("r2");
        engine.active(0);
        let dropped = engine.code(&Request::new("GET", "/v1/requests/r1/stream?from=0"));
        assert_eq!(dropped, "410 dropped");
    });
}

// A cancelled request ends without [DONE] and frees its place.
#[test]
fn cancels() {
    stepped(|engine| {
        let events = engine.during(|| {
            engine.server.set(Switch::Step(1));
            let cancel = Request::new("POST", "/v1/requests/r1/cancel");
            assert_eq!(engine.call(&cancel).status, 200);
        });
        assert!(events.iter().all(|it| !it.is_done()), "{events:?}");
        engine.active(0);
        let counts = engine.server.counts();
        assert_eq!(counts.entries_for("r1")[0].ended, Some(End::Cancelled));
    });
}

// FencingPolicy with an old fencing number are refused or, when switched, obeyed; both are counted.
#[test]
fn checks_fencing_numbers_or_not() {
    check(settings(), |engine| {
        assert_eq!(engine.load("a/b@1+1", 5), "200 ");
        assert_eq!(engine.load("a/b@2+1", 4), "412 stale-fence");
        assert_eq!(engine.unload("a/b@1+1", 4), "412 stale-fence");
        engine.server.set(Switch::Fencing(FencingPolicy::Ignored));
        assert_eq!(engine.unload("a/b@1+1", 4), "200 ");
        let counts = engine.server.counts();
        assert_eq!((counts.stale_refused, counts.stale_obeyed), (2, 1));
    });
}

// There are only so many slots, an order may be repeated, and a name stands for one adapter.
#[test]
fn has_few_slots() {
    check(settings(), |engine| {
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

// A load that is switched to fail leaves the slot free.
#[test]
fn fails_loads() {
    check(settings(), |engine| {
        engine.server.set(Switch::FailLoads(1));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(engine.server.counts().failed_loads, 1);
    });
}

// An adapter in use is not unloaded; an engine that obeys ends the request, which is counted.
#[test]
fn unloads_what_is_in_use_only_when_told() {
    stepped(|engine| {
        let events = engine.during(|| {
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

// A restart empties the slots, breaks streams off, forgets requests and fencing numbers.
#[test]
fn restarts_cold() {
    stepped(|engine| {
        let before = engine.models()["incarnation"].as_u64().unwrap();
        let events = engine.during(|| engine.server.set(Switch::Restart));
        assert!(events.iter().all(|it| !it.is_done()), "{events:?}");
        let models = engine.models();
        assert!(models["incarnation"].as_u64().unwrap() > before);
        assert_eq!(models["data"], json!([]));
        assert_eq!(engine.code(&ask("r2", &json!({}))), "404 not-loaded");
        let gone = engine.code(&Request::new("GET", "/v1/requests/r1/stream?from=0"));
        assert_eq!(gone, "404 not-found");
        assert_eq!(engine.load(NAME, 0), "200 ");
    });
}

// A leaving engine ends what it has and refuses requests and loads before anything runs.
#[test]
fn leaves() {
    stepped(|engine| {
        let events = engine.during(|| {
            engine.server.set(Switch::Leaving(Toggle::On));
            assert_eq!(engine.code(&ask("r2", &json!({}))), "503 leaving");
            assert_eq!(engine.load("a/b@1+1", 1), "503 leaving");
            engine.server.set(Switch::Step(3));
        });
        assert_eq!(ids(&events), ["0", "1", "2", "end"]);
        let counts = engine.server.counts();
        assert_eq!(
            (counts.while_leaving, counts.entries_for("r2").len()),
            (2, 0)
        );
    });
}

// Batch and queue have limits; the queue goes by priority and then by arrival.
#[test]
fn queues_by_priority() {
    let queue = Settings {
        queue: 2,
        ..settings()
    };
    check(queue, |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        std::thread::scope(|scope| {
            let later = [("r1", 0), ("r2", 5), ("r3", 1)];
            let threads = later.map(|(id, priority)| {
                let asked = ask(id, &json!({"priority": priority, "max_tokens": 1}));
                let thread = scope.spawn(move || engine.call(&asked).status);
                while engine.server.counts().entries_for(id).is_empty() {
                    std::thread::yield_now();
                }
                thread
            });
            assert_eq!(engine.code(&ask("r4", &json!({}))), "503 full");
            for (left, ended) in [(2, "r1"), (1, "r3"), (0, "r2")] {
                engine.server.set(Switch::Step(1));
                engine.active(left);
                let counts = engine.server.counts();
                assert_eq!(counts.entries_for(ended)[0].ended, Some(End::Finished));
            }
            assert_eq!(threads.map(|it| it.join().unwrap()), [200; 3]);
        });
    });
}

// An answer can be made to claim another name, in the model and in the text.
#[test]
fn answers_for_another_name() {
    check(settings(), |engine| {
        engine
            .server
            .set(Switch::AnswerAs("signs/bay-summary@6+2".to_owned()));
        let answer = engine.call(&ask("r1", &json!({}))).json();
        assert_eq!(answer["model"], "signs/bay-summary@6+2");
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert!(text.starts_with("signs/bay-summary@6#0 "), "{text}");
    });
}

// The load report is late: it shows the batch as it was.
#[test]
fn reports_load_late() {
    let late = Settings {
        report_lag_ms: 3_600_000,
        ..settings()
    };
    check(late, |engine| {
        engine.server.set(Switch::Pace(Pace::Stepped));
        let report = || engine.call(&Request::new("GET", "/v1/load")).json();
        assert_eq!(report()["running"], 0);
        engine.during(|| {
            assert_eq!(report()["running"], 0);
            assert_eq!(engine.models()["data"][0]["running"], 1);
            engine.server.set(Switch::Step(3));
        });
    });
}

// An engine that is out does nothing, whichever way it is out, and can still be switched.
#[test]
fn is_out() {
    check(settings(), |engine| {
        engine.server.set(Switch::Outage(Outage::Refuse));
        assert_eq!(engine.code(&ask("r1", &json!({}))), "503 outage");
        engine.server.set(Switch::Outage(Outage::Break));
        assert!(ask("r1", &json!({})).send(engine.server.address()).is_err());
        engine.server.set(Switch::Outage(Outage::None));
        assert_eq!(engine.server.counts().journal, []);
        assert_eq!(engine.call(&ask("r1", &json!({}))).status, 200);
    });
}

// Loads go through the weight store, and its refusals fail them.
#[test]
fn loads_from_the_weight_store() {
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
    check(settings, |engine| {
        store.set(weights::Switch::Outage(Outage::Refuse));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        store.set(weights::Switch::Outage(Outage::Break));
        assert_eq!(engine.load("a/b@1+1", 1), "502 load-failed");
        store.set(weights::Switch::Outage(Outage::None));
        assert_eq!(engine.load("a/b@1+1", 1), "200 ");
        assert_eq!(store.counts().finished, 2);
    });
}

// A load whose caller has gone is carried out all the same.
#[test]
fn a_load_outlives_its_caller() {
    let store = weights::Server::start(weights::Settings::default());
    let settings = Settings {
        weights: Some(store.address()),
        ..settings()
    };
    check(settings, |engine| {
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
