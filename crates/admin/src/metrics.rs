//! Metrics of one VM: an `opentelemetry` meter, exported as Prometheus text and as JSON for the state dump.

use anyhow::Context as _;
use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use serde_json::{Map, Value, json};

/// Metrics of one VM. Clones share the same registry.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl NodeMetrics {
    /// Creates a separate registry, so that several VMs in one process do not share metrics.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be built.
    pub fn new() -> anyhow::Result<NodeMetrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .context("cannot build the Prometheus exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(NodeMetrics { registry, provider })
    }

    /// The meter with which all services of the VM create their instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("plantainmill")
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub fn render(&self) -> anyhow::Result<String> {
        let families = self.registry.gather();
        let encoded = TextEncoder::new().encode_to_string(&families);
        encoded.context("cannot encode the metrics")
    }

    /// All metrics as a flat JSON object from sample name with labels to value; empty if they cannot be encoded.
    #[must_use]
    pub fn snapshot(&self) -> Value {
        let mut values = Map::new();
        let text = self.render().unwrap_or_default();
        let samples = text.lines().filter(|line| !line.starts_with('#'));
        for line in samples {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            if let Ok(number) = value.parse::<f64>() {
                values.insert(name.to_owned(), json!(number));
            }
        }
        Value::Object(values)
    }
}
