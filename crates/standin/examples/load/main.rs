//! Load generator: replays a seeded trace against a deployment and prints the latencies that
//! callers measured.
//!
//! `cargo run --release --example load -- [REQUESTS] [PER-SECOND] [SKEW] [SEED]` starts the
//! deployment of a car park group: 18 engines with 8 slots each, 3,000 adapters, a weight store
//! that allows 4.5 loads per second, and four entry hosts in three failure domains. The same seed
//! gives the same trace, but the measured latencies differ between runs.

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

mod summary;
mod trace;

use summary::{Sample, Summary};
use trace::{Arrival, Trace};

/// Number of adapters in the config document.
const ADAPTER_COUNT: usize = 3000;

/// Deadline of each request, sent as `x-deadline-ms`.
const DEADLINE_MS: u64 = 5000;

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 32;

/// Maximum number of concurrent requests. Arrivals do not wait for earlier requests to finish.
const MAX_CALLERS: usize = 256;

/// Divisor of the number of requests that gives the number of warm-up requests. These come first and
/// are not measured.
const WARM_UP_DIVISOR: usize = 4;

/// Timeout for all entry hosts to apply the config document.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of the command line.
struct Options {
    requests: usize,
    per_second: f64,
    /// Zipf exponent of the distribution of adapters.
    skew: f64,
    seed: u64,
}

fn main() -> ExitCode {
    match parse_options().and_then(|options| run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("load: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse_options() -> Result<Options, String> {
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
    Ok(Options {
        requests: number(0, 4000.0)? as usize,
        per_second: number(1, 100.0)?,
        skew: number(2, 1.0)?,
        seed: number(3, 1.0)? as u64,
    })
}

fn run(options: &Options) -> Result<(), String> {
    let shape = Shape {
        engines: 18,
        engine: engine::Settings {
            token_us: 10_000,
            ..engine::Settings::default()
        },
        ..Shape::default()
    };
    let fleet = Fleet::start(&shape).map_err(|it| it.to_string())?;
    apply_config(&fleet)?;
    let trace = Trace::new(
        options.seed,
        ADAPTER_COUNT,
        options.skew,
        options.per_second,
    );
    let arrivals: Vec<Arrival> = trace.take(options.requests).collect();
    let samples = send_all(&fleet, &arrivals);
    let summary = Summary::new(&samples);
    println!(
        "{} requests at {}/s, skew {}, seed {}",
        options.requests, options.per_second, options.skew, options.seed
    );
    print!("{summary}");
    let store = fleet.weight_counts().map_err(|it| it.to_string())?;
    println!("weight store: {store:?}");
    Ok(())
}

fn config_document() -> String {
    let mut text = String::from(
        "store: {rate: 4.5/s, full_speed: 2, in_flight: 16}\n\
         models: {base-7b: {fencing: checked}}\n\
         services:\n  signs:\n    kind: model\n    model: base-7b\n    deadline: 5s\n    \
         weights: {load_stall: 0.8, batch_efficiency: 0.2}\n    adapters:\n",
    );
    for number in 0..ADAPTER_COUNT {
        writeln!(text, "      a{number}: [1]").expect("a string takes every write");
    }
    text
}

fn apply_config(fleet: &Fleet) -> Result<(), String> {
    let file = TemporaryFile(
        std::env::temp_dir().join(format!("comfreywing-load-{}", std::process::id())),
    );
    std::fs::write(&file.0, config_document()).map_err(|it| it.to_string())?;
    let platform = fleet.platform().to_string();
    let path = file.0.display().to_string();
    let output = fleet.run_cli(&["apply", &path, "--platform", &platform]);
    let output = output.map_err(|it| it.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    let start = Instant::now();
    while !fleet.entries().iter().all(is_ready) {
        if start.elapsed() > APPLY_TIMEOUT {
            return Err(format!(
                "the config document is not in force after {APPLY_TIMEOUT:?}"
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// A file that is removed when this is dropped.
struct TemporaryFile(PathBuf);

impl Drop for TemporaryFile {
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

/// Sends each request at its scheduled time, regardless of the outcome of earlier requests.
fn send_all(fleet: &Fleet, arrivals: &[Arrival]) -> Vec<Sample> {
    let addresses: Vec<_> = fleet.entries().iter().map(fleet::Entry::address).collect();
    let warm_up_count = arrivals.len() / WARM_UP_DIVISOR;
    let (jobs, queue) = mpsc::sync_channel::<(usize, Arrival)>(arrivals.len().max(1));
    let queue = Arc::new(Mutex::new(queue));
    let samples = Mutex::new(Vec::new());
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..MAX_CALLERS {
            scope.spawn(|| {
                loop {
                    let job = queue.lock().expect("queue lock is poisoned").recv();
                    let Ok((number, arrival)) = job else {
                        return;
                    };
                    let address = addresses[number % addresses.len()];
                    let sample = send_request(number, &arrival, address, start + arrival.at);
                    if number >= warm_up_count {
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

fn send_request(
    number: usize,
    arrival: &Arrival,
    address: std::net::SocketAddr,
    scheduled: Instant,
) -> Sample {
    let body = json!({
        "model": format!("signs/a{}@1", arrival.adapter),
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": ANSWER_TOKENS,
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
        sample.refused_after = scheduled.elapsed();
        return sample;
    }
    let stall = stream.headers.get("x-load-stall-ms");
    sample.stall_ms = stall.and_then(|it| it.parse().ok()).unwrap_or_default();
    let mut last_token: Option<Instant> = None;
    for event in stream.by_ref() {
        if event.is_done() {
            sample.complete += 1;
            continue;
        }
        if event.kind == "error" {
            event.json()["error"]["kind"]
                .as_str()
                .unwrap_or("broken")
                .clone_into(&mut sample.refusal);
            return sample;
        }
        match last_token {
            None => sample.first_token = event.at.saturating_duration_since(scheduled),
            Some(last_token) => sample.token_gaps.push(event.at - last_token),
        }
        last_token = Some(event.at);
    }
    sample
}
