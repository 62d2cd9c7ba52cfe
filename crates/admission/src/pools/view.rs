//! What a VM knows of the fleet, and since when it has held pools by that.

use super::placement::{holder_of, to_f64};
use plantainmill_core::{DomainName, OrganisationId, RegionName, Uptime, VmId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time after which a VM that has become the holder of a pool starts to refill it. The former holder learns later that it
/// is none any more, by the delay of reports; meanwhile both would refill.
const HANDOVER_DELAY: Duration = Duration::from_millis(700);
/// The same where all VMs of the domain have started together, so that there is no former holder. The first views of VMs that
/// start differ for about as long.
const JOINT_START_DELAY: Duration = Duration::from_millis(300);
/// Longest time from the start of a VM to its first view for which the start counts as a joint one.
const MAX_JOINT_START: Duration = Duration::from_secs(5);
/// Number of views that are kept. A VM that has held a pool for longer counts as the holder since the oldest of them.
const MAX_VIEWS: usize = 64;

/// Live VMs, as known to one VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// Live VMs of each failure domain that may hold pools; this VM is one of its domain's.
    pub members: BTreeMap<DomainName, Vec<VmId>>,
    /// VMs of this VM's domain that it hears, itself included.
    pub heard: usize,
    /// VMs of this VM's domain that it knows of, heard or not, itself included.
    pub known: usize,
    /// This VM is the only one of the fleet, as far as it knows.
    pub is_alone: bool,
    /// Start of this VM, if no VM of its domain that it hears has run before: none has held pools since.
    pub started_together_at: Option<Uptime>,
}

impl FleetView {
    /// Whether this VM hears so few of its domain that the others have elected other holders.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.heard * 2 < self.known
    }

    /// Fraction of the domain's VMs that it hears. The others are left their shares of the rate.
    fn heard_fraction(&self) -> f64 {
        (to_f64(self.heard) / to_f64(self.known.max(1))).min(1.0)
    }
}

/// A VM and its place in the settings of the fleet.
#[derive(Clone, Debug)]
pub(super) struct OwnPlace {
    pub vm: VmId,
    pub domain: DomainName,
    pub regions: BTreeMap<DomainName, RegionName>,
}

impl OwnPlace {
    /// `domains` in the order in which their pools are asked: the own one, those of the own region, the others.
    pub fn sort_domains(&self, domains: &mut [DomainName]) {
        let own_region = self.regions.get(&self.domain);
        domains.sort_by_key(|domain| {
            let is_far = self.regions.get(domain) != own_region;
            (*domain != self.domain, is_far)
        });
    }

    pub fn is_same_region(&self, domain: &DomainName) -> bool {
        self.regions.get(domain) == self.regions.get(&self.domain)
    }
}

/// Failure domains of which this VM has heard VMs. One that is lost stays known, since its VMs come back.
#[derive(Debug, Default)]
pub(super) struct KnownDomains {
    heard: BTreeSet<DomainName>,
    first_view_at: Option<Uptime>,
    /// Domains without VMs are left out.
    is_settled: bool,
}

impl KnownDomains {
    pub fn record(&mut self, view: &FleetView, now: Uptime) {
        self.first_view_at.get_or_insert(now);
        let members = view.members.iter().filter(|(_, vms)| !vms.is_empty());
        for (domain, _) in members {
            if !self.heard.contains(domain) {
                self.heard.insert(domain.clone());
            }
        }
    }

    /// Leaves out domains without VMs from `time` after the first view on. Returns whether this has just begun.
    pub fn settle(&mut self, time: Duration, now: Uptime) -> bool {
        let elapsed = self.first_view_at.map(|at| now.saturating_sub(at));
        let is_due = elapsed.is_some_and(|elapsed| elapsed >= time);
        is_due && !std::mem::replace(&mut self.is_settled, true)
    }

    /// Whether a domain of the settings has VMs, as far as this VM knows.
    pub fn may_have_vms(&self, domain: &DomainName) -> bool {
        !self.is_settled || self.heard.contains(domain)
    }
}

struct PastView {
    from: Uptime,
    view: FleetView,
}

/// A pool that this VM holds.
pub(super) struct HeldPool {
    /// Seconds for which the pool has been refilled at its whole rate.
    pub refilled_seconds: f64,
    /// Fraction of the pool's rate at which it is refilled now. Zero before the refill starts.
    pub fraction: f64,
}

/// The views of the fleet that this VM has had, the newest last.
#[derive(Default)]
pub(super) struct ViewHistory {
    views: VecDeque<PastView>,
}

impl ViewHistory {
    /// Adds a view unless it is the same as the last one. Returns whether it is another.
    pub fn push(&mut self, view: FleetView, now: Uptime) -> bool {
        if self.views.back().is_some_and(|last| last.view == view) {
            return false;
        }
        self.views.push_back(PastView { from: now, view });
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
        true
    }

    /// Forgets all views: this VM was suspended and does not know what has happened since.
    pub fn clear(&mut self) {
        self.views.clear();
    }

    pub fn current(&self) -> Option<&FleetView> {
        self.views.back().map(|last| &last.view)
    }

    /// Whether this VM holds the pool by the current view, and for how long it has refilled it.
    pub fn held_pool(
        &self,
        own: &OwnPlace,
        organisation: &OrganisationId,
        domain: &DomainName,
        now: Uptime,
    ) -> Option<HeldPool> {
        let views = self.views.iter().rev();
        let held: Vec<&PastView> = views
            .take_while(|past| is_holder(own, &past.view, organisation, domain))
            .collect();
        let first = held.last()?;
        let joint_start = first.view.started_together_at.filter(|at| {
            let is_first_view = held.len() == self.views.len() && self.views.len() < MAX_VIEWS;
            is_first_view && first.from.saturating_sub(*at) < MAX_JOINT_START
        });
        let delay = match joint_start {
            _ if first.view.is_alone => Duration::ZERO,
            Some(_) => JOINT_START_DELAY,
            None => HANDOVER_DELAY,
        };
        let starts_at = first.from + delay;
        let refilled_from = joint_start.unwrap_or(starts_at);
        let mut until = now;
        let mut refilled_seconds = 0.0;
        for past in &held {
            let is_first = std::ptr::eq(*past, *first);
            let from = if is_first {
                refilled_from
            } else {
                past.from.max(refilled_from)
            };
            refilled_seconds +=
                until.saturating_sub(from).as_secs_f64() * past.view.heard_fraction();
            until = past.from;
        }
        let current = held.first().map_or(0.0, |past| past.view.heard_fraction());
        Some(HeldPool {
            refilled_seconds,
            fraction: if now >= starts_at { current } else { 0.0 },
        })
    }

    /// Start of the time for which this VM has been cut off from its domain without a break.
    pub fn cut_off_since(&self) -> Option<Uptime> {
        let views = self.views.iter().rev();
        let cut_off = views.take_while(|past| past.view.is_cut_off());
        cut_off.last().map(|past| past.from)
    }
}

fn is_holder(
    own: &OwnPlace,
    view: &FleetView,
    organisation: &OrganisationId,
    domain: &DomainName,
) -> bool {
    if view.is_alone {
        return true;
    }
    if *domain != own.domain || view.is_cut_off() {
        return false;
    }
    let members = view.members.get(domain).into_iter().flatten();
    holder_of(organisation, domain, members) == Some(&own.vm)
}
