//! Directory of the known VMs: which are alive, which read the store for their failure domain, and who reports to whom.
//!
//! Reports of single VMs stay within their failure domain. In a large domain they go to its readers, which relay them
//! in batches. The first reader of each domain aggregates them for the other domains, so that the traffic between
//! domains does not grow with the number of VMs.

use crate::message::{DomainUpdate, VmRow};
use plantainmill_core::{DomainName, Incarnation, RegionName, Uptime, VmId};
use plantainmill_dispatch::rendezvous::{key_of, score};
use plantainmill_jobs::{FleetSnapshot, JobOwner};
use plantainmill_paths::{Forwarder, ForwarderPlace};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// VMs that read the store for their failure domain. Two, so that one may fail.
pub(crate) const READER_COUNT: usize = 2;
/// Time without a report after which a reader is replaced. VMs report at least every 300 ms.
const READER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a report after which a VM or domain is considered dead and its jobs are taken over.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a report after which a VM's row is deleted from the store.
const ROW_RETENTION: Duration = Duration::from_mins(1);

/// Number of VMs of a domain up to which each reports to all others itself. The traffic of a larger domain would grow with
/// the square of its size.
const DIRECT_REPORT_VMS: usize = 16;
/// Time without the own report in a relayed batch after which a VM reports to all others itself. Two reports fit into
/// it, and it ends before the silent readers are replaced.
const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

/// Largest number of VMs of one other domain that are asked to forward requests, or referred to.
const MAX_REMOTE_FORWARDERS: usize = 8;

/// Time after its start in which a VM does not report on its domain: it has not heard all members yet, and the other
/// domains would take the jobs of those that its report leaves out.
const AGGREGATION_DELAY: Duration = Duration::from_secs(1);

/// Who gets the next report of this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportRoute {
    /// These VMs, because the domain is small or because no relay forwards this VM's reports.
    Direct(Vec<VmRow>),
    /// The relays, which forward it.
    Relays(Vec<VmRow>),
    /// All VMs of the domain, with the next batch: this VM is a relay.
    OwnBatch,
}

impl ReportRoute {
    /// Name of the route in logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            ReportRoute::Direct(_) => "direct",
            ReportRoute::Relays(_) => "relays",
            ReportRoute::OwnBatch => "own_batch",
        }
    }
}

struct PeerRecord {
    row: VmRow,
    sequence: u64,
    last_report_at: Option<Uptime>,
    discovered_at: Uptime,
    /// Last incarnation that announced its stop. Its reports may still arrive through a relay.
    stopped_incarnation: Option<Incarnation>,
}

impl PeerRecord {
    fn reported_within(&self, now: Uptime, within: Duration) -> bool {
        self.last_report_at
            .is_some_and(|last_report_at| now.saturating_sub(last_report_at) < within)
    }
}

#[derive(Default)]
struct RemoteDomain {
    rows: Vec<VmRow>,
    members: Vec<JobOwner>,
    last_report_at: Option<Uptime>,
    /// Aggregator and sequence number of the last update.
    last_update: Option<(JobOwner, u64)>,
}

impl RemoteDomain {
    /// Whether the domain reports and its members are known: without them, all of its jobs would seem to have lost their
    /// owners.
    fn is_live(&self, now: Uptime) -> bool {
        let is_reporting = self
            .last_report_at
            .is_some_and(|last_report_at| now.saturating_sub(last_report_at) < LIVENESS_TIMEOUT);
        is_reporting && !self.members.is_empty()
    }
}

/// The VMs that one VM knows: each peer of its own failure domain, and a summary of every other domain.
pub struct PeerDirectory {
    own_row: VmRow,
    local: HashMap<VmId, PeerRecord>,
    remote: BTreeMap<DomainName, RemoteDomain>,
    started_at: Uptime,
    /// Last time at which a relay forwarded a report of this VM.
    relayed_at: Option<Uptime>,
    has_joined_peer: bool,
}

impl PeerDirectory {
    /// Creates a directory that contains only the VM itself, which starts at `now`.
    #[must_use]
    pub fn new(own_row: VmRow, now: Uptime) -> PeerDirectory {
        PeerDirectory {
            own_row,
            local: HashMap::new(),
            remote: BTreeMap::new(),
            started_at: now,
            relayed_at: None,
            has_joined_peer: false,
        }
    }

    /// Records a report by its sender and sequence number. Returns whether it is at least as recent as the last one;
    /// reports from the VM itself, from other domains and from earlier incarnations are ignored.
    #[must_use]
    pub fn record_report(&mut self, row: &VmRow, sequence: u64, now: Uptime) -> bool {
        if row.vm == self.own_row.vm || row.domain != self.own_row.domain {
            return false;
        }
        let known = self
            .local
            .entry(row.vm.clone())
            .or_insert_with(|| PeerRecord {
                row: row.clone(),
                sequence: 0,
                last_report_at: None,
                discovered_at: now,
                stopped_incarnation: None,
            });
        if known.stopped_incarnation >= Some(row.incarnation) {
            return false;
        }
        let is_same_incarnation = row.incarnation == known.row.incarnation;
        if row.incarnation < known.row.incarnation
            || is_same_incarnation && sequence < known.sequence
        {
            return false;
        }
        if !is_same_incarnation || known.last_report_at.is_none() {
            let incarnation = row.incarnation;
            tracing::info!(event = "peer_joined", peer = %row.vm, incarnation);
            self.has_joined_peer = true;
        }
        let reads_job_changes = is_same_incarnation && known.row.reads_job_changes;
        known.row = row.clone();
        known.row.reads_job_changes |= reads_job_changes;
        known.sequence = sequence;
        known.last_report_at = Some(now);
        true
    }

    /// Returns whether a VM of the domain has started, or was heard again, since the last call.
    pub fn take_joined(&mut self) -> bool {
        std::mem::take(&mut self.has_joined_peer)
    }

    /// Records that a relay forwarded a report of this VM.
    pub fn confirm_relay(&mut self, incarnation: Incarnation, now: Uptime) {
        if incarnation == self.own_row.incarnation {
            self.relayed_at = Some(now);
        }
    }

    /// Returns whether the readers of the own domain relay its reports.
    #[must_use]
    pub fn has_relays(&self) -> bool {
        self.local.len() + 1 > DIRECT_REPORT_VMS
    }

    /// Returns whether this VM forwards the reports of its domain.
    #[must_use]
    pub fn is_relay(&self, now: Uptime) -> bool {
        self.has_relays() && self.is_reader(now)
    }

    /// Returns who gets the next report of this VM.
    #[must_use]
    pub fn report_route(&self, now: Uptime) -> ReportRoute {
        if self.is_relay(now) {
            return ReportRoute::OwnBatch;
        }
        let is_relayed = self
            .relayed_at
            .is_some_and(|relayed_at| now.saturating_sub(relayed_at) < RELAY_TIMEOUT);
        if self.has_relays() && is_relayed {
            let relays = self.readers(now).into_iter();
            let relays = relays.filter(|row| row.vm != self.own_row.vm);
            return ReportRoute::Relays(relays.cloned().collect());
        }
        ReportRoute::Direct(self.local_rows().cloned().collect())
    }

    /// Returns the other VMs of the own domain, including those that have not reported yet.
    pub fn local_rows(&self) -> impl Iterator<Item = &VmRow> {
        self.local.values().map(|known| &known.row)
    }

    /// Marks a VM of the own domain as stopped; its address stays known while its row is stored. Returns false if the VM
    /// is unknown or has restarted since that incarnation.
    #[must_use]
    pub fn remove_peer(&mut self, vm: &VmId, incarnation: Incarnation) -> bool {
        let Some(known) = self.local.get_mut(vm) else {
            return false;
        };
        if known.row.incarnation > incarnation {
            return false;
        }
        tracing::info!(event = "peer_left", peer = %vm, incarnation);
        known.last_report_at = None;
        known.stopped_incarnation = Some(incarnation);
        true
    }

    /// Records the live VMs that another domain reported.
    pub fn record_domain_report(
        &mut self,
        domain: &DomainName,
        members: Vec<JobOwner>,
        now: Uptime,
    ) {
        let remote = self.remote.entry(domain.clone()).or_default();
        remote.members = members;
        remote.last_report_at = Some(now);
    }

    /// Records an update on another domain by its aggregator and sequence number. Returns whether it is at least as
    /// recent as the last one; updates on the own domain are ignored.
    #[must_use]
    pub fn record_domain_update(&mut self, update: &DomainUpdate, now: Uptime) -> bool {
        if update.domain == self.own_row.domain {
            return false;
        }
        let remote = self.remote.entry(update.domain.clone()).or_default();
        let is_overtaken = remote
            .last_update
            .as_ref()
            .is_some_and(|(aggregator, last)| {
                *aggregator == update.aggregator && update.sequence < *last
            });
        if is_overtaken {
            return false;
        }
        remote.last_update = Some((update.aggregator.clone(), update.sequence));
        remote.last_report_at = Some(now);
        if let Some(members) = &update.members {
            remote.members.clone_from(members);
        }
        true
    }

    /// Returns the live VMs of another domain, as last reported.
    #[must_use]
    pub fn remote_members(&self, domain: &DomainName) -> Vec<JobOwner> {
        let remote = self.remote.get(domain);
        remote.map_or_else(Vec::new, |remote| remote.members.clone())
    }

    /// Returns the live VMs of the other domains, as last reported.
    #[must_use]
    pub fn remote_vms(&self, now: Uptime) -> BTreeMap<DomainName, Vec<VmId>> {
        let live = self.remote.iter().filter(|(_, remote)| remote.is_live(now));
        live.map(|(domain, remote)| {
            let vms = remote.members.iter().map(|member| member.vm.clone());
            (domain.clone(), vms.collect())
        })
        .collect()
    }

    /// Merges the stored rows of the own domain's VMs. Returns the positions of the rows whose VMs have not reported
    /// within the retention period, so that the caller can delete them.
    #[must_use]
    pub fn update_local_rows(&mut self, rows: &[VmRow], now: Uptime) -> Vec<usize> {
        self.local.retain(|vm, known| {
            known.reported_within(now, LIVENESS_TIMEOUT) || rows.iter().any(|row| row.vm == *vm)
        });
        let mut stale = Vec::new();
        for (position, row) in rows.iter().enumerate() {
            if row.vm == self.own_row.vm {
                continue;
            }
            let known = self
                .local
                .entry(row.vm.clone())
                .or_insert_with(|| PeerRecord {
                    row: row.clone(),
                    sequence: 0,
                    last_report_at: None,
                    discovered_at: now,
                    stopped_incarnation: None,
                });
            if row.incarnation == known.row.incarnation {
                known.row.reads_job_changes = row.reads_job_changes;
            }
            if row.incarnation > known.row.incarnation {
                known.row = row.clone();
                known.sequence = 0;
                known.last_report_at = None;
                known.discovered_at = now;
            }
            let last_seen = known.last_report_at.unwrap_or(known.discovered_at);
            if now.saturating_sub(last_seen) > ROW_RETENTION {
                stale.push(position);
            }
        }
        stale
    }

    /// Replaces the stored rows of another domain's VMs.
    pub fn update_remote_rows(&mut self, domain: &DomainName, rows: Vec<VmRow>) {
        self.remote.entry(domain.clone()).or_default().rows = rows;
    }

    /// Returns the VMs that read the store for the own domain. The first one is also the domain's aggregator.
    #[must_use]
    pub fn readers(&self, now: Uptime) -> Vec<&VmRow> {
        let reporting = self.local.values();
        let reporting = reporting.filter(|known| known.reported_within(now, READER_TIMEOUT));
        let rows = reporting.map(|known| &known.row).chain([&self.own_row]);
        select_readers(rows, &self.own_row.domain)
    }

    /// Returns whether this VM reads the store for its domain.
    #[must_use]
    pub fn is_reader(&self, now: Uptime) -> bool {
        let readers = self.readers(now);
        readers.iter().any(|row| row.vm == self.own_row.vm)
    }

    /// Returns how many known VMs of the domain read the store before this one does, whether or not they report.
    #[must_use]
    pub fn reader_place(&self) -> usize {
        let key = key_of(&self.own_row.domain);
        let own = reader_rank(&self.own_row, key);
        let others = self.local_rows().filter(|row| reader_rank(row, key) > own);
        others.count()
    }

    /// Returns whether this VM sends the domain's aggregated report to the other domains.
    #[must_use]
    pub fn is_aggregator(&self, now: Uptime) -> bool {
        let readers = self.readers(now);
        readers.first().is_some_and(|row| row.vm == self.own_row.vm)
    }

    /// Returns whether this VM is the aggregator and has run long enough to know the members of its domain.
    #[must_use]
    pub fn may_aggregate(&self, now: Uptime) -> bool {
        let is_settled = now.saturating_sub(self.started_at) >= AGGREGATION_DELAY;
        is_settled && self.is_aggregator(now)
    }

    /// Returns the live VMs that may forward requests of this one: those of the own domain, and the known ones of others.
    #[must_use]
    pub fn forwarders(&self, now: Uptime) -> Vec<Forwarder> {
        let readers: Vec<&VmId> = self.readers(now).into_iter().map(|row| &row.vm).collect();
        let local = self
            .local
            .values()
            .filter(|known| known.reported_within(now, LIVENESS_TIMEOUT));
        let local = local.map(|known| &known.row);
        let remote = self.remote.values().flat_map(|remote| {
            let is_live = |row: &&VmRow| remote.members.iter().any(|member| member.vm == row.vm);
            remote
                .rows
                .iter()
                .filter(is_live)
                .take(MAX_REMOTE_FORWARDERS)
        });
        let place_of = |row: &VmRow| {
            if readers.contains(&&row.vm) {
                ForwarderPlace::Reader
            } else {
                ForwarderPlace::Local
            }
        };
        let local = local.map(|row| (row, place_of(row)));
        let remote = remote.map(|row| (row, ForwarderPlace::Remote));
        let forwarders = local.chain(remote).map(|(row, place)| Forwarder {
            address: row.control,
            place,
            region: Some(row.region.clone()),
        });
        forwarders.collect()
    }

    /// Returns the datagram addresses of the own domain's other VMs, including those that have not reported yet.
    #[must_use]
    pub fn local_addresses(&self) -> Vec<SocketAddr> {
        self.local_rows().map(|row| row.peers).collect()
    }

    /// Returns one VM of each other domain, which forwards reports within that domain. Successive values of `round`
    /// alternate between the candidates, so that one may fail.
    #[must_use]
    pub fn remote_addresses(&self, round: u64, now: Uptime) -> Vec<(&VmRow, SocketAddr)> {
        let domains = self.remote.iter();
        let selected = domains.filter_map(|(domain, remote)| {
            let is_member = |row: &&VmRow| remote.members.iter().any(|member| member.vm == row.vm);
            let known: Vec<&VmRow> = if remote.is_live(now) {
                remote.rows.iter().filter(is_member).collect()
            } else {
                remote.rows.iter().collect()
            };
            let candidates = select_readers(known.into_iter(), domain);
            let count = u64::try_from(candidates.len())
                .ok()
                .filter(|count| *count > 0)?;
            let position = usize::try_from(round % count).unwrap_or(0);
            candidates.get(position).map(|row| (*row, row.peers))
        });
        selected.collect()
    }

    /// Returns the VMs to query for the document's age: the other readers of the domain, then one VM of another domain,
    /// the rest of the own domain in an order that depends on `round`, and the other domains.
    #[must_use]
    pub fn age_sources(&self, round: u64, now: Uptime) -> Vec<SocketAddr> {
        let readers = self.readers(now).into_iter();
        let readers = readers
            .filter(|row| row.vm != self.own_row.vm)
            .map(|row| row.peers);
        let local = self
            .local
            .values()
            .filter(|known| known.reported_within(now, LIVENESS_TIMEOUT));
        let mut others: Vec<&VmRow> = local.map(|known| &known.row).collect();
        others.sort_by_key(|row| score(&row.vm, round));
        let mut remote: Vec<SocketAddr> = self
            .remote_addresses(round, now)
            .into_iter()
            .map(|(_, address)| address)
            .collect();
        let shift = usize::try_from(round).unwrap_or(0) % remote.len().max(1);
        remote.rotate_left(shift);
        let others = others.into_iter().map(|row| row.peers);
        let first_remote = remote.first().copied();
        readers
            .chain(first_remote)
            .chain(others)
            .chain(remote.into_iter().skip(1))
            .collect()
    }

    /// Returns this VM and the live VMs of its domain, each with its incarnation.
    #[must_use]
    pub fn members(&self, now: Uptime) -> Vec<JobOwner> {
        let reporting = self
            .local
            .values()
            .filter(|known| known.reported_within(now, LIVENESS_TIMEOUT));
        reporting
            .map(|known| &known.row)
            .chain([&self.own_row])
            .map(owner_of_row)
            .collect()
    }

    /// Returns when this VM started.
    #[must_use]
    pub fn started_at(&self) -> Uptime {
        self.started_at
    }

    /// Returns the number of VMs of this VM's domain that were heard or discovered within `time`, with this one.
    #[must_use]
    pub fn known_count(&self, now: Uptime, time: Duration) -> usize {
        let known = self.local.values().filter(|known| {
            let last_seen = known.last_report_at.unwrap_or(known.discovered_at);
            let is_stopped = known.stopped_incarnation >= Some(known.row.incarnation);
            !is_stopped && now.saturating_sub(last_seen) < time
        });
        known.count() + 1
    }

    /// Returns the view of the fleet that the job service uses to assign and take over jobs, without the regions of the domains,
    /// which the settings have.
    #[must_use]
    pub fn job_fleet(&self, now: Uptime) -> FleetSnapshot {
        let members = self.members(now);
        let live_remote = || self.remote.iter().filter(|(_, remote)| remote.is_live(now));
        let remote_members = live_remote().flat_map(|(_, remote)| remote.members.iter().cloned());
        let domains = live_remote().map(|(domain, _)| domain.clone());
        FleetSnapshot {
            live: members.iter().cloned().chain(remote_members).collect(),
            domains: domains.chain([self.own_row.domain.clone()]).collect(),
            readers: self
                .readers(now)
                .into_iter()
                .map(|row| row.vm.clone())
                .collect(),
            domain: self.own_row.domain.clone(),
            members,
            regions: HashMap::new(),
        }
    }

    /// Region of the VM whose control listener is at `control`; `None` if the VM is not known.
    #[must_use]
    pub fn region_at(&self, control: SocketAddr) -> Option<RegionName> {
        let remote = self.remote.values().flat_map(|remote| &remote.rows);
        let mut rows = self.local_rows().chain(remote);
        let row = rows.find(|row| row.control == control);
        row.map(|row| row.region.clone())
    }
}

fn owner_of_row(row: &VmRow) -> JobOwner {
    JobOwner {
        vm: row.vm.clone(),
        incarnation: row.incarnation,
    }
}

/// Selects the readers of a domain: the VMs with the largest processor share; rendezvous hashing breaks ties.
fn select_readers<'a>(
    rows: impl Iterator<Item = &'a VmRow>,
    domain: &DomainName,
) -> Vec<&'a VmRow> {
    let key = key_of(domain);
    let mut rows: Vec<&VmRow> = rows.collect();
    rows.sort_by_key(|row| Reverse(reader_rank(row, key)));
    rows.truncate(READER_COUNT);
    rows
}

/// Rank of a VM as a reader of the domain with this key; the greatest ones read.
fn reader_rank(row: &VmRow, key: u64) -> (u32, u64) {
    (row.processor_percent, score(&row.vm, key))
}
