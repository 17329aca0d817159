//! Drives the running processes with a seeded trace and prints what callers saw.
//!
//! `cargo run --release --example load -- [REQUESTS] [PER-SECOND] [SKEW] [SEED]` starts the
//! deployment of a car park group: 18 engines with 8 slots, 3,000 adapters, a weight store of 4.5
//! loads a second, four entry hosts in three failure domains. The trace is the same for the same
//! seed; what the processes make of it is measured and differs from run to run.

use std::{
    fmt::Write as _,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standin::{
    client::Request,
    engine,
    fleet::{self, Fleet, Shape},
};

mod figures;
mod trace;

use figures::{Figures, Sample};
use trace::{Arrival, Trace};

/// Adapters of the text.
const ADAPTERS: usize = 3000;

/// Time that each request is given, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// Tokens of each answer.
const TOKENS: u32 = 32;

/// Callers at most; the trace waits for none of them.
const CALLERS: usize = 256;

/// One of so many requests is sent before the figures begin.
const WARM_UP: usize = 4;

/// Longest wait for the text to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(30);

struct Plan {
    requests: usize,
    per_second: f64,
    skew: f64,
    seed: u64,
}

fn main() -> ExitCode {
    match plan().and_then(|plan| run(&plan)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("load: {message}");
            ExitCode::FAILURE
        }
    }
}

fn plan() -> Result<Plan, String> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: f64| match arguments.get(index) {
        None => Ok(default),
        Some(text) => text
            .parse::<f64>()
            .map_err(|error| format!("{text:?}: {error}")),
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the operator's numbers are small and positive"
    )]
    Ok(Plan {
        requests: number(0, 4000.0)? as usize,
        per_second: number(1, 100.0)?,
        skew: number(2, 1.0)?,
        seed: number(3, 1.0)? as u64,
    })
}

fn run(plan: &Plan) -> Result<(), String> {
    let shape = Shape {
        engines: 18,
        engine: engine::Settings {
            token_us: 10_000,
            ..engine::Settings::default()
        },
        ..Shape::default()
    };
    let fleet = Fleet::start(&shape).map_err(|it| it.to_string())?;
    apply(&fleet)?;
    let trace = Trace::new(plan.seed, ADAPTERS, plan.skew, plan.per_second);
    let arrivals: Vec<Arrival> = trace.take(plan.requests).collect();
    let samples = send(&fleet, &arrivals);
    let figures = Figures::new(&samples);
    println!(
        "{} requests at {}/s, skew {}, seed {}",
        plan.requests, plan.per_second, plan.skew, plan.seed
    );
    print!("{figures}");
    let store = fleet.weight_counts().map_err(|it| it.to_string())?;
    println!("weight store: {store:?}");
    Ok(())
}

fn text() -> String {
    let mut text = String::from(
        "store: {rate: 4.5/s, full_speed: 2, in_flight: 16}\n\
         models: {base-7b: {fencing: checked}}\n\
         services:\n  signs:\n    kind: model\n    model: base-7b\n    deadline: 5s\n    \
         weights: {load_stall: 0.8, batch_efficiency: 0.2}\n    adapters:\n",
    );
    for number in 0..ADAPTERS {
        writeln!(text, "      a{number}: [1]").expect("a string takes every write");
    }
    text
}

fn apply(fleet: &Fleet) -> Result<(), String> {
    let file = File(std::env::temp_dir().join(format!("comfreywing-load-{}", std::process::id())));
    std::fs::write(&file.0, text()).map_err(|it| it.to_string())?;
    let platform = fleet.platform().to_string();
    let path = file.0.display().to_string();
    let output = fleet.run_cli(&["apply", &path, "--platform", &platform]);
    let output = output.map_err(|it| it.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    let start = Instant::now();
    while !fleet.entries().iter().all(is_ready) {
        if start.elapsed() > IN_FORCE {
            return Err(format!("the text is not in force after {IN_FORCE:?}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// A file that is removed when this is dropped.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn is_ready(entry: &fleet::Entry) -> bool {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.is_ok_and(|it| {
        let status = it.json();
        status["ready"] == true && status["revision"].as_u64() > Some(0)
    })
}

/// Sends every request at its time, whatever became of those before it.
fn send(fleet: &Fleet, arrivals: &[Arrival]) -> Vec<Sample> {
    let addresses: Vec<_> = fleet.entries().iter().map(fleet::Entry::address).collect();
    let warm = arrivals.len() / WARM_UP;
    let (jobs, queue) = mpsc::sync_channel::<(usize, Arrival)>(arrivals.len().max(1));
    let queue = Arc::new(Mutex::new(queue));
    let samples = Mutex::new(Vec::new());
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let job = queue.lock().expect("queue lock is poisoned").recv();
                    let Ok((number, arrival)) = job else {
                        return;
                    };
                    let address = addresses[number % addresses.len()];
                    let sample = call(number, &arrival, address, start + arrival.at);
                    if number >= warm {
                        samples
                            .lock()
                            .expect("sample lock is poisoned")
                            .push(sample);
                    }
                }
            });
        }
        for (number, arrival) in arrivals.iter().enumerate() {
            let wait = (start + arrival.at).saturating_duration_since(Instant::now());
            thread::sleep(wait);
            if jobs.send((number, arrival.clone())).is_err() {
                return;
            }
        }
        drop(jobs);
    });
    samples.into_inner().expect("sample lock is poisoned")
}

fn call(number: usize, arrival: &Arrival, address: std::net::SocketAddr, due: Instant) -> Sample {
    let body = json!({
        "model": format!("signs/a{}@1", arrival.adapter),
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let request = Request::post("/v1/chat/completions", &body)
        .with("x-request-id", format!("load-{number}"))
        .with("x-deadline-ms", DEADLINE_MS.to_string());
    let mut sample = Sample::default();
    let Ok(mut stream) = request.stream(address) else {
        "no-answer".clone_into(&mut sample.refusal);
        return sample;
    };
    if stream.status != 200 {
        let status = stream.status;
        let body: serde_json::Value = serde_json::from_str(&stream.text()).unwrap_or_default();
        let kind = body["error"]["kind"].as_str().map(str::to_owned);
        sample.refusal = kind.unwrap_or_else(|| status.to_string());
        sample.refused_after = due.elapsed();
        return sample;
    }
    let stall = stream.headers.get("x-load-stall-ms");
    sample.stall_ms = stall.and_then(|it| it.parse().ok()).unwrap_or_default();
    let mut last: Option<Instant> = None;
    for event in stream.by_ref() {
        if event.is_done() {
            sample.whole += 1;
            continue;
        }
        if event.kind == "error" {
            event.json()["error"]["kind"]
                .as_str()
                .unwrap_or("broken")
                .clone_into(&mut sample.refusal);
            return sample;
        }
        match last {
            None => sample.first = event.at.saturating_duration_since(due),
            Some(last) => sample.gaps.push(event.at - last),
        }
        last = Some(event.at);
    }
    sample
}
