//! Rows and reports of made-up VMs.

use plantainmill_admission::UsageEntry;
use plantainmill_dispatch::shared::{PeerLoad, SlotUse};
use plantainmill_edge::{DomainUpdate, PeerReport, VmRow};
use plantainmill_jobs::JobOwner;
use std::net::SocketAddr;
use std::time::Duration;

pub fn row(domain: &str, number: u16) -> VmRow {
    VmRow {
        vm: format!("{domain}{number}").into(),
        incarnation: 1,
        domain: domain.into(),
        region: "north".into(),
        peers: SocketAddr::from(([10, 0, 0, 1], number)),
        control: SocketAddr::from(([10, 0, 0, 2], number)),
        processor_percent: 50,
        reads_batches: true,
        reads_job_changes: false,
        holds_pools: true,
    }
}

pub const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn owner(domain: &str, number: u16) -> JobOwner {
    JobOwner {
        vm: row(domain, number).vm,
        incarnation: 1,
    }
}

/// A load of `online` requests at one target.
pub fn load(online: u32) -> PeerLoad {
    let slots = SlotUse { online, batch: 0 };
    PeerLoad {
        slots: vec![("t1".into(), slots)],
        ..PeerLoad::default()
    }
}

pub fn usage(organisation: u64, admitted: u64) -> UsageEntry {
    UsageEntry {
        organisation: format!("organisation-{organisation}").into(),
        admitted,
        demand: 1.0,
        level: 10.0,
    }
}

pub fn report(number: u16, sequence: u64, usage: Vec<UsageEntry>) -> PeerReport {
    PeerReport {
        row: row("a", number),
        sequence,
        load: load(u32::from(number)),
        usage,
    }
}

/// An update on domain `b`, without members.
pub fn update(sequence: u64, usage: Vec<UsageEntry>) -> DomainUpdate {
    DomainUpdate {
        domain: "b".into(),
        aggregator: owner("b", 1),
        sequence,
        member_count: 3,
        members: None,
        load: load(1),
        usage,
    }
}
