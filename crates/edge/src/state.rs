//! What the parts of a VM share.

use crate::codec::CallCodec;
use crate::meters::EdgeMeters;
use crate::settings::EdgeSettings;
use plantainmill_admission::SharedLimiter;
use plantainmill_core::{Clock, Incarnation};
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
    pub incarnation: Incarnation,
    pub clock: Arc<dyn Clock>,
    pub view: DocumentView,
    pub limiter: SharedLimiter,
    pub dispatcher: SharedDispatcher,
    pub caller: RelayCaller,
    pub jobs: JobService,
    pub codec: Rc<dyn CallCodec>,
    pub meters: EdgeMeters,
    /// Targets, as read from the store or from a reader of the domain.
    pub targets: RefCell<TargetRegistry>,
    /// This VM reads the store for its failure domain.
    pub is_reader: Cell<bool>,
    /// Notified when the document or the targets changed.
    pub changed: Notify,
    pub leaving: Cell<bool>,
    pub in_flight: Rc<Cell<usize>>,
}

/// Counts a request until it is dropped.
pub(crate) struct FlightGuard {
    in_flight: Rc<Cell<usize>>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

impl EdgeState {
    /// Counts a request.
    pub fn enter(&self) -> FlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        FlightGuard {
            in_flight: Rc::clone(&self.in_flight),
        }
    }

    /// Time since the document in force was certainly the newest one.
    pub fn document_age(&self) -> Option<Duration> {
        self.view.age(self.clock.uptime())
    }

    /// Takes all targets, as read now.
    pub fn take_targets(&self, entries: Vec<TargetEntry>) {
        let now = self.clock.uptime();
        let mut targets = self.targets.borrow_mut();
        let before = targets.stamp();
        targets.apply(entries, now);
        self.dispatcher.set_targets(targets.usable(now));
        if targets.stamp() != before {
            self.changed.notify_one();
        }
    }

    /// Whether keys may be used: no key can have been withdrawn long enough ago without this VM knowing it.
    pub fn may_use_keys(&self) -> bool {
        let limit = self.settings.bounds.key_time().saturating_sub(KEY_MARGIN);
        self.document_age().is_some_and(|age| age < limit)
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let limit = self.settings.bounds.key_time().mul_f64(READY_PART);
        let is_fresh = self.document_age().is_some_and(|age| age < limit);
        is_fresh && self.targets.borrow().is_known() && !self.leaving.get()
    }
}
