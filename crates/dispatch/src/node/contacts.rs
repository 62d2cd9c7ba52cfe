//! Detection of owners that do not respond.

use super::DispatchNode;
use crate::message::RequestId;
use crate::target_view::Distance;
use plantainmill_core::{Uptime, VmId};
use std::time::Duration;

/// Reply timeout of an owner in the same region, where one-way delays are about a millisecond.
const NEAR_TIMEOUT: Duration = Duration::from_millis(100);
/// Reply timeout of an owner in another region.
const LINK_TIMEOUT: Duration = Duration::from_millis(400);

/// Responsiveness of an owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerContact {
    awaiting_since: Option<Uptime>,
    silent: bool,
}

impl OwnerContact {
    /// Records that a message was sent that the owner has to reply to.
    pub(super) fn expect_reply(&mut self, now: Uptime) {
        self.awaiting_since.get_or_insert(now);
    }
}

impl DispatchNode {
    pub(super) fn contact(&mut self, vm: &VmId) -> &mut OwnerContact {
        self.contacts.entry(vm.clone()).or_default()
    }

    /// Records a reply of `vm`, which ends its silence.
    pub(super) fn record_reply(&mut self, vm: &VmId) {
        let Some(contact) = self.contacts.get_mut(vm) else {
            return;
        };
        contact.awaiting_since = None;
        if std::mem::take(&mut contact.silent) {
            self.set_silent(vm, false);
        }
    }

    /// Marks owners that did not reply in time as silent, and moves the requests that they were asked for elsewhere.
    pub(super) fn detect_silent_owners(&mut self, now: Uptime) {
        let contacts = self.contacts.iter();
        let late = contacts.filter(|(vm, contact)| {
            let waited = contact.awaiting_since.map(|sent| now.saturating_sub(sent));
            // `reply_timeout` searches all views, so it is called only for the few VMs that are past the shorter
            // timeout.
            let waited = waited.filter(|waited| *waited >= NEAR_TIMEOUT && !contact.silent);
            waited.is_some_and(|waited| waited >= self.reply_timeout(vm))
        });
        let late = late.map(|(vm, _)| vm.clone()).collect::<Vec<_>>();
        for vm in late {
            self.contact(&vm).silent = true;
            self.counts.owners_silent += 1;
            self.set_silent(&vm, true);
            self.drop_owner_requests(|owner| owner == Some(&vm), now);
        }
    }

    /// Whether `vm` is an owner that does not respond.
    pub(super) fn is_silent(&self, vm: &VmId) -> bool {
        self.contacts.get(vm).is_some_and(|contact| contact.silent)
    }

    /// Drops the requests to owners for which `lost` is true, and searches new targets for those without another owner.
    pub(super) fn drop_owner_requests(
        &mut self,
        lost: impl Fn(Option<&VmId>) -> bool,
        now: Uptime,
    ) {
        let mut without_owner: Vec<RequestId> = Vec::new();
        for (id, pending) in &mut self.pending {
            let before = pending.owner_requests.len();
            let views = &self.views;
            pending
                .owner_requests
                .retain(|sent| !lost(views[sent.index].owner.as_ref()));
            if pending.owner_requests.len() < before && pending.owner_requests.is_empty() {
                without_owner.push(*id);
            }
        }
        for id in without_owner {
            self.place_request(id, false, now);
        }
    }

    fn set_silent(&mut self, vm: &VmId, silent: bool) {
        for view in &mut self.views {
            if view.owner.as_ref() == Some(vm) {
                view.silent = silent;
                view.forget_load();
            }
        }
    }

    fn reply_timeout(&self, vm: &VmId) -> Duration {
        let mut views = self.views.iter();
        let view = views.find(|view| view.owner.as_ref() == Some(vm));
        match view.map(|view| view.distance) {
            Some(Distance::Link) => LINK_TIMEOUT,
            _ => NEAR_TIMEOUT,
        }
    }
}
