//! State machine of the limits that targets name, and of this VM's share of them.

use super::cold::{ColdBounds, ColdFacts, ColdLedger};
use super::members::{COUNTED_TIME, CountedMembers};
use super::message::{LimitEntry, LimitReport};
use super::share::TokenShare;
use crate::dispatcher::TrafficClass;
use crate::notice::ReportScope;
use crate::rendezvous::{key_of, score};
use plantainmill_core::{DomainName, RegionName, RegionSet, ServiceName, TargetId, Uptime, VmId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time without a response that names it after which a limit counts as ended.
const LIMIT_RETENTION: Duration = Duration::from_mins(1);
/// Bound on the delay of a report, by which the times of responses at different VMs may be wrong.
const REPORT_DELAY: Duration = Duration::from_millis(750);
/// Largest number of VMs that share a limit.
const MAX_HOLDERS: usize = 32;
/// Requests a second of a limit for each VM that shares it. Fewer VMs can each save more requests.
const RATE_PER_HOLDER: f64 = 2.0;
/// Time for which the unused part of a limit is saved. The limit is kept on average over a few seconds.
const SAVED_TIME: Duration = Duration::from_secs(1);
/// Requests that all VMs may have saved at one target in addition, so that each of them can save whole ones.
const SAVED_REQUESTS: f64 = 2.0;
/// Smallest rate, in requests a second, so that the end of a limit is noticed.
const MIN_RATE: f64 = 0.1;
/// Largest number of targets whose limits are known.
const MAX_LIMITED: usize = 1_024;
/// Largest number of entries in one report, which fits into a datagram.
const MAX_REPORTED: usize = 256;
/// Time for which news are repeated in reports, since single datagrams are lost.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Change of a limit, as a fraction, from which it is news.
const NEWS_CHANGE: f64 = 0.1;

/// A target, as far as limits concern it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitedTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Service that it provides.
    pub service: ServiceName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Region of the failure domain; `None` if it is not known.
    pub region: Option<RegionName>,
}

/// A change of state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitEvent {
    /// A target has named another limit, or none any more.
    Changed {
        /// Target that named it.
        target: TargetId,
        /// Limit in requests a second.
        rate: Option<f64>,
        /// Part of it that this VM may use, in requests a second.
        share: f64,
    },
    /// A target has become cold.
    Cold {
        /// Target that is cold.
        target: TargetId,
        /// Requests a second that it sustains.
        rate: f64,
        /// Time for which it stays cold.
        left: Duration,
        /// Part of the rate that this VM may use, in requests a second.
        share: f64,
    },
    /// A target is cold no longer.
    Warm {
        /// Target that was cold.
        target: TargetId,
    },
}

#[derive(Debug)]
struct NamedLimit {
    rate: Option<f64>,
    observer: u64,
    observed_ms: u64,
    observed_at: Uptime,
    /// When the limit last became news.
    news_at: Uptime,
    /// Part of the rate that this VM may use.
    share: TokenShare,
}

/// The limits of all targets, as known to one VM.
#[derive(Debug)]
pub struct LimitLedger {
    vm: VmId,
    vm_key: u64,
    targets: HashMap<TargetId, LimitedTarget>,
    members: BTreeMap<DomainName, Vec<VmId>>,
    limits: BTreeMap<TargetId, NamedLimit>,
    cold: ColdLedger,
    /// Members of each failure domain that share its cold targets.
    counted: BTreeMap<DomainName, CountedMembers>,
    /// VMs of the own failure domain that may not have been heard.
    known: Vec<VmId>,
    started_at: Option<Uptime>,
}

impl LimitLedger {
    /// An empty ledger of `vm`.
    #[must_use]
    pub fn new(vm: VmId) -> LimitLedger {
        LimitLedger {
            vm_key: key_of(&vm),
            cold: ColdLedger::new(key_of(&vm)),
            vm,
            targets: HashMap::new(),
            members: BTreeMap::new(),
            limits: BTreeMap::new(),
            counted: BTreeMap::new(),
            known: Vec::new(),
            started_at: None,
        }
    }

    /// Keeps to the rates of cold targets from now on, within these bounds.
    pub fn set_cold_bounds(&mut self, bounds: ColdBounds) {
        self.cold.set_bounds(bounds);
    }

    /// Replaces the targets. Limits of targets that are not listed stay until they end, since an entry may lapse.
    pub fn set_targets(&mut self, targets: impl Iterator<Item = LimitedTarget>, now: Uptime) {
        let targets = targets.map(|target| (target.id.clone(), target));
        self.targets = targets.collect();
        self.update_shares(now);
    }

    /// Replaces what is known about the starts of all targets. To be called after [`LimitLedger::set_targets`].
    pub fn set_cold_facts(
        &mut self,
        facts: impl Iterator<Item = (TargetId, ColdFacts)>,
        now: Uptime,
    ) -> Vec<LimitEvent> {
        self.cold.set_facts(facts, now);
        self.update_cold_shares(now)
    }

    /// Replaces the VMs of this VM's own failure domain that are known but may not have been heard.
    pub fn set_known(&mut self, known: Vec<VmId>) {
        self.known = known;
    }

    /// Replaces the live VMs of each failure domain, this one included.
    pub fn set_members(&mut self, mut members: BTreeMap<DomainName, Vec<VmId>>, now: Uptime) {
        for vms in members.values_mut() {
            vms.sort();
        }
        self.started_at.get_or_insert(now);
        let mut is_changed = false;
        for (domain, vms) in members.iter().filter(|_| self.cold.is_enabled()) {
            let counted = self.counted.entry(domain.clone());
            let counted = counted.or_insert_with(|| CountedMembers::new(now));
            let is_own = vms.contains(&self.vm);
            let known = if is_own { &self.known[..] } else { &[] };
            is_changed |= counted.update(vms, known, now);
        }
        if members != self.members {
            self.members = members;
            self.update_shares(now);
        }
        if is_changed {
            self.set_cold_shares(now);
        }
    }

    /// Part of the rate of a cold target that this VM may use, in requests a second.
    fn cold_share_of(&self, target: &TargetId, rate: f64, now: Uptime) -> Option<f64> {
        let domain = &self.targets.get(target)?.domain;
        let (holders, share) = self.cold.split(rate)?;
        let key = key_of(target);
        let is_holder = |members: &[VmId]| {
            if !members.contains(&self.vm) {
                return false;
            }
            let own = Reverse((score(&self.vm, key), &self.vm));
            let is_before = |vm: &&VmId| Reverse((score(vm, key), *vm)) < own;
            let holders = usize::try_from(holders).unwrap_or(usize::MAX);
            members.iter().filter(is_before).count() < holders
        };
        let counted = self.counted.get(domain);
        if let Some(counted) = counted.filter(|counted| counted.has_members()) {
            let is_held = counted.recent_sets().all(is_holder);
            return (is_held && counted.may_hold(now)).then_some(share);
        }
        // Where no VM runs in the domain of the target, the VMs of all domains share it. One that has not run for long may
        // not know those of the domain yet.
        let is_settled = now.saturating_sub(self.started_at?) >= COUNTED_TIME;
        let own = self.counted.values().find(|counted| {
            let mut sets = counted.recent_sets();
            sets.any(|set| set.contains(&self.vm))
        })?;
        let all: Vec<VmId> = self.members.values().flatten().cloned().collect();
        (is_settled && own.may_hold(now) && is_holder(&all)).then_some(share)
    }

    fn set_cold_shares(&mut self, now: Uptime) {
        let cold: Vec<(TargetId, f64)> = self
            .cold
            .cold(now)
            .map(|(target, rate)| (target.clone(), rate))
            .collect();
        for (target, rate) in cold {
            let share = self.cold_share_of(&target, rate, now);
            self.cold.set_share(&target, share, now);
        }
    }

    fn update_cold_shares(&mut self, now: Uptime) -> Vec<LimitEvent> {
        let changes = self.cold.take_changes(now);
        self.set_cold_shares(now);
        let changes = changes.into_iter().map(|(target, rate, left)| {
            if left.is_zero() {
                return LimitEvent::Warm { target };
            }
            let share = self.cold_share_of(&target, rate, now).unwrap_or(0.0);
            LimitEvent::Cold {
                target,
                rate,
                left,
                share,
            }
        });
        changes.collect()
    }

    /// Whether this VM may send no request of `class` to a target that is cold.
    fn is_cold_exhausted(&self, target: &TargetId, class: TrafficClass, now: Uptime) -> bool {
        let Some(share) = self.cold.share(target, now) else {
            return false;
        };
        let domain = self.targets.get(target).map(|target| &target.domain);
        let counted = domain.and_then(|domain| self.counted.get(domain));
        // The members may be too old, as after this VM was frozen.
        if counted.is_some_and(|counted| counted.has_members() && !counted.may_hold(now)) {
            return true;
        }
        match class {
            TrafficClass::Online => share.is_exhausted(now),
            TrafficClass::Batch => !ColdLedger::is_left_over(share, now),
        }
    }

    /// Records how much longer a response of `target` says that it stays cold.
    pub fn record_cold(&mut self, target: &TargetId, left: Duration, now: Uptime) {
        self.cold.record_response(target, left, now);
    }

    /// Records what a response of `target` says about its limit.
    pub fn record_response(
        &mut self,
        target: &TargetId,
        rate: Option<f64>,
        now: Uptime,
    ) -> Option<LimitEvent> {
        let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        if rate.is_none() && !self.limits.contains_key(target) {
            return None;
        }
        let observed_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.record(target, rate, (self.vm_key, observed_ms), now, now)
    }

    fn record(
        &mut self,
        target: &TargetId,
        rate: Option<f64>,
        (observer, observed_ms): (u64, u64),
        observed_at: Uptime,
        now: Uptime,
    ) -> Option<LimitEvent> {
        if !self.limits.contains_key(target) && self.limits.len() >= MAX_LIMITED {
            return None;
        }
        let (share, max_tokens) = rate.map_or((0.0, 0.0), |rate| self.share_of(target, rate));
        let limit = self
            .limits
            .entry(target.clone())
            .or_insert_with(|| NamedLimit {
                rate: None,
                observer,
                observed_ms,
                observed_at,
                news_at: now,
                share: TokenShare::new(now),
            });
        let is_news = is_changed(limit.rate, rate);
        limit.rate = rate;
        limit.share.set((share, max_tokens), now);
        (limit.observer, limit.observed_ms) = (observer, observed_ms);
        limit.observed_at = observed_at;
        if !is_news {
            return None;
        }
        limit.news_at = now;
        Some(LimitEvent::Changed {
            target: target.clone(),
            rate,
            share,
        })
    }

    /// Part of `rate` that this VM may use at `target`, and the requests that it may have saved: the VMs of the target's failure domain that come first in its own
    /// order divide it evenly. If none is live there, the VMs of all domains do.
    fn share_of(&self, target: &TargetId, rate: f64) -> (f64, f64) {
        let domain = self.targets.get(target).map(|target| &target.domain);
        let near = domain.and_then(|domain| self.members.get(domain));
        let near = near.filter(|vms| !vms.is_empty());
        let mut vms: Vec<&VmId> = near.map_or_else(
            || self.members.values().flatten().collect(),
            |vms| vms.iter().collect(),
        );
        let key = key_of(target);
        vms.sort_by_cached_key(|vm| Reverse((score(vm, key), (*vm).clone())));
        vms.truncate(holder_count(rate));
        if !vms.contains(&&self.vm) {
            return (0.0, 0.0);
        }
        let holders = f64::from(u32::try_from(vms.len()).unwrap_or(u32::MAX));
        let saved = rate * SAVED_TIME.as_secs_f64() + SAVED_REQUESTS;
        (rate.max(MIN_RATE) / holders, (saved / holders).max(1.0))
    }

    fn update_shares(&mut self, now: Uptime) {
        let shares: Vec<(TargetId, (f64, f64))> = self
            .limits
            .iter()
            .filter_map(|(target, limit)| {
                let rate = limit.rate?;
                Some((target.clone(), self.share_of(target, rate)))
            })
            .collect();
        for (target, share) in shares {
            if let Some(limit) = self.limits.get_mut(&target) {
                limit.share.set(share, now);
            }
        }
    }

    /// Targets of `service` to which this VM may send no request of `class` now. Batch requests leave what is saved to
    /// online ones, and cold targets to them while the service has warm ones.
    #[must_use]
    pub fn exhausted(
        &self,
        service: &ServiceName,
        class: TrafficClass,
        now: Uptime,
    ) -> Vec<TargetId> {
        let spares_cold = class == TrafficClass::Batch && self.has_warm(service, now);
        self.matching(service, now, |target, limit| {
            let is_limited = limit.is_some_and(|limit| match class {
                TrafficClass::Online => limit.is_exhausted(now),
                TrafficClass::Batch => limit.rate.is_some() && !limit.share.is_full(now),
            });
            let is_spared = spares_cold && self.cold.is_cold(target, now);
            is_limited || is_spared || self.is_cold_exhausted(target, class, now)
        })
    }

    /// Targets of `service` that this VM uses only where no target without a limit can serve: what it does not use of
    /// their limits is saved, and cold ones come last.
    #[must_use]
    pub fn spared(&self, service: &ServiceName, now: Uptime) -> Vec<TargetId> {
        self.matching(service, now, |target, limit| {
            let is_saved =
                limit.is_some_and(|limit| limit.rate.is_some() && !limit.share.is_full(now));
            is_saved || self.cold.is_cold(target, now)
        })
    }

    /// Targets of `service` that have a limit or are cold.
    #[must_use]
    pub fn limited_targets(&self, service: &ServiceName, now: Uptime) -> Vec<TargetId> {
        self.matching(service, now, |target, limit| {
            limit.is_some_and(|limit| limit.rate.is_some()) || self.cold.is_cold(target, now)
        })
    }

    fn has_warm(&self, service: &ServiceName, now: Uptime) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.service == *service && !self.cold.is_cold(&target.id, now))
    }

    /// Targets of `service` with limits, or that are cold, which match.
    fn matching(
        &self,
        service: &ServiceName,
        now: Uptime,
        matches: impl Fn(&TargetId, Option<&NamedLimit>) -> bool,
    ) -> Vec<TargetId> {
        let serves = |id: &TargetId| {
            let known = self.targets.get(id);
            known.is_some_and(|target| target.service == *service)
        };
        let limits = self.limits.iter();
        let limited = limits.filter(|(id, limit)| serves(id) && matches(id, Some(limit)));
        let limited = limited.map(|(id, _)| id.clone());
        let cold = self.cold.cold(now).map(|(id, _)| id);
        let cold = cold.filter(|id| !self.limits.contains_key(*id));
        let cold = cold.filter(|id| serves(id) && matches(id, None));
        limited.chain(cold.cloned()).collect()
    }

    /// Whether a target is in one of `regions`.
    #[must_use]
    pub fn is_allowed(&self, target: &TargetId, regions: &RegionSet) -> bool {
        let known = self.targets.get(target);
        regions.allows(known.and_then(|target| target.region.as_ref()))
    }

    /// Time until this VM may send a request to any target of `service` in one of `regions`; `None` if it never may. Zero if one is
    /// free.
    #[must_use]
    pub fn next_free(
        &self,
        service: &ServiceName,
        regions: &RegionSet,
        now: Uptime,
    ) -> Option<Duration> {
        let targets = self.targets.values();
        let targets = targets
            .filter(|target| target.service == *service && regions.allows(target.region.as_ref()));
        targets
            .filter_map(|target| {
                let limited = match self.limits.get(&target.id) {
                    Some(limit) => limit.next_free(now)?,
                    None => Duration::ZERO,
                };
                let cold = match self.cold.share(&target.id, now) {
                    Some(share)
                        if self.is_cold_exhausted(&target.id, TrafficClass::Online, now) =>
                    {
                        share.next_free(now).filter(|wait| !wait.is_zero())?
                    }
                    _ => Duration::ZERO,
                };
                Some(limited.max(cold))
            })
            .min()
    }

    /// Takes the permission to send one request to `target`. Returns false if there is none.
    pub fn take(&mut self, target: &TargetId, now: Uptime) -> bool {
        if self.is_cold_exhausted(target, TrafficClass::Online, now) {
            return false;
        }
        if let Some(limit) = self.limits.get_mut(target) {
            if limit.is_exhausted(now) {
                return false;
            }
            limit.share.take(now);
        }
        if self.cold.is_cold(target, now) {
            self.cold.take(target, now);
        }
        true
    }

    /// Records a report of another VM.
    pub fn record_report(&mut self, report: &LimitReport, now: Uptime) -> Vec<LimitEvent> {
        let mut events = Vec::new();
        for entry in &report.entries {
            let observed_at = now.saturating_sub(Duration::from_millis(entry.age_ms));
            let is_newer = self.limits.get(&entry.target).is_none_or(|known| {
                if known.observer == entry.observer {
                    entry.observed_ms > known.observed_ms
                } else {
                    observed_at > known.observed_at + REPORT_DELAY
                }
            });
            let is_live = now.saturating_sub(observed_at) < LIMIT_RETENTION;
            if entry.observer == self.vm_key || !is_newer || !is_live {
                continue;
            }
            let observation = (entry.observer, entry.observed_ms);
            events.extend(self.record(&entry.target, entry.rate, observation, observed_at, now));
        }
        self.cold.record_report(&report.cold, now);
        events
    }

    /// Ends the limits that no response has named for long, and updates the shares of cold targets.
    pub fn tick(&mut self, now: Uptime) -> Vec<LimitEvent> {
        self.limits
            .retain(|_, limit| now.saturating_sub(limit.observed_at) < LIMIT_RETENTION);
        self.update_cold_shares(now)
    }

    /// Whether there are news that a report of this scope should repeat.
    #[must_use]
    pub fn has_news(&self, scope: ReportScope, now: Uptime) -> bool {
        let mut limits = self.limits.values();
        let has_limits = limits.any(|limit| {
            now.saturating_sub(limit.news_at) < NEWS_TIME && self.covers(scope, limit)
        });
        has_limits || self.cold.has_news(scope, now)
    }

    fn covers(&self, scope: ReportScope, limit: &NamedLimit) -> bool {
        scope == ReportScope::All || limit.observer == self.vm_key
    }

    /// The report to other VMs: all known limits, and recent ends.
    #[must_use]
    pub fn report(&self, scope: ReportScope, now: Uptime) -> LimitReport {
        let mut covered: Vec<(&TargetId, &NamedLimit)> = self
            .limits
            .iter()
            .filter(|(_, limit)| self.covers(scope, limit))
            .collect();
        covered.sort_by_key(|(_, limit)| Reverse(limit.news_at));
        let entries = covered.into_iter().take(MAX_REPORTED);
        LimitReport {
            entries: entries
                .map(|(target, limit)| LimitEntry {
                    target: target.clone(),
                    rate: limit.rate,
                    observer: limit.observer,
                    observed_ms: limit.observed_ms,
                    age_ms: u64::try_from(now.saturating_sub(limit.observed_at).as_millis())
                        .unwrap_or(u64::MAX),
                })
                .collect(),
            cold: self.cold.report(scope, now),
        }
    }

    /// Number of targets with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Number of cold targets.
    #[must_use]
    pub fn cold_count(&self, now: Uptime) -> usize {
        self.cold.cold(now).count()
    }

    /// Limits of targets with this VM's share, in requests a second.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> serde_json::Value {
        let limits = self.limits.iter().map(|(target, limit)| {
            serde_json::json!({
                "target": target, "limit": limit.rate, "share": limit.share.rate,
                "age_ms": now.saturating_sub(limit.observed_at).as_millis(),
            })
        });
        let cold = self.cold.cold(now).map(|(target, rate)| {
            let share = self.cold.share(target, now).map(|share| share.rate);
            serde_json::json!({"target": target, "cold_rate": rate, "share": share})
        });
        limits.chain(cold).collect()
    }
}

impl NamedLimit {
    fn is_exhausted(&self, now: Uptime) -> bool {
        self.rate.is_some() && self.share.is_exhausted(now)
    }

    fn next_free(&self, now: Uptime) -> Option<Duration> {
        match self.rate {
            Some(_) => self.share.next_free(now),
            None => Some(Duration::ZERO),
        }
    }
}

/// Number of VMs that share a limit of `rate` requests a second.
fn holder_count(rate: f64) -> usize {
    let rate_of = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from) * RATE_PER_HOLDER;
    let counts = (1..MAX_HOLDERS).take_while(|count| rate_of(*count) < rate);
    counts.count() + 1
}

fn is_changed(former: Option<f64>, rate: Option<f64>) -> bool {
    match (former, rate) {
        (Some(former), Some(rate)) => (rate - former).abs() > former * NEWS_CHANGE,
        (former, rate) => former.is_some() != rate.is_some(),
    }
}
