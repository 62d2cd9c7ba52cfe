//! Compares the loaded models of engines with the configuration and plans orders.

use crate::lease::LEASE_TERM;
use compact_str::CompactString;
use plantainmill_config::{FleetConfig, ServiceKind, TargetSpec};
use plantainmill_core::{DomainName, TargetId, Uptime};
use plantainmill_provider::{EngineOrder, LoadReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of the time from sending an order until it takes effect.
pub const ORDER_DELAY_LIMIT: Duration = Duration::from_secs(10);
/// Backoff after the first failed order to a target, doubled by each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_mins(2);

/// Latest report of an engine.
#[derive(Clone, Debug)]
pub struct TargetReport {
    /// Loaded models as reported by the engine.
    pub load: LoadReport,
    /// When the report was requested; it may describe any state of the engine from then on.
    pub requested_at: Uptime,
}

/// An order that is due to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Target whose engine receives the order.
    pub target: TargetId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Content of the order, with the lease epoch as fencing token.
    pub order: EngineOrder,
}

/// State of the orders to one target.
#[derive(Clone, Debug, Default)]
struct OrderState {
    in_flight: bool,
    /// After an order, no further order is sent until a report that was requested at or after this time arrives.
    verify_after: Option<Uptime>,
    failures: u32,
    not_before: Uptime,
}

/// Plans the orders to the engines of one failure domain.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    domain: DomainName,
    /// Minimum time between loads, from the domain's fixed share of the weight store's rate.
    load_interval: Duration,
    next_load: Uptime,
    order_states: BTreeMap<TargetId, OrderState>,
    reports: BTreeMap<TargetId, TargetReport>,
}

impl PlacementPlanner {
    /// Creates a planner for `domain` that plans at most one load per `load_interval`.
    #[must_use]
    pub fn new(domain: DomainName, load_interval: Duration) -> PlacementPlanner {
        PlacementPlanner {
            domain,
            load_interval,
            next_load: Uptime::ZERO,
            order_states: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Returns the targets of this domain that serve a model, whose engines have to be observed.
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

    /// Stores a report of an engine, which may allow the next order to it.
    pub fn observe(&mut self, target: &TargetId, report: TargetReport) {
        if let Some(order_state) = self.order_states.get_mut(target)
            && order_state
                .verify_after
                .is_some_and(|verify_after| report.requested_at >= verify_after)
        {
            order_state.verify_after = None;
        }
        self.reports.insert(target.clone(), report);
    }

    /// Discards the state of targets that are no longer configured.
    pub fn retain(&mut self, config: &FleetConfig) {
        self.order_states
            .retain(|target, _| config.targets.contains_key(target));
        self.reports
            .retain(|target, _| config.targets.contains_key(target));
    }

    /// Returns the orders to send now, at most one per target, and marks them as in flight. `epoch` and `acquired_at`
    /// are those of a lease that is currently held.
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

    /// Whether the engine is known to lack the model of its service. False for a leaving target.
    fn lacks_model(&self, id: &TargetId, target: &TargetSpec) -> bool {
        let report = self.reports.get(id);
        !target.leaving
            && report.is_some_and(|report| !report.load.models.contains(&target.service))
    }

    /// Whether an order to the target is safe and due now.
    fn may_order(
        &self,
        id: &TargetId,
        target: &TargetSpec,
        acquired_at: Uptime,
        now: Uptime,
    ) -> bool {
        // An engine that ignores fencing tokens could still receive an order of the previous controller, so the
        // previous lease and the maximum order delay must have elapsed first.
        if !target.checks_fencing && now < acquired_at + LEASE_TERM + ORDER_DELAY_LIMIT {
            return false;
        }
        let Some(order_state) = self.order_states.get(id) else {
            return true;
        };
        !order_state.in_flight
            && order_state.verify_after.is_none()
            && now >= order_state.not_before
    }

    fn start_order(
        &mut self,
        id: TargetId,
        target: &TargetSpec,
        epoch: u64,
        now: Uptime,
    ) -> PlannedOrder {
        let order_state = self.order_states.entry(id.clone()).or_default();
        order_state.in_flight = true;
        order_state.verify_after = Some(now + ORDER_DELAY_LIMIT);
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

    /// Records the outcome of an order. A lost response counts as a failure; the next report shows whether the order
    /// took effect.
    pub fn finish(&mut self, target: &TargetId, accepted: bool, now: Uptime) {
        let Some(order_state) = self.order_states.get_mut(target) else {
            return;
        };
        order_state.in_flight = false;
        if accepted {
            order_state.failures = 0;
            return;
        }
        let factor = 2_u32.saturating_pow(order_state.failures.min(16));
        order_state.failures += 1;
        order_state.not_before = now + INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
    }

    /// Postpones all loads by at least `wait` because the weight store asked for it.
    pub fn defer_loads(&mut self, wait: Duration, now: Uptime) {
        self.next_load = self.next_load.max(now + wait);
    }
}
