//! The metrics of one process in the Prometheus text format, independent of what is measured.

use std::fmt;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// An OpenTelemetry meter provider whose metrics are exported in the Prometheus text format.
pub struct Exposition {
    namespace: &'static str,
    registry: Registry,
    provider: SdkMeterProvider,
}

impl fmt::Debug for Exposition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.namespace)
    }
}

impl Exposition {
    /// Creates an exposition without metrics. The namespace is the prefix of every metric name.
    pub fn new(namespace: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(namespace)
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            namespace,
            registry,
            provider,
        }
    }

    /// Returns a meter, which creates the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(self.namespace)
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(event = "metrics-failed"; "failed to encode the metrics: {error}");
        }
        text
    }

    /// Shuts down the meter provider. Its instruments record nothing afterwards.
    pub fn shut_down(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!(event = "metrics-failed"; "failed to shut down the metrics: {error}");
        }
    }
}
