//! Which VMs are known and heard, which read the store for their failure domain, and who reports to whom.
//!
//! Reports of single VMs stay within a failure domain. The first reader of each domain sums them up for the others.
//! So the traffic between domains does not grow with the VMs in them.

use crate::message::VmRow;
use plantainmill_core::{DomainName, Incarnation, Uptime, VmId};
use plantainmill_dispatch::rendezvous::{key_of, score};
use plantainmill_jobs::{FleetSnapshot, JobOwner};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Readers of a failure domain: one may fail.
const READER_COUNT: usize = 2;
/// Time without a report after which another VM reads for the domain. Reports come at least every 300 ms.
const READER_TIME: Duration = Duration::from_millis(700);
/// Time without a report after which a VM's jobs are taken over.
const LIVE_TIME: Duration = Duration::from_secs(2);
/// Time without a report after which a VM's row is removed.
const FORGET_TIME: Duration = Duration::from_mins(1);

struct KnownVm {
    row: VmRow,
    sequence: u64,
    heard_at: Option<Uptime>,
    seen_at: Uptime,
}

impl KnownVm {
    fn is_heard(&self, now: Uptime, within: Duration) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.saturating_sub(heard_at) < within)
    }
}

#[derive(Default)]
struct FarDomain {
    rows: Vec<VmRow>,
    members: Vec<JobOwner>,
    heard_at: Option<Uptime>,
}

impl FarDomain {
    fn is_live(&self, now: Uptime) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.saturating_sub(heard_at) < LIVE_TIME)
    }
}

/// The VMs that one VM knows.
pub struct Roster {
    own: VmRow,
    near: HashMap<VmId, KnownVm>,
    far: BTreeMap<DomainName, FarDomain>,
}

impl Roster {
    /// A roster that knows only the VM itself.
    #[must_use]
    pub fn new(own: VmRow) -> Roster {
        Roster {
            own,
            near: HashMap::new(),
            far: BTreeMap::new(),
        }
    }

    /// Takes a report's sender and sequence number. Says whether the report is newer than what is known.
    #[must_use]
    pub fn hear(&mut self, row: &VmRow, sequence: u64, now: Uptime) -> bool {
        if row.vm == self.own.vm || row.domain != self.own.domain {
            return false;
        }
        let known = self.near.entry(row.vm.clone()).or_insert_with(|| KnownVm {
            row: row.clone(),
            sequence: 0,
            heard_at: None,
            seen_at: now,
        });
        let is_same = row.incarnation == known.row.incarnation;
        if row.incarnation < known.row.incarnation || is_same && sequence < known.sequence {
            return false;
        }
        if !is_same || known.heard_at.is_none() {
            let incarnation = row.incarnation;
            tracing::info!(event = "peer_joined", peer = %row.vm, incarnation);
        }
        known.row = row.clone();
        known.sequence = sequence;
        known.heard_at = Some(now);
        true
    }

    /// Takes the end of a VM of the own domain. Says whether it was known.
    #[must_use]
    pub fn leave(&mut self, vm: &VmId, incarnation: Incarnation) -> bool {
        let Some(known) = self.near.get_mut(vm) else {
            return false;
        };
        if known.row.incarnation > incarnation {
            return false;
        }
        tracing::info!(event = "peer_left", peer = %vm, incarnation);
        known.heard_at = None;
        true
    }

    /// Takes the members of another domain.
    pub fn hear_domain(&mut self, domain: &DomainName, members: Vec<JobOwner>, now: Uptime) {
        let far = self.far.entry(domain.clone()).or_default();
        far.members = members;
        far.heard_at = Some(now);
    }

    /// Takes the rows of the own domain's VMs. Gives the positions of those whose VMs are certainly gone.
    #[must_use]
    pub fn take_near_rows(&mut self, rows: &[VmRow], now: Uptime) -> Vec<usize> {
        self.near.retain(|vm, known| {
            known.is_heard(now, LIVE_TIME) || rows.iter().any(|row| row.vm == *vm)
        });
        let mut gone = Vec::new();
        for (position, row) in rows.iter().enumerate() {
            if row.vm == self.own.vm {
                continue;
            }
            let known = self.near.entry(row.vm.clone()).or_insert_with(|| KnownVm {
                row: row.clone(),
                sequence: 0,
                heard_at: None,
                seen_at: now,
            });
            if row.incarnation > known.row.incarnation {
                known.row = row.clone();
                known.sequence = 0;
                known.heard_at = None;
                known.seen_at = now;
            }
            let last = known.heard_at.unwrap_or(known.seen_at);
            if now.saturating_sub(last) > FORGET_TIME {
                gone.push(position);
            }
        }
        gone
    }

    /// Takes the rows of another domain's VMs.
    pub fn take_far_rows(&mut self, domain: &DomainName, rows: Vec<VmRow>) {
        self.far.entry(domain.clone()).or_default().rows = rows;
    }

    /// The VMs that read the store for the own domain, the first one first.
    #[must_use]
    pub fn readers(&self, now: Uptime) -> Vec<&VmRow> {
        let heard = self.near.values();
        let heard = heard.filter(|known| known.is_heard(now, READER_TIME));
        let rows = heard.map(|known| &known.row).chain([&self.own]);
        ranked(rows, &self.own.domain)
    }

    /// Whether this VM reads the store for its domain.
    #[must_use]
    pub fn is_reader(&self, now: Uptime) -> bool {
        let readers = self.readers(now);
        readers.iter().any(|row| row.vm == self.own.vm)
    }

    /// Whether this VM reports to the other domains.
    #[must_use]
    pub fn is_aggregator(&self, now: Uptime) -> bool {
        let readers = self.readers(now);
        readers.first().is_some_and(|row| row.vm == self.own.vm)
    }

    /// Addresses of the own domain's VMs, those that were not heard yet among them.
    #[must_use]
    pub fn near_addresses(&self) -> Vec<SocketAddr> {
        self.near.values().map(|known| known.row.peers).collect()
    }

    /// One VM of each other domain that passes reports on there: by turns, so that one may fail.
    #[must_use]
    pub fn far_addresses(&self, turn: u64, now: Uptime) -> Vec<(&VmRow, SocketAddr)> {
        let domains = self.far.iter();
        let chosen = domains.filter_map(|(domain, far)| {
            let is_member = |row: &&VmRow| far.members.iter().any(|member| member.vm == row.vm);
            let known: Vec<&VmRow> = if far.is_live(now) {
                far.rows.iter().filter(is_member).collect()
            } else {
                far.rows.iter().collect()
            };
            let ranked = ranked(known.into_iter(), domain);
            let count = u64::try_from(ranked.len())
                .ok()
                .filter(|count| *count > 0)?;
            let position = usize::try_from(turn % count).unwrap_or(0);
            ranked.get(position).map(|row| (*row, row.peers))
        });
        chosen.collect()
    }

    /// VMs that may know the document's age: the other readers of the domain, then one elsewhere and the others of the
    /// domain, in an order that changes with `turn`.
    #[must_use]
    pub fn age_sources(&self, turn: u64, now: Uptime) -> Vec<SocketAddr> {
        let readers = self.readers(now).into_iter();
        let readers = readers
            .filter(|row| row.vm != self.own.vm)
            .map(|row| row.peers);
        let near = self
            .near
            .values()
            .filter(|known| known.is_heard(now, LIVE_TIME));
        let mut others: Vec<&VmRow> = near.map(|known| &known.row).collect();
        others.sort_by_key(|row| score(&row.vm, turn));
        let mut far: Vec<SocketAddr> = self
            .far_addresses(turn, now)
            .into_iter()
            .map(|(_, address)| address)
            .collect();
        let shift = usize::try_from(turn).unwrap_or(0) % far.len().max(1);
        far.rotate_left(shift);
        let others = others.into_iter().map(|row| row.peers);
        let first_far = far.first().copied();
        readers
            .chain(first_far)
            .chain(others)
            .chain(far.into_iter().skip(1))
            .collect()
    }

    /// Start of this VM and of those of the own domain that are heard.
    #[must_use]
    pub fn members(&self, now: Uptime) -> Vec<JobOwner> {
        let heard = self
            .near
            .values()
            .filter(|known| known.is_heard(now, LIVE_TIME));
        heard
            .map(|known| &known.row)
            .chain([&self.own])
            .map(owner_of_row)
            .collect()
    }

    /// What jobs have to know of the VMs.
    #[must_use]
    pub fn job_fleet(&self, now: Uptime) -> FleetSnapshot {
        let members = self.members(now);
        let live_far = || self.far.iter().filter(|(_, far)| far.is_live(now));
        let far_members = live_far().flat_map(|(_, far)| far.members.iter().cloned());
        let domains = live_far().map(|(domain, _)| domain.clone());
        FleetSnapshot {
            live: members.iter().cloned().chain(far_members).collect(),
            domains: domains.chain([self.own.domain.clone()]).collect(),
            readers: self
                .readers(now)
                .into_iter()
                .map(|row| row.vm.clone())
                .collect(),
            domain: self.own.domain.clone(),
            members,
        }
    }
}

fn owner_of_row(row: &VmRow) -> JobOwner {
    JobOwner {
        vm: row.vm.clone(),
        incarnation: row.incarnation,
    }
}

/// The first VMs of a domain: those with the most processor time, spread by hash among equals.
fn ranked<'a>(rows: impl Iterator<Item = &'a VmRow>, domain: &DomainName) -> Vec<&'a VmRow> {
    let key = key_of(domain);
    let mut rows: Vec<&VmRow> = rows.collect();
    rows.sort_by_key(|row| Reverse((row.processor_percent, score(&row.vm, key))));
    rows.truncate(READER_COUNT);
    rows
}
