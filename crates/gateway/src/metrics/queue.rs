//! Metrics of the requests that wait for room at engines.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};

use super::{build_counter, build_duration_histogram, label};

/// Metrics of the requests that wait for room at engines.
#[derive(Debug)]
pub struct QueueMetrics {
    wait: Histogram<f64>,
    length: Gauge<u64>,
    refusals: Counter<u64>,
}

impl QueueMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let length = (meter.u64_gauge("queue_length"))
            .with_description("Requests that wait for room at engines");
        Self {
            wait: build_duration_histogram(meter, "queue_wait", "Wait for room at an engine"),
            length: length.build(),
            refusals: build_counter(
                meter,
                "overload_refusals",
                "Requests that were refused for lack of room at the engines",
            ),
        }
    }

    /// Records how long a request waited for room.
    pub fn record_wait(&self, service: &str, route: &str, wait: Duration) {
        let labels = [label("service", service), label("route", route)];
        self.wait.record(wait.as_secs_f64(), &labels);
    }

    /// Records the number of requests that wait for room at the engines of a service.
    pub fn record_length(&self, service: &str, length: usize) {
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        self.length.record(length, &[label("service", service)]);
    }

    /// Counts a request that was refused for lack of room.
    pub fn count_refusal(&self, service: &str, route: &str, reason: &'static str) {
        let labels = [
            label("service", service),
            label("route", route),
            KeyValue::new("why", reason),
        ];
        self.refusals.add(1, &labels);
    }
}
