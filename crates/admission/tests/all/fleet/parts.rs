//! Random numbers, configurations and VMs of the simulated fleet, and the oracle for the bound.

use super::SimVm;
use plantainmill_admission::message::VmIncarnation;
use plantainmill_admission::state::{RateSettings, RateState};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{OrganisationId, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use plantainmill_mesh::MeshPeer;
use std::sync::Arc;

/// Deterministic random number generator (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct SimRng(pub u64);

impl SimRng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`, or zero if `limit` is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// Returns true with a probability of `percent` in 100.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Percentage of messages that each mesh fault affects.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeshFaults {
    pub lost: u64,
    pub duplicated: u64,
    /// Messages that are delayed by up to 15 s.
    pub late: u64,
}

/// Result of one rate check.
#[derive(Clone, Debug)]
pub struct Decision {
    pub time: Uptime,
    pub organisation: OrganisationId,
    /// Label of the request, unique within the fleet.
    pub label: u64,
    pub admitted: bool,
}

pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// Creates a configuration with organisations given as id, requests per second and burst.
pub fn config(version: u64, organisations: &[(&str, f64, u32)]) -> Arc<FleetConfig> {
    let entries = organisations.iter().map(|(id, rate, burst)| {
        let spec = OrganisationSpec {
            rate: *rate,
            burst: *burst,
            weight: 1,
        };
        (OrganisationId::from(*id), spec)
    });
    Arc::new(FleetConfig {
        version,
        organisations: Arc::new(entries.collect()),
        ..FleetConfig::default()
    })
}

pub(super) fn new_vm(
    id: VmId,
    domain: usize,
    incarnation: u64,
    slots: u16,
    config: &Arc<FleetConfig>,
) -> SimVm {
    let own = VmIncarnation {
        vm: id.clone(),
        incarnation,
    };
    let settings = RateSettings {
        slots_per_domain: slots,
        ..RateSettings::default()
    };
    let state = RateState::new(own, domain_name(domain).into(), settings);
    SimVm {
        id,
        domain,
        incarnation,
        slots,
        state,
        config: Arc::clone(config),
        down: false,
        paused_until: Uptime::ZERO,
    }
}

pub(super) fn member_of(vm: &SimVm, suspected: bool) -> Member {
    let state = if vm.down || suspected {
        MemberState::Dead
    } else {
        MemberState::Live
    };
    Member {
        peer: MeshPeer {
            id: vm.id.clone(),
            domain: domain_name(vm.domain).into(),
            region: "region".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        incarnation: vm.incarnation,
        state,
    }
}

/// Maximum number of requests admitted above `rate * window + burst` in any window. Zero or less is within the bound.
///
/// It is computed as the deficit of a token bucket that starts full and loses a token with each admission.
pub fn excess(decisions: &[Decision], organisation: &str, rate: f64, burst: u32) -> f64 {
    let mut times: Vec<Uptime> = decisions
        .iter()
        .filter(|decision| decision.admitted && decision.organisation == organisation)
        .map(|decision| decision.time)
        .collect();
    times.sort_unstable();
    let mut level = f64::from(burst);
    let mut last = Uptime::ZERO;
    let mut worst = f64::MIN;
    for time in times {
        let elapsed = time.checked_sub(last).unwrap().as_secs_f64();
        level = (level + rate * elapsed).min(f64::from(burst)) - 1.0;
        last = time;
        worst = worst.max(-level);
    }
    worst
}
