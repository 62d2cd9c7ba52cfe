//! What the parts of a VM share.

use crate::codec::RequestCodec;
use crate::meters::EdgeMeters;
use crate::peer_client::PeerClient;
use crate::proxied_rows::ProxiedRows;
use crate::settings::{BoundSettings, EdgeSettings};
use plantainmill_admission::SharedLimiter;
use plantainmill_core::{Clock, InFlightCounter, Incarnation, Uptime};
use plantainmill_dispatch::SharedDispatcher;
use plantainmill_jobs::JobService;
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::{DocumentView, TargetEntry, TargetRegistry};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Part of the time for which keys may be used after which the balancer is told to use other VMs.
const READY_PART: f64 = 0.6;
/// Time kept from the bound on withdrawn keys for clocks that run apart.
const KEY_MARGIN: Duration = Duration::from_millis(200);

/// The shared parts of a VM.
pub(crate) struct EdgeState {
    pub settings: EdgeSettings,
    /// Bounds in force; they may change while the VM runs.
    pub bounds: Cell<BoundSettings>,
    pub incarnation: Incarnation,
    pub clock: Arc<dyn Clock>,
    pub view: DocumentView,
    pub limiter: SharedLimiter,
    pub dispatcher: SharedDispatcher,
    pub caller: RelayCaller,
    pub jobs: JobService,
    pub codec: Rc<dyn RequestCodec>,
    /// Rows, directly or through a peer.
    pub rows: Rc<ProxiedRows>,
    pub peer_client: Rc<PeerClient>,
    pub meters: EdgeMeters,
    /// Targets, as read from the store or from a reader of the domain.
    pub targets: RefCell<TargetRegistry>,
    /// When they were certainly the registered ones.
    pub targets_at: Cell<Option<Uptime>>,
    /// This VM reads the store for its failure domain.
    pub is_reader: Cell<bool>,
    /// Notified when the document or the targets changed.
    pub changed: Notify,
    pub leaving: Cell<bool>,
    /// Whether the balancer was last told that this VM is ready, or would have been.
    pub was_ready: Cell<bool>,
    pub flights: InFlightCounter,
}

impl EdgeState {
    /// Time since the document in force was certainly the newest one.
    pub fn document_age(&self) -> Option<Duration> {
        self.view.age(self.clock.uptime())
    }

    /// Time since the targets were certainly the registered ones.
    pub fn targets_age(&self) -> Option<Duration> {
        let targets_at = self.targets_at.get()?;
        Some(self.clock.uptime().saturating_sub(targets_at))
    }

    /// Takes all targets, as read from the registry at `read_at`.
    pub fn take_targets(&self, entries: Vec<TargetEntry>, read_at: Uptime) {
        self.change_targets(read_at, |targets, now| targets.apply(entries, now));
    }

    /// Takes all targets, as another VM knew them at `read_at`.
    pub fn adopt_targets(&self, entries: Vec<TargetEntry>, read_at: Uptime) {
        self.change_targets(read_at, |targets, now| targets.adopt(entries, now));
    }

    /// Changes the targets to those of `read_at`, unless younger ones are known.
    fn change_targets(&self, read_at: Uptime, change: impl FnOnce(&mut TargetRegistry, Uptime)) {
        if self.targets_at.get() > Some(read_at) {
            return;
        }
        self.targets_at.set(Some(read_at));
        let now = self.clock.uptime();
        let mut targets = self.targets.borrow_mut();
        let before = targets.fingerprint();
        change(&mut targets, now);
        self.dispatcher.set_targets(targets.usable(now));
        if targets.fingerprint() != before {
            self.changed.notify_one();
        }
    }

    /// Whether keys may be used: no key can have been withdrawn long enough ago without this VM knowing it.
    pub fn may_use_keys(&self) -> bool {
        let limit = self.bounds.get().key_time.saturating_sub(KEY_MARGIN);
        self.document_age().is_some_and(|age| age < limit)
    }

    /// Logs when readiness changes, with what decides it.
    pub fn note_readiness(&self) {
        let is_ready = self.is_ready();
        if self.was_ready.replace(is_ready) != is_ready {
            tracing::info!(
                event = "readiness_changed",
                is_ready,
                document_version = self.view.version(),
                document_age_ms = self.document_age().map(|age| age.as_millis()),
                targets_age_ms = self.targets_age().map(|age| age.as_millis()),
                leaving = self.leaving.get(),
            );
        }
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let limit = self.bounds.get().key_time.mul_f64(READY_PART);
        let is_fresh = self.document_age().is_some_and(|age| age < limit);
        is_fresh && self.targets_at.get().is_some() && !self.leaving.get()
    }
}
