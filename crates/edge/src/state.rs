//! State that the components of a VM share.

use crate::codec::RequestCodec;
use crate::metrics::EdgeMetrics;
use crate::peer_client::PeerClient;
use crate::proxied_rows::ProxiedRows;
use crate::read_turns::ReadTurns;
use crate::settings::{BoundSettings, EdgeSettings};
use crate::stream_records::StreamRecords;
use crate::token_limiter::TokenLimiter;
use plantainmill_admission::UsageRecorder;
use plantainmill_core::{Clock, InFlightCounter, Incarnation, RegionSet, Uptime};
use plantainmill_dispatch::limits::{ColdFacts, LimitedTarget};
use plantainmill_dispatch::{PartQuarantine, SharedDispatcher, TargetLimits};
use plantainmill_jobs::JobService;
use plantainmill_paths::TargetPaths;
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::{
    DocumentView, EvacuationEvent, EvacuationReport, EvacuationState, TargetChanges, TargetEntry,
    TargetHistory, TargetRegistry, proof_interval,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::Notify;

/// Fraction of the key validity. From this document age on the VM is not ready, before it has to reject keys.
const READY_AGE_FRACTION: f64 = 0.6;
/// Margin for clocks that run at different rates, subtracted from the key validity.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(200);

/// Shared state of a VM. All its users run on one thread.
pub(crate) struct EdgeState {
    pub settings: EdgeSettings,
    /// Bounds in force; a reload replaces them.
    pub bounds: Cell<BoundSettings>,
    pub incarnation: Incarnation,
    pub clock: Arc<dyn Clock>,
    pub view: DocumentView,
    /// Rates of the organisations over all VMs.
    pub limiter: TokenLimiter,
    /// Usage reports of this VM and its peers. VMs of the release before decide by them.
    pub usage: UsageRecorder,
    pub dispatcher: SharedDispatcher,
    /// Prompt parts under which targets are lost; it stands in front of the dispatcher.
    pub quarantine: PartQuarantine,
    /// Limits that targets name; they stand between the quarantine and the dispatcher.
    pub limits: TargetLimits,
    /// Paths to the targets, and the VMs that forward requests while they are lost.
    pub paths: TargetPaths,
    /// Versions at which streams began, by which those that are taken up go on.
    pub streams: StreamRecords,
    pub relay_caller: RelayCaller,
    pub jobs: JobService,
    pub codec: Rc<dyn RequestCodec>,
    /// Rows of the store, accessed directly or through a peer.
    pub rows: Rc<ProxiedRows>,
    pub peer_client: Rc<PeerClient>,
    pub metrics: EdgeMetrics,
    /// Targets, as read from the store or fetched from a peer.
    pub targets: RefCell<TargetRegistry>,
    /// Recent changes of the targets, for other VMs.
    pub target_history: RefCell<TargetHistory>,
    /// Latest time at which the targets were known to match the registry.
    pub targets_confirmed_at: Cell<Option<Uptime>>,
    /// Whether this VM reads the store for its failure domain.
    pub is_reader: Cell<bool>,
    /// When this VM reads the store itself, besides the readers of its domain.
    pub read_turns: ReadTurns,
    /// Notified while a long read of the document or the targets makes progress.
    pub read_notify: Notify,
    /// Notified when this VM has read a changed document from the store, and when the targets have changed.
    pub update_notify: Notify,
    pub is_stopping: Cell<bool>,
    /// The VM closes all connections, because its time to stop is over or no request is left.
    pub is_closing: Cell<bool>,
    /// Readiness at the last check; only transitions are logged.
    pub was_ready: Cell<bool>,
    pub requests_in_flight: InFlightCounter,
}

impl EdgeState {
    /// Time since the document in force was known to be the latest one; `None` before the first document.
    pub fn document_age(&self) -> Option<Duration> {
        self.view.age(self.clock.uptime())
    }

    /// Time since the targets were known to match the registry; `None` before the first read.
    pub fn targets_age(&self) -> Option<Duration> {
        let targets_confirmed_at = self.targets_confirmed_at.get()?;
        Some(self.clock.uptime().saturating_sub(targets_confirmed_at))
    }

    /// Returns whether the targets are older than the readers' proofs make them, by more than `margin`.
    pub fn has_old_targets(&self, margin: Duration) -> bool {
        let limit = proof_interval(self.targets.borrow().len()) + margin;
        self.targets_age().is_none_or(|age| age >= limit)
    }

    /// Replaces the targets with those read from the registry at `read_at`.
    pub fn apply_targets(&self, entries: Vec<TargetEntry>, read_at: Uptime) {
        self.update_targets(Some(read_at), |targets, now| targets.apply(entries, now));
    }

    /// Applies changes that the registry's feed reported. They do not prove that nothing else has changed.
    pub fn apply_target_feed(&self, changes: TargetChanges) {
        self.update_targets(None, |targets, now| targets.apply_feed(changes, now));
    }

    /// Drops the missing targets that count as gone by now.
    pub fn expire_targets(&self) {
        self.update_targets(None, TargetRegistry::expire);
    }

    /// Replaces the targets with those that another VM knew at `read_at`, and their fingerprint, if it named one. When they
    /// were asked for, those of this VM had the fingerprint `former`, and were older; if they have changed since, the more
    /// recent ones stay.
    pub fn adopt_targets(
        &self,
        entries: Vec<TargetEntry>,
        fingerprint: Option<u64>,
        former: u64,
        read_at: Uptime,
    ) {
        let is_unchanged = self.targets.borrow().fingerprint() == former;
        if is_unchanged || self.targets_confirmed_at.get() <= Some(read_at) {
            self.update_targets(Some(read_at), |targets, now| {
                targets.adopt(entries, fingerprint, now)
            });
        }
    }

    /// Applies what another VM says has changed since the list with the fingerprint `base`; it has the one with
    /// `fingerprint`, and knew at `read_at` that it matched the registry. Without effect if this VM has another list than
    /// `base` by now: the next query fetches again.
    pub fn adopt_target_changes(
        &self,
        base: u64,
        changes: TargetChanges,
        fingerprint: u64,
        read_at: Uptime,
    ) {
        if self.targets.borrow().fingerprint() == base {
            self.update_targets(Some(read_at), |targets, _| {
                let applied = targets.adopt_changes(base, changes, fingerprint);
                applied.unwrap_or_default()
            });
        }
    }

    /// Records that the targets matched the registry at `at`.
    pub fn confirm_targets(&self, at: Uptime) {
        let confirmed_at = self.targets_confirmed_at.get();
        self.targets_confirmed_at.set(confirmed_at.max(Some(at)));
        self.streams.confirm_targets(at);
    }

    /// Changes the targets, which matched the registry at `read_at`, and passes them on to the parts that use them if
    /// they differ.
    fn update_targets(
        &self,
        read_at: Option<Uptime>,
        change: impl FnOnce(&mut TargetRegistry, Uptime) -> TargetChanges,
    ) {
        let now = self.clock.uptime();
        let mut targets = self.targets.borrow_mut();
        let before = targets.fingerprint();
        let changes = change(&mut targets, now);
        if targets.fingerprint() != before {
            let mut history = self.target_history.borrow_mut();
            history.record(before, &changes, targets.fingerprint());
        }
        if changes.is_empty() {
            if let Some(read_at) = read_at {
                self.confirm_targets(read_at);
                if !self.view.revoked_domains().is_empty() {
                    // A later read may say that the targets of a formerly evacuated domain are warm.
                    self.publish_cold_facts(&targets, now);
                }
            }
            return;
        }
        let confirmed_at = self.targets_confirmed_at.get().max(read_at);
        self.targets_confirmed_at.set(confirmed_at);
        let (usable, unusable): (Vec<_>, Vec<_>) = changes
            .changed
            .iter()
            .partition(|entry| targets.takes_requests(entry));
        let unusable = unusable.into_iter().map(|entry| &entry.id);
        self.dispatcher
            .change_targets(usable.into_iter(), unusable.chain(&changes.removed));
        self.publish_limited(&targets, now);
        let addresses = targets.known_entries();
        self.paths
            .set_targets(addresses.map(|entry| (entry.id.clone(), entry.address)));
        let versions = targets
            .known_entries()
            .map(|entry| (&entry.service, &entry.version));
        self.streams
            .set_targets(versions, confirmed_at.unwrap_or(now));
        self.update_notify.notify_one();
    }

    /// Hands the targets that accept new requests to the limits.
    fn publish_limited(&self, targets: &TargetRegistry, now: Uptime) {
        let limited = targets.usable(now).map(|entry| LimitedTarget {
            id: entry.id.clone(),
            service: entry.service.clone(),
            domain: entry.domain.clone(),
            region: self.settings.regions.get(&entry.domain).cloned(),
        });
        self.limits.set_targets(limited);
        self.publish_cold_facts(targets, now);
    }

    /// Hands what is known about cold targets to their limits, in deployments with bounds for them.
    fn publish_cold_facts(&self, targets: &TargetRegistry, now: Uptime) {
        let (Some(document), Some(_)) = (self.view.load(), self.settings.bounds.cold) else {
            return;
        };
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default();
        let revoked = self.view.revoked_domains();
        let read_at = self.targets_confirmed_at.get().unwrap_or_default();
        let facts = targets.usable(now).filter_map(|entry| {
            let rule = document.services.get(&entry.service)?;
            let born = Duration::from_millis(entry.born);
            let left_ms = entry.cold_left.0.map(u64::from);
            let facts = ColdFacts {
                rate: rule.cold_per_s,
                start_time: rule.cold_start,
                born: entry.born,
                age: (entry.born > 0).then(|| wall.saturating_sub(born)),
                left: left_ms.map(Duration::from_millis),
                read_at,
                revoked_at: revoked.get(&entry.domain).copied(),
            };
            Some((entry.id.clone(), facts))
        });
        self.limits.set_cold_facts(facts);
    }

    /// Applies what a changed document says about services.
    pub fn apply_document(&self) {
        self.publish_cold_facts(&self.targets.borrow(), self.clock.uptime());
    }

    /// Records evacuated failure domains that this VM has read from the store at `read_at`.
    pub fn record_evacuations(&self, read: EvacuationState, read_at: Uptime) {
        let now = self.clock.uptime();
        let events = self.view.record_evacuations(read, read_at, now);
        self.apply_evacuations(&events, now);
        if !events.is_empty() {
            self.update_notify.notify_one();
        }
    }

    /// Records evacuated failure domains that another VM reports, and for which this one asked at `asked_at`.
    pub fn record_evacuation_report(&self, report: EvacuationReport, asked_at: Option<Uptime>) {
        let now = self.clock.uptime();
        let former = self.view.revoked_domains();
        let events = self.view.record_evacuation_report(report, asked_at, now);
        self.apply_evacuations(&events, now);
        // This VM may have missed the whole evacuation, as while it was frozen.
        if self.view.revoked_domains() != former {
            self.apply_document();
        }
    }

    fn apply_evacuations(&self, events: &[EvacuationEvent], now: Uptime) {
        if events.is_empty() {
            return;
        }
        let age_ms = self.view.age(now).map(|age| age.as_millis());
        for event in events {
            let (domain, version) = (&event.domain, event.version);
            if event.is_begin {
                tracing::info!(event = "evacuation_began", %domain, version, age_ms);
            } else {
                tracing::info!(event = "evacuation_ended", %domain, version, age_ms);
            }
        }
        let mut targets = self.targets.borrow_mut();
        targets.set_evacuated(self.view.evacuated_domains());
        self.dispatcher.set_targets(targets.usable(now));
        self.publish_limited(&targets, now);
    }

    /// Logs the rules of the document in force that name regions without a failure domain: nothing is served there.
    pub fn log_unknown_regions(&self) {
        let Some(document) = self.view.load() else {
            return;
        };
        for (entry, regions) in document.region_rules() {
            let known = &self.settings.regions;
            let unknown = regions
                .names()
                .filter(|name| !known.values().any(|region| region == *name));
            for region in unknown {
                tracing::warn!(
                    event = "document_entry_invalid",
                    field = "allowed_regions",
                    %entry,
                    unknown_region = %region,
                    version = document.version,
                );
            }
        }
    }

    /// Returns whether the document is recent enough to verify keys: a key that it lists cannot have been withdrawn for
    /// longer than the key validity, nor an evacuation requested for longer than its bound.
    pub fn can_verify_keys(&self) -> bool {
        let limit = self.bounds.get().document_validity();
        let limit = limit.saturating_sub(CLOCK_DRIFT_MARGIN);
        self.document_age().is_some_and(|age| age < limit)
    }

    /// Logs a transition of readiness with the values that determine it.
    pub fn log_readiness_change(&self) {
        let is_ready = self.is_ready();
        if self.was_ready.replace(is_ready) != is_ready {
            tracing::info!(
                event = "readiness_changed",
                is_ready,
                document_version = self.view.version(),
                document_age_ms = self.document_age().map(|age| age.as_millis()),
                targets_age_ms = self.targets_age().map(|age| age.as_millis()),
                unreachable = self.paths.is_unreachable(&RegionSet::Everywhere),
                leaving = self.is_stopping.get(),
            );
        }
    }

    /// Returns whether the balancer should route callers to this VM.
    pub fn is_ready(&self) -> bool {
        let limit = self.bounds.get().document_validity();
        let limit = limit.mul_f64(READY_AGE_FRACTION);
        let is_fresh = self.document_age().is_some_and(|age| age < limit);
        let is_unreachable = self.paths.is_unreachable(&RegionSet::Everywhere);
        let has_targets = self.targets_confirmed_at.get().is_some() && !is_unreachable;
        is_fresh && has_targets && !self.is_stopping.get()
    }
}
