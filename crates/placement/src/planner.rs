//! Compares what engines have loaded with what they should have, and plans orders.

use crate::lease::LEASE_TERM;
use compact_str::CompactString;
use plantainmill_config::{FleetConfig, ServiceKind, TargetSpec};
use plantainmill_core::{DomainName, TargetId, Uptime};
use plantainmill_provider::{EngineOrder, LoadReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time between sending an order and its effect.
pub const ORDER_DELAY_LIMIT: Duration = Duration::from_secs(10);
/// Wait after the first failed order to a target; doubled at each further one.
const BACKOFF_FIRST: Duration = Duration::from_secs(2);
/// Longest wait after failed orders.
const BACKOFF_LIMIT: Duration = Duration::from_mins(2);

/// What an engine last reported, and when.
#[derive(Clone, Debug)]
pub struct TargetReport {
    /// The report.
    pub load: LoadReport,
    /// Time at which it was asked for.
    pub asked_at: Uptime,
}

/// An order to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// The order.
    pub order: EngineOrder,
}

/// Orders sent to one target.
#[derive(Clone, Debug, Default)]
struct OrderTrack {
    in_flight: bool,
    /// An order was sent and no report asked for after it has come yet.
    verify_after: Option<Uptime>,
    failures: u32,
    not_before: Uptime,
}

/// Plans the orders of one failure domain.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    domain: DomainName,
    /// Time between loads, the domain's fixed share of the weight store's rate.
    load_interval: Duration,
    next_load: Uptime,
    tracks: BTreeMap<TargetId, OrderTrack>,
    reports: BTreeMap<TargetId, TargetReport>,
}

impl PlacementPlanner {
    /// A planner for `domain` that starts one load per `load_interval`.
    #[must_use]
    pub fn new(domain: DomainName, load_interval: Duration) -> PlacementPlanner {
        PlacementPlanner {
            domain,
            load_interval,
            next_load: Uptime::ZERO,
            tracks: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Engines of this domain whose state has to be observed.
    pub fn engines<'a>(
        &'a self,
        config: &'a FleetConfig,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetSpec)> {
        config.targets.iter().filter(move |(_, target)| {
            let service = config.services.get(&target.service);
            let is_model = service.is_some_and(|service| service.kind == ServiceKind::Model);
            is_model && target.domain == self.domain
        })
    }

    /// Takes a report of an engine.
    pub fn observe(&mut self, target: &TargetId, report: TargetReport) {
        if let Some(track) = self.tracks.get_mut(target)
            && track
                .verify_after
                .is_some_and(|since| report.asked_at >= since)
        {
            track.verify_after = None;
        }
        self.reports.insert(target.clone(), report);
    }

    /// Forgets targets that are no longer configured.
    pub fn retain(&mut self, config: &FleetConfig) {
        self.tracks
            .retain(|target, _| config.targets.contains_key(target));
        self.reports
            .retain(|target, _| config.targets.contains_key(target));
    }

    /// Orders to send now, at most one per target. `epoch` and `acquired_at` come from a lease that holds.
    pub fn plan(
        &mut self,
        config: &FleetConfig,
        epoch: u64,
        acquired_at: Uptime,
        now: Uptime,
    ) -> Vec<PlannedOrder> {
        let engines: Vec<(TargetId, TargetSpec)> = self
            .engines(config)
            .map(|(id, target)| (id.clone(), target.clone()))
            .collect();
        let mut orders = Vec::new();
        for (id, target) in engines {
            if now < self.next_load {
                break;
            }
            if !self.may_order(&id, &target, acquired_at, now) || !self.lacks_model(&id, &target) {
                continue;
            }
            self.next_load = now + self.load_interval;
            orders.push(self.start_order(id, &target, epoch, now));
        }
        orders
    }

    /// Whether the target's engine is known to lack the model of its service.
    fn lacks_model(&self, id: &TargetId, target: &TargetSpec) -> bool {
        let report = self.reports.get(id);
        !target.leaving
            && report.is_some_and(|report| !report.load.models.contains(&target.service))
    }

    /// Whether an order to the target is safe now.
    fn may_order(
        &self,
        id: &TargetId,
        target: &TargetSpec,
        acquired_at: Uptime,
        now: Uptime,
    ) -> bool {
        // An engine that ignores the fencing number could still get an order of the previous controller,
        // so its lease and the longest delay of an order are waited out first.
        if !target.checks_fencing && now < acquired_at + LEASE_TERM + ORDER_DELAY_LIMIT {
            return false;
        }
        let Some(track) = self.tracks.get(id) else {
            return true;
        };
        !track.in_flight && track.verify_after.is_none() && now >= track.not_before
    }

    fn start_order(
        &mut self,
        id: TargetId,
        target: &TargetSpec,
        epoch: u64,
        now: Uptime,
    ) -> PlannedOrder {
        let track = self.tracks.entry(id.clone()).or_default();
        track.in_flight = true;
        track.verify_after = Some(now + ORDER_DELAY_LIMIT);
        PlannedOrder {
            target: id,
            address: target.address,
            order: EngineOrder {
                load: true,
                model: CompactString::from(target.service.as_str()),
                fencing: epoch,
            },
        }
    }

    /// Records the end of an order. A lost answer counts as a failure; the next report tells what happened.
    pub fn finish(&mut self, target: &TargetId, accepted: bool, now: Uptime) {
        let Some(track) = self.tracks.get_mut(target) else {
            return;
        };
        track.in_flight = false;
        if accepted {
            track.failures = 0;
            return;
        }
        let factor = 2_u32.saturating_pow(track.failures.min(16));
        track.failures += 1;
        track.not_before = now + BACKOFF_FIRST.saturating_mul(factor).min(BACKOFF_LIMIT);
    }

    /// Puts off all loads when the weight store refuses.
    pub fn defer_loads(&mut self, wait: Duration, now: Uptime) {
        self.next_load = self.next_load.max(now + wait);
    }
}
