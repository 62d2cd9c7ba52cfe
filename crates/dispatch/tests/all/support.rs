//! Configurations and requests for the tests.

use compact_str::{CompactString, format_compact};
use plantainmill_config::FleetConfig;
use plantainmill_config::model::{OrganisationSpec, ServiceKind, ServiceSpec, TargetSpec};
use plantainmill_core::{RegionSet, Uptime};
use plantainmill_dispatch::{TicketRequest, TrafficClass};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Service that the requests of the tests address.
pub const SERVICE: &str = "assistant";

/// Returns a configuration with `count` targets `t0`, `t1`, … that each allow `concurrency` requests, all in domain
/// `d0` of region `r0`.
pub fn fleet(count: usize, concurrency: u32) -> FleetConfig {
    let mut config = FleetConfig {
        version: 1,
        ..FleetConfig::default()
    };
    let service = ServiceSpec {
        kind: ServiceKind::Model,
        open: false,
        repeatable: true,
        hedge: false,
        timeout_ms: 60_000,
        least_replicas: 1,
        most_replicas: 64,
    };
    Arc::make_mut(&mut config.services).insert(SERVICE.into(), service);
    for index in 0..count {
        let target = target_spec(index, concurrency, "d0", "r0");
        Arc::make_mut(&mut config.targets).insert(format_compact!("t{index}"), target);
    }
    config
}

/// Returns a target of [`SERVICE`]; `index` selects its port.
pub fn target_spec(index: usize, concurrency: u32, domain: &str, region: &str) -> TargetSpec {
    let port = 9_000 + u16::try_from(index).unwrap();
    TargetSpec {
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: domain.into(),
        region: region.into(),
        concurrency,
        checks_fencing: true,
        leaving: false,
    }
}

/// Returns a request with a deadline one minute after `now`.
pub fn request(class: TrafficClass, organisation: &str, now: Uptime) -> TicketRequest {
    TicketRequest {
        wait_limit: None,
        service: SERVICE.into(),
        organisation: Some(CompactString::from(organisation)),
        priority: 0,
        class,
        prefix_hash: None,
        parts: Vec::new(),
        fingerprint: None,
        version: None,
        barred: Vec::new(),
        spared: Vec::new(),
        deadline: now + Duration::from_mins(1),
        excluded: Vec::new(),
        regions: RegionSet::Everywhere,
        body_bytes: 1_000,
        is_retry: false,
        needs_idle_slot: false,
    }
}

/// Adds an organisation with the given weight in the fair queue.
pub fn add_organisation(config: &mut FleetConfig, id: &str, weight: u32) {
    let spec = OrganisationSpec {
        rate: 100.0,
        burst: 100,
        weight,
    };
    Arc::make_mut(&mut config.organisations).insert(id.into(), spec);
}
