//! Targets that are cold, and how many requests they get meanwhile.
//!
//! A cold target crashes if all VMs together send it more than `rate * excess + slack` requests within any second. Within a
//! second, a holder sends at most the tokens that it has saved and what its share gives it in that second. While views of
//! the members differ, at most two groups of VMs hold shares (`members.rs`). So `2 * (tokens + rate)` over the holders of
//! one group stays below the bound, by [`ColdBounds::split`].

use super::message::ColdEntry;
use super::share::TokenShare;
use crate::notice::ReportScope;
use plantainmill_core::{TargetId, Uptime};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Groups of VMs that may hold shares of the same target at once.
const VIEW_COUNT: f64 = 2.0;
/// Requests below the hard bound that are left for differences between the times of a grant and of its send.
const BOUND_MARGIN: f64 = 1.0;
/// Part of the rate that shares use at least, if the number of holders allows it: more holders cost saved tokens.
const RATE_PART: f64 = 0.74;
/// Largest number of holders of a cold target.
const MAX_HOLDERS: u32 = 4;
/// Requests that a holder may save: one, since it could send none otherwise.
const HOLDER_TOKENS: f64 = 1.0;
/// Largest difference between the wall clocks of VMs and targets that is allowed for.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Largest age of a registry entry when it is read: targets renew theirs every second.
const REGISTRY_DELAY: Duration = Duration::from_secs(2);
/// Longest time for which a target counts as cold by one observation, whatever it says.
const MAX_COLD_TIME: Duration = Duration::from_mins(5);
/// Bound on the delay of a report, by which the times of responses at different VMs may be wrong.
const REPORT_DELAY: Duration = Duration::from_millis(750);
/// Time for which what a response said is repeated to other VMs.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Change of the remaining cold time from which it is news.
const NEWS_CHANGE: Duration = Duration::from_secs(1);
/// Largest number of entries in one report.
const MAX_REPORTED: usize = 256;
/// Requests that an online request would have used by now, before an item uses a cold target.
const BATCH_LOSS: f64 = 0.5;

/// How far the requests at a cold target may exceed its rate within a second: `rate * excess + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate.
    pub excess: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl ColdBounds {
    /// Number of VMs that share a cold target of `rate`, and the requests a second of each; `None` if the bound leaves
    /// nothing to any.
    #[must_use]
    pub fn split(self, rate: f64) -> Option<(u32, f64)> {
        let bound = rate * self.excess + self.slack - BOUND_MARGIN;
        let usable = |holders: u32| {
            let tokens = f64::from(holders) * HOLDER_TOKENS;
            (bound / VIEW_COUNT - tokens).min(rate)
        };
        let holders = (1..=MAX_HOLDERS)
            .rev()
            .find(|holders| usable(*holders) >= rate * RATE_PART)
            .unwrap_or(1);
        let usable = usable(holders);
        (rate > 0.0 && usable > 0.0).then(|| (holders, usable / f64::from(holders)))
    }
}

/// What is known about the start of a target when the registry is read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdFacts {
    /// Requests a second that a cold target of the service sustains, from all VMs together.
    pub rate: f64,
    /// Time after its start in which a target of the service is cold.
    pub start_time: Duration,
    /// Identifies the start of the target.
    pub born: u64,
    /// Time since the start of the target by wall clocks; absent if unknown. Zero for a start in the future.
    pub age: Option<Duration>,
    /// How much longer the target stays cold by its registry entry; absent if that does not say.
    pub left: Option<Duration>,
    /// When the entry was read.
    pub read_at: Uptime,
    /// When the last evacuation of its failure domain ended.
    pub revoked_at: Option<Uptime>,
}

/// A statement that a target is cold until some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ColdClaim {
    at: Uptime,
    until: Uptime,
}

/// What a response said, here or at another VM.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StatedCold {
    claim: ColdClaim,
    observer: u64,
    observed_ms: u64,
    news_at: Uptime,
}

#[derive(Debug)]
struct ColdTarget {
    rate: f64,
    /// Start of the target and cold time after starts for which `start` was determined.
    started: Option<(u64, Duration)>,
    start: ColdClaim,
    registry: ColdClaim,
    registry_left: Option<Duration>,
    revoked: ColdClaim,
    stated: Option<StatedCold>,
    was_cold: bool,
    share: TokenShare,
}

impl ColdTarget {
    fn new(now: Uptime) -> ColdTarget {
        ColdTarget {
            rate: 0.0,
            started: None,
            start: ColdClaim::default(),
            registry: ColdClaim::default(),
            registry_left: None,
            revoked: ColdClaim::default(),
            stated: None,
            was_cold: false,
            share: TokenShare::new(now),
        }
    }

    fn record_facts(&mut self, facts: &ColdFacts, now: Uptime) {
        self.rate = facts.rate;
        let cold_until = |at: Uptime, time: Duration| at + time.min(MAX_COLD_TIME);
        // A start counts by the clocks when it is first seen: the age of one in the future stays zero.
        if self.started != Some((facts.born, facts.start_time)) {
            self.started = Some((facts.born, facts.start_time));
            let age = facts.age.filter(|_| !facts.start_time.is_zero());
            self.start = age.map_or_else(ColdClaim::default, |age| ColdClaim {
                at: now,
                until: cold_until(now, (facts.start_time + CLOCK_MARGIN).saturating_sub(age)),
            });
        }
        if facts.left != self.registry_left {
            self.registry_left = facts.left;
            let left = facts.left.unwrap_or_default();
            let margin = if left.is_zero() {
                Duration::ZERO
            } else {
                CLOCK_MARGIN
            };
            self.registry = ColdClaim {
                at: facts.read_at,
                until: cold_until(facts.read_at, left + margin),
            };
        }
        self.revoked = ColdClaim::default();
        let is_dismissed = |revoked_at: Uptime| {
            facts.left == Some(Duration::ZERO) && facts.read_at >= revoked_at + REGISTRY_DELAY
        };
        if let Some(at) = facts.revoked_at.filter(|at| !is_dismissed(*at)) {
            self.revoked = ColdClaim {
                at,
                until: cold_until(at, facts.start_time),
            };
        }
    }

    /// Time until which the target is cold: the latest claim, without those from before the last response that stated it.
    fn until(&self) -> Uptime {
        let stated = self.stated.map(|stated| stated.claim).unwrap_or_default();
        // An entry may have been written some time before it was read.
        let registry = ColdClaim {
            at: self.registry.at.saturating_sub(REGISTRY_DELAY),
            ..self.registry
        };
        let claims = [self.start, registry, self.revoked];
        let later = claims.into_iter().filter(|claim| claim.at >= stated.at);
        let later = later.map(|claim| claim.until);
        later.chain([stated.until]).max().unwrap_or_default()
    }

    fn is_cold(&self, now: Uptime) -> bool {
        self.rate > 0.0 && now < self.until()
    }
}

/// The cold targets, as known to one VM.
#[derive(Debug)]
pub(super) struct ColdLedger {
    bounds: Option<ColdBounds>,
    vm_key: u64,
    targets: BTreeMap<TargetId, ColdTarget>,
}

impl ColdLedger {
    pub fn new(vm_key: u64) -> ColdLedger {
        ColdLedger {
            bounds: None,
            vm_key,
            targets: BTreeMap::new(),
        }
    }

    pub fn set_bounds(&mut self, bounds: ColdBounds) {
        self.bounds = Some(bounds);
    }

    /// Whether there are bounds, without which no target is taken for a cold one.
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Number of holders of a target, and the requests a second of each.
    pub fn split(&self, rate: f64) -> Option<(u32, f64)> {
        self.bounds?.split(rate)
    }

    /// Replaces what the registry says about all targets.
    pub fn set_facts(&mut self, facts: impl Iterator<Item = (TargetId, ColdFacts)>, now: Uptime) {
        if self.bounds.is_none() {
            return;
        }
        let mut former = std::mem::take(&mut self.targets);
        for (id, facts) in facts.filter(|(_, facts)| facts.rate > 0.0) {
            let known = former.remove(&id);
            let mut target = known.unwrap_or_else(|| ColdTarget::new(now));
            target.record_facts(&facts, now);
            self.targets.insert(id, target);
        }
    }

    /// Targets that are cold, with their rates.
    pub fn cold(&self, now: Uptime) -> impl Iterator<Item = (&TargetId, f64)> {
        let targets = self.targets.iter();
        let cold = targets.filter(move |(_, target)| target.is_cold(now));
        cold.map(|(id, target)| (id, target.rate))
    }

    pub fn is_cold(&self, target: &TargetId, now: Uptime) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| known.is_cold(now))
    }

    /// This VM's share of a target that is cold.
    pub fn share(&self, target: &TargetId, now: Uptime) -> Option<&TokenShare> {
        let known = self.targets.get(target);
        known
            .filter(|known| known.is_cold(now))
            .map(|known| &known.share)
    }

    pub fn set_share(&mut self, target: &TargetId, share: Option<f64>, now: Uptime) {
        if let Some(known) = self.targets.get_mut(target) {
            let tokens = share.map_or(0.0, |_| HOLDER_TOKENS);
            known.share.set((share.unwrap_or(0.0), tokens), now);
        }
    }

    /// Takes the permission to send a request to a target that is cold.
    pub fn take(&mut self, target: &TargetId, now: Uptime) {
        if let Some(known) = self.targets.get_mut(target) {
            known.share.take(now);
        }
    }

    /// Whether an item may use a share: no online request has used it for a while.
    pub fn is_left_over(share: &TokenShare, now: Uptime) -> bool {
        share.is_full(now) && share.lost_at(now) >= BATCH_LOSS
    }

    /// Targets that have become cold or warm since the last call, with the time for which they stay cold.
    pub fn take_changes(&mut self, now: Uptime) -> Vec<(TargetId, f64, Duration)> {
        let mut changes = Vec::new();
        for (id, target) in &mut self.targets {
            let is_cold = target.is_cold(now);
            if std::mem::replace(&mut target.was_cold, is_cold) != is_cold {
                if is_cold {
                    // What a target that was warm had saved is no part of the bound.
                    target.share = TokenShare::new(now);
                }
                let left = target.until().saturating_sub(now);
                changes.push((id.clone(), target.rate, left));
            }
        }
        changes
    }

    /// Records how much longer a response says that its target stays cold.
    pub fn record_response(&mut self, target: &TargetId, left: Duration, now: Uptime) {
        let observed_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.record(target, left, (self.vm_key, observed_ms), now, now);
    }

    fn record(
        &mut self,
        target: &TargetId,
        left: Duration,
        (observer, observed_ms): (u64, u64),
        at: Uptime,
        now: Uptime,
    ) {
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        let claim = ColdClaim {
            at,
            until: at + left.min(MAX_COLD_TIME),
        };
        let is_news = known.until().abs_diff(claim.until) >= NEWS_CHANGE
            && (known.is_cold(now) || claim.until > now);
        let news_at = match known.stated {
            Some(stated) if !is_news => stated.news_at,
            None if !is_news => now.saturating_sub(NEWS_TIME),
            _ => now,
        };
        known.stated = Some(StatedCold {
            claim,
            observer,
            observed_ms,
            news_at,
        });
    }

    pub fn record_report(&mut self, entries: &[ColdEntry], now: Uptime) {
        for entry in entries {
            let at = now.saturating_sub(Duration::from_millis(entry.age_ms));
            let stated = self.targets.get(&entry.target).map(|known| known.stated);
            let is_newer = stated.is_some_and(|stated| {
                stated.is_none_or(|stated| {
                    if stated.observer == entry.observer {
                        entry.observed_ms > stated.observed_ms
                    } else {
                        at > stated.claim.at + REPORT_DELAY
                    }
                })
            });
            let is_live = now.saturating_sub(at) < MAX_COLD_TIME;
            if entry.observer != self.vm_key && is_newer && is_live {
                let left = Duration::from_millis(entry.left_ms);
                let observation = (entry.observer, entry.observed_ms);
                self.record(&entry.target, left, observation, at, now);
            }
        }
    }

    pub fn has_news(&self, scope: ReportScope, now: Uptime) -> bool {
        let mut stated = self.targets.values().filter_map(|target| target.stated);
        stated.any(|stated| {
            now.saturating_sub(stated.news_at) < NEWS_TIME && self.covers(scope, stated)
        })
    }

    fn covers(&self, scope: ReportScope, stated: StatedCold) -> bool {
        scope == ReportScope::All || stated.observer == self.vm_key
    }

    /// What responses said, for other VMs.
    pub fn report(&self, scope: ReportScope, now: Uptime) -> Vec<ColdEntry> {
        let stated = self
            .targets
            .iter()
            .filter_map(|(id, target)| Some((id, target.stated?)));
        let mut covered: Vec<(&TargetId, StatedCold)> = stated
            .filter(|(_, stated)| self.covers(scope, *stated))
            .filter(|(_, stated)| now.saturating_sub(stated.claim.at) < MAX_COLD_TIME)
            .collect();
        covered.sort_by_key(|(_, stated)| Reverse(stated.news_at));
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let entries = covered.into_iter().take(MAX_REPORTED);
        entries
            .map(|(id, stated)| ColdEntry {
                target: id.clone(),
                left_ms: millis(stated.claim.until.saturating_sub(stated.claim.at)),
                observer: stated.observer,
                observed_ms: stated.observed_ms,
                age_ms: millis(now.saturating_sub(stated.claim.at)),
            })
            .collect()
    }
}
