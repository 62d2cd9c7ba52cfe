//! Whether owners answer.

use super::DispatchNode;
use crate::message::RequestId;
use crate::target_view::Distance;
use plantainmill_core::{Uptime, VmId};
use std::time::Duration;

/// Time until the answer of an owner in the same region. One-way delays there are about a millisecond.
const NEAR_TIMEOUT: Duration = Duration::from_millis(100);
/// Time until the answer of an owner in another region.
const LINK_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of an owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerContact {
    unanswered: Option<Uptime>,
    silent: bool,
}

impl OwnerContact {
    /// Notes that a message was sent that the owner answers.
    pub(super) fn expect_answer(&mut self, now: Uptime) {
        self.unanswered.get_or_insert(now);
    }
}

impl DispatchNode {
    pub(super) fn contact(&mut self, vm: &VmId) -> &mut OwnerContact {
        self.contacts.entry(vm.clone()).or_default()
    }

    /// Notes an answer of `vm`.
    pub(super) fn note_answer(&mut self, vm: &VmId) {
        let Some(contact) = self.contacts.get_mut(vm) else {
            return;
        };
        contact.unanswered = None;
        if std::mem::take(&mut contact.silent) {
            self.set_silent(vm, false);
        }
    }

    /// Finds owners that did not answer in time, and takes their targets' requests elsewhere.
    pub(super) fn find_silent(&mut self, now: Uptime) {
        let contacts = self.contacts.iter();
        let late = contacts.filter(|(vm, contact)| {
            let waited = contact.unanswered.map(|sent| now.saturating_sub(sent));
            // The timeout of a VM takes a search, which only the few that are late need.
            let waited = waited.filter(|waited| *waited >= NEAR_TIMEOUT && !contact.silent);
            waited.is_some_and(|waited| waited >= self.answer_timeout(vm))
        });
        let late = late.map(|(vm, _)| vm.clone()).collect::<Vec<_>>();
        for vm in late {
            self.contact(&vm).silent = true;
            self.counts.owners_silent += 1;
            self.set_silent(&vm, true);
            self.drop_asks(|owner| owner == Some(&vm), now);
        }
    }

    /// Whether `vm` does not answer.
    pub(super) fn is_silent(&self, vm: &VmId) -> bool {
        self.contacts.get(vm).is_some_and(|contact| contact.silent)
    }

    /// Drops the open asks to the owners for which `lost` is true, and looks for other targets.
    pub(super) fn drop_asks(&mut self, lost: impl Fn(Option<&VmId>) -> bool, now: Uptime) {
        let mut stranded: Vec<RequestId> = Vec::new();
        for (id, pending) in &mut self.pending {
            let before = pending.asks.len();
            let views = &self.views;
            pending
                .asks
                .retain(|ask| !lost(views[ask.index].owner.as_ref()));
            if pending.asks.len() < before && pending.asks.is_empty() {
                stranded.push(*id);
            }
        }
        for id in stranded {
            self.advance(id, false, now);
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

    fn answer_timeout(&self, vm: &VmId) -> Duration {
        let mut views = self.views.iter();
        let view = views.find(|view| view.owner.as_ref() == Some(vm));
        match view.map(|view| view.distance) {
            Some(Distance::Link) => LINK_TIMEOUT,
            _ => NEAR_TIMEOUT,
        }
    }
}
