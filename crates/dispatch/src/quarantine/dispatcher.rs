//! A dispatcher that rejects requests with quarantined prompt parts, in front of any other policy.

use super::ledger::{CallParts, PartLedger, QuarantineEvent};
use super::message::PartReport;
use crate::dispatcher::{
    CallObserver, CallOutcome, Dispatcher, TargetTicket, TicketRequest, TrafficClass,
};
use crate::notice::{NoticeSource, ReportScope};
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{Clock, PartId, Problem, RequestHash, ResultCode, ServiceName, VmId};
use plantainmill_mesh::{decode_body, encode_body};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Quarantine of prompt parts at one VM. Clones share the same state.
#[derive(Clone)]
pub struct PartQuarantine {
    ledger: Arc<Mutex<PartLedger>>,
    clock: Arc<dyn Clock>,
    losses: Counter<u64>,
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
            rejections: counter(
                "quarantine_rejections",
                "Requests rejected for a quarantined prompt part",
            ),
        };
        let observed = quarantine.clone();
        let gauge = meter.u64_observable_gauge(format!("{prefix}quarantined_parts"));
        gauge
            .with_description("Prompt parts in quarantine")
            .with_callback(move |observer| {
                let now = observed.clock.uptime();
                let count = observed.lock().quarantined_count(now);
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
        quarantine
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

    fn check(&self, parts: &[PartId], class: TrafficClass) -> Result<(), Problem> {
        let checked = self.lock().check(parts, self.clock.uptime());
        checked.map_err(|(part, retry_after)| {
            let class = match class {
                TrafficClass::Online => "online",
                TrafficClass::Batch => "batch",
            };
            self.rejections.add(1, &[KeyValue::new("class", class)]);
            let reason = format!("targets were lost under prompt part {part:016x}");
            Problem::new(ResultCode::PartQuarantined, reason).with_retry_after(retry_after)
        })
    }

    /// Wraps a ticket so that the beginning and the end of its call are recorded.
    fn observe(&self, mut ticket: TargetTicket, request: RequestParts) -> TargetTicket {
        let now = self.clock.uptime();
        self.lock().record_send(&request.parts, now);
        let call = CallParts {
            parts: request.parts,
            fingerprint: request.fingerprint,
            service: request.service,
            target: ticket.target.clone(),
            sent_at: now,
        };
        let (target, address) = (ticket.target.clone(), ticket.address);
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
        let wrapped = TargetTicket::new(target, address, preempted, on_finish);
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
            CallOutcome::Completed { .. } => ledger.record_start(call, now),
            CallOutcome::ConnectionLost => {
                self.losses.add(1, &[]);
                ledger.record_loss(call, now)
            }
            CallOutcome::StreamLost
            | CallOutcome::Failed
            | CallOutcome::Rejected
            | CallOutcome::Abandoned => Vec::new(),
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
}

fn log_events(events: &[QuarantineEvent]) {
    for event in events {
        match event {
            QuarantineEvent::Started {
                part,
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
        };
        let class = request.class;
        self.quarantine.check(&parts.parts, class)?;
        let ticket = self.inner.acquire(request).await?;
        // The part may have been quarantined while the request waited.
        self.quarantine.check(&parts.parts, class)?;
        Ok(self.quarantine.observe(ticket, parts))
    }
}

impl Dispatcher for QuarantineDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.acquire_checked(request).boxed_local()
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
