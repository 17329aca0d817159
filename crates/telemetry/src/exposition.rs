//! Metrics of one process in the Prometheus text format, whichever they are.

use std::fmt;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Where metrics are counted and read.
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
    /// Metrics whose names begin with that word.
    pub fn new(namespace: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(namespace)
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            namespace,
            registry,
            provider,
        }
    }

    /// Makes the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(self.namespace)
    }

    /// All metrics as text.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(event = "metrics-failed"; "metrics can't be written: {error}");
        }
        text
    }

    /// Ends the instruments.
    pub fn shut_down(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!(event = "metrics-failed"; "metrics didn't end in order: {error}");
        }
    }
}
