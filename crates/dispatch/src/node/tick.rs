//! Periodic work: expiry, renewals, searches for free slots, and polls of load reports.

use super::acquire::OWNER_LIMIT;
use super::{DispatchNode, DispatchOutput, NO_OUTCOME};
use crate::message::{MessageBody, RequestId};
use crate::selector::lacks_responsive_owner;
use crate::target_view::Distance;
use plantainmill_config::model::ServiceKind;
use plantainmill_core::{Uptime, VmId};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Interval of renewals. A ticket's lifetime of 2.5 s outlasts one lost renewal.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which load reports are read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a queued request searches for a further target with a free slot.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Most requests per tick that search for a further target. Bounds the messages caused by a long batch queue.
const SEARCHES_PER_TICK: usize = 2;
/// Most owners asked for one request, including those found by later searches.
const SEARCH_LIMIT: usize = 2 * OWNER_LIMIT;

impl DispatchNode {
    /// Handles timeouts and periodic work. Has to be called every [`super::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Uptime) {
        self.tick_queues(now);
        self.process_local_messages(now);
        self.detect_silent_owners(now);
        self.expire_requests(now);
        self.search_further(now);
        if now >= self.last_renewal + RENEW_INTERVAL {
            self.last_renewal = now;
            self.renew(now);
        }
        if now >= self.last_poll + POLL_INTERVAL {
            self.last_poll = now;
            self.poll();
        }
        self.retry_parked(now);
        self.process_local_messages(now);
    }

    fn expire_requests(&mut self, now: Uptime) {
        let pending = self.pending.iter();
        let late = pending.filter(|(_, pending)| now >= pending.expires);
        let late = late.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in late {
            self.expire_pending(id, now);
        }
    }

    fn search_further(&mut self, now: Uptime) {
        let pending = self.pending.iter();
        let waiting = pending.filter(|(_, pending)| {
            !pending.owner_requests.is_empty()
                && pending.owner_requests.len() < SEARCH_LIMIT
                && now >= pending.last_search + SEARCH_INTERVAL
        });
        let waiting = waiting.map(|(id, _)| *id).take(SEARCHES_PER_TICK);
        for id in waiting.collect::<Vec<_>>() {
            self.place_request(id, true, now);
        }
    }

    fn renew(&mut self, now: Uptime) {
        let waiting = self.waiting_by_target();
        let mut probed: HashSet<VmId> = HashSet::new();
        for index in 0..self.views.len() {
            for ticket in self.views[index].holding.expire(now) {
                self.release(index, ticket, NO_OUTCOME, now);
            }
            let view = &self.views[index];
            let Some(owner) = view.owner.clone() else {
                continue;
            };
            let requests = waiting.get(&index);
            let in_use =
                !view.holding.is_empty() || !view.observed.is_empty() || requests.is_some();
            // One renewal per silent owner detects when it responds again.
            let is_probe = view.silent && probed.insert(owner.clone());
            if in_use || is_probe {
                let requests = requests.cloned().unwrap_or_default();
                self.renew_target(index, &owner, requests, now);
            }
        }
    }

    fn renew_target(&mut self, index: usize, owner: &VmId, waiting: Vec<RequestId>, now: Uptime) {
        let view = &mut self.views[index];
        view.renewal_sent = Some(now);
        let target = view.id.clone();
        let body = MessageBody::Renew {
            running: view.holding.ids(true),
            standing: view.holding.ids(false),
            waiting,
            observed: std::mem::take(&mut view.observed),
        };
        self.send(owner, &target, body, now);
    }

    fn waiting_by_target(&self) -> HashMap<usize, Vec<RequestId>> {
        let mut waiting: HashMap<usize, Vec<RequestId>> = HashMap::new();
        for (id, pending) in &self.pending {
            for sent in pending.owner_requests.iter().filter(|sent| sent.queued) {
                waiting.entry(sent.index).or_default().push(*id);
            }
        }
        waiting
    }

    /// Requests the load reports of owned targets, and of targets of the own failure domain without a responsive owner.
    fn poll(&mut self) {
        for view in &self.views {
            let owned = view.owner.as_ref() == Some(&self.identity.vm);
            let is_fallback = view.distance == Distance::Domain && lacks_responsive_owner(view);
            let service = self.config.services.get(&view.spec.service);
            let has_reports = service.is_some_and(|service| service.kind == ServiceKind::Model);
            if (owned || is_fallback) && has_reports && !view.removed {
                self.outputs.push(DispatchOutput::Poll {
                    target: view.id.clone(),
                    address: view.spec.address,
                });
            }
        }
    }
}
