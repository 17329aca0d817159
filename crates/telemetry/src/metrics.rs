//! Metrics in the Prometheus text format. Each is described in `docs/operating/metrics.md`.

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
use label::{Roster, word};
use total::Totals;

use crate::exposition::Exposition;

/// Prefix of every metric.
const NAMESPACE: &str = "comfreywing";

/// Every metric of an entry host.
pub struct Metrics {
    exposition: Exposition,
    tenants: Roster,
    services: Roster,
    load_stall: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_wait: Histogram<f64>,
    duration: Histogram<f64>,
    occupancy: Histogram<f64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    loads: Counter<u64>,
    load_failures: Counter<u64>,
    evictions: Counter<u64>,
    members: Gauge<u64>,
    revision: Gauge<u64>,
    in_flight: Gauge<u64>,
    platform_calls: Totals<Reason>,
    control_bytes: Totals<(Direction, Transport)>,
}

impl Metrics {
    /// Metrics that have counted nothing yet.
    pub fn new() -> Self {
        let exposition = Exposition::new(NAMESPACE);
        let meter = exposition.meter();
        Self {
            exposition,
            tenants: Roster::new(MAX_TENANTS),
            services: Roster::new(MAX_SERVICES),
            load_stall: seconds(
                &meter,
                "load_stall",
                "Time a request waited for its adapter to arrive",
                buckets::LOAD_STALL,
            ),
            first_token: seconds(
                &meter,
                "first_token",
                "Time from a request's arrival to its first token",
                buckets::FIRST_TOKEN,
            ),
            token_gap: seconds(
                &meter,
                "token_gap",
                "Time between two tokens of an answer",
                buckets::TOKEN_GAP,
            ),
            queue_wait: seconds(
                &meter,
                "queue_wait",
                "Time a request waited for its place on an engine",
                buckets::QUEUE_WAIT,
            ),
            duration: seconds(
                &meter,
                "request_duration",
                "Time from a request's arrival to the end of its answer",
                buckets::DURATION,
            ),
            occupancy: meter
                .f64_histogram("batch_occupancy")
                .with_description("Share of an engine's batch that was in use")
                .with_unit("1")
                .with_boundaries(buckets::OCCUPANCY.to_vec())
                .build(),
            requests: counter(&meter, "requests", "Requests that ended, by outcome"),
            refusals: counter(&meter, "refusals", "Faults told to callers, by kind"),
            retries: counter(&meter, "retries", "Requests that were sent again"),
            loads: counter(&meter, "loads", "Adapters that were loaded"),
            load_failures: counter(&meter, "load_failures", "Adapters that failed to load"),
            evictions: counter(&meter, "evictions", "Adapters that were unloaded"),
            members: gauge(&meter, "members", "Entry hosts, by condition"),
            revision: gauge(&meter, "config_revision", "Configuration revision in force"),
            in_flight: gauge(&meter, "requests_in_flight", "Requests that are running"),
            platform_calls: Totals::start(
                &meter,
                "platform_calls",
                "Calls of the platform, by reason",
                |reason| vec![KeyValue::new("reason", reason.to_string())],
            ),
            control_bytes: Totals::start(
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

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        String::from_utf8_lossy(&self.exposition.encode()).into_owned()
    }

    /// A request waited so long for its adapter to arrive.
    pub fn record_load_stall(&self, labels: &Labels, wait: Duration) {
        self.load_stall
            .record(wait.as_secs_f64(), &self.attributes(labels));
    }

    /// A request waited so long for its place on an engine, its load stall included.
    pub fn record_queue_wait(&self, labels: &Labels, wait: Duration) {
        self.queue_wait
            .record(wait.as_secs_f64(), &self.attributes(labels));
    }

    /// The first token came so long after its request.
    pub fn record_first_token(&self, labels: &Labels, wait: Duration) {
        self.first_token
            .record(wait.as_secs_f64(), &self.attributes(labels));
    }

    /// A token came so long after the one before it.
    pub fn record_token_gap(&self, labels: &Labels, gap: Duration) {
        self.token_gap
            .record(gap.as_secs_f64(), &self.attributes(labels));
    }

    /// A request ended so long after its arrival.
    pub fn record_request(&self, labels: &Labels, outcome: Outcome, elapsed: Duration) {
        self.duration
            .record(elapsed.as_secs_f64(), &self.attributes(labels));
        let service = self.services.admit(labels.service.as_str());
        let attributes = [
            KeyValue::new("class", labels.class.as_str()),
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("service", service),
        ];
        self.requests.add(1, &attributes);
    }

    /// An engine of a model ran so many requests of those that it can run together.
    pub fn record_batch_occupancy(&self, model: &Model, running: u32, capacity: u32) {
        if capacity == 0 {
            return;
        }
        let share = f64::from(running) / f64::from(capacity);
        let model = KeyValue::new("model", model.as_str().to_owned());
        self.occupancy.record(share, &[model]);
    }

    /// A caller was told of a fault.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.as_str())]);
    }

    /// A request of a service was sent again.
    pub fn count_retry(&self, service: &Service) {
        let service = self.services.admit(service.as_str());
        self.retries.add(1, &[KeyValue::new("service", service)]);
    }

    /// An adapter was loaded.
    pub fn count_load(&self) {
        self.loads.add(1, &[]);
    }

    /// An adapter failed to load.
    pub fn count_load_failure(&self) {
        self.load_failures.add(1, &[]);
    }

    /// An adapter was unloaded.
    pub fn count_eviction(&self) {
        self.evictions.add(1, &[]);
    }

    /// So many entry hosts are in a condition.
    pub fn set_members(&self, condition: Condition, count: u64) {
        let state = KeyValue::new("state", word(condition));
        self.members.record(count, &[state]);
    }

    /// The configuration revision in force.
    pub fn set_revision(&self, number: u64) {
        self.revision.record(number, &[]);
    }

    /// So many requests are running.
    pub fn set_in_flight(&self, count: u64) {
        self.in_flight.record(count, &[]);
    }

    /// So many calls of the platform were made for a reason since the start.
    pub fn set_platform_calls(&self, reason: Reason, total: u64) {
        self.platform_calls.set(reason, total);
    }

    /// So many bytes passed between this host and its peers since the start.
    pub fn set_control_bytes(&self, direction: Direction, transport: Transport, total: u64) {
        self.control_bytes.set((direction, transport), total);
    }

    fn attributes(&self, labels: &Labels) -> [KeyValue; 2] {
        let tenant = self.tenants.admit(labels.tenant.as_str());
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

fn seconds(
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

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let builder = meter.u64_counter(name).with_description(description);
    builder.build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    let builder = meter.u64_gauge(name).with_description(description);
    builder.build()
}
