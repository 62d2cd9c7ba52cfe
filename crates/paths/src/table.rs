//! State machine of the paths to the targets.

use crate::forwarders::{ForwardResult, Forwarder, ForwarderReferral, ForwarderTable};
use plantainmill_core::{RegionSet, TargetId, Uptime};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after its last failed connect from which a path counts as open again without a successful one.
const LOSS_TIME: Duration = Duration::from_secs(5);
/// Time in which losses count together for isolation.
const ISOLATION_WINDOW: Duration = Duration::from_secs(2);
/// Lost paths, without a connect that succeeded since, from which the VM counts as isolated.
const ISOLATION_LOSSES: usize = 3;
/// Known targets from which a VM can count as isolated. The loss of the path to a single target does not show it.
const MIN_ISOLATION_TARGETS: usize = 2;
/// Interval between probes of one path, and of the paths of an isolated VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How a request gets to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendRoute {
    /// On a connection of this VM.
    Direct,
    /// Through another VM.
    Forwarded,
    /// Not at all: the VM is isolated, and no other VM forwards its requests.
    Unreachable,
}

/// A change that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathEvent {
    /// The path to a target is lost.
    Lost(TargetId),
    /// The path to a target is open again.
    Restored(TargetId),
    /// The paths to all targets are lost.
    Isolated,
    /// A target can be reached again after all were lost.
    Rejoined {
        /// Duration of the isolation.
        after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct PathLoss {
    /// Last failed connect.
    lost_at: Uptime,
    probe_at: Uptime,
}

#[derive(Clone, Copy, Debug)]
struct Isolation {
    since: Uptime,
    /// Last failed connect to any target.
    confirmed_at: Uptime,
    probe_at: Uptime,
}

/// The paths to the targets, by the connects of this VM, and the VMs that forward requests meanwhile.
#[derive(Debug, Default)]
pub struct PathTable {
    targets: BTreeMap<TargetId, SocketAddr>,
    losses: BTreeMap<TargetId, PathLoss>,
    isolation: Option<Isolation>,
    connected_at: Option<Uptime>,
    forwarders: ForwarderTable,
}

impl PathTable {
    /// Replaces the targets. What is known of those that stay at their addresses is kept.
    pub fn set_targets(&mut self, targets: impl Iterator<Item = (TargetId, SocketAddr)>) {
        let former = std::mem::replace(&mut self.targets, targets.collect());
        let targets = &self.targets;
        self.losses
            .retain(|id, _| targets.contains_key(id) && targets.get(id) == former.get(id));
    }

    /// Replaces the VMs that may forward requests.
    pub fn set_forwarders(&mut self, forwarders: impl Iterator<Item = Forwarder>, now: Uptime) {
        self.forwarders.set(forwarders, now);
    }

    /// Adds VMs that another one has referred to.
    pub fn add_referrals(&mut self, referrals: &[ForwarderReferral], now: Uptime) {
        self.forwarders.add_referrals(referrals, now);
    }

    /// VMs of other failure domains that this VM refers others to.
    #[must_use]
    pub fn referrals(&self, salt: u64, now: Uptime) -> Vec<ForwarderReferral> {
        self.forwarders.referrals(salt, now)
    }

    /// Address of a target; `None` if it is not known.
    #[must_use]
    pub fn address_of(&self, target: &TargetId) -> Option<SocketAddr> {
        self.targets.get(target).copied()
    }

    /// How a request that may be served in `regions` gets to `target` now.
    #[must_use]
    pub fn route(&self, target: &TargetId, regions: &RegionSet, now: Uptime) -> SendRoute {
        let is_isolated = self.is_isolated(now);
        if !is_isolated && !self.is_lost(target, now) {
            return SendRoute::Direct;
        }
        match (self.forwarders.has_usable(regions, now), is_isolated) {
            (true, _) => SendRoute::Forwarded,
            (false, true) => SendRoute::Unreachable,
            // What a single target does not accept is up to it.
            (false, false) => SendRoute::Direct,
        }
    }

    /// Whether all paths are lost and no other VM in one of `regions` forwards requests.
    #[must_use]
    pub fn is_unreachable(&self, regions: &RegionSet, now: Uptime) -> bool {
        self.is_isolated(now) && !self.forwarders.has_usable(regions, now)
    }

    /// Whether the paths to all targets are lost.
    #[must_use]
    pub fn is_isolated(&self, now: Uptime) -> bool {
        let isolation = self.isolation.as_ref();
        isolation.is_some_and(|isolation| now < isolation.confirmed_at + LOSS_TIME)
    }

    /// Number of targets to which the path is lost.
    #[must_use]
    pub fn lost_count(&self, now: Uptime) -> usize {
        let targets = self.targets.keys();
        targets.filter(|target| self.is_lost(target, now)).count()
    }

    fn is_lost(&self, target: &TargetId, now: Uptime) -> bool {
        let loss = self.losses.get(target);
        loss.is_some_and(|loss| now < loss.lost_at + LOSS_TIME)
    }

    /// The VMs in one of `regions` to ask to forward one request, in order.
    #[must_use]
    pub fn forwarders(&self, regions: &RegionSet, salt: u64, now: Uptime) -> Vec<Forwarder> {
        self.forwarders.candidates(regions, salt, now)
    }

    /// Records what came of a request that another VM was to forward.
    pub fn record_forward(&mut self, address: SocketAddr, result: ForwardResult, now: Uptime) {
        self.forwarders.record(address, result, now);
    }

    /// Records that none of the VMs that were asked for one request has paths of its own.
    pub fn record_exhausted(&mut self, now: Uptime) {
        self.forwarders.record_exhausted(now);
    }

    /// The target to connect to in order to find out whether a path is open again, if it is time to. That is `target` itself, or,
    /// at an isolated VM, one that no connect has failed to, so that a VM that has lost some paths only finds it out at once.
    pub fn next_probe(&mut self, target: &TargetId, now: Uptime) -> Option<(TargetId, SocketAddr)> {
        let is_isolated = self.is_isolated(now);
        let is_due = self
            .isolation
            .is_some_and(|isolation| isolation.probe_at <= now);
        let probed = if is_isolated && is_due {
            let untried = self
                .targets
                .keys()
                .find(|id| !self.losses.contains_key(*id));
            let oldest = || {
                let losses = self.losses.iter();
                losses
                    .min_by_key(|(_, loss)| loss.probe_at)
                    .map(|(id, _)| id)
            };
            untried.or_else(oldest).cloned()
        } else {
            let loss = self.losses.get(target);
            let is_due = loss.is_some_and(|loss| loss.probe_at <= now);
            (!is_isolated && is_due).then(|| target.clone())
        }?;
        if let Some(isolation) = &mut self.isolation {
            isolation.probe_at = now + PROBE_INTERVAL;
        }
        if let Some(loss) = self.losses.get_mut(&probed) {
            loss.probe_at = now + PROBE_INTERVAL;
        }
        let address = self.address_of(&probed)?;
        Some((probed, address))
    }

    /// Records a connect to `target` that succeeded.
    pub fn record_connected(&mut self, target: &TargetId, now: Uptime) -> Vec<PathEvent> {
        self.connected_at = Some(now);
        let mut events = Vec::new();
        if self.losses.remove(target).is_some() {
            events.push(PathEvent::Restored(target.clone()));
        }
        if let Some(isolation) = self.isolation.take() {
            let after = now.saturating_sub(isolation.since);
            events.push(PathEvent::Rejoined { after });
            // What cut the VM off is over, so the other paths are probably open as well.
            for loss in self.losses.values_mut() {
                loss.probe_at = now;
            }
        }
        events
    }

    /// Records a connect to `target` that failed.
    pub fn record_unreachable(&mut self, target: &TargetId, now: Uptime) -> Vec<PathEvent> {
        if !self.targets.contains_key(target) {
            return Vec::new();
        }
        let mut events = Vec::new();
        if !self.is_lost(target, now) {
            events.push(PathEvent::Lost(target.clone()));
        }
        let loss = PathLoss {
            lost_at: now,
            probe_at: now + PROBE_INTERVAL,
        };
        self.losses.insert(target.clone(), loss);
        let was_isolated = self.is_isolated(now);
        if was_isolated || self.has_isolating_losses(now) {
            let isolation = self.isolation.filter(|_| was_isolated);
            let isolation = isolation.unwrap_or(Isolation {
                since: now,
                confirmed_at: now,
                probe_at: now,
            });
            self.isolation = Some(Isolation {
                confirmed_at: now,
                ..isolation
            });
            if !was_isolated {
                events.push(PathEvent::Isolated);
            }
        }
        events
    }

    fn has_isolating_losses(&self, now: Uptime) -> bool {
        let known = self.targets.len();
        let recent = self.losses.values().filter(|loss| {
            now.saturating_sub(loss.lost_at) < ISOLATION_WINDOW
                && self.connected_at.is_none_or(|at| at < loss.lost_at)
        });
        known >= MIN_ISOLATION_TARGETS && recent.count() >= ISOLATION_LOSSES.min(known)
    }
}
