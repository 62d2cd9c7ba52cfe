//! The paths of one VM, shared by its parts.

use crate::forwarders::{ForwardResult, Forwarder, ForwarderReferral};
use crate::table::{PathEvent, PathTable, SendRoute};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{Clock, RegionSet, TargetId, Uptime, VmId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// The paths of one VM to the targets. Clones share the same state.
#[derive(Clone)]
pub struct TargetPaths {
    table: Arc<Mutex<PathTable>>,
    clock: Arc<dyn Clock>,
    /// Differs between requests, and so spreads them over the VMs that forward.
    salt: Arc<AtomicU64>,
    forwards: Counter<u64>,
}

impl TargetPaths {
    /// Paths of `vm`, which knows no targets yet. Their instruments have names that begin with `prefix`.
    #[must_use]
    pub fn new(vm: &VmId, clock: Arc<dyn Clock>, meter: &Meter, prefix: &str) -> TargetPaths {
        let forwards = meter.u64_counter(format!("{prefix}forwarded_sends"));
        let paths = TargetPaths {
            table: Arc::default(),
            clock,
            salt: Arc::new(AtomicU64::new(xxh3_64(vm.as_bytes()))),
            forwards: forwards
                .with_description("Requests that other VMs were asked to forward, by result")
                .build(),
        };
        let observed = paths.clone();
        let gauge = meter.u64_observable_gauge(format!("{prefix}lost_paths"));
        gauge
            .with_description("Targets that this VM does not reach directly")
            .with_callback(move |observer| {
                let count = observed.lock().lost_count(observed.now());
                observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
            })
            .build();
        let observed = paths.clone();
        let gauge = meter.u64_observable_gauge(format!("{prefix}isolated"));
        gauge
            .with_description("1 while this VM reaches no target directly")
            .with_callback(move |observer| observer.observe(u64::from(observed.is_isolated()), &[]))
            .build();
        paths
    }

    fn lock(&self) -> MutexGuard<'_, PathTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Uptime {
        self.clock.uptime()
    }

    /// Replaces the targets.
    pub fn set_targets(&self, targets: impl Iterator<Item = (TargetId, SocketAddr)>) {
        self.lock().set_targets(targets);
    }

    /// Replaces the VMs that may forward requests.
    pub fn set_forwarders(&self, forwarders: impl Iterator<Item = Forwarder>) {
        self.lock().set_forwarders(forwarders, self.now());
    }

    /// Adds VMs that another one has referred to.
    pub fn add_referrals(&self, referrals: &[ForwarderReferral]) {
        self.lock().add_referrals(referrals, self.now());
    }

    /// VMs of other failure domains that this VM refers others to.
    #[must_use]
    pub fn referrals(&self) -> Vec<ForwarderReferral> {
        self.lock().referrals(self.next_salt(), self.now())
    }

    /// Address of a target; `None` if it is not known.
    #[must_use]
    pub fn address_of(&self, target: &TargetId) -> Option<SocketAddr> {
        self.lock().address_of(target)
    }

    /// How a request that may be served in `regions` gets to `target` now.
    #[must_use]
    pub fn route(&self, target: &TargetId, regions: &RegionSet) -> SendRoute {
        self.lock().route(target, regions, self.now())
    }

    /// Whether all paths are lost and no other VM in one of `regions` forwards requests.
    #[must_use]
    pub fn is_unreachable(&self, regions: &RegionSet) -> bool {
        self.lock().is_unreachable(regions, self.now())
    }

    /// Whether the paths to all targets are lost.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.lock().is_isolated(self.now())
    }

    /// The VMs in one of `regions` to ask to forward one request, in order.
    #[must_use]
    pub fn forwarders(&self, regions: &RegionSet) -> Vec<Forwarder> {
        self.lock()
            .forwarders(regions, self.next_salt(), self.now())
    }

    fn next_salt(&self) -> u64 {
        self.salt.fetch_add(1, Ordering::Relaxed)
    }

    /// The target to connect to in order to find out whether a path is open again, if it is time to.
    #[must_use]
    pub fn next_probe(&self, target: &TargetId) -> Option<(TargetId, SocketAddr)> {
        self.lock().next_probe(target, self.now())
    }

    /// Records whether a connect to `target` succeeded.
    pub fn record_connect(&self, target: &TargetId, is_connected: bool) {
        let now = self.now();
        let mut table = self.lock();
        let events = if is_connected {
            table.record_connected(target, now)
        } else {
            table.record_unreachable(target, now)
        };
        events.iter().for_each(log_event);
    }

    /// Records what came of a request that another VM was to forward.
    pub fn record_forward(&self, address: SocketAddr, result: ForwardResult) {
        let name = match result {
            ForwardResult::Forwarded => "forwarded",
            ForwardResult::Isolated => "isolated",
            ForwardResult::Declined => "declined",
            ForwardResult::Failed => "failed",
            ForwardResult::Silent => "silent",
        };
        self.forwards.add(1, &[KeyValue::new("result", name)]);
        self.lock().record_forward(address, result, self.now());
    }

    /// Records that none of the VMs that were asked for one request has paths of its own.
    pub fn record_exhausted(&self) {
        self.lock().record_exhausted(self.now());
    }

    /// Number of targets to which the path is lost.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        self.lock().lost_count(self.now())
    }
}

fn log_event(event: &PathEvent) {
    match event {
        PathEvent::Lost(target) => tracing::info!(event = "target_path_lost", %target),
        PathEvent::Restored(target) => tracing::info!(event = "target_path_restored", %target),
        PathEvent::Isolated => tracing::warn!(event = "targets_unreachable"),
        PathEvent::Rejoined { after } => {
            tracing::info!(event = "targets_reachable", after_ms = after.as_millis());
        }
    }
}
