//! A dispatcher that rejects quarantined requests and those with quarantined prompt parts, in front of any other policy.

use super::ledger::PartLedger;
use super::message::{PartReport, QuarantineEntry, QuarantineKind};
use super::state::{CallParts, QuarantineChanges, QuarantineEvent};
use crate::dispatcher::{
    CallObserver, CallOutcome, Dispatcher, TargetNeed, TargetTicket, TicketRequest, TrafficClass,
};
use crate::notice::{NoticeSource, ReportScope};
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{
    Clock, PartId, Problem, RequestHash, ResultCode, ServiceName, TargetId, VmId,
};
use plantainmill_mesh::{decode_body, encode_body};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Quarantine of prompt parts and requests at one VM. Clones share the same state.
#[derive(Clone)]
pub struct PartQuarantine {
    ledger: Arc<Mutex<PartLedger>>,
    clock: Arc<dyn Clock>,
    losses: Counter<u64>,
    stream_losses: Counter<u64>,
    rejections: Counter<u64>,
}

impl PartQuarantine {
    /// The quarantine of `vm`. Its instruments have names that begin with `prefix`.
    #[must_use]
    pub fn new(vm: &VmId, clock: Arc<dyn Clock>, meter: &Meter, prefix: &str) -> PartQuarantine {
        let counter = |name: &str, description: &'static str| {
            let builder = meter.u64_counter(format!("{prefix}{name}"));
            builder.with_description(description).build()
        };
        let quarantine = PartQuarantine {
            ledger: Arc::new(Mutex::new(PartLedger::new(vm))),
            clock,
            losses: counter(
                "lost_calls",
                "Calls whose connection was lost before the first event",
            ),
            stream_losses: counter(
                "lost_streams",
                "Calls whose connection was lost after the first event",
            ),
            rejections: counter(
                "quarantine_rejections",
                "Requests rejected as quarantined, or for a quarantined prompt part",
            ),
        };
        let gauges = [
            ("quarantined_parts", "Prompt parts in quarantine", true),
            (
                "quarantined_requests",
                "Requests and items in quarantine",
                false,
            ),
        ];
        for (name, description, counts_parts) in gauges {
            let observed = quarantine.clone();
            meter
                .u64_observable_gauge(format!("{prefix}{name}"))
                .with_description(description)
                .with_callback(move |observer| {
                    let now = observed.clock.uptime();
                    let count = observed.lock().quarantined_count(counts_parts, now);
                    observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
                })
                .build();
        }
        quarantine
    }

    /// Takes the decisions of this VM that are not stored yet.
    #[must_use]
    pub fn take_changes(&self) -> QuarantineChanges {
        self.lock().take_changes(self.clock.uptime())
    }

    /// Gives back decisions that could not be stored.
    pub fn restore_changes(&self, changes: &QuarantineChanges) {
        self.lock().restore_changes(changes);
    }

    /// Takes up a quarantine that was stored before this VM started.
    pub fn restore(&self, entry: QuarantineEntry) {
        let events = self.lock().restore(entry, self.clock.uptime());
        log_events(&events);
    }

    fn lock(&self) -> MutexGuard<'_, PartLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the report of another VM.
    pub fn record_report(&self, report: &PartReport) {
        let events = self.lock().record_report(report, self.clock.uptime());
        log_events(&events);
    }

    /// The report for other VMs.
    #[must_use]
    pub fn report(&self, scope: ReportScope) -> PartReport {
        self.lock().report(scope, self.clock.uptime())
    }

    /// Parts with losses and parts in quarantine, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        self.lock().dump(self.clock.uptime())
    }

    fn check(&self, request: &RequestParts) -> Result<(), Problem> {
        let now = self.clock.uptime();
        let ledger = self.lock();
        let checked = ledger.check(&request.parts, request.fingerprint, request.class, now);
        checked.map_err(|rejection| {
            let class = match request.class {
                TrafficClass::Online => "online",
                TrafficClass::Batch => "batch",
            };
            let (kind, code) = match rejection.kind {
                QuarantineKind::Part => ("prompt part", ResultCode::PartQuarantined),
                QuarantineKind::Request | QuarantineKind::Item => {
                    ("request", ResultCode::RequestQuarantined)
                }
            };
            self.rejections.add(1, &[KeyValue::new("class", class)]);
            let reason = format!("targets were lost under {kind} {:016x}", rejection.part);
            Problem::new(code, reason).with_retry_after(rejection.retry_after)
        })
    }

    /// Wraps a ticket so that the beginning and the end of its call are recorded.
    fn observe(&self, mut ticket: TargetTicket, request: RequestParts) -> TargetTicket {
        let now = self.clock.uptime();
        self.lock()
            .record_send(&request.parts, request.fingerprint, now);
        let call = CallParts {
            parts: request.parts,
            fingerprint: request.fingerprint,
            service: request.service,
            target: ticket.target.clone(),
            sent_at: now,
            class: request.class,
        };
        let (target, address) = (ticket.target.clone(), ticket.address);
        let (region, version) = (ticket.region.take(), ticket.version.take());
        let preempted = ticket.preempted.clone();
        let observer = StartObserver {
            quarantine: self.clone(),
            call: call.clone(),
        };
        let observers = ticket.take_observers();
        let finishing = self.clone();
        let on_finish = Box::new(move |outcome| {
            finishing.finish(&call, outcome);
            // Targets and peers of other policies know no lost connections.
            let outcome = match outcome {
                CallOutcome::ConnectionLost | CallOutcome::StreamLost => CallOutcome::Failed,
                other => other,
            };
            ticket.finish(outcome);
        });
        let wrapped = TargetTicket::new(target, address, region, preempted, on_finish);
        let wrapped = wrapped.with_version(version);
        let wrapped = observers
            .into_iter()
            .fold(wrapped, TargetTicket::with_observer);
        wrapped.with_observer(Arc::new(observer))
    }

    fn start(&self, call: &CallParts) {
        let events = self.lock().record_start(call, self.clock.uptime());
        log_events(&events);
    }

    fn finish(&self, call: &CallParts, outcome: CallOutcome) {
        let now = self.clock.uptime();
        let mut ledger = self.lock();
        let events = match outcome {
            CallOutcome::Completed { .. } => ledger.record_completion(call, now),
            CallOutcome::ConnectionLost => {
                self.losses.add(1, &[]);
                ledger.record_loss(call, now)
            }
            CallOutcome::StreamLost => {
                self.stream_losses.add(1, &[]);
                ledger.record_stream_loss(call, now)
            }
            CallOutcome::Failed | CallOutcome::Rejected | CallOutcome::Abandoned => Vec::new(),
        };
        ledger.record_end(call);
        drop(ledger);
        log_events(&events);
    }
}

impl NoticeSource for PartQuarantine {
    fn tick(&self) {
        let events = self.lock().tick(self.clock.uptime());
        log_events(&events);
    }

    fn has_news(&self, scope: ReportScope) -> bool {
        self.lock().has_news(scope, self.clock.uptime())
    }

    fn notice(&self, scope: ReportScope) -> Option<Bytes> {
        let report = self.report(scope);
        (!report.is_empty()).then(|| encode_body(&report))
    }

    fn record_notice(&self, content: &[u8]) -> bool {
        let report = decode_body::<PartReport>(content);
        report
            .inspect(|report| self.record_report(report))
            .is_some()
    }
}

/// Records the beginning of an answer.
struct StartObserver {
    quarantine: PartQuarantine,
    call: CallParts,
}

impl CallObserver for StartObserver {
    fn call_started(&self) {
        self.quarantine.start(&self.call);
    }
}

/// What of a request the quarantine needs after the inner policy has taken it.
struct RequestParts {
    parts: Vec<PartId>,
    fingerprint: Option<RequestHash>,
    service: ServiceName,
    class: TrafficClass,
}

fn log_events(events: &[QuarantineEvent]) {
    for event in events {
        match event {
            QuarantineEvent::Started {
                part,
                kind: QuarantineKind::Part,
                level,
                duration,
                is_adopted,
            } => tracing::warn!(
                event = "part_quarantined",
                part = format!("{part:016x}"),
                level,
                duration_s = duration.as_secs(),
                adopted = is_adopted,
                "targets were lost one after the other under a prompt part; requests with it are rejected"
            ),
            QuarantineEvent::Started {
                part,
                kind,
                level,
                duration,
                is_adopted,
            } => tracing::warn!(
                event = "request_quarantined",
                fingerprint = format!("{part:016x}"),
                ?kind,
                level,
                duration_s = duration.as_secs(),
                adopted = is_adopted,
                "targets were lost one after the other under a request; it is rejected when it comes again"
            ),
            QuarantineEvent::Lifted { part } => {
                tracing::info!(event = "quarantine_lifted", part = format!("{part:016x}"));
            }
            QuarantineEvent::Expired { part } => {
                tracing::info!(event = "quarantine_expired", part = format!("{part:016x}"));
            }
        }
    }
}

/// A dispatch policy behind a quarantine of prompt parts.
pub struct QuarantineDispatcher {
    inner: Arc<dyn Dispatcher>,
    quarantine: PartQuarantine,
}

impl QuarantineDispatcher {
    /// Puts `quarantine` in front of `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Dispatcher>, quarantine: PartQuarantine) -> QuarantineDispatcher {
        QuarantineDispatcher { inner, quarantine }
    }

    async fn acquire_checked(&self, request: TicketRequest) -> Result<TargetTicket, Problem> {
        let parts = RequestParts {
            parts: request.parts.clone(),
            fingerprint: request.fingerprint,
            service: request.service.clone(),
            class: request.class,
        };
        self.quarantine.check(&parts)?;
        let ticket = self.inner.acquire(request).await?;
        // The part or the request may have been quarantined while it waited.
        self.quarantine.check(&parts)?;
        Ok(self.quarantine.observe(ticket, parts))
    }
}

impl Dispatcher for QuarantineDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.acquire_checked(request).boxed_local()
    }

    fn has_other_target(&self, need: TargetNeed<'_>, current: &TargetId) -> bool {
        self.inner.has_other_target(need, current)
    }

    fn free_targets(&self, need: TargetNeed<'_>, barred: &[TargetId]) -> usize {
        self.inner.free_targets(need, barred)
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        async {
            let mut dump = self.inner.dump().await;
            if let Some(fields) = dump.as_object_mut() {
                fields.insert("quarantine".to_owned(), self.quarantine.dump());
            }
            dump
        }
        .boxed_local()
    }
}
