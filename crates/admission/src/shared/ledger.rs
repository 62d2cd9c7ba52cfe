//! The state machine of the shared limits.

use crate::limiter::RateVerdict;
use plantainmill_core::{DomainName, Incarnation, OrganisationId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Time without a report after which a peer counts as silent.
const PEER_SILENCE: Duration = Duration::from_secs(1);
/// Time without a report after which a peer has certainly been replaced; until then its part is kept for it.
const PEER_MEMORY: Duration = Duration::from_secs(20);
/// Part of the burst below which VMs keep to their parts of the rate.
const LOW_LEVEL: f64 = 0.3;
/// Part of the burst that a bucket holds at the start. The burst may have been used just before a restart.
const START_LEVEL: f64 = 0.5;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Part of the rate, as a part of an equal share, that a VM without demand so far may use.
const FLOOR_SHARE: f64 = 0.5;
/// Time's worth of its own part that a VM may save up.
const SAVED_TIME: Duration = Duration::from_millis(500);
/// Time without requests after which an organisation is left out of reports.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Time after which a refused request is worth a repeat: a VM's part of a low rate needs about as long for a token.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Who reports what was admitted.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum UsageSource {
    /// A VM of the own failure domain.
    Vm(VmId),
    /// All VMs of another failure domain, as one of them sums them up. Sums of two VMs cannot be compared.
    Domain {
        /// Failure domain.
        domain: DomainName,
        /// VM that sums up, and its start.
        aggregator: (VmId, Incarnation),
    },
}

/// What a VM, or all VMs of a failure domain, admitted of one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageEntry {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Requests admitted since the reporting VM started.
    pub admitted: u64,
    /// Requests per second that were asked for.
    pub demand: f64,
    /// Tokens that the VM believes to be left.
    pub level: f64,
}

#[derive(Debug)]
struct OrganisationUsage {
    level: f64,
    own_level: f64,
    /// Tokens per second and most tokens, as of the last request.
    rate: f64,
    burst: f64,
    settled: Uptime,
    admitted: u64,
    /// What all VMs of the own domain admitted while this one ran.
    domain_admitted: u64,
    demand: f64,
    asked_at: Uptime,
    learned: bool,
}

#[derive(Debug)]
struct PeerUsage {
    heard_at: Uptime,
    /// VMs that it stands for.
    vms: usize,
    admitted: HashMap<OrganisationId, u64>,
    demand: HashMap<OrganisationId, f64>,
}

/// Rate and burst of an organisation.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests above the rate at once.
    pub burst: f64,
}

/// Usage of all organisations as one VM knows it.
#[derive(Debug, Default)]
pub struct UsageLedger {
    organisations: HashMap<OrganisationId, OrganisationUsage>,
    peers: HashMap<UsageSource, PeerUsage>,
}

impl UsageLedger {
    /// Decides about one request.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> RateVerdict {
        if limit.rate <= 0.0 {
            return RateVerdict::Admitted;
        }
        let (present, share) = self.parts(organisation, now);
        let usage = self.usage(organisation, limit, now);
        let passed = now.saturating_sub(usage.settled).as_secs_f64();
        usage.rate = limit.rate * present;
        usage.burst = limit.burst.max(1.0) * present;
        usage.settle(now);
        let own_rate = usage.rate * share;
        let saved = (own_rate * SAVED_TIME.as_secs_f64()).max(1.0);
        usage.own_level = (usage.own_level + own_rate * passed).min(saved);
        usage.note_demand(now);
        let is_low = usage.level < usage.burst * LOW_LEVEL;
        let has_own = usage.own_level >= 1.0;
        if usage.level < 1.0 || is_low && !has_own {
            return RateVerdict::Refused {
                retry_after: RETRY_TIME,
            };
        }
        usage.level -= 1.0;
        if is_low {
            usage.own_level -= 1.0;
        }
        usage.admitted += 1;
        usage.domain_admitted += 1;
        RateVerdict::Admitted
    }

    /// The part of the fleet that is heard, and this VM's part of that.
    fn parts(&self, organisation: &OrganisationId, now: Uptime) -> (f64, f64) {
        let silent = |peer: &PeerUsage| now.saturating_sub(peer.heard_at) >= PEER_SILENCE;
        let vms = |peers: &mut dyn Iterator<Item = &PeerUsage>| -> usize {
            peers.map(|peer| peer.vms).sum::<usize>() + 1
        };
        let all = vms(&mut self.peers.values());
        let heard = vms(&mut self.peers.values().filter(|peer| !silent(peer)));
        let present = ratio(heard, all);
        let own = self.organisations.get(organisation);
        let own = own.map_or(0.0, |usage| usage.demand);
        let others: f64 = self
            .peers
            .values()
            .filter(|peer| !silent(peer))
            .filter_map(|peer| peer.demand.get(organisation))
            .sum();
        let floor = FLOOR_SHARE / ratio(heard, 1);
        let share = if own + others > 0.0 {
            own / (own + others)
        } else {
            0.0
        };
        (present, share.max(floor))
    }

    fn usage(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        now: Uptime,
    ) -> &mut OrganisationUsage {
        let usage = self.organisations.entry(organisation.clone());
        usage.or_insert_with(|| OrganisationUsage {
            level: limit.burst * START_LEVEL,
            own_level: 1.0,
            rate: limit.rate,
            burst: limit.burst,
            settled: now,
            admitted: 0,
            domain_admitted: 0,
            demand: 0.0,
            asked_at: now,
            learned: false,
        })
    }

    /// Takes the report of a peer that stands for `vms` VMs.
    pub fn hear(&mut self, peer: &UsageSource, vms: usize, entries: Vec<UsageEntry>, now: Uptime) {
        if let UsageSource::Domain { domain, .. } = peer {
            // Another aggregator of the domain takes the place of the former one.
            self.peers.retain(|other, _| match other {
                UsageSource::Domain { domain: held, .. } => held != domain || other == peer,
                UsageSource::Vm(_) => true,
            });
        }
        let is_near = matches!(peer, UsageSource::Vm(_));
        let known = self.peers.entry(peer.clone()).or_insert_with(|| PeerUsage {
            heard_at: now,
            vms,
            admitted: HashMap::new(),
            demand: HashMap::new(),
        });
        known.heard_at = now;
        known.vms = vms;
        known.demand.clear();
        for entry in entries {
            let before = known
                .admitted
                .insert(entry.organisation.clone(), entry.admitted);
            known
                .demand
                .insert(entry.organisation.clone(), entry.demand);
            let usage = self.organisations.entry(entry.organisation.clone());
            let usage = usage.or_insert_with(|| OrganisationUsage::unasked(now));
            // A lower number comes from a new start of the peer.
            let before = before.filter(|before| *before <= entry.admitted);
            let spent = before.map_or(0, |before| entry.admitted - before);
            usage.settle(now);
            usage.level = if usage.is_unasked() {
                entry.level
            } else {
                usage.level - float(spent)
            };
            if is_near {
                usage.domain_admitted += spent;
            }
            if !usage.learned {
                usage.learned = true;
                usage.level = usage.level.min(entry.level);
            }
        }
    }

    /// Drops a peer that has stopped.
    pub fn forget(&mut self, peer: &UsageSource) {
        self.peers.remove(peer);
    }

    /// Drops peers that are certainly gone.
    pub fn expire(&mut self, now: Uptime) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.heard_at) < PEER_MEMORY);
    }

    /// The report of this VM's failure domain to other domains.
    #[must_use]
    pub fn domain_report(&self, now: Uptime) -> Vec<UsageEntry> {
        let organisations = self.organisations.iter();
        let active = organisations.filter(|(_, usage)| usage.domain_admitted > 0);
        active
            .map(|(organisation, usage)| UsageEntry {
                organisation: organisation.clone(),
                admitted: usage.domain_admitted,
                demand: usage.demand_at(now) + near_demand(&self.peers, organisation),
                level: usage.level_at(now),
            })
            .collect()
    }

    /// This VM's report to its peers.
    #[must_use]
    pub fn report(&self, now: Uptime) -> Vec<UsageEntry> {
        let active = self.organisations.iter().filter(|(_, usage)| {
            usage.admitted > 0 && now.saturating_sub(usage.asked_at) < QUIET_TIME
        });
        active
            .map(|(organisation, usage)| UsageEntry {
                organisation: organisation.clone(),
                admitted: usage.admitted,
                demand: usage.demand_at(now),
                level: usage.level_at(now),
            })
            .collect()
    }
}

/// Demand of one organisation at the VMs of the own domain.
fn near_demand(peers: &HashMap<UsageSource, PeerUsage>, organisation: &OrganisationId) -> f64 {
    let near = peers
        .iter()
        .filter(|(peer, _)| matches!(peer, UsageSource::Vm(_)));
    near.filter_map(|(_, peer)| peer.demand.get(organisation))
        .sum()
}

impl OrganisationUsage {
    /// Usage of an organisation that only peers were asked for so far. Its rate is not known here.
    fn unasked(now: Uptime) -> OrganisationUsage {
        OrganisationUsage {
            level: 0.0,
            own_level: 1.0,
            rate: 0.0,
            burst: f64::INFINITY,
            settled: now,
            admitted: 0,
            domain_admitted: 0,
            demand: 0.0,
            asked_at: now,
            learned: true,
        }
    }

    fn is_unasked(&self) -> bool {
        self.burst.is_infinite()
    }

    fn level_at(&self, now: Uptime) -> f64 {
        let passed = now.saturating_sub(self.settled).as_secs_f64();
        (self.level + self.rate * passed).min(self.burst)
    }

    fn settle(&mut self, now: Uptime) {
        self.level = self.level_at(now);
        self.settled = self.settled.max(now);
    }

    fn demand_at(&self, now: Uptime) -> f64 {
        let passed = now.saturating_sub(self.asked_at).as_secs_f64();
        self.demand * (-passed / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn note_demand(&mut self, now: Uptime) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.asked_at = now;
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    float(part as u64) / float(whole.max(1) as u64)
}

fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}
