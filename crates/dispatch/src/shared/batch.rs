//! Batch requests of the shared policy: which of them start in idle slots.

use super::choice::{CandidateOrder, SlotState};
use super::ledger::{LedgerEffect, LoadLedger, RequestId, WaitingRequest};
use super::peers::SlotUse;
use super::target::{LedgerTarget, RefusalCause};
use crate::dispatcher::{TargetNeed, TicketRequest};
use crate::rendezvous::{key_of, score};
use plantainmill_core::{TargetId, Uptime};
use std::collections::HashSet;
use std::time::Duration;

/// Slots of each target that batch calls leave free, so that online requests rarely wait for a preemption.
const BATCH_RESERVE: u32 = 1;

impl LoadLedger {
    pub(super) fn serve_batch(&mut self, now: Uptime, effects: &mut Vec<LedgerEffect>) {
        let is_paused = now < self.batch_paused_until;
        self.refuse_gone_versions(effects);
        if self.batch.is_empty() || is_paused {
            return;
        }
        // Requests past their deadline go after those that can still meet theirs.
        self.batch
            .sort_by_key(|waiting| (waiting.request.deadline <= now, waiting.request.deadline));
        let contested = self.contested_targets();
        let mut budget = self.batch_budget(&contested);
        for next in std::mem::take(&mut self.batch) {
            if budget == 0 || !self.grant_batch(&next, &contested, now, effects) {
                self.batch.push(next);
            } else {
                budget -= 1;
            }
        }
    }

    /// Targets for which online requests of this VM wait. Batch requests get none of their slots.
    fn contested_targets(&self) -> HashSet<TargetId> {
        if self.online.is_empty() {
            return HashSet::new();
        }
        // Most waiting requests need the same targets.
        let mut requests: Vec<&TicketRequest> = Vec::new();
        for request in self.online.iter().map(|waiting| &waiting.request) {
            let is_alike = |other: &&TicketRequest| {
                (
                    &other.service,
                    &other.version,
                    &other.barred,
                    &other.regions,
                ) == (
                    &request.service,
                    &request.version,
                    &request.barred,
                    &request.regions,
                )
            };
            if !requests.iter().any(is_alike) {
                requests.push(request);
            }
        }
        let targets = self.targets.iter().filter(|(id, target)| {
            let mut requests = requests.iter();
            requests.any(|request| target.meets(request.need()) && !request.barred.contains(id))
        });
        targets.map(|(id, _)| id.clone()).collect()
    }

    /// Refuses requests whose stream began at a version that no target has any more. They have to begin anew.
    fn refuse_gone_versions(&mut self, effects: &mut Vec<LedgerEffect>) {
        let is_gone = |waiting: &WaitingRequest| {
            let request = &waiting.request;
            request.version.is_some() && self.refusal_cause(request) == RefusalCause::NoTarget
        };
        let gone = self.batch.iter().filter(|waiting| is_gone(waiting));
        let gone: Vec<RequestId> = gone.map(|waiting| waiting.number).collect();
        self.batch.retain(|waiting| !gone.contains(&waiting.number));
        effects.extend(gone.into_iter().map(|number| LedgerEffect::Refuse {
            number,
            retry_after: Duration::ZERO,
            cause: RefusalCause::NoTarget,
        }));
    }

    /// The targets that meet the need and have room for a batch request and no recent failure.
    pub fn free_targets<'a>(
        &'a self,
        need: TargetNeed<'a>,
        now: Uptime,
    ) -> impl Iterator<Item = &'a TargetId> {
        let targets = self.targets.iter();
        let free = targets.filter(move |(id, target)| {
            target.meets(need)
                && !target.backoff.is_backing_off(now)
                && has_batch_room(target, self.peers.at(id))
        });
        free.map(|(id, _)| id)
    }

    /// Number of batch requests that this VM may start now: the free slots that no online request waits for, divided by the VMs
    /// with waiting batch requests.
    fn batch_budget(&self, contested: &HashSet<TargetId>) -> usize {
        let free: u32 = self
            .targets
            .iter()
            .filter(|(id, _)| !contested.contains(*id))
            .map(|(id, target)| {
                let used = target.own.total() + self.peers.at(id).total();
                batch_slots(target).saturating_sub(used)
            })
            .sum();
        let sharers = 1 + self.peers.batch_waiting_vms();
        usize::try_from(free.div_ceil(sharers)).unwrap_or(0)
    }

    fn grant_batch(
        &mut self,
        waiting: &WaitingRequest,
        contested: &HashSet<TargetId>,
        now: Uptime,
        effects: &mut Vec<LedgerEffect>,
    ) -> bool {
        let has_healthy = self.targets.values().any(|target| {
            target.meets(waiting.request.need()) && !target.backoff.is_backing_off(now)
        });
        let candidates = self.candidates(&waiting.request, now, |target, peers| {
            let is_usable = !has_healthy || !target.backoff.is_backing_off(now);
            let is_open = has_batch_room(target, peers) && !contested.contains(&target.entry.id);
            (is_open && is_usable).then_some(SlotState::Free)
        });
        let order = CandidateOrder {
            prefix_hash: waiting.request.prefix_hash,
            vm_key: self.has_late_reports.then(|| key_of(&self.vm)),
            salt: score(&self.vm, waiting.number),
        };
        let Some(best) = order.best(candidates) else {
            return false;
        };
        self.grant(waiting, &best.target, now, effects);
        true
    }
}

fn has_batch_room(target: &LedgerTarget, peers: SlotUse) -> bool {
    target.own.total() + peers.total() < batch_slots(target)
}

/// Number of requests at the target up to which batch calls are started.
fn batch_slots(target: &LedgerTarget) -> u32 {
    let slots = target.entry.slots;
    // Otherwise a target with a single slot could never run batch calls.
    slots.saturating_sub(BATCH_RESERVE).max(slots.min(1))
}
