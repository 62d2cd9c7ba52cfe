//! Usage of the organisations at this VM and at its peers, as the VMs report it to each other.

use crate::pools::RateLimit;
use plantainmill_core::{DomainName, Incarnation, OrganisationId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// A peer without a report for this long counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// The demand of a peer without a report for this long is not known to have ended.
const PEER_SILENCE: Duration = Duration::from_millis(400);
/// A peer without a report for this long has certainly been replaced.
const PEER_RETENTION: Duration = Duration::from_secs(20);
/// Fraction of the burst that a new bucket holds, since the burst may have been used just before a restart.
const INITIAL_LEVEL_FRACTION: f64 = 0.5;
/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// An organisation without requests for this long is left out of reports.
const REPORT_IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Unchanged organisations that each report of changes repeats in turn, so that a lost report is made good.
const REPEATED_ENTRIES: usize = 16;

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
    /// Tokens left in the fleet-wide bucket, as estimated by this VM. VMs of the release before decide by it.
    level: f64,
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
    /// Records a request of `organisation` that this VM has admitted.
    pub fn record_admitted(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) {
        let usage = self.record_demand(organisation, limit, now);
        usage.level -= 1.0;
        usage.admitted += 1;
        usage.domain_admitted += 1;
        self.pending.changed.insert(organisation.clone());
        self.pending_domain.changed.insert(organisation.clone());
    }

    /// Records a request of `organisation` that this VM has refused.
    pub fn record_refused(&mut self, organisation: &OrganisationId, limit: RateLimit, now: Uptime) {
        self.record_demand(organisation, limit, now);
    }

    fn record_demand(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> &mut OrganisationUsage {
        let usage = self.organisations.entry(organisation.clone());
        let usage = usage.or_insert_with(|| OrganisationUsage::new(limit, now));
        usage.refill(now);
        (usage.rate, usage.burst) = (limit.rate, limit.burst.max(1.0));
        usage.level = usage.level.min(usage.burst);
        usage.demand = usage.demand_at(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        usage.last_request = now;
        usage
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

    /// Records the usage report of a peer.
    pub fn record_report(&mut self, peer: &UsageSource, entries: Vec<UsageEntry>, now: Uptime) {
        if let UsageSource::Domain { domain, .. } = peer {
            // A new aggregator replaces the domain's former one.
            self.peers.retain(|other, _| match other {
                UsageSource::Domain { domain: held, .. } => held != domain || other == peer,
                UsageSource::Vm(_) => true,
            });
        }
        let in_own_domain = matches!(peer, UsageSource::Vm(_));
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerUsage {
            last_report: now,
            entries: HashMap::new(),
        });
        known.last_report = now;
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
                usage.level - to_f64(spent)
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
    fn new(limit: RateLimit, now: Uptime) -> OrganisationUsage {
        OrganisationUsage {
            level: limit.burst * INITIAL_LEVEL_FRACTION,
            rate: limit.rate,
            burst: limit.burst,
            refilled_at: now,
            admitted: 0,
            domain_admitted: 0,
            demand: 0.0,
            last_request: now,
            level_known: false,
        }
    }

    /// Usage of an organisation that only peers have had requests of so far. Its rate is not known on this VM.
    fn remote_only(now: Uptime) -> OrganisationUsage {
        let limit = RateLimit {
            rate: 0.0,
            burst: f64::INFINITY,
        };
        OrganisationUsage {
            level: 0.0,
            level_known: true,
            ..OrganisationUsage::new(limit, now)
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
        self.level = self.level_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn demand_at(&self, now: Uptime) -> f64 {
        decayed(self.demand, now.saturating_sub(self.last_request))
    }
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}
