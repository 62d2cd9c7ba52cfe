//! Encoding of report batches as arrays without field names: batches are most of the traffic between VMs.

use crate::message::{DomainUpdate, PeerReport, ReportBatch, VmRow};
use plantainmill_admission::UsageEntry;
use plantainmill_core::{DomainName, Incarnation, OrganisationId, RegionName, TargetId, VmId};
use plantainmill_dispatch::shared::{PeerLoad, SlotUse, StatedEntry};
use plantainmill_jobs::JobOwner;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A [`ReportBatch`]: sender, its domain and region, whether it is relayed, reports, domains, statements of targets.
///
/// The statements are the end of the datagram, where decoders of older releases do not read on, and are left out if there
/// are none.
#[derive(Deserialize, Serialize)]
pub(crate) struct CompactBatch(
    CompactRow,
    DomainName,
    RegionName,
    bool,
    Vec<CompactReport>,
    Vec<CompactDomain>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")] Vec<StatedEntry>,
);

/// A [`VmRow`] of the batch's domain: id, incarnation, peer address, control address, processor percentage.
#[derive(Deserialize, Serialize)]
struct CompactRow(VmId, Incarnation, SocketAddr, SocketAddr, u32);

/// A [`PeerReport`]: row, sequence number, load, usage.
#[derive(Deserialize, Serialize)]
struct CompactReport(CompactRow, u64, CompactLoad, Vec<CompactUsage>);

/// A [`DomainUpdate`]: domain, aggregator, sequence number, number of members, members, load, usage.
#[derive(Deserialize, Serialize)]
struct CompactDomain(
    DomainName,
    CompactOwner,
    u64,
    usize,
    Option<Vec<CompactOwner>>,
    CompactLoad,
    Vec<CompactUsage>,
);

/// A [`JobOwner`].
type CompactOwner = (VmId, Incarnation);
/// A [`UsageEntry`]: organisation, admitted, demand, level.
type CompactUsage = (OrganisationId, u64, f64, f64);

/// A [`PeerLoad`]: online and batch requests by target, VMs with waiting batch requests, VMs with waiting online
/// requests, busiest organisation.
#[derive(Deserialize, Serialize)]
struct CompactLoad(
    Vec<(TargetId, u32, u32)>,
    u32,
    u32,
    Option<(OrganisationId, u32)>,
);

impl From<ReportBatch> for CompactBatch {
    fn from(batch: ReportBatch) -> CompactBatch {
        let ReportBatch {
            sender,
            is_relayed,
            reports,
            domains,
            stated,
        } = batch;
        let (domain, region) = (sender.domain.clone(), sender.region.clone());
        CompactBatch(
            sender.into(),
            domain,
            region,
            is_relayed,
            reports.into_iter().map(CompactReport::from).collect(),
            domains.into_iter().map(CompactDomain::from).collect(),
            stated,
        )
    }
}

impl From<CompactBatch> for ReportBatch {
    fn from(batch: CompactBatch) -> ReportBatch {
        let CompactBatch(sender, domain, region, is_relayed, reports, domains, stated) = batch;
        let row = |row: CompactRow| row.into_row(&domain, &region);
        let reports = reports.into_iter();
        ReportBatch {
            reports: reports
                .map(|CompactReport(sender, sequence, load, usage)| PeerReport {
                    row: row(sender),
                    sequence,
                    load: load.into(),
                    usage: expand_usage(usage),
                })
                .collect(),
            sender: row(sender),
            is_relayed,
            domains: domains.into_iter().map(DomainUpdate::from).collect(),
            stated,
        }
    }
}

impl From<VmRow> for CompactRow {
    fn from(row: VmRow) -> CompactRow {
        CompactRow(
            row.vm,
            row.incarnation,
            row.peers,
            row.control,
            row.processor_percent,
        )
    }
}

impl CompactRow {
    fn into_row(self, domain: &DomainName, region: &RegionName) -> VmRow {
        let CompactRow(vm, incarnation, peers, control, processor_percent) = self;
        VmRow {
            vm,
            incarnation,
            domain: domain.clone(),
            region: region.clone(),
            peers,
            control,
            processor_percent,
            reads_batches: true,
            reads_job_changes: false,
            // Only the stored row says that a VM holds none.
            holds_pools: true,
        }
    }
}

impl From<PeerReport> for CompactReport {
    fn from(report: PeerReport) -> CompactReport {
        CompactReport(
            report.row.into(),
            report.sequence,
            report.load.into(),
            compact_usage(report.usage),
        )
    }
}

impl From<DomainUpdate> for CompactDomain {
    fn from(update: DomainUpdate) -> CompactDomain {
        let members = update.members.map(|members| {
            let members = members.into_iter();
            members
                .map(|member| (member.vm, member.incarnation))
                .collect()
        });
        CompactDomain(
            update.domain,
            (update.aggregator.vm, update.aggregator.incarnation),
            update.sequence,
            update.member_count,
            members,
            update.load.into(),
            compact_usage(update.usage),
        )
    }
}

impl From<CompactDomain> for DomainUpdate {
    fn from(update: CompactDomain) -> DomainUpdate {
        let owner = |(vm, incarnation): CompactOwner| JobOwner { vm, incarnation };
        let CompactDomain(domain, aggregator, sequence, member_count, members, load, usage) =
            update;
        DomainUpdate {
            domain,
            aggregator: owner(aggregator),
            sequence,
            member_count,
            members: members.map(|members| members.into_iter().map(owner).collect()),
            load: load.into(),
            usage: expand_usage(usage),
        }
    }
}

impl From<PeerLoad> for CompactLoad {
    fn from(load: PeerLoad) -> CompactLoad {
        let slots = load.slots.into_iter();
        CompactLoad(
            slots
                .map(|(target, slots)| (target, slots.online, slots.batch))
                .collect(),
            load.batch_waiting_vms,
            load.online_waiting_vms,
            load.busiest,
        )
    }
}

impl From<CompactLoad> for PeerLoad {
    fn from(load: CompactLoad) -> PeerLoad {
        let CompactLoad(slots, batch_waiting_vms, online_waiting_vms, busiest) = load;
        let slots = slots.into_iter();
        PeerLoad {
            slots: slots
                .map(|(target, online, batch)| (target, SlotUse { online, batch }))
                .collect(),
            batch_waiting_vms,
            online_waiting_vms,
            busiest,
        }
    }
}

fn compact_usage(usage: Vec<UsageEntry>) -> Vec<CompactUsage> {
    let entries = usage.into_iter();
    entries
        .map(|entry| {
            (
                entry.organisation,
                entry.admitted,
                entry.demand,
                entry.level,
            )
        })
        .collect()
}

fn expand_usage(usage: Vec<CompactUsage>) -> Vec<UsageEntry> {
    let entries = usage.into_iter();
    entries
        .map(|(organisation, admitted, demand, level)| UsageEntry {
            organisation,
            admitted,
            demand,
            level,
        })
        .collect()
}
