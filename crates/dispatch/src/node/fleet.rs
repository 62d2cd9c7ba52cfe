//! Changes of the configuration and of the member view: known targets and their owners.

use super::{DispatchNode, ServiceState};
use crate::message::MessageBody;
use crate::rendezvous;
use crate::target_view::{Distance, TargetView};
use plantainmill_config::{FleetConfig, TargetSpec};
use plantainmill_core::{DomainName, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum mean number of targets of a service in a failure domain that share an owner.
const GROUP_SIZE: u64 = 8;

impl DispatchNode {
    /// Applies a configuration and a member view if they differ from the current ones.
    pub fn apply(&mut self, config: &Arc<FleetConfig>, members: &Arc<Vec<Member>>, now: Uptime) {
        let new_config = !Arc::ptr_eq(config, &self.config);
        // Membership may publish a view with the same content after every probe.
        let new_member_view = !Arc::ptr_eq(members, &self.members);
        let new_members = new_member_view && **members != *self.members;
        if new_config {
            self.apply_config(config, now);
        }
        if new_member_view {
            self.members = Arc::clone(members);
        }
        if new_config || new_members {
            self.assign_owners(now);
            self.process_local_messages(now);
        }
    }

    fn apply_config(&mut self, config: &Arc<FleetConfig>, now: Uptime) {
        let is_first = self.config.targets.is_empty();
        self.link.set_rate(config.defaults.link_bytes_per_s, now);
        if !Arc::ptr_eq(&config.targets, &self.config.targets) {
            self.apply_targets(config, now, is_first);
        }
        for name in config.services.keys() {
            self.services.entry(name.clone()).or_default();
        }
        self.config = Arc::clone(config);
    }

    /// Applies the targets of a configuration. Indices of known targets never change, because pending requests and
    /// calls refer to them. A removed target keeps its view, but is no longer a member of its service.
    fn apply_targets(&mut self, config: &Arc<FleetConfig>, now: Uptime, is_first: bool) {
        for service in self.services.values_mut() {
            service.targets.clear();
        }
        for (id, spec) in config.targets.iter() {
            let index = self.view_indices.get(id).copied();
            let index = index.unwrap_or_else(|| {
                let mut view = TargetView::new(id.clone(), spec.clone(), self.distance(spec));
                view.added_at = (!is_first).then_some(now);
                self.views.push(view);
                self.views.len() - 1
            });
            self.view_indices.insert(id.clone(), index);
            let distance = self.distance(spec);
            let view = &mut self.views[index];
            view.spec = spec.clone();
            view.distance = distance;
            let service = self.services.entry(spec.service.clone());
            let service: &mut ServiceState = service.or_default();
            service.targets.push(index);
            if let Some(queue) = self.queues.get_mut(id) {
                queue.set_concurrency(spec.concurrency);
            }
        }
        for view in &mut self.views {
            view.removed = !config.targets.contains_key(&view.id);
        }
    }

    fn distance(&self, spec: &TargetSpec) -> Distance {
        if spec.domain == self.identity.domain {
            Distance::Domain
        } else if spec.region == self.identity.region {
            Distance::Region
        } else {
            Distance::Link
        }
    }

    fn assign_owners(&mut self, now: Uptime) {
        let by_domain = self.live_vms_by_domain();
        let own = by_domain
            .get(self.identity.domain.as_str())
            .map_or(1, Vec::len);
        self.sharing_vms = u32::try_from(own).unwrap_or(u32::MAX);
        let members = Arc::clone(&self.members);
        let leaving_members = members.iter();
        let leaving_members = leaving_members.filter(|member| member.state == MemberState::Leaving);
        let leaving_members = leaving_members.collect::<Vec<_>>();
        let mut owners: HashMap<(DomainName, u64), Option<VmId>> = HashMap::new();
        let groups = self.owner_keys();
        for (index, key) in groups.into_iter().enumerate() {
            let view = &mut self.views[index];
            view.machine_leaving = is_machine_leaving(view, &leaving_members);
            let owner = owners.entry((view.spec.domain.clone(), key));
            let owner = owner.or_insert_with(|| {
                let vms = by_domain.get(view.spec.domain.as_str());
                let vms = vms.into_iter().flatten().map(VmId::as_str);
                rendezvous::owner_of(vms, key).map(VmId::from)
            });
            let owner = owner.clone();
            let owner = owner.filter(|_| !view.removed);
            if owner != view.owner {
                self.change_owner(index, owner.as_ref(), now);
            }
        }
        let members = members.iter().map(|member| &member.peer.id);
        let known = members.collect::<std::collections::HashSet<_>>();
        self.contacts.retain(|vm, _| known.contains(vm));
        self.retry_parked(now);
    }

    /// Rendezvous keys by which the owners of the targets are selected. On average up to [`GROUP_SIZE`] targets of a
    /// service in a failure domain share a key and so an owner, which can then grant a slot of any of them.
    fn owner_keys(&self) -> Vec<u64> {
        let mut sizes: HashMap<(&str, &str), u64> = HashMap::new();
        for view in self.views.iter().filter(|view| !view.removed) {
            let place = (view.spec.service.as_str(), view.spec.domain.as_str());
            *sizes.entry(place).or_default() += 1;
        }
        let keys = self.views.iter().map(|view| {
            let (service, domain) = (view.spec.service.as_str(), view.spec.domain.as_str());
            let size = sizes.get(&(service, domain)).copied().unwrap_or(1);
            let group = rendezvous::key_of(&view.id) % size.div_ceil(GROUP_SIZE);
            rendezvous::score(service, rendezvous::key_of(domain).wrapping_add(group))
        });
        keys.collect()
    }

    fn live_vms_by_domain(&self) -> HashMap<String, Vec<VmId>> {
        let mut by_domain: HashMap<String, Vec<VmId>> = HashMap::new();
        let own = by_domain
            .entry(self.identity.domain.to_string())
            .or_default();
        own.push(self.identity.vm.clone());
        for member in self.members.iter() {
            if member.state == MemberState::Live && member.peer.id != self.identity.vm {
                let domain = by_domain.entry(member.peer.domain.to_string()).or_default();
                domain.push(member.peer.id.clone());
            }
        }
        by_domain
    }

    /// Changes the owner of a target. Standing tickets are released to the old owner; tickets of running calls are
    /// reported to the new one.
    fn change_owner(&mut self, index: usize, owner: Option<&VmId>, now: Uptime) {
        let recalled = self.views[index].holding.recall();
        for ticket in recalled {
            self.release(index, ticket, super::NO_OUTCOME, now);
        }
        let old = std::mem::replace(&mut self.views[index].owner, owner.cloned());
        let silent = owner.is_some_and(|vm| self.is_silent(vm));
        let view = &mut self.views[index];
        view.silent = silent;
        view.renewal_sent = None;
        view.forget_load();
        if let Some(owner) = owner
            && !view.holding.is_empty()
        {
            let target = view.id.clone();
            let running = view.holding.ids(true);
            let body = MessageBody::Renew {
                running,
                standing: Vec::new(),
                waiting: Vec::new(),
                observed: Vec::new(),
            };
            self.send(owner, &target, body, now);
        }
        self.open_queue(index, now);
        if old.is_some() {
            self.drop_requests_to(index, now);
        }
    }

    /// Drops the requests to the old owner of a target, and searches new targets for those without another owner.
    fn drop_requests_to(&mut self, index: usize, now: Uptime) {
        let mut without_owner = Vec::new();
        for (id, pending) in &mut self.pending {
            let before = pending.owner_requests.len();
            pending.owner_requests.retain(|sent| sent.index != index);
            if pending.owner_requests.len() < before && pending.owner_requests.is_empty() {
                without_owner.push(*id);
            }
        }
        for id in without_owner {
            self.place_request(id, false, now);
        }
    }
}

/// Whether the machine of a target is leaving, according to the member view. A target shares a machine with the member
/// that has the same id, or the same address unless that is a loopback address, which all processes of a machine share.
fn is_machine_leaving(view: &TargetView, leaving_members: &[&Member]) -> bool {
    let address = view.spec.address.ip();
    leaving_members.iter().any(|member| {
        let same_address = !address.is_loopback() && member.peer.address.ip() == address;
        member.peer.id == view.id || same_address
    })
}
