//! State machine of the rate limits that are based on usage reports.

use crate::limiter::RateVerdict;
use plantainmill_core::{DomainName, Incarnation, OrganisationId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// A peer without a report for this long counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// A peer without a report for this long may be unreachable: heartbeats come every 300 ms. Until it reports again, each VM is
/// held to its own share of the rate, since the peer may spend the same tokens.
const PEER_SILENCE: Duration = Duration::from_millis(400);
/// A peer without a report for this long has certainly been replaced. Until then its share of the rate stays
/// reserved.
const PEER_RETENTION: Duration = Duration::from_secs(20);
/// Below this fraction of the burst, each VM is held to its own share of the rate.
const LOW_LEVEL_FRACTION: f64 = 0.3;
/// Fraction of the burst that a new bucket holds, since the burst may have been used just before a restart.
const INITIAL_LEVEL_FRACTION: f64 = 0.5;
/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Minimum share of a VM, as a fraction of an equal share. It lets a VM without demand so far admit requests.
const MIN_SHARE_FRACTION: f64 = 0.2;
/// A VM may accumulate this much time's worth of its own share.
const MAX_SAVED_TIME: Duration = Duration::from_millis(500);
/// Streams that go on may use this much time's worth of the rate of unreachable VMs in advance, over all VMs together.
const CONTINUATION_CREDIT: Duration = Duration::from_secs(1);
/// An organisation without requests for this long is left out of reports.
const REPORT_IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Unchanged organisations that each report of changes repeats in turn, so that a lost report is made good.
const REPEATED_ENTRIES: usize = 16;
/// Retry delay of refused requests: a VM's share of a low rate takes about this long to yield a token.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Origin of a usage report.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum UsageSource {
    /// A VM of this VM's failure domain.
    Vm(VmId),
    /// All VMs of another failure domain, as summed up by one of them. Sums by different VMs are not comparable.
    Domain {
        /// Failure domain that the sum covers.
        domain: DomainName,
        /// VM that computed the sum, and its incarnation.
        aggregator: (VmId, Incarnation),
    },
}

/// Usage of one organisation at one VM, or at all VMs of a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageEntry {
    /// Organisation that the usage belongs to.
    pub organisation: OrganisationId,
    /// Number of requests admitted since the reporting VM started.
    pub admitted: u64,
    /// Requests per second, admitted or refused, as a moving average.
    pub demand: f64,
    /// Tokens left in the fleet-wide bucket, as estimated by the reporting VM.
    pub level: f64,
}

#[derive(Debug)]
struct OrganisationUsage {
    /// Tokens left in the fleet-wide bucket, as estimated by this VM.
    level: f64,
    /// Tokens set aside for the VMs that are not reachable: their part of the bucket when they were lost, and of the rate
    /// since then.
    reserved: f64,
    /// Fraction of the fleet that was reachable at the last request.
    reachable: f64,
    /// Last request at which all reachable VMs had reported a short time before, and the level then.
    settled: (Uptime, f64),
    /// Tokens that this VM's own share of the rate has accrued, spent only while the bucket is low.
    own_level: f64,
    /// Refill rate in tokens per second and bucket capacity in tokens, as of the last request.
    rate: f64,
    burst: f64,
    refilled_at: Uptime,
    admitted: u64,
    /// Requests admitted by all VMs of this VM's domain since it started.
    domain_admitted: u64,
    demand: f64,
    last_request: Uptime,
    /// Whether `level` takes the estimate of a peer into account.
    level_known: bool,
}

#[derive(Debug)]
struct PeerUsage {
    last_report: Uptime,
    /// Number of VMs that the peer reports for.
    vms: usize,
    /// Largest number of VMs that it has reported for, and when it last did. The others may be cut off from it.
    full_vms: (usize, Uptime),
    entries: HashMap<OrganisationId, PeerEntry>,
}

impl PeerUsage {
    /// Demand of an organisation at the peer. Without requests it decays here as it does at the peer, which therefore
    /// need not report it again. The demand of a silent peer is not known to have ended.
    fn demand_of(&self, organisation: &OrganisationId, now: Uptime) -> f64 {
        let known_until = now.min(self.last_report + PEER_SILENCE);
        let entry = self.entries.get(organisation);
        entry.map_or(0.0, |entry| {
            decayed(entry.demand, known_until.saturating_sub(entry.recorded_at))
        })
    }

    /// Records the number of VMs that the peer reports for. VMs that are left out for long have certainly been replaced.
    fn record_vms(&mut self, vms: usize, now: Uptime) {
        let (full, seen_at) = self.full_vms;
        self.vms = vms;
        if vms >= full || now.saturating_sub(seen_at) >= PEER_RETENTION {
            self.full_vms = (vms, now);
        }
    }

    /// Whether the peer may be unreachable and does not count as such yet.
    fn is_silent(&self, now: Uptime) -> bool {
        let silence = now.saturating_sub(self.last_report);
        (PEER_SILENCE..PEER_TIMEOUT).contains(&silence)
    }
}

/// The last usage that a peer reported for an organisation.
#[derive(Debug)]
struct PeerEntry {
    admitted: u64,
    demand: f64,
    recorded_at: Uptime,
}

/// What is left of a demand after `elapsed` without requests.
fn decayed(demand: f64, elapsed: Duration) -> f64 {
    demand * (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
}

/// Which organisations a report of changes has to list.
#[derive(Debug, Default)]
struct PendingReport {
    changed: BTreeSet<OrganisationId>,
    /// The last organisation that was repeated although it had not changed.
    last_repeated: Option<OrganisationId>,
}

impl PendingReport {
    /// Takes the organisations that changed since the last call, and the next few of the others.
    fn take<T>(&mut self, organisations: &BTreeMap<OrganisationId, T>) -> BTreeSet<OrganisationId> {
        let mut taken = std::mem::take(&mut self.changed);
        let start = self
            .last_repeated
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let next: Vec<OrganisationId> = organisations
            .range::<OrganisationId, _>((start, Bound::Unbounded))
            .map(|(organisation, _)| organisation.clone())
            .take(REPEATED_ENTRIES)
            .collect();
        // After the last organisation, the next report starts with the first one again.
        self.last_repeated = next.last().cloned();
        taken.extend(next);
        taken
    }
}

/// Rate limit of an organisation.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Requests per second. Zero or less means unlimited.
    pub rate: f64,
    /// Capacity of the token bucket, in requests. Values below 1 count as 1.
    pub burst: f64,
}

/// Usage of all organisations as known to one VM, from its own admissions and the reports of its peers.
#[derive(Debug, Default)]
pub struct UsageLedger {
    organisations: BTreeMap<OrganisationId, OrganisationUsage>,
    peers: HashMap<UsageSource, PeerUsage>,
    /// Changes that the next report on this VM lists.
    pending: PendingReport,
    /// Changes that the next report on this VM's failure domain lists.
    pending_domain: PendingReport,
}

impl UsageLedger {
    /// Checks one request of `organisation` against `limit` and records it.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> RateVerdict {
        self.check(organisation, limit, false, now)
    }

    /// Checks one request that continues a stream, and records it. It may use some of the rate of VMs that are not reachable:
    /// one of them admitted the stream, and has most likely been lost with it.
    pub fn admit_continuation(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> RateVerdict {
        self.check(organisation, limit, true, now)
    }

    fn check(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        continues: bool,
        now: Uptime,
    ) -> RateVerdict {
        if limit.rate <= 0.0 {
            return RateVerdict::Admitted;
        }
        let (reachable, share) = self.shares(organisation, now);
        let credit = if continues {
            let unreachable_rate = limit.rate * (1.0 - reachable);
            unreachable_rate * CONTINUATION_CREDIT.as_secs_f64() / self.reachable_vms(now)
        } else {
            0.0
        };
        let is_uncertain = self.peers.values().any(|peer| peer.is_silent(now));
        let usage = self.usage(organisation, limit, now);
        let elapsed = now.saturating_sub(usage.refilled_at).as_secs_f64();
        usage.refill(now);
        usage.divide(limit, reachable, now);
        if !is_uncertain {
            usage.settled = (now, usage.level);
        }
        let own_rate = usage.rate * share;
        let saved = (own_rate * MAX_SAVED_TIME.as_secs_f64()).max(1.0);
        usage.own_level = (usage.own_level + own_rate * elapsed).min(saved);
        usage.record_demand(now);
        let is_low = is_uncertain || usage.level < usage.burst * LOW_LEVEL_FRACTION;
        let has_own = usage.own_level + credit >= 1.0;
        if usage.level + credit < 1.0 || is_low && !has_own {
            return RateVerdict::Refused {
                retry_after: RETRY_AFTER,
            };
        }
        usage.level -= 1.0;
        if is_low {
            usage.own_level -= 1.0;
        }
        usage.admitted += 1;
        usage.domain_admitted += 1;
        self.pending.changed.insert(organisation.clone());
        self.pending_domain.changed.insert(organisation.clone());
        RateVerdict::Admitted
    }

    /// Number of VMs that are reachable, with this one.
    fn reachable_vms(&self, now: Uptime) -> f64 {
        let reachable = self
            .peers
            .values()
            .filter(|peer| now.saturating_sub(peer.last_report) < PEER_TIMEOUT);
        ratio(reachable.map(|peer| peer.vms).sum::<usize>() + 1, 1)
    }

    /// Number of reachable VMs of this VM's failure domain, with this one, for other domains.
    #[must_use]
    pub fn domain_vms(&self, now: Uptime) -> usize {
        let in_domain = self
            .peers
            .iter()
            .filter(|(peer, _)| matches!(peer, UsageSource::Vm(_)));
        let reachable =
            in_domain.filter(|(_, peer)| now.saturating_sub(peer.last_report) < PEER_TIMEOUT);
        reachable.count() + 1
    }

    /// Fraction of the fleet that is reachable, and this VM's share of the rate that remains for that fraction.
    fn shares(&self, organisation: &OrganisationId, now: Uptime) -> (f64, f64) {
        let unreachable = |peer: &PeerUsage| now.saturating_sub(peer.last_report) >= PEER_TIMEOUT;
        let peers = || self.peers.values();
        let all_vms = peers().map(|peer| peer.full_vms.0).sum::<usize>() + 1;
        let reporting = peers().filter(|peer| !unreachable(peer));
        let reachable_vms = reporting.map(|peer| peer.vms).sum::<usize>() + 1;
        let reachable = ratio(reachable_vms, all_vms);
        let own = self.organisations.get(organisation);
        let own = own.map_or(0.0, |usage| usage.demand);
        let others: f64 = self
            .peers
            .values()
            .filter(|peer| !unreachable(peer))
            .map(|peer| peer.demand_of(organisation, now))
            .sum();
        let min_share = MIN_SHARE_FRACTION / ratio(reachable_vms, 1);
        let share = if own + others > 0.0 {
            own / (own + others)
        } else {
            0.0
        };
        (reachable, share.max(min_share))
    }

    fn usage(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> &mut OrganisationUsage {
        let usage = self.organisations.entry(organisation.clone());
        usage.or_insert_with(|| OrganisationUsage {
            level: limit.burst * INITIAL_LEVEL_FRACTION,
            reserved: 0.0,
            reachable: 1.0,
            settled: (now, limit.burst * INITIAL_LEVEL_FRACTION),
            own_level: 1.0,
            rate: limit.rate,
            burst: limit.burst,
            refilled_at: now,
            admitted: 0,
            domain_admitted: 0,
            demand: 0.0,
            last_request: now,
            level_known: false,
        })
    }

    /// Records the usage report of a peer that represents `vms` VMs.
    pub fn record_report(
        &mut self,
        peer: &UsageSource,
        vms: usize,
        entries: Vec<UsageEntry>,
        now: Uptime,
    ) {
        let mut full_vms = (vms, now);
        if let UsageSource::Domain { domain, .. } = peer {
            // A new aggregator replaces the domain's former one.
            self.peers.retain(|other, replaced| match other {
                UsageSource::Domain { domain: held, .. } if held == domain && other != peer => {
                    full_vms = replaced.full_vms;
                    false
                }
                _ => true,
            });
        }
        let in_own_domain = matches!(peer, UsageSource::Vm(_));
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerUsage {
            last_report: now,
            vms,
            full_vms,
            entries: HashMap::new(),
        });
        let was_unreachable = now.saturating_sub(known.last_report) >= PEER_TIMEOUT;
        known.last_report = now;
        known.record_vms(vms, now);
        for entry in entries {
            let current = PeerEntry {
                admitted: entry.admitted,
                demand: entry.demand,
                recorded_at: now,
            };
            let before = known.entries.insert(entry.organisation.clone(), current);
            let before = before.map(|before| before.admitted);
            let usage = self.organisations.entry(entry.organisation.clone());
            let usage = usage.or_insert_with(|| OrganisationUsage::remote_only(now));
            // A lower count means that the peer has restarted.
            let before = before.filter(|before| *before <= entry.admitted);
            let spent = before.map_or(0, |before| entry.admitted - before);
            usage.refill(now);
            usage.level = if usage.is_remote_only() {
                entry.level
            } else {
                let spent = to_f64(spent);
                // What a VM spent while it was unreachable comes from the tokens that were set aside for it.
                let from_reserved = if was_unreachable {
                    usage.take_reserved(spent)
                } else {
                    0.0
                };
                usage.level + from_reserved - spent
            };
            if in_own_domain && spent > 0 {
                usage.domain_admitted += spent;
                let changed = &mut self.pending_domain.changed;
                changed.insert(entry.organisation.clone());
            }
            if !usage.level_known {
                usage.level_known = true;
                usage.level = usage.level.min(entry.level);
            }
        }
    }

    /// Removes a peer that has stopped, which frees its share of the rate.
    pub fn remove_peer(&mut self, peer: &UsageSource) {
        self.peers.remove(peer);
    }

    /// Removes the peers that have not reported for so long that they have certainly been replaced.
    pub fn expire_peers(&mut self, now: Uptime) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.last_report) < PEER_RETENTION);
    }

    /// Usage report on this VM's failure domain, for other domains.
    #[must_use]
    pub fn domain_report(&self, now: Uptime) -> Vec<UsageEntry> {
        let organisations = self.organisations.iter();
        organisations
            .filter_map(|(organisation, usage)| self.domain_entry(organisation, usage, now))
            .collect()
    }

    /// What changed in the report on this VM's failure domain since the last call, and some of the rest in turn.
    pub fn take_domain_changes(&mut self, now: Uptime) -> Vec<UsageEntry> {
        let listed = self.pending_domain.take(&self.organisations);
        let organisations = listed
            .iter()
            .filter_map(|organisation| self.organisations.get_key_value(organisation));
        organisations
            .filter_map(|(organisation, usage)| self.domain_entry(organisation, usage, now))
            .collect()
    }

    /// Usage report on this VM, for its peers.
    #[must_use]
    pub fn report(&self, now: Uptime) -> Vec<UsageEntry> {
        let organisations = self.organisations.iter();
        organisations
            .filter_map(|(organisation, usage)| own_entry(organisation, usage, now))
            .collect()
    }

    /// What changed in the report on this VM since the last call, and some of the rest in turn.
    pub fn take_changes(&mut self, now: Uptime) -> Vec<UsageEntry> {
        let listed = self.pending.take(&self.organisations);
        let organisations = listed
            .iter()
            .filter_map(|organisation| self.organisations.get_key_value(organisation));
        organisations
            .filter_map(|(organisation, usage)| own_entry(organisation, usage, now))
            .collect()
    }

    /// Makes the next reports of changes list all organisations, for a peer that knows none of the former ones.
    pub fn report_all(&mut self) {
        let organisations: BTreeSet<OrganisationId> = self.organisations.keys().cloned().collect();
        self.pending.changed.clone_from(&organisations);
        self.pending_domain.changed = organisations;
    }

    fn domain_entry(
        &self,
        organisation: &OrganisationId,
        usage: &OrganisationUsage,
        now: Uptime,
    ) -> Option<UsageEntry> {
        (usage.domain_admitted > 0).then(|| UsageEntry {
            organisation: organisation.clone(),
            admitted: usage.domain_admitted,
            demand: usage.demand_at(now) + domain_peer_demand(&self.peers, organisation, now),
            level: usage.level_at(now),
        })
    }
}

fn own_entry(
    organisation: &OrganisationId,
    usage: &OrganisationUsage,
    now: Uptime,
) -> Option<UsageEntry> {
    let is_idle = now.saturating_sub(usage.last_request) >= REPORT_IDLE_LIMIT;
    (usage.admitted > 0 && !is_idle).then(|| UsageEntry {
        organisation: organisation.clone(),
        admitted: usage.admitted,
        demand: usage.demand_at(now),
        level: usage.level_at(now),
    })
}

/// Demand of one organisation at the other VMs of this VM's domain.
fn domain_peer_demand(
    peers: &HashMap<UsageSource, PeerUsage>,
    organisation: &OrganisationId,
    now: Uptime,
) -> f64 {
    let in_own_domain = peers
        .iter()
        .filter(|(peer, _)| matches!(peer, UsageSource::Vm(_)));
    in_own_domain
        .map(|(_, peer)| peer.demand_of(organisation, now))
        .sum()
}

impl OrganisationUsage {
    /// Usage of an organisation that only peers have had requests of so far. Its rate is not known on this VM.
    fn remote_only(now: Uptime) -> OrganisationUsage {
        OrganisationUsage {
            level: 0.0,
            reserved: 0.0,
            reachable: 1.0,
            settled: (now, 0.0),
            own_level: 1.0,
            rate: 0.0,
            burst: f64::INFINITY,
            refilled_at: now,
            admitted: 0,
            domain_admitted: 0,
            demand: 0.0,
            last_request: now,
            level_known: true,
        }
    }

    fn is_remote_only(&self) -> bool {
        self.burst.is_infinite()
    }

    fn level_at(&self, now: Uptime) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.level + self.rate * elapsed).min(self.burst)
    }

    fn refill(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        if self.reachable < 1.0 && !self.is_remote_only() {
            let lost_part = (1.0 - self.reachable) / self.reachable;
            let reserved = self.reserved + self.rate * lost_part * elapsed;
            self.reserved = reserved.min(self.burst * lost_part);
        }
        self.level = self.level_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Limits the bucket to the part of the fleet that is reachable. The part of VMs that were lost is set aside, so that
    /// both sides of a partition do not spend the same tokens. What those that are back have not spent is free again.
    fn divide(&mut self, limit: RateLimit, reachable: f64, now: Uptime) {
        if reachable < self.reachable {
            // The others have had their part of what came in since they were last heard.
            let (settled_at, settled_level) = self.settled;
            let elapsed = now.saturating_sub(settled_at).as_secs_f64();
            let shared = (settled_level.max(0.0) + self.rate * elapsed).min(self.burst);
            let lost_level = shared * (1.0 - reachable / self.reachable);
            self.level -= lost_level;
            self.reserved += lost_level;
        } else if reachable > self.reachable {
            let back = (reachable - self.reachable) / (1.0 - self.reachable);
            let returned = self.reserved * back;
            self.level += returned;
            self.reserved -= returned;
        }
        self.reachable = reachable;
        self.rate = limit.rate * reachable;
        self.burst = limit.burst.max(1.0) * reachable;
        self.level = self.level.min(self.burst);
    }

    /// Takes up to `spent` tokens from those set aside, and returns how many.
    fn take_reserved(&mut self, spent: f64) -> f64 {
        let taken = spent.min(self.reserved);
        self.reserved -= taken;
        taken
    }

    fn demand_at(&self, now: Uptime) -> f64 {
        decayed(self.demand, now.saturating_sub(self.last_request))
    }

    fn record_demand(&mut self, now: Uptime) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.last_request = now;
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    to_f64(part as u64) / to_f64(whole.max(1) as u64)
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}
