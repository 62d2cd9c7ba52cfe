//! State that the components of a VM share.

use crate::codec::RequestCodec;
use crate::metrics::EdgeMetrics;
use crate::peer_client::PeerClient;
use crate::proxied_rows::ProxiedRows;
use crate::settings::{BoundSettings, EdgeSettings};
use crate::stream_records::StreamRecords;
use crate::token_limiter::TokenLimiter;
use plantainmill_admission::UsageRecorder;
use plantainmill_core::{Clock, InFlightCounter, Incarnation, Uptime};
use plantainmill_dispatch::limits::LimitedTarget;
use plantainmill_dispatch::{PartQuarantine, SharedDispatcher, TargetLimits};
use plantainmill_jobs::JobService;
use plantainmill_paths::TargetPaths;
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::{DocumentView, TargetEntry, TargetRegistry};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
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
    /// Latest time at which the targets were known to match the registry.
    pub targets_confirmed_at: Cell<Option<Uptime>>,
    /// Whether this VM reads the store for its failure domain.
    pub is_reader: Cell<bool>,
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

    /// Replaces the targets with those read from the registry at `read_at`.
    pub fn apply_targets(&self, entries: Vec<TargetEntry>, read_at: Uptime) {
        self.update_targets(read_at, |targets, now| targets.apply(entries, now));
    }

    /// Replaces the targets with those that another VM knew at `read_at`.
    pub fn adopt_targets(&self, entries: Vec<TargetEntry>, read_at: Uptime) {
        self.update_targets(read_at, |targets, now| targets.adopt(entries, now));
    }

    /// Replaces the targets with those of `read_at`, unless more recent ones are known.
    fn update_targets(&self, read_at: Uptime, change: impl FnOnce(&mut TargetRegistry, Uptime)) {
        if self.targets_confirmed_at.get() > Some(read_at) {
            return;
        }
        self.targets_confirmed_at.set(Some(read_at));
        let now = self.clock.uptime();
        let mut targets = self.targets.borrow_mut();
        let before = targets.fingerprint();
        change(&mut targets, now);
        self.dispatcher.set_targets(targets.usable(now));
        let limited = targets.usable(now).map(|entry| LimitedTarget {
            id: entry.id.clone(),
            service: entry.service.clone(),
            domain: entry.domain.clone(),
        });
        self.limits.set_targets(limited);
        let entries = targets.entries();
        let addresses = entries.iter();
        self.paths
            .set_targets(addresses.map(|entry| (entry.id.clone(), entry.address)));
        let versions = entries.iter().map(|entry| (&entry.service, &entry.version));
        self.streams.set_targets(versions, read_at);
        if targets.fingerprint() != before {
            self.update_notify.notify_one();
        }
    }

    /// Returns whether the document is recent enough to verify keys: a key that it lists cannot have been withdrawn for
    /// longer than the key validity.
    pub fn can_verify_keys(&self) -> bool {
        let limit = self
            .bounds
            .get()
            .key_validity
            .saturating_sub(CLOCK_DRIFT_MARGIN);
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
                unreachable = self.paths.is_unreachable(),
                leaving = self.is_stopping.get(),
            );
        }
    }

    /// Returns whether the balancer should route callers to this VM.
    pub fn is_ready(&self) -> bool {
        let limit = self.bounds.get().key_validity.mul_f64(READY_AGE_FRACTION);
        let is_fresh = self.document_age().is_some_and(|age| age < limit);
        let has_targets = self.targets_confirmed_at.get().is_some() && !self.paths.is_unreachable();
        is_fresh && has_targets && !self.is_stopping.get()
    }
}
