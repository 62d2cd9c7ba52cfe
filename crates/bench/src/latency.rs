//! Latency that one VM adds to a call, against calling the target directly, in one run.

use crate::online::time_histogram;
use crate::scenario::BenchEndpoints;
use anyhow::Context as _;
use hdrhistogram::Histogram;
use plantainmill_core::{Clock, SystemClock};
use serde_json::json;
use std::time::Duration;

/// Calls of each kind that are not measured.
const WARMUP_CALLS: usize = 100;

/// What is called.
#[derive(Clone, Debug)]
pub struct LatencyPlan {
    /// Organisation whose key is used.
    pub organisation: String,
    /// Plain service to call through the VM.
    pub service: String,
    /// URL of a target of that service.
    pub target: String,
    /// Calls of each kind.
    pub calls: usize,
    /// Time between pairs of calls. With a pause all threads have to wake up for each call.
    pub pause: Duration,
}

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyReport {
    /// Calls of the target.
    pub direct_us: Histogram<u64>,
    /// Calls through the VM.
    pub through_us: Histogram<u64>,
}

impl LatencyReport {
    /// Microseconds that the VM adds at `quantile`.
    #[must_use]
    pub fn added_us(&self, quantile: f64) -> i64 {
        let direct = self.direct_us.value_at_quantile(quantile);
        let through = self.through_us.value_at_quantile(quantile);
        i64::try_from(through).unwrap_or(i64::MAX) - i64::try_from(direct).unwrap_or(i64::MAX)
    }

    /// The report as text.
    #[must_use]
    pub fn table(&self) -> String {
        let row = |name: &str, quantile: f64| {
            let direct = self.direct_us.value_at_quantile(quantile);
            let through = self.through_us.value_at_quantile(quantile);
            let added = self.added_us(quantile);
            format!(
                "{name:4} direct {direct:6} us, through the VM {through:6} us, added {added:6} us\n"
            )
        };
        row("p50", 0.50) + &row("p99", 0.99)
    }
}

/// Calls the target directly and through the first VM in turn.
///
/// # Errors
///
/// Fails when a call fails.
pub async fn measure(
    plan: &LatencyPlan,
    endpoints: &BenchEndpoints,
) -> anyhow::Result<LatencyReport> {
    let base = endpoints.callers.first().context("no callers' URL")?;
    let through = format!("{base}/services/{}/latency", plan.service);
    let direct = format!("{}/latency", plan.target);
    let key = endpoints.key(&plan.organisation)?;
    let client = awc::Client::new();
    let mut report = LatencyReport {
        direct_us: time_histogram(),
        through_us: time_histogram(),
    };
    for call in 0..WARMUP_CALLS + plan.calls {
        let direct_time = one_call(&client, &direct, key).await?;
        let through_time = one_call(&client, &through, key).await?;
        if call >= WARMUP_CALLS {
            report.direct_us.saturating_record(direct_time);
            report.through_us.saturating_record(through_time);
        }
        if !plan.pause.is_zero() {
            actix_rt::time::sleep(plan.pause).await;
        }
    }
    Ok(report)
}

/// Microseconds of one call.
async fn one_call(client: &awc::Client, url: &str, key: &str) -> anyhow::Result<u64> {
    let start = SystemClock.uptime();
    let sent = client.post(url).bearer_auth(key).send_json(&json!({}));
    let mut answer = sent
        .await
        .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
    let body = answer.body().await;
    let body = body.map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
    anyhow::ensure!(
        answer.status().is_success(),
        "{url}: {}: {}",
        answer.status(),
        String::from_utf8_lossy(&body)
    );
    let passed = SystemClock.uptime().saturating_sub(start);
    Ok(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
}
