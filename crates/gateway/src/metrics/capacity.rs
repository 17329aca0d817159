//! Metrics of the learned speeds of engines.

use opentelemetry::{
    KeyValue,
    metrics::{Gauge, Meter},
};

use super::{build_gauge, label};

/// Metrics of the learned speeds of engines.
#[derive(Debug)]
pub struct CapacityMetrics {
    tokens_per_ms: Gauge<f64>,
}

impl CapacityMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let description = "Prompt tokens that engines read in a ms";
        Self {
            tokens_per_ms: build_gauge(meter, "engine_tokens_per_ms", description),
        }
    }

    /// Sets the speed of an engine of a service, in prompt tokens a ms; `which` says which engine it is.
    pub fn record_speed(&self, service: &str, which: &'static str, tokens_per_ms: f64) {
        let labels = [label("service", service), KeyValue::new("engines", which)];
        self.tokens_per_ms.record(tokens_per_ms, &labels);
    }
}
