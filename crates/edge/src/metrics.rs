//! Metrics of a VM, served as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};
use std::time::Duration;

/// Bucket boundaries of the latency histogram in seconds; densest around objectives of several hundred milliseconds.
const LATENCY_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Prefix of the names of all metrics.
pub(crate) const METRIC_PREFIX: &str = "plantainmill_";

pub(crate) struct EdgeMetrics {
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_byte: Histogram<f64>,
    job_calls: Counter<u64>,
    store_failures: Counter<u64>,
    datagrams: Counter<u64>,
    forwarded: Counter<u64>,
    unanswered: Counter<u64>,
    target_lists: Counter<u64>,
    target_list_bytes: Counter<u64>,
}

impl EdgeMetrics {
    /// Creates and registers all instruments.
    pub fn new() -> anyhow::Result<EdgeMetrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("plantainmill");
        Ok(EdgeMetrics {
            requests: meter.u64_counter("plantainmill_requests").build(),
            first_byte: meter
                .f64_histogram("plantainmill_first_byte_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            job_calls: meter.u64_counter("plantainmill_job_calls").build(),
            store_failures: meter.u64_counter("plantainmill_store_failures").build(),
            datagrams: meter.u64_counter("plantainmill_peer_datagrams").build(),
            forwarded: meter
                .u64_counter("plantainmill_requests_forwarded")
                .with_description("Requests of other VMs, by result")
                .build(),
            unanswered: meter
                .u64_counter("plantainmill_requests_unanswered")
                .with_description("Requests whose connection was closed before their answer")
                .build(),
            target_lists: meter
                .u64_counter("plantainmill_target_lists_sent")
                .with_description("Target lists sent to other VMs: whole ones, changes, or whole ones of the former kind")
                .build(),
            target_list_bytes: meter
                .u64_counter("plantainmill_target_list_bytes")
                .with_description("Bytes of the target lists sent to other VMs, by kind")
                .build(),
            registry,
            provider,
        })
    }

    /// Meter at which other parts of the VM register their instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("plantainmill")
    }

    /// Counts a request by its final result: the number of a result code, or zero for a relayed response. Successful job
    /// calls are counted by [`EdgeMetrics::count_job_call`] only.
    pub fn count_request(&self, result: u16) {
        self.requests
            .add(1, &[KeyValue::new("result", i64::from(result))]);
    }

    /// Records the time from the arrival of a request to the first byte of its response.
    pub fn record_first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Counts a job call by its kind and its result: the number of a result code, or zero for success.
    pub fn count_job_call(&self, call: &'static str, result: u16) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("result", i64::from(result)),
        ];
        self.job_calls.add(1, &labels);
    }

    /// Counts a failed read of the document or the targets.
    pub fn count_store_failure(&self, read: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("read", read)]);
    }

    /// Counts a datagram that was sent to or received from a peer.
    pub fn count_datagram(&self, direction: &'static str) {
        self.datagrams
            .add(1, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a request of another VM that this one was asked to forward, by its result.
    pub fn count_forwarded(&self, result: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request whose connection was closed before its answer, by who closed it.
    pub fn count_unanswered(&self, ended_by: &'static str) {
        self.unanswered
            .add(1, &[KeyValue::new("ended_by", ended_by)]);
    }

    /// Counts a target list of this size in bytes that was sent to another VM, by its kind.
    pub fn count_target_list(&self, kind: &'static str, size: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.target_lists.add(1, &labels);
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        self.target_list_bytes.add(size, &labels);
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut content = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut content) {
            tracing::warn!(event = "metrics_failed", %error, "metrics cannot be encoded");
        }
        String::from_utf8_lossy(&content).into_owned()
    }
}
