//! Engines and plain services of a development fleet.

use compact_str::{CompactString, format_compact};
use plantainmill_fakes::{EngineKind, EngineOptions, EngineServer, RunningEngine};
use std::net::SocketAddr;
use std::time::Duration;

/// Region of all VMs and targets.
pub(crate) const REGION: &str = "central";
/// Failure domains that VMs and targets alternate between.
pub(crate) const DOMAINS: [&str; 2] = ["central-a", "central-b"];
/// Requests that an engine decodes together.
const ENGINE_CAPACITY: u32 = 16;
/// Share by which a decode step is longer at full width than alone.
const WIDTH_SLOPE: f64 = 0.5;
/// Prefill time per token of the prompt.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);
/// Age of what engines report.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// Targets of the plain service `charges`.
const CHARGES_COUNT: usize = 2;

/// A target as the fleet file describes it.
pub(crate) struct DevTarget {
    pub(crate) id: CompactString,
    pub(crate) service: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) domain: &'static str,
    pub(crate) region: &'static str,
    pub(crate) concurrency: u32,
    pub(crate) server: RunningEngine,
}

/// Starts all targets.
pub(crate) fn start(engines: usize, decode_per_token: Duration) -> anyhow::Result<Vec<DevTarget>> {
    let mut targets = Vec::new();
    for index in 0..engines {
        let options = EngineOptions {
            models: vec!["assistant".into()],
            prefill_per_token: PREFILL_PER_TOKEN,
            decode_per_token,
            capacity: ENGINE_CAPACITY,
            width_slope: WIDTH_SLOPE,
            load_lag: LOAD_LAG,
            ..EngineOptions::default()
        };
        targets.push(start_one("assistant", index, options)?);
    }
    for (service, count) in [("charges", CHARGES_COUNT), ("hours", 1)] {
        for index in 0..count {
            let options = EngineOptions {
                kind: EngineKind::Plain,
                ..EngineOptions::default()
            };
            targets.push(start_one(service, index, options)?);
        }
    }
    Ok(targets)
}

fn start_one(
    service: &'static str,
    index: usize,
    options: EngineOptions,
) -> anyhow::Result<DevTarget> {
    let server = EngineServer::start(options)?;
    Ok(DevTarget {
        id: format_compact!("{service}-{}", index + 1),
        service,
        address: server.address(),
        domain: DOMAINS[index % DOMAINS.len()],
        region: REGION,
        concurrency: ENGINE_CAPACITY,
        server,
    })
}
