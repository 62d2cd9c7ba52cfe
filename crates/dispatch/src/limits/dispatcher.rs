//! A dispatcher that keeps to the limits which targets name, in front of any other policy.

use super::cold::{ColdBounds, ColdFacts};
use super::ledger::{LimitEvent, LimitLedger, LimitedTarget};
use super::message::LimitReport;
use crate::dispatcher::{
    CallObserver, Dispatcher, TargetNeed, TargetTicket, TicketRequest, TrafficClass,
};
use crate::notice::{NoticeSource, ReportScope};
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{Clock, DomainName, Problem, ResultCode, TargetId, VmId};
use plantainmill_mesh::{decode_body, encode_body};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval at which a waiting request learns which targets are exhausted.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest wait of an item for a target that is not exhausted.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Shortest delay before a rejected request is repeated. Other VMs have shares of other targets.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Delay before a rejected request is repeated if this VM has no share of any target.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Tickets for exhausted targets after which a request is rejected.
const MAX_RETURNED_TICKETS: u32 = 3;

/// Limits of targets at one VM. Clones share the same state.
#[derive(Clone)]
pub struct TargetLimits {
    ledger: Arc<Mutex<LimitLedger>>,
    clock: Arc<dyn Clock>,
    rejections: Counter<u64>,
}

impl TargetLimits {
    /// The limits as `vm` knows them. Their instruments have names that begin with `prefix`.
    #[must_use]
    pub fn new(vm: &VmId, clock: Arc<dyn Clock>, meter: &Meter, prefix: &str) -> TargetLimits {
        let rejections = meter.u64_counter(format!("{prefix}limit_rejections"));
        let limits = TargetLimits {
            ledger: Arc::new(Mutex::new(LimitLedger::new(vm.clone()))),
            clock,
            rejections: rejections
                .with_description("Requests and items that found all targets at their limits")
                .build(),
        };
        let observed = limits.clone();
        let gauge = meter.u64_observable_gauge(format!("{prefix}limited_targets"));
        gauge
            .with_description("Targets that name a limit")
            .with_callback(move |observer| {
                let count = observed.lock().limited_count();
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
        let observed = limits.clone();
        let gauge = meter.u64_observable_gauge(format!("{prefix}cold_targets"));
        gauge
            .with_description("Targets that are cold")
            .with_callback(move |observer| {
                let count = observed.lock().cold_count(observed.clock.uptime());
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
        limits
    }

    /// Keeps to the rates of cold targets from now on, within these bounds.
    pub fn set_cold_bounds(&self, bounds: ColdBounds) {
        self.lock().set_cold_bounds(bounds);
    }

    /// Replaces what is known about the starts of all targets. To be called after [`TargetLimits::set_targets`].
    pub fn set_cold_facts(&self, facts: impl Iterator<Item = (TargetId, ColdFacts)>) {
        let events = self.lock().set_cold_facts(facts, self.clock.uptime());
        events.iter().for_each(log_event);
    }

    /// Replaces the VMs of the own failure domain that are known but may not have been heard.
    pub fn set_known(&self, known: Vec<VmId>) {
        self.lock().set_known(known);
    }

    fn lock(&self) -> MutexGuard<'_, LimitLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the targets.
    pub fn set_targets(&self, targets: impl Iterator<Item = LimitedTarget>) {
        self.lock().set_targets(targets, self.clock.uptime());
    }

    /// Replaces the live VMs of each failure domain, this one included.
    pub fn set_members(&self, members: BTreeMap<DomainName, Vec<VmId>>) {
        self.lock().set_members(members, self.clock.uptime());
    }

    /// Records the report of another VM.
    pub fn record_report(&self, report: &LimitReport) {
        let events = self.lock().record_report(report, self.clock.uptime());
        events.iter().for_each(log_event);
    }

    /// The report for other VMs.
    #[must_use]
    pub fn report(&self, scope: ReportScope) -> LimitReport {
        self.lock().report(scope, self.clock.uptime())
    }

    /// Limits and shares, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        self.lock().dump(self.clock.uptime())
    }

    fn record_response(&self, target: &TargetId, rate: Option<f64>) {
        let event = self
            .lock()
            .record_response(target, rate, self.clock.uptime());
        event.iter().for_each(log_event);
    }

    fn record_cold(&self, target: &TargetId, left: Duration) {
        self.lock().record_cold(target, left, self.clock.uptime());
    }

    /// Time until this VM may send the request to a target.
    fn next_free(&self, request: &TicketRequest) -> Option<Duration> {
        let now = self.clock.uptime();
        self.lock()
            .next_free(&request.service, &request.regions, now)
    }

    fn rejection(&self, class: TrafficClass, wait: Option<Duration>) -> Problem {
        let class = match class {
            TrafficClass::Online => "online",
            TrafficClass::Batch => "batch",
        };
        self.rejections.add(1, &[KeyValue::new("class", class)]);
        let retry_after = wait.map_or(NO_SHARE_RETRY_AFTER, |wait| wait.max(MIN_RETRY_AFTER));
        Problem::new(ResultCode::TargetLimited, "all targets are at their limits")
            .with_retry_after(retry_after)
    }
}

impl NoticeSource for TargetLimits {
    fn tick(&self) {
        let events = self.lock().tick(self.clock.uptime());
        events.iter().for_each(log_event);
    }

    fn has_news(&self, scope: ReportScope) -> bool {
        self.lock().has_news(scope, self.clock.uptime())
    }

    fn notice(&self, scope: ReportScope) -> Option<Bytes> {
        let report = self.report(scope);
        (!report.is_empty()).then(|| encode_body(&report))
    }

    fn record_notice(&self, content: &[u8]) -> bool {
        let report = decode_body::<LimitReport>(content);
        report
            .inspect(|report| self.record_report(report))
            .is_some()
    }
}

fn log_event(event: &LimitEvent) {
    match event {
        LimitEvent::Changed {
            target,
            rate,
            share,
        } => tracing::info!(event = "target_limit_changed", %target, limit = rate, share),
        LimitEvent::Cold {
            target,
            rate,
            left,
            share,
        } => {
            let left_ms = left.as_millis();
            tracing::info!(event = "target_cold", %target, rate, share, left_ms);
        }
        LimitEvent::Warm { target } => tracing::info!(event = "target_warm", %target),
    }
}

/// Passes on what the responses of a target say about its limit.
struct LimitObserver {
    limits: TargetLimits,
    target: TargetId,
}

impl CallObserver for LimitObserver {
    fn limit_named(&self, rate: Option<f64>) {
        self.limits.record_response(&self.target, rate);
    }

    fn cold_stated(&self, left: Duration) {
        self.limits.record_cold(&self.target, left);
    }
}

/// A dispatch policy that keeps to the limits which targets name.
pub struct LimitDispatcher {
    inner: Arc<dyn Dispatcher>,
    limits: TargetLimits,
}

impl LimitDispatcher {
    /// Puts `limits` in front of `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Dispatcher>, limits: TargetLimits) -> LimitDispatcher {
        LimitDispatcher { inner, limits }
    }

    async fn acquire_limited(&self, mut request: TicketRequest) -> Result<TargetTicket, Problem> {
        if request.needs_idle_slot {
            // What a limit allows is left to requests that are sent once.
            let limited = {
                let now = self.limits.clock.uptime();
                self.limits.lock().limited_targets(&request.service, now)
            };
            request.barred.extend(limited);
            return self.inner.acquire(request).await;
        }
        let mut returned = 0;
        loop {
            let service = &request.service;
            let now = self.limits.clock.uptime();
            let (exhausted, spared) = {
                let ledger = self.limits.lock();
                let mut exhausted = ledger.exhausted(service, request.class, now);
                let mut spared = ledger.spared(service, now);
                // The request cannot use the targets of other regions, whatever their limits.
                exhausted.retain(|target| ledger.is_allowed(target, &request.regions));
                spared.retain(|target| ledger.is_allowed(target, &request.regions));
                (exhausted, spared)
            };
            if exhausted.is_empty() && spared.is_empty() {
                let ticket = self.inner.acquire(request.clone()).await?;
                if let Some(ticket) = self.take(ticket) {
                    return Ok(ticket);
                }
            } else if let Some(ticket) = self
                .acquire_among_others(&request, exhausted, spared)
                .await?
            {
                return Ok(ticket);
            }
            if request.class == TrafficClass::Online {
                returned += 1;
                if returned >= MAX_RETURNED_TICKETS {
                    let wait = self.limits.next_free(&request);
                    return Err(self.limits.rejection(request.class, wait));
                }
            }
        }
    }

    /// Acquires a ticket for a target that is not exhausted. Returns `None` if it has to be tried again.
    async fn acquire_among_others(
        &self,
        request: &TicketRequest,
        exhausted: Vec<TargetId>,
        spared: Vec<TargetId>,
    ) -> Result<Option<TargetTicket>, Problem> {
        let wait = self.limits.next_free(request);
        if wait != Some(Duration::ZERO) {
            let limit = request.wait_limit.unwrap_or_default();
            return match (request.class, wait) {
                (TrafficClass::Online, Some(wait)) if wait <= limit => {
                    sleep(wait.max(MIN_WAIT)).await;
                    Ok(None)
                }
                (TrafficClass::Online, _) => Err(self.limits.rejection(request.class, wait)),
                (TrafficClass::Batch, _) => {
                    let wait = wait.unwrap_or(RECHECK_INTERVAL).min(RECHECK_INTERVAL);
                    sleep(wait.max(MIN_WAIT)).await;
                    Ok(None)
                }
            };
        }
        let mut limited = request.clone();
        limited.excluded.extend(exhausted.iter().cloned());
        limited.barred = exhausted;
        limited.spared = spared;
        let acquired = self.inner.acquire(limited);
        if request.class == TrafficClass::Online {
            return Ok(self.take(acquired.await?));
        }
        match timeout(RECHECK_INTERVAL, acquired).await {
            Ok(ticket) => Ok(self.take(ticket?)),
            Err(_) => Ok(None),
        }
    }

    /// Takes the permission to use the ticket, or returns the ticket.
    fn take(&self, ticket: TargetTicket) -> Option<TargetTicket> {
        let now = self.limits.clock.uptime();
        if !self.limits.lock().take(&ticket.target, now) {
            return None;
        }
        let observer = LimitObserver {
            limits: self.limits.clone(),
            target: ticket.target.clone(),
        };
        Some(ticket.with_observer(Arc::new(observer)))
    }
}

impl Dispatcher for LimitDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.acquire_limited(request).boxed_local()
    }

    fn has_other_target(&self, need: TargetNeed<'_>, current: &TargetId) -> bool {
        self.inner.has_other_target(need, current)
    }

    fn free_targets(&self, need: TargetNeed<'_>, barred: &[TargetId]) -> usize {
        let now = self.limits.clock.uptime();
        let ledger = self.limits.lock();
        let mut unusable = ledger.exhausted(need.service, TrafficClass::Batch, now);
        drop(ledger);
        unusable.extend(barred.iter().cloned());
        self.inner.free_targets(need, &unusable)
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        async {
            let mut dump = self.inner.dump().await;
            if let Some(fields) = dump.as_object_mut() {
                fields.insert("limits".to_owned(), self.limits.dump());
            }
            dump
        }
        .boxed_local()
    }
}
