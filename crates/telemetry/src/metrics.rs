//! The metrics of an entry host in the Prometheus text format. Each metric is described in
//! `docs/operating/metrics.md`.

mod buckets;
mod label;
mod total;

use std::{fmt, time::Duration};

use kernel::{
    fault::Kind,
    name::{Model, Service},
};
use member::Condition;
use objects::object::Reason;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

pub use label::{Direction, Labels, MAX_SERVICES, MAX_TENANTS, Outcome, Transport};
use label::{LabelSet, format_condition};
use total::Totals;

use crate::exposition::Exposition;

/// Prefix of every metric name.
const NAMESPACE: &str = "comfreywing";

/// The metrics of an entry host.
pub struct Metrics {
    exposition: Exposition,
    tenants: LabelSet,
    services: LabelSet,
    load_stall: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    request_duration: Histogram<f64>,
    batch_occupancy: Histogram<f64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    loads: Counter<u64>,
    load_failures: Counter<u64>,
    evictions: Counter<u64>,
    members: Gauge<u64>,
    config_revision: Gauge<u64>,
    requests_in_flight: Gauge<u64>,
    platform_calls: Totals<Reason>,
    control_bytes: Totals<(Direction, Transport)>,
}

impl Metrics {
    /// Creates the metrics. All counts start at zero.
    pub fn new() -> Self {
        let exposition = Exposition::new(NAMESPACE);
        let meter = exposition.meter();
        Self {
            exposition,
            tenants: LabelSet::new(MAX_TENANTS),
            services: LabelSet::new(MAX_SERVICES),
            load_stall: build_histogram(
                &meter,
                "load_stall",
                "Time a request waited for its adapter to arrive",
                buckets::LOAD_STALL,
            ),
            first_token: build_histogram(
                &meter,
                "first_token",
                "Time from a request's arrival to its first token",
                buckets::FIRST_TOKEN,
            ),
            token_gap: build_histogram(
                &meter,
                "token_gap",
                "Time between two tokens of an answer",
                buckets::TOKEN_GAP,
            ),
            queue_wait: build_histogram(
                &meter,
                "queue_wait",
                "Time a request waited for its place on an engine",
                buckets::QUEUE_WAIT,
            ),
            request_duration: build_histogram(
                &meter,
                "request_duration",
                "Time from a request's arrival to the end of its answer",
                buckets::REQUEST_DURATION,
            ),
            batch_occupancy: meter
                .f64_histogram("batch_occupancy")
                .with_description("Share of an engine's batch that was in use")
                .with_unit("1")
                .with_boundaries(buckets::BATCH_OCCUPANCY.to_vec())
                .build(),
            requests: build_counter(&meter, "requests", "Requests that ended, by outcome"),
            refusals: build_counter(&meter, "refusals", "Faults told to callers, by kind"),
            retries: build_counter(&meter, "retries", "Requests that were sent again"),
            loads: build_counter(&meter, "loads", "Adapters that were loaded"),
            load_failures: build_counter(&meter, "load_failures", "Adapters that failed to load"),
            evictions: build_counter(&meter, "evictions", "Adapters that were unloaded"),
            members: build_gauge(&meter, "members", "Entry hosts, by condition"),
            config_revision: build_gauge(
                &meter,
                "config_revision",
                "Configuration revision in force",
            ),
            requests_in_flight: build_gauge(
                &meter,
                "requests_in_flight",
                "Requests that are running",
            ),
            platform_calls: Totals::register(
                &meter,
                "platform_calls",
                "Calls of the platform, by reason",
                |reason| vec![KeyValue::new("reason", reason.to_string())],
            ),
            control_bytes: Totals::register(
                &meter,
                "control_bytes",
                "Bytes between entry hosts",
                |(direction, transport)| {
                    vec![
                        KeyValue::new("direction", direction.as_str()),
                        KeyValue::new("medium", transport.as_str()),
                    ]
                },
            ),
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        String::from_utf8_lossy(&self.exposition.encode()).into_owned()
    }

    /// Records the time that a request waited for its adapter to be loaded.
    pub fn record_load_stall(&self, labels: &Labels, wait: Duration) {
        self.load_stall
            .record(wait.as_secs_f64(), &self.resolve_attributes(labels));
    }

    /// Records the time that a request waited for its placement on an engine, including its load
    /// stall.
    pub fn record_queue_wait(&self, labels: &Labels, wait: Duration) {
        self.queue_wait
            .record(wait.as_secs_f64(), &self.resolve_attributes(labels));
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn record_first_token(&self, labels: &Labels, wait: Duration) {
        self.first_token
            .record(wait.as_secs_f64(), &self.resolve_attributes(labels));
    }

    /// Records the time between two consecutive tokens of an answer.
    pub fn record_token_gap(&self, labels: &Labels, gap: Duration) {
        self.token_gap
            .record(gap.as_secs_f64(), &self.resolve_attributes(labels));
    }

    /// Records the outcome of a request and the time from its arrival to its end.
    pub fn record_request(&self, labels: &Labels, outcome: Outcome, elapsed: Duration) {
        self.request_duration
            .record(elapsed.as_secs_f64(), &self.resolve_attributes(labels));
        let service = self.services.resolve(labels.service.as_str());
        let attributes = [
            KeyValue::new("class", labels.class.as_str()),
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("service", service),
        ];
        self.requests.add(1, &attributes);
    }

    /// Records how many requests an engine of a base model runs, out of the maximum that it can run
    /// concurrently. A capacity of 0 isn't recorded.
    pub fn record_batch_occupancy(&self, model: &Model, running: u32, capacity: u32) {
        if capacity == 0 {
            return;
        }
        let share = f64::from(running) / f64::from(capacity);
        let model = KeyValue::new("model", model.as_str().to_owned());
        self.batch_occupancy.record(share, &[model]);
    }

    /// Counts an error that was sent to a caller.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// Counts a retry of a request to a service.
    pub fn count_retry(&self, service: &Service) {
        let service = self.services.resolve(service.as_str());
        self.retries.add(1, &[KeyValue::new("service", service)]);
    }

    /// Counts an adapter that was loaded.
    pub fn count_load(&self) {
        self.loads.add(1, &[]);
    }

    /// Counts an adapter that failed to load.
    pub fn count_load_failure(&self) {
        self.load_failures.add(1, &[]);
    }

    /// Counts an adapter that was unloaded.
    pub fn count_eviction(&self) {
        self.evictions.add(1, &[]);
    }

    /// Sets the number of entry hosts in a condition.
    pub fn set_members(&self, condition: Condition, count: u64) {
        let state = KeyValue::new("state", format_condition(condition));
        self.members.record(count, &[state]);
    }

    /// Sets the number of the current configuration revision.
    pub fn set_revision(&self, number: u64) {
        self.config_revision.record(number, &[]);
    }

    /// Sets the number of running requests.
    pub fn set_in_flight(&self, count: u64) {
        self.requests_in_flight.record(count, &[]);
    }

    /// Sets the total number of platform calls for a reason since the start of the process.
    pub fn set_platform_calls(&self, reason: Reason, total: u64) {
        self.platform_calls.set(reason, total);
    }

    /// Sets the total number of bytes between this host and its peers since the start of the
    /// process.
    pub fn set_control_bytes(&self, direction: Direction, transport: Transport, total: u64) {
        self.control_bytes.set((direction, transport), total);
    }

    /// Returns the attributes for the class and the tenant of a request.
    fn resolve_attributes(&self, labels: &Labels) -> [KeyValue; 2] {
        let tenant = self.tenants.resolve(labels.tenant.as_str());
        [
            KeyValue::new("class", labels.class.as_str()),
            KeyValue::new("tenant", tenant),
        ]
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        self.exposition.shut_down();
    }
}

/// Builds a histogram of durations in seconds.
fn build_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn build_counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let builder = meter.u64_counter(name).with_description(description);
    builder.build()
}

fn build_gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    let builder = meter.u64_gauge(name).with_description(description);
    builder.build()
}
