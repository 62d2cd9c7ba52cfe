//! Reports that a relay has received and not yet forwarded to its failure domain, and their division into datagrams.
//!
//! In a large failure domain, VMs report to the domain's readers only. These forward what arrived within an interval
//! in one batch, so that the datagrams that a VM sends and receives do not increase with the size of the domain.

use crate::message::{DomainUpdate, PeerReport, ReportBatch, VmRow};
use plantainmill_admission::UsageEntry;
use plantainmill_core::{DomainName, VmId};
use std::collections::{BTreeMap, HashSet};

/// Largest number of entries in one batch. An entry takes some 30 bytes, and a datagram holds 65,000.
const MAX_BATCH_ENTRIES: usize = 700;
/// Entries that count for a report or an update itself.
const HEAD_ENTRIES: usize = 3;

/// Reports and updates that wait to be forwarded: at most one of each VM and of each domain.
#[derive(Debug, Default)]
pub struct ReportRelay {
    reports: BTreeMap<VmId, PeerReport>,
    updates: BTreeMap<DomainName, DomainUpdate>,
}

impl ReportRelay {
    /// Adds a report that is more recent than any former one of its VM. It replaces a waiting one, whose changes of the
    /// usage are kept.
    pub fn add_report(&mut self, mut report: PeerReport) {
        if let Some(waiting) = self.reports.remove(&report.row.vm)
            && waiting.row.incarnation == report.row.incarnation
        {
            keep_usage(&mut report.usage, waiting.usage);
        }
        self.reports.insert(report.row.vm.clone(), report);
    }

    /// Adds an update that is more recent than any former one of its domain. It replaces a waiting one, whose members
    /// and changes of the usage are kept.
    pub fn add_update(&mut self, mut update: DomainUpdate) {
        if let Some(waiting) = self.updates.remove(&update.domain)
            && waiting.aggregator == update.aggregator
        {
            update.members = update.members.or(waiting.members);
            keep_usage(&mut update.usage, waiting.usage);
        }
        self.updates.insert(update.domain.clone(), update);
    }

    /// Removes a waiting report that another relay has forwarded, or a more recent one of the same VM.
    pub fn remove_report(&mut self, row: &VmRow, sequence: u64) {
        let is_forwarded = self.reports.get(&row.vm).is_some_and(|waiting| {
            (waiting.row.incarnation, waiting.sequence) <= (row.incarnation, sequence)
        });
        if is_forwarded {
            self.reports.remove(&row.vm);
        }
    }

    /// Takes all that waits, as batches that each fit into a datagram. `sender` is the relay.
    #[must_use]
    pub fn take_batches(&mut self, sender: &VmRow) -> Vec<ReportBatch> {
        let reports = std::mem::take(&mut self.reports).into_values();
        let updates = std::mem::take(&mut self.updates).into_values();
        let mut batches = split_updates(sender, true, updates.collect());
        for report in reports {
            let entries = HEAD_ENTRIES + report.load.slots.len() + report.usage.len();
            let batch = batch_with_room(&mut batches, sender, true, entries);
            batch.reports.push(report);
        }
        batches
    }
}

/// Divides updates into batches that each fit into a datagram. An update with a long usage takes several, with the same
/// sequence number.
#[must_use]
pub fn split_updates(
    sender: &VmRow,
    is_relayed: bool,
    updates: Vec<DomainUpdate>,
) -> Vec<ReportBatch> {
    let mut batches = Vec::new();
    for mut update in updates {
        let mut usage = std::mem::take(&mut update.usage);
        loop {
            let rest = usage.split_off(usage.len().min(MAX_BATCH_ENTRIES / 2));
            let members = update.members.take();
            let part = DomainUpdate {
                members,
                usage,
                ..update.clone()
            };
            let members = part.members.as_ref().map_or(0, Vec::len);
            let entries = HEAD_ENTRIES + members + part.load.slots.len() + part.usage.len();
            let batch = batch_with_room(&mut batches, sender, is_relayed, entries);
            batch.domains.push(part);
            if rest.is_empty() {
                break;
            }
            usage = rest;
        }
    }
    batches
}

/// The last batch if it has room for `entries`, or a new one.
fn batch_with_room<'a>(
    batches: &'a mut Vec<ReportBatch>,
    sender: &VmRow,
    is_relayed: bool,
    entries: usize,
) -> &'a mut ReportBatch {
    let has_room = batches
        .last()
        .is_some_and(|batch| batch_entries(batch) + entries <= MAX_BATCH_ENTRIES);
    if !has_room {
        batches.push(ReportBatch {
            sender: sender.clone(),
            is_relayed,
            reports: Vec::new(),
            domains: Vec::new(),
            stated: Vec::new(),
        });
    }
    let last = batches.len() - 1;
    &mut batches[last]
}

fn batch_entries(batch: &ReportBatch) -> usize {
    let reports = batch.reports.iter();
    let reports: usize = reports
        .map(|report| HEAD_ENTRIES + report.load.slots.len() + report.usage.len())
        .sum();
    let updates = batch.domains.iter();
    let updates: usize = updates
        .map(|update| {
            let members = update.members.as_ref().map_or(0, Vec::len);
            HEAD_ENTRIES + members + update.load.slots.len() + update.usage.len()
        })
        .sum();
    reports + updates
}

/// Adds to `usage` the entries of `former` for organisations that it does not list.
fn keep_usage(usage: &mut Vec<UsageEntry>, former: Vec<UsageEntry>) {
    let listed: HashSet<_> = usage
        .iter()
        .map(|entry| entry.organisation.clone())
        .collect();
    let missing = former.into_iter();
    usage.extend(missing.filter(|entry| !listed.contains(&entry.organisation)));
}
