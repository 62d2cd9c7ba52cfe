//! The local policy, by which each VM decides alone: a concurrency window per target, the less loaded of two random
//! targets, and one bounded queue per service and class.

use crate::dispatcher::{CallOutcome, TicketRequest, TrafficClass};
use crate::retry::RetryBudget;
use crate::window::ConcurrencyWindow;
use plantainmill_config::{FleetConfig, TargetSpec};
use plantainmill_core::{
    DomainName, Problem, RegionName, ResultCode, ServiceName, TargetId, Uptime,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest queue per service and class.
const QUEUE_LIMIT: usize = 1_024;
/// Delay after which a refused request may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a request, queued or not, within one [`LocalPolicy`].
pub type RequestId = u64;

/// Permission to send a request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalGrant {
    /// Request that may be sent.
    pub request_id: RequestId,
    /// Traffic class of the request.
    pub class: TrafficClass,
    /// Target that has room for it.
    pub target: TargetId,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
}

/// Decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LocalDecision {
    /// The request may be sent now.
    Granted(LocalGrant),
    /// The request is queued, until `expires` at the latest.
    Queued {
        /// Identifies the request in a later [`LocalGrant`].
        request_id: RequestId,
        /// When the caller has to withdraw it.
        expires: Uptime,
    },
    /// The request is refused; it was not sent.
    Refused(Problem),
}

#[derive(Debug)]
struct LocalTarget {
    spec: TargetSpec,
    window: ConcurrencyWindow,
    in_flight: u32,
}

#[derive(Debug)]
struct LocalWaiter {
    id: RequestId,
    excluded: Vec<TargetId>,
    expires: Uptime,
}

#[derive(Debug, Default)]
struct LocalService {
    online: VecDeque<LocalWaiter>,
    batch: VecDeque<LocalWaiter>,
    retries: RetryBudget,
}

/// State machine of the local policy; [`crate::LocalDispatcher`] drives it.
pub struct LocalPolicy {
    domain: DomainName,
    region: RegionName,
    config: Arc<FleetConfig>,
    targets: BTreeMap<TargetId, LocalTarget>,
    services: BTreeMap<ServiceName, LocalService>,
    random: SmallRng,
    next_request_id: RequestId,
}

impl LocalPolicy {
    /// A policy without targets for a VM in `domain` of `region`; `seed` fixes its random choices.
    #[must_use]
    pub fn new(domain: DomainName, region: RegionName, seed: u64) -> LocalPolicy {
        LocalPolicy {
            domain,
            region,
            config: Arc::default(),
            targets: BTreeMap::new(),
            services: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            next_request_id: 0,
        }
    }

    /// Applies a configuration. Targets that stay keep their windows and calls.
    pub fn apply_config(&mut self, config: Arc<FleetConfig>) {
        self.targets.retain(|id, _| config.targets.contains_key(id));
        for (id, spec) in config.targets.iter() {
            let target = self.targets.entry(id.clone());
            let target = target.or_insert_with(|| LocalTarget {
                spec: spec.clone(),
                window: ConcurrencyWindow::for_single_vm(spec.concurrency),
                in_flight: 0,
            });
            target.spec = spec.clone();
            target.window.set_ceiling(spec.concurrency);
        }
        self.config = config;
    }

    /// The configuration that was applied last.
    #[must_use]
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Decides on a new request: grants it, queues it or refuses it.
    pub fn submit(&mut self, request: &TicketRequest, now: Uptime) -> LocalDecision {
        if now >= request.deadline {
            let reason = "the deadline passed before the request was dispatched";
            return LocalDecision::Refused(Problem::new(ResultCode::DeadlinePassed, reason));
        }
        if !self.has_target(request) {
            let reason = format!("no available target for service {}", request.service);
            let problem = Problem::new(ResultCode::NoTarget, reason).with_retry_after(RETRY_AFTER);
            return LocalDecision::Refused(problem);
        }
        if let Some(problem) = self.spend_retry(request, now) {
            return LocalDecision::Refused(problem);
        }
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        if !self.would_overtake(request)
            && let Some(target) = self.choose(&request.service, &request.excluded)
        {
            return LocalDecision::Granted(self.grant(request_id, request.class, target));
        }
        self.enqueue(request, request_id, now)
    }

    /// Removes a request from the queue of its service.
    pub fn withdraw(&mut self, service: &str, request_id: RequestId) {
        if let Some(service) = self.services.get_mut(service) {
            service.online.retain(|each| each.id != request_id);
            service.batch.retain(|each| each.id != request_id);
        }
    }

    /// Records the outcome of a call, and returns the queued requests that may be sent now.
    pub fn finish(
        &mut self,
        target: &TargetId,
        outcome: CallOutcome,
        now: Uptime,
    ) -> Vec<LocalGrant> {
        let Some(entry) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        match outcome {
            CallOutcome::Completed { first_byte } => {
                entry.window.on_first_byte(first_byte, entry.in_flight, now);
            }
            CallOutcome::ConnectionLost
            | CallOutcome::StreamLost
            | CallOutcome::Failed
            | CallOutcome::Rejected => {
                entry.window.on_rejected(now);
            }
            CallOutcome::Abandoned => {}
        }
        entry.in_flight = entry.in_flight.saturating_sub(1);
        let service = entry.spec.service.clone();
        self.grant_waiting(&service, now)
    }

    /// Windows and queue lengths, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let targets = self.targets.iter().map(|(id, target)| {
            let row = serde_json::json!({
                "in_flight": target.in_flight,
                "window": target.window.size(),
            });
            (id.to_string(), row)
        });
        let queues = self.services.iter().map(|(name, service)| {
            let row = serde_json::json!({
                "online": service.online.len(),
                "batch": service.batch.len(),
            });
            (name.to_string(), row)
        });
        serde_json::json!({
            "policy": "local",
            "targets": targets.collect::<serde_json::Map<_, _>>(),
            "queues": queues.collect::<serde_json::Map<_, _>>(),
        })
    }

    fn has_target(&self, request: &TicketRequest) -> bool {
        let mut targets = self.config.targets_of(&request.service);
        targets.any(|(id, spec)| !spec.leaving && !request.excluded.contains(id))
    }

    fn spend_retry(&mut self, request: &TicketRequest, now: Uptime) -> Option<Problem> {
        let percent = self.config.defaults.retry_budget_percent;
        let service = self.services.entry(request.service.clone()).or_default();
        if !request.is_retry {
            service.retries.record_request(now);
            return None;
        }
        if service.retries.try_retry(percent, now) {
            return None;
        }
        let reason = "the retry budget of the service is exhausted";
        Some(Problem::new(ResultCode::QueueFull, reason).with_retry_after(RETRY_AFTER))
    }

    /// Whether a grant would overtake an earlier request of the same or a higher class.
    fn would_overtake(&self, request: &TicketRequest) -> bool {
        self.services.get(&request.service).is_some_and(|service| {
            let online_waits = !service.online.is_empty();
            let batch_waits = request.class == TrafficClass::Batch && !service.batch.is_empty();
            online_waits || batch_waits
        })
    }

    fn enqueue(
        &mut self,
        request: &TicketRequest,
        request_id: RequestId,
        now: Uptime,
    ) -> LocalDecision {
        let max_wait = Duration::from_millis(self.config.defaults.queue_wait_ms);
        let service = self.services.entry(request.service.clone()).or_default();
        let (queue, expires) = match request.class {
            TrafficClass::Online => (&mut service.online, request.deadline.min(now + max_wait)),
            TrafficClass::Batch => (&mut service.batch, request.deadline),
        };
        if queue.len() >= QUEUE_LIMIT {
            let problem = Problem::new(ResultCode::QueueFull, "the queue of the service is full");
            return LocalDecision::Refused(problem.with_retry_after(RETRY_AFTER));
        }
        queue.push_back(LocalWaiter {
            id: request_id,
            excluded: request.excluded.clone(),
            expires,
        });
        LocalDecision::Queued {
            request_id,
            expires,
        }
    }

    /// The less loaded of two random targets in the nearest tier that has room. Tiers are the own failure domain, the
    /// own region, and other regions.
    fn choose(&mut self, service: &str, excluded: &[TargetId]) -> Option<TargetId> {
        let mut nearest = u8::MAX;
        let mut candidates = Vec::new();
        for (id, target) in &self.targets {
            let usable = target.spec.service == service
                && !target.spec.leaving
                && target.in_flight < target.window.size()
                && !excluded.contains(id);
            let tier = self.tier(&target.spec);
            if !usable || tier > nearest {
                continue;
            }
            if tier < nearest {
                nearest = tier;
                candidates.clear();
            }
            candidates.push((id, target.in_flight));
        }
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        let chosen = if second.1 < first.1 { second } else { first };
        Some(chosen.0.clone())
    }

    fn tier(&self, spec: &TargetSpec) -> u8 {
        if spec.domain == self.domain {
            0
        } else if spec.region == self.region {
            1
        } else {
            2
        }
    }

    fn grant(
        &mut self,
        request_id: RequestId,
        class: TrafficClass,
        target: TargetId,
    ) -> LocalGrant {
        let entry = self.targets.get_mut(&target);
        let address = entry.map(|entry| {
            entry.in_flight += 1;
            entry.spec.address
        });
        LocalGrant {
            request_id,
            class,
            target,
            // A chosen target is always in the table, so the default is never used.
            address: address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        }
    }

    fn grant_waiting(&mut self, service: &str, now: Uptime) -> Vec<LocalGrant> {
        let mut grants = Vec::new();
        while let Some((class, waiter)) = self.pop_waiter(service, now) {
            let Some(target) = self.choose(service, &waiter.excluded) else {
                self.restore_waiter(service, class, waiter);
                break;
            };
            grants.push(self.grant(waiter.id, class, target));
        }
        grants
    }

    fn pop_waiter(&mut self, service: &str, now: Uptime) -> Option<(TrafficClass, LocalWaiter)> {
        let service = self.services.get_mut(service)?;
        service.online.retain(|each| now < each.expires);
        service.batch.retain(|each| now < each.expires);
        let online = service.online.pop_front();
        let online = online.map(|waiter| (TrafficClass::Online, waiter));
        online.or_else(|| {
            let batch = service.batch.pop_front();
            batch.map(|waiter| (TrafficClass::Batch, waiter))
        })
    }

    fn restore_waiter(&mut self, service: &str, class: TrafficClass, waiter: LocalWaiter) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        match class {
            TrafficClass::Online => service.online.push_front(waiter),
            TrafficClass::Batch => service.batch.push_front(waiter),
        }
    }
}
