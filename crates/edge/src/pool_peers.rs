//! VMs that may hold token pools, with their addresses.

use crate::message::{PoolVm, VmRow};
use crate::peer_directory::PeerDirectory;
use plantainmill_admission::pools::FleetView;
use plantainmill_core::{DomainName, Uptime, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a VM of the own domain that is not heard stays known.
const KNOWN_TIME: Duration = Duration::from_secs(20);

/// Difference of starts up to which VMs count as started together, in microseconds as in their incarnations.
const JOINT_START_US: u64 = 3_000_000;

/// VMs of each failure domain by their stored rows, as read by this VM or by a reader of its domain.
#[derive(Default)]
pub struct PoolPeers {
    domains: BTreeMap<DomainName, Vec<PoolVm>>,
}

impl PoolPeers {
    /// Replaces the VMs of a domain by their stored rows.
    pub fn record_rows(&mut self, domain: &DomainName, rows: &[VmRow]) {
        let vms = rows.iter().map(|row| PoolVm {
            vm: row.vm.clone(),
            address: row.peers,
            holds_pools: row.holds_pools,
        });
        self.domains.insert(domain.clone(), vms.collect());
    }

    /// Replaces the VMs of a domain by what a reader has read.
    pub fn record_vms(&mut self, domain: DomainName, vms: Vec<PoolVm>) {
        self.domains.insert(domain, vms);
    }

    /// VMs of the domains that have been read.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, &Vec<PoolVm>)> {
        self.domains.iter()
    }

    /// Datagram address of a VM.
    #[must_use]
    pub fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let mut vms = self.domains.values().flatten();
        vms.find(|found| found.vm == *vm).map(|found| found.address)
    }

    /// What `own` knows of the fleet. Nothing until it has read which VMs its domain has: it would take itself for the only
    /// one. `domain_count` is the number of failure domains of the settings.
    #[must_use]
    pub fn fleet_view(
        &self,
        directory: &PeerDirectory,
        own: &VmRow,
        domain_count: usize,
        now: Uptime,
    ) -> Option<FleetView> {
        self.domains.get(&own.domain)?;
        let local = directory.members(now);
        let earliest = own.incarnation.saturating_sub(JOINT_START_US);
        let is_joint = local.iter().all(|member| member.incarnation >= earliest);
        let local = local.into_iter();
        let local: Vec<VmId> = local.map(|member| member.vm).collect();
        let heard = local.len();
        let known = directory.known_count(now, KNOWN_TIME).max(heard);
        let mut members = directory.remote_vms(now);
        let others = self.domains.values().flatten();
        let is_alone = known == 1
            && members.is_empty()
            && self.domains.len() >= domain_count
            && others.filter(|other| other.vm != own.vm).count() == 0;
        members.insert(own.domain.clone(), local);
        // A VM whose row has not been read may hold pools, as all VMs of this release.
        let all = self.domains.values().flatten();
        let older: BTreeSet<&VmId> = all
            .filter(|found| !found.holds_pools)
            .map(|found| &found.vm)
            .collect();
        for vms in members.values_mut() {
            vms.retain(|vm| !older.contains(vm));
            vms.sort();
        }
        Some(FleetView {
            members,
            heard,
            known,
            is_alone,
            started_together_at: is_joint.then(|| directory.started_at()),
        })
    }
}
