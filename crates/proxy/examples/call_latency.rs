//! Compares the latency of calls through [`HttpCaller`] with direct calls to the same target, one at a time.
//!
//! Both kinds of calls alternate in one run, so that they see the same load on the machine. Run it with
//! `cargo run --release -p plantainmill-proxy --example call_latency [CALLS]`.

use anyhow::{Context as _, anyhow};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, StreamExt as _};
use hdrhistogram::Histogram;
use plantainmill_config::{ConfigView, FleetConfig, ServiceKind, ServiceSpec};
use plantainmill_core::{Clock as _, Problem, SystemClock};
use plantainmill_dispatch::{Dispatcher, TargetTicket, TicketRequest, TrafficClass};
use plantainmill_fakes::{EngineOptions, EngineServer, MemoryPlatform, RunningEngine};
use plantainmill_proxy::{HttpCaller, TargetCaller as _, TargetRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Number of calls of each kind if no argument is given.
const DEFAULT_CALLS: u32 = 5_000;
/// Calls before the measurement, which open the connections.
const WARM_UP_CALLS: u32 = 200;
const BODY: &str =
    r#"{"model":"m","max_tokens":16,"messages":[{"role":"user","content":"thread for linen"}]}"#;
const STREAM_BODY: &str = r#"{"model":"m","max_tokens":16,"stream":true,"messages":[{"role":"user","content":"thread"}]}"#;

/// Immediately issues a ticket for its only target.
struct TrivialDispatcher {
    address: SocketAddr,
    preempted: watch::Receiver<bool>,
}

impl Dispatcher for TrivialDispatcher {
    fn acquire(&self, _: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        let preempted = self.preempted.clone();
        let ticket = TargetTicket::new(
            "target".into(),
            self.address,
            None,
            preempted,
            Box::new(|_| ()),
        );
        async move { Ok(ticket) }.boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        async { serde_json::Value::Null }.boxed_local()
    }
}

fn config() -> ConfigView {
    let service = ServiceSpec {
        kind: ServiceKind::Model,
        open: false,
        repeatable: true,
        hedge: false,
        timeout_ms: 60_000,
        least_replicas: 1,
        most_replicas: 1,
    };
    let view = ConfigView::default();
    view.publish(FleetConfig {
        version: 1,
        services: Arc::new(BTreeMap::from([("m".into(), service)])),
        ..FleetConfig::default()
    });
    view
}

fn request(body: &'static str) -> TargetRequest {
    TargetRequest {
        service: "m".into(),
        organisation: Some("o".into()),
        class: TrafficClass::Online,
        method: "POST".into(),
        path: "/v1/chat/completions".to_owned(),
        headers: vec![("content-type".into(), "application/json".into())],
        body: Bytes::from_static(body.as_bytes()),
        prefix_hash: None,
        parts: Vec::new(),
        deadline: SystemClock.uptime() + Duration::from_secs(30),
        idempotency_key: None,
    }
}

/// Time until the complete response of a direct call, or until the first event of a stream.
async fn call_direct(
    client: &awc::Client,
    url: &str,
    body: &'static str,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let sent = client.post(url).send_body(body).await;
    let mut response = sent.map_err(|error| anyhow!("{error}"))?;
    if body == STREAM_BODY {
        response.next().await.context("no event")??;
        let first = start.elapsed();
        while let Some(part) = response.next().await {
            part?;
        }
        return Ok(first);
    }
    response.body().await?;
    Ok(start.elapsed())
}

async fn call_through(caller: &HttpCaller, body: &'static str) -> anyhow::Result<Duration> {
    let start = Instant::now();
    if body == STREAM_BODY {
        let mut response = caller.stream(request(body)).await?;
        response.chunks.next().await.context("no event")??;
        let first = start.elapsed();
        while let Some(part) = response.chunks.next().await {
            part?;
        }
        return Ok(first);
    }
    caller.call(request(body)).await?;
    Ok(start.elapsed())
}

fn report(name: &str, times: &Histogram<u64>) {
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!(
        "{name:<16} p50 {p50:>6} us  p99 {p99:>6} us  calls {}",
        times.len()
    );
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

async fn measure(
    engine: &RunningEngine,
    caller: &HttpCaller,
    body: &'static str,
    calls: u32,
) -> anyhow::Result<()> {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let client = awc::Client::default();
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for number in 0..WARM_UP_CALLS + calls {
        let first = call_direct(&client, &url, body).await?;
        let second = call_through(caller, body).await?;
        if number >= WARM_UP_CALLS {
            direct.record(micros(first))?;
            through.record(micros(second))?;
        }
    }
    report("  direct", &direct);
    report("  through", &through);
    Ok(())
}

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let argument = std::env::args().nth(1);
    let calls = argument.map_or(Ok(DEFAULT_CALLS), |text| text.parse())?;
    let engine = EngineServer::start(EngineOptions::default())?;
    let (_preempt, preempted) = watch::channel(false);
    let dispatcher = TrivialDispatcher {
        address: engine.address(),
        preempted,
    };
    let caller = HttpCaller::new(
        config(),
        Arc::new(dispatcher),
        Arc::new(MemoryPlatform::default()),
        Arc::new(SystemClock),
        &opentelemetry::global::meter("latency"),
    );
    println!("buffered responses");
    measure(&engine, &caller, BODY, calls).await?;
    println!("first event of streams");
    measure(&engine, &caller, STREAM_BODY, calls).await?;
    engine.stop().await;
    Ok(())
}
