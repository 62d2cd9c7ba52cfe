//! The shared policy behind the [`Dispatcher`] interface.

use super::leaving::LeavingReport;
use super::ledger::{LedgerEffect, LoadLedger, RequestId};
use super::peers::{LoadSource, PeerLoad};
use super::stated::{StatedEntry, StatedScope, StatedSource, TargetStatement};
use super::target::RefusalCause;
use crate::dispatcher::{
    CallObserver, CallOutcome, Dispatcher, TargetNeed, TargetTicket, TicketRequest,
};
use crate::notice::{NoticeSource, ReportScope};
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use plantainmill_core::{
    Clock, DomainName, Problem, RegionName, RegionSet, ResultCode, TargetId, VersionName, VmId,
};
use plantainmill_mesh::{decode_body, encode_body};
use plantainmill_routing::TargetEntry;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};

/// Dependencies of a [`SharedDispatcher`].
pub struct SharedParts {
    /// Identifier of this VM, as its peers know it.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Region of this VM; targets of other regions are the most distant ones.
    pub region: RegionName,
    /// Region of each failure domain. Targets of unlisted domains count as in another region.
    pub regions: HashMap<DomainName, RegionName>,
    /// Clock of all waits and expiries.
    pub clock: Arc<dyn Clock>,
}

enum SlotDecision {
    Granted {
        target: TargetId,
        address: SocketAddr,
        region: Option<RegionName>,
        version: VersionName,
        born: u64,
        preempted: watch::Receiver<bool>,
    },
    Refused {
        retry_after: Duration,
        cause: RefusalCause,
    },
}

struct SharedState {
    ledger: LoadLedger,
    waiting: HashMap<RequestId, oneshot::Sender<SlotDecision>>,
    preempt_signals: HashMap<RequestId, watch::Sender<bool>>,
}

struct SharedInner {
    state: Mutex<SharedState>,
    clock: Arc<dyn Clock>,
    report_request: Notify,
    load_change: Notify,
    wait_start: Notify,
}

/// The shared policy, by which VMs use targets on the basis of load reports. Clones share the same state.
#[derive(Clone)]
pub struct SharedDispatcher {
    inner: Arc<SharedInner>,
}

impl SharedDispatcher {
    /// A dispatcher without targets; see [`SharedDispatcher::set_targets`].
    #[must_use]
    pub fn new(parts: SharedParts) -> SharedDispatcher {
        let ledger = LoadLedger::new(parts.vm, parts.domain, parts.region, parts.regions);
        let state = SharedState {
            ledger,
            waiting: HashMap::new(),
            preempt_signals: HashMap::new(),
        };
        SharedDispatcher {
            inner: Arc::new(SharedInner {
                state: Mutex::new(state),
                clock: parts.clock,
                report_request: Notify::new(),
                load_change: Notify::new(),
                wait_start: Notify::new(),
            }),
        }
    }

    /// Replaces the targets that may receive new requests. Those that stay keep their calls and backoff.
    pub fn set_targets<'a>(&self, entries: impl Iterator<Item = &'a TargetEntry>) {
        self.inner.lock().ledger.set_targets(entries);
    }

    /// Applies changes of the targets that may receive new requests: those in `removed` no longer do, and those in `changed`
    /// do so as described there.
    pub fn change_targets<'a>(
        &self,
        changed: impl Iterator<Item = &'a TargetEntry>,
        removed: impl Iterator<Item = &'a TargetId>,
    ) {
        let mut state = self.inner.lock();
        state.ledger.change_targets(changed, removed);
    }

    /// States whether load reports arrive through relays, later than direct ones.
    pub fn set_late_reports(&self, has_late_reports: bool) {
        self.inner.lock().ledger.set_late_reports(has_late_reports);
    }

    /// Records load reports that arrived together, and preempts or grants accordingly.
    pub fn record_reports(&self, reports: Vec<(LoadSource, PeerLoad)>) {
        let now = self.inner.clock.uptime();
        let mut state = self.inner.lock();
        let effects = state.ledger.record_reports(reports, now);
        self.inner.apply_effects(&mut state, effects);
    }

    /// Removes the report of a peer that has stopped, so that its calls no longer count.
    pub fn remove_peer(&self, peer: &LoadSource) {
        self.inner.lock().ledger.remove_peer(peer);
    }

    /// Expires the reports of peers that stopped sending them, and grants or refuses waiting requests. Has to be called
    /// every few tens of milliseconds.
    pub fn tick(&self) {
        let now = self.inner.clock.uptime();
        let mut state = self.inner.lock();
        let effects = state.ledger.tick(now);
        self.inner.apply_effects(&mut state, effects);
    }

    /// The load report of this VM to its peers.
    #[must_use]
    pub fn report(&self) -> PeerLoad {
        self.inner.lock().ledger.report()
    }

    /// The load report of this VM's failure domain to other domains.
    #[must_use]
    pub fn domain_report(&self) -> PeerLoad {
        self.inner.lock().ledger.domain_report()
    }

    /// Records what a response of `target` states about its load. Statements without a pace are left out: load reports of the
    /// VMs count the requests at a target, and tell it earlier than a response that a VM gets by chance.
    pub fn record_stated(&self, target: &TargetId, statement: TargetStatement) {
        if statement.pace.is_none() {
            return;
        }
        let now = self.inner.clock.uptime();
        let is_news = {
            let mut state = self.inner.lock();
            state.ledger.stated.record_response(target, statement, now)
        };
        if is_news {
            self.inner.load_change.notify_one();
        }
    }

    /// Records what other VMs have heard of the load of targets.
    pub fn record_stated_entries(
        &self,
        entries: &[StatedEntry],
        source: StatedSource,
        is_relayed: bool,
    ) {
        if !entries.is_empty() {
            let now = self.inner.clock.uptime();
            let ledger = &mut self.inner.lock().ledger;
            ledger
                .stated
                .record_entries(entries, source, is_relayed, now);
        }
    }

    /// What the receivers in `scope` should know about what targets state.
    #[must_use]
    pub fn stated_report(&self, scope: StatedScope) -> Vec<StatedEntry> {
        let now = self.inner.clock.uptime();
        self.inner.lock().ledger.stated.report(scope, now)
    }

    /// Completes when a load report should be sent to the peers at once, ahead of the regular interval.
    pub async fn report_requested(&self) {
        self.inner.report_request.notified().await;
    }

    /// Completes when a call has started or ended since the last completion.
    pub async fn load_changed(&self) {
        self.inner.load_change.notified().await;
    }

    /// Completes when a request has started to wait for a slot since the last completion.
    pub async fn wait_started(&self) {
        self.inner.wait_start.notified().await;
    }

    /// Records that a response of `target`, which started at `born`, says that it leaves. Nothing new is sent to it from now on.
    pub fn record_leaving(&self, target: &TargetId, born: u64) {
        let now = self.inner.clock.uptime();
        let mut state = self.inner.lock();
        if state.ledger.leaving.record_response(target, born, now) {
            state.ledger.update_leaving();
            tracing::info!(event = "target_leaving", %target, born, source = "response");
        }
    }

    /// Records what another VM has heard of targets that leave.
    pub fn record_leaving_report(&self, report: &LeavingReport) {
        let now = self.inner.clock.uptime();
        let mut state = self.inner.lock();
        let news = state.ledger.leaving.record_report(report, now);
        if !news.is_empty() {
            state.ledger.update_leaving();
        }
        for target in news {
            tracing::info!(event = "target_leaving", %target, source = "peer");
        }
    }

    /// What this VM has heard of targets that leave.
    #[must_use]
    pub fn leaving_report(&self, scope: ReportScope) -> LeavingReport {
        let now = self.inner.clock.uptime();
        self.inner.lock().ledger.leaving.report(scope, now)
    }

    /// Start of a target that may get new requests, in milliseconds since the Unix epoch; `None` if the target leaves or is not
    /// listed.
    #[must_use]
    pub fn usable_since(&self, target: &TargetId) -> Option<u64> {
        let state = self.inner.lock();
        let known = state.ledger.targets.get(target);
        known
            .filter(|target| !target.is_leaving)
            .map(|target| target.entry.born)
    }

    /// Registers the instruments, with names that begin with `prefix`.
    pub fn register_metrics(&self, meter: &Meter, prefix: &str) {
        let observed = self.clone();
        meter
            .u64_observable_gauge(format!("{prefix}leaving_targets"))
            .with_description("Targets whose responses say that they leave")
            .with_callback(move |observer| {
                let count = observed.inner.lock().ledger.leaving.count();
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
        let observed = self.clone();
        meter
            .u64_observable_gauge(format!("{prefix}slow_targets"))
            .with_description("Targets whose responses say that they are slow now")
            .with_callback(move |observer| {
                let now = observed.inner.clock.uptime();
                let count = observed.inner.lock().ledger.stated.slow_count(now);
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
    }

    /// Whether any request waits for a slot.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.inner.lock().ledger.waiting() != (0, 0)
    }
}

impl SharedInner {
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_effects(&self, state: &mut SharedState, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Grant {
                    number,
                    target,
                    address,
                    region,
                    version,
                    born,
                } => {
                    self.load_change.notify_one();
                    let (signal, preempted) = watch::channel(false);
                    state.preempt_signals.insert(number, signal);
                    let decision = SlotDecision::Granted {
                        target,
                        address,
                        region,
                        version,
                        born,
                        preempted,
                    };
                    send_decision(state, number, decision);
                }
                LedgerEffect::Refuse {
                    number,
                    retry_after,
                    cause,
                } => {
                    let decision = SlotDecision::Refused { retry_after, cause };
                    send_decision(state, number, decision);
                }
                LedgerEffect::Preempt { number } => {
                    if let Some(signal) = state.preempt_signals.get(&number) {
                        signal.send_replace(true);
                    }
                }
                LedgerEffect::SendReport => self.report_request.notify_one(),
            }
        }
    }

    fn release(&self, number: RequestId, outcome: CallOutcome) {
        let now = self.clock.uptime();
        let mut state = self.lock();
        state.preempt_signals.remove(&number);
        self.load_change.notify_one();
        let effects = state.ledger.release(number, outcome, now);
        self.apply_effects(&mut state, effects);
    }
}

/// Sends a waiting request its decision. If it was withdrawn meanwhile, its guard releases the slot.
fn send_decision(state: &mut SharedState, number: RequestId, decision: SlotDecision) {
    if let Some(waiting) = state.waiting.remove(&number) {
        // If the receiver is gone, the guard of the request releases the slot.
        drop(waiting.send(decision));
    }
}

/// Withdraws a request whose future is dropped, and releases the slot if it was granted meanwhile.
struct RequestGuard {
    inner: Arc<SharedInner>,
    number: RequestId,
    armed: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.armed {
            {
                let mut state = self.inner.lock();
                state.waiting.remove(&self.number);
                state.ledger.withdraw(self.number);
            }
            self.inner.release(self.number, CallOutcome::Abandoned);
        }
    }
}

impl SharedDispatcher {
    async fn wait_slot(&self, request: TicketRequest) -> Result<TargetTicket, Problem> {
        let now = self.inner.clock.uptime();
        let (sender, receiver) = oneshot::channel();
        let (version, regions) = (request.version.clone(), request.regions.clone());
        let number = {
            let mut state = self.inner.lock();
            let (number, effects) = state.ledger.request(request, now);
            state.waiting.insert(number, sender);
            self.inner.apply_effects(&mut state, effects);
            if state.waiting.contains_key(&number) {
                self.inner.wait_start.notify_one();
            }
            number
        };
        let mut guard = RequestGuard {
            inner: Arc::clone(&self.inner),
            number,
            armed: true,
        };
        match receiver.await {
            Ok(SlotDecision::Granted {
                target,
                address,
                region,
                version,
                born,
                preempted,
            }) => {
                guard.armed = false;
                let inner = Arc::clone(&self.inner);
                let on_finish = Box::new(move |outcome| inner.release(number, outcome));
                let observer = ResponseObserver {
                    dispatcher: self.clone(),
                    target: target.clone(),
                    born,
                };
                let ticket = TargetTicket::new(target, address, region, preempted, on_finish);
                let ticket = ticket.with_version(Some(version));
                Ok(ticket.with_observer(Arc::new(observer)))
            }
            Ok(SlotDecision::Refused { retry_after, cause }) => {
                guard.armed = false;
                let problem = refusal_problem(cause, version, &regions);
                Err(problem.with_retry_after(retry_after))
            }
            Err(_) => Err(Problem::new(
                ResultCode::Internal,
                "the dispatcher has stopped",
            )),
        }
    }
}

fn refusal_problem(
    cause: RefusalCause,
    version: Option<VersionName>,
    regions: &RegionSet,
) -> Problem {
    match (cause, version) {
        (RefusalCause::Busy, _) => Problem::new(ResultCode::QueueFull, "all targets are busy"),
        (RefusalCause::NoRegion, _) => {
            let reason = format!("no target is known in an allowed region: {regions}");
            Problem::new(ResultCode::RegionUnavailable, reason)
        }
        (RefusalCause::NoTarget, Some(version)) => {
            let reason = format!("no target of version {version} is known");
            Problem::new(ResultCode::VersionGone, reason)
        }
        (RefusalCause::NoTarget, None) => {
            let reason = "no target of the service is known";
            Problem::new(ResultCode::NoTarget, reason)
        }
    }
}

/// Passes on what responses of a target say about it.
struct ResponseObserver {
    dispatcher: SharedDispatcher,
    target: TargetId,
    born: u64,
}

impl CallObserver for ResponseObserver {
    fn leaving_stated(&self) {
        self.dispatcher.record_leaving(&self.target, self.born);
    }

    fn load_stated(&self, statement: TargetStatement) {
        self.dispatcher.record_stated(&self.target, statement);
    }
}

impl NoticeSource for SharedDispatcher {
    fn tick(&self) {
        let now = self.inner.clock.uptime();
        let mut state = self.inner.lock();
        if state.ledger.leaving.tick(now) {
            state.ledger.update_leaving();
        }
    }

    fn has_news(&self, scope: ReportScope) -> bool {
        let now = self.inner.clock.uptime();
        self.inner.lock().ledger.leaving.has_news(scope, now)
    }

    fn notice(&self, scope: ReportScope) -> Option<Bytes> {
        let report = self.leaving_report(scope);
        (!report.entries.is_empty()).then(|| encode_body(&report))
    }

    fn record_notice(&self, content: &[u8]) -> bool {
        let report = decode_body::<LeavingReport>(content);
        report
            .inspect(|report| self.record_leaving_report(report))
            .is_some()
    }
}

impl Dispatcher for SharedDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.wait_slot(request).boxed_local()
    }

    fn has_other_target(&self, need: TargetNeed<'_>, current: &TargetId) -> bool {
        self.inner.lock().ledger.has_other_target(need, current)
    }

    fn free_targets(&self, need: TargetNeed<'_>, barred: &[TargetId]) -> usize {
        let now = self.inner.clock.uptime();
        let state = self.inner.lock();
        let free = state.ledger.free_targets(need, now);
        free.filter(|target| !barred.contains(target)).count()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        let state = self.inner.lock();
        let (online, batch) = state.ledger.waiting();
        let report = state.ledger.report();
        let slots: Vec<_> = report
            .slots
            .iter()
            .map(|(target, slots)| {
                serde_json::json!({
                    "target": target, "online": slots.online, "batch": slots.batch,
                    "fleet": state.ledger.load_of(target).map(|(slots, used)| (slots, used.total())),
                })
            })
            .collect();
        let stated: Vec<_> = state
            .ledger
            .stated
            .entries(self.inner.clock.uptime())
            .map(|StatedEntry(target, used, pace, age_ms)| {
                serde_json::json!({
                    "target": target, "used": used, "pace_percent": pace, "age_ms": age_ms,
                })
            })
            .collect();
        let dump = serde_json::json!({
            "waiting_online": online, "waiting_batch": batch, "targets": slots, "stated": stated,
        });
        async move { dump }.boxed_local()
    }
}
