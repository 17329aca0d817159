//! Metrics of a host, in the Prometheus text format. `docs/operating/gateway.md` describes each of
//! them.

mod account;
mod capacity;
mod queue;

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use telemetry::exposition::Exposition;

pub use self::{account::AccountMetrics, capacity::CapacityMetrics, queue::QueueMetrics};
use crate::{attribution::Attribution, connection::Origin, memory::Budget};

/// Prefix of all metric names.
const NAMESPACE: &str = "comfreywing_gateway";

/// Bucket bounds of duration histograms in seconds. They include the callers' latency targets.
const BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.3, 0.5, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// All metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    load_wait: Histogram<f64>,
    pacing_wait: Histogram<f64>,
    retries: Counter<u64>,
    connections: Counter<u64>,
    responses: Counter<u64>,
    orders: Counter<u64>,
    loads: Counter<u64>,
    store_calls: Counter<u64>,
    config: Gauge<u64>,
    engines: Gauge<u64>,
    hosts: Gauge<u64>,
    claims: Gauge<u64>,
    retries_left: Gauge<f64>,
    list_age: Gauge<f64>,
    load_time: Gauge<f64>,
    loop_delay: Histogram<f64>,
    crashes: Counter<u64>,
    trials: Counter<u64>,
    quarantined_parts: Gauge<u64>,
    limited_engines: Gauge<u64>,
    limited_requests: Counter<u64>,
    limit_answers: Counter<u64>,
    handovers: Counter<u64>,
    isolated: Gauge<u64>,
    buffered_bytes: Gauge<u64>,
    bodies_given_up: Counter<u64>,
    /// Learned speeds of engines.
    pub capacity: CapacityMetrics,
    /// Use of client accounts.
    pub accounts: AccountMetrics,
    /// Requests that wait for room at engines.
    pub queue: QueueMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics without any recorded values.
    pub fn new() -> Self {
        let exposition = Exposition::new(NAMESPACE);
        let meter = exposition.meter();
        let seconds = |name, description| build_duration_gauge(&meter, name, description);
        let counter = |name, description| build_counter(&meter, name, description);
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            requests: counter("requests", "Requests that ended, by how"),
            first_event: build_duration_histogram(
                &meter,
                "first_event",
                "Arrival to the first event or the answer",
            ),
            event_gap: build_duration_histogram(
                &meter,
                "event_gap",
                "Longest pause between events of a stream",
            ),
            load_wait: build_duration_histogram(
                &meter,
                "load_wait",
                "Wait for the load of an adapter",
            ),
            pacing_wait: build_duration_histogram(
                &meter,
                "turn_wait",
                "Wait for the turn of a prompt at an engine",
            ),
            retries: counter(
                "repeats",
                "Requests sent once more, and those the budget refused",
            ),
            connections: counter("connections", "Connections to upstreams that were used"),
            responses: counter(
                "responses",
                "Responses of engines, by the request to which they belong",
            ),
            orders: counter("orders", "Orders to engines, by what came of them"),
            loads: counter(
                "loads",
                "Loads of adapters that should be done, by whether they were",
            ),
            store_calls: counter("store_calls", "Calls to the store"),
            config: gauge("config_version", "Version of the configuration in force"),
            engines: gauge("engines", "Engines and instances that are known"),
            hosts: gauge("hosts", "Other hosts that live"),
            claims: gauge("claims", "Engines that this host may order"),
            retries_left: build_gauge(&meter, "repeats_left", "Repeats that the budget has left"),
            list_age: seconds("list_age", "Age of the answer that a list rests on"),
            load_time: seconds("load_time", "Expected time of an adapter load"),
            loop_delay: build_duration_histogram(
                &meter,
                "loop_delay",
                "Time by which a timer of the event loop was late",
            ),
            crashes: counter(
                "engine_crashes",
                "Engines that this host has seen end before they had answered its requests",
            ),
            trials: counter(
                "quarantine_trials",
                "Requests that were sent to try a quarantined prompt part",
            ),
            quarantined_parts: gauge(
                "quarantined_parts",
                "Prompt parts with which requests are refused, since engines crash on them",
            ),
            limited_engines: gauge(
                "limited_engines",
                "Engines that limit the requests of all hosts together",
            ),
            handovers: counter(
                "handovers",
                "Requests that were passed on to other hosts, by outcome",
            ),
            buffered_bytes: gauge(
                "buffered_bytes",
                "Bytes of bodies that are read as a whole and not yet dropped",
            ),
            bodies_given_up: counter("bodies_given_up", "Bodies that were given up, by reason"),
            isolated: gauge(
                "isolated",
                "1 while this host is cut off from all engines, else 0",
            ),
            limit_answers: counter(
                "limit_answers",
                "Answers whose statement about the limit of their engine was not used, by reason",
            ),
            limited_requests: counter(
                "limited_requests",
                "Requests for engines with a limit, by whether they were sent",
            ),
            capacity: CapacityMetrics::new(&meter),
            accounts: AccountMetrics::new(&meter),
            queue: QueueMetrics::new(&meter),
            exposition,
        }
    }

    /// Counts a request by its outcome.
    pub fn record_request(
        &self,
        service: &str,
        route: &str,
        outcome: &'static str,
        why: &'static str,
    ) {
        let labels = [
            label("service", service),
            label("route", route),
            KeyValue::new("outcome", outcome),
            KeyValue::new("why", why),
        ];
        self.requests.add(1, &labels);
    }

    /// Records how long a request waited for a load and for pacing.
    pub fn record_waits(
        &self,
        service: &str,
        route: &str,
        load_wait: Duration,
        pacing_wait: Duration,
    ) {
        let labels = [label("service", service), label("route", route)];
        self.load_wait.record(load_wait.as_secs_f64(), &labels);
        self.pacing_wait.record(pacing_wait.as_secs_f64(), &labels);
    }

    /// Records the time to the first event and the longest gap between events.
    pub fn record_latency(
        &self,
        service: &str,
        route: &str,
        first_event: Duration,
        event_gap: Duration,
    ) {
        let labels = [label("service", service), label("route", route)];
        self.first_event.record(first_event.as_secs_f64(), &labels);
        self.event_gap.record(event_gap.as_secs_f64(), &labels);
    }

    /// Counts a retry that was sent, or refused by the budget.
    pub fn count_retry(&self, service: &str, outcome: &'static str) {
        let labels = [label("service", service), KeyValue::new("outcome", outcome)];
        self.retries.add(1, &labels);
    }

    /// Counts the use of an upstream connection, new or pooled.
    pub fn count_connection(&self, origin: Origin) {
        let labels = [KeyValue::new("kind", origin.name())];
        self.connections.add(1, &labels);
    }

    /// Counts a response of an engine by the request to which it belongs, and by the origin of its connection.
    pub fn count_response(&self, attribution: Attribution, origin: Origin) {
        let labels = [
            KeyValue::new("request", attribution.name()),
            KeyValue::new("kind", origin.name()),
        ];
        self.responses.add(1, &labels);
    }

    /// Counts an order to an engine by its outcome.
    pub fn count_order(&self, op: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("op", op), KeyValue::new("outcome", outcome)];
        self.orders.add(1, &labels);
    }

    /// Counts a load that was due, by whether the adapter was present.
    pub fn count_load(&self, outcome: &'static str) {
        self.loads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, reason: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("reason", reason),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a crash of an engine.
    pub fn count_crash(&self, service: &str) {
        self.crashes.add(1, &[label("service", service)]);
    }

    /// Counts a request that tries a quarantined prompt part.
    pub fn count_trial(&self) {
        self.trials.add(1, &[]);
    }

    /// Records the bytes that a budget has in use, and the bodies that were given up since the last call.
    pub fn record_body_memory(&self, budget: &Budget) {
        let kind = KeyValue::new("kind", budget.kind().name());
        let used = u64::try_from(budget.used()).unwrap_or(u64::MAX);
        self.buffered_bytes
            .record(used, std::slice::from_ref(&kind));
        for (reason, count) in budget.take_given_up() {
            let reason = KeyValue::new("reason", reason.name());
            self.bodies_given_up.add(count, &[kind.clone(), reason]);
        }
    }

    /// Sets the number of quarantined prompt parts.
    pub fn record_quarantined_parts(&self, parts: usize) {
        let parts = u64::try_from(parts).unwrap_or(u64::MAX);
        self.quarantined_parts.record(parts, &[]);
    }

    /// Sets the number of engines that limit the requests of all hosts.
    pub fn record_limited_engines(&self, engines: usize) {
        let engines = u64::try_from(engines).unwrap_or(u64::MAX);
        self.limited_engines.record(engines, &[]);
    }

    /// Counts a request for an engine with a limit, by whether it was sent.
    pub fn count_limited_request(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.limited_requests.add(1, &labels);
    }

    /// Counts an answer whose statement about a limit was not used.
    pub fn count_limit_answer(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.limit_answers.add(1, &labels);
    }

    /// Counts a request that was passed on to another host, by outcome.
    pub fn count_handover(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.handovers.add(1, &labels);
    }

    /// Sets whether this host is cut off from all engines.
    pub fn record_isolated(&self, isolated: bool) {
        self.isolated.record(u64::from(isolated), &[]);
    }

    /// Sets the gauges of the current state.
    pub fn record_state(&self, config: u64, engines: usize, hosts: usize, claims: usize) {
        let number = |it: usize| u64::try_from(it).unwrap_or(u64::MAX);
        self.config.record(config, &[]);
        self.engines.record(number(engines), &[]);
        self.hosts.record(number(hosts), &[]);
        self.claims.record(number(claims), &[]);
    }

    /// Sets the number of retries that the budget of a service has left.
    pub fn record_retries_left(&self, service: &str, left: f64) {
        self.retries_left.record(left, &[label("service", service)]);
    }

    /// Sets the age of a list of the store.
    pub fn record_list_age(&self, list: &'static str, age: Duration) {
        let labels = [KeyValue::new("list", list)];
        self.list_age.record(age.as_secs_f64(), &labels);
    }

    /// Records how long loads of adapters are expected to take.
    pub fn record_load_time(&self, source: &'static str, expected: Duration) {
        let labels = [KeyValue::new("source", source)];
        self.load_time.record(expected.as_secs_f64(), &labels);
    }

    /// Records the delay of a timer of the event loop.
    pub fn record_loop_delay(&self, delay: Duration) {
        self.loop_delay.record(delay.as_secs_f64(), &[]);
    }

    /// Renders all metrics as text.
    pub fn to_text(&self) -> Vec<u8> {
        self.exposition.encode()
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

fn build_counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn build_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    let gauge = meter.f64_gauge(name);
    gauge.with_description(description).build()
}

fn build_duration_gauge(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Gauge<f64> {
    let gauge = meter.f64_gauge(name).with_description(description);
    gauge.with_unit("s").build()
}

fn build_duration_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(BUCKETS_SECONDS.to_vec())
        .build()
}
