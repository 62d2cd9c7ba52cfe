//! Failure detection of the member table: direct and indirect probes, suspicion and death.

use crate::message::MemberMessage;
use crate::options::{INDIRECT_PROBE_FANOUT, PROBES_PER_DEAD_PROBE, SUSPECTS_PER_PERIOD};
use crate::table::MemberTable;
use crate::view::MemberState;
use plantainmill_core::{Uptime, VmId};
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use std::collections::BTreeMap;
use std::time::Duration;

/// Probes and summaries kept after sending, so that late acknowledgements can still be matched.
const SENT_LIMIT: usize = 64;
/// Indirect probes on behalf of other members that are kept while unanswered.
const INDIRECT_REQUEST_LIMIT: usize = 64;

/// A periodic probe that awaits its acknowledgement.
#[derive(Clone, Debug)]
struct PendingProbe {
    target: VmId,
    sequence: u64,
    sent_at: Uptime,
    indirect: bool,
}

/// Origin of a probe on behalf of another member.
#[derive(Clone, Debug)]
struct IndirectRequest {
    requester: VmId,
    sequence: u64,
}

/// Probes in flight and the order of the next targets.
#[derive(Debug, Default)]
pub(crate) struct ProbeState {
    pending: Option<PendingProbe>,
    last_probe: Option<Uptime>,
    sequence: u64,
    /// Members not yet probed in the current round, in random order.
    round: Vec<VmId>,
    sent: BTreeMap<u64, (VmId, Uptime)>,
    indirect_requests: BTreeMap<u64, IndirectRequest>,
}

impl ProbeState {
    /// Allocates the sequence number of a probe or summary that is sent now.
    pub(crate) fn allocate_sequence(&mut self, to: &VmId, now: Uptime) -> u64 {
        self.sequence += 1;
        self.sent.insert(self.sequence, (to.clone(), now));
        while self.sent.len() > SENT_LIMIT {
            self.sent.pop_first();
        }
        self.sequence
    }

    /// Discards the pending probe and makes the next one due immediately.
    pub(crate) fn reset(&mut self) {
        self.pending = None;
        self.last_probe = None;
    }
}

impl MemberTable {
    pub(crate) fn advance_probe(&mut self, now: Uptime) {
        self.request_indirect_probes(now);
        let due = self
            .probe
            .last_probe
            .is_none_or(|last| now.saturating_sub(last) >= self.timing.probe_period);
        if !due {
            return;
        }
        if let Some(pending) = self.probe.pending.take() {
            self.suspect(&pending.target, now);
        }
        self.probe.last_probe = Some(now);
        self.probe_suspects(now);
        if let Some(target) = self.next_target() {
            self.start_probe(target, now);
        }
    }

    /// Probes suspects once per period; the digest informs them of the suspicion. Without this, suspicion and
    /// refutation spread only by random probes, and the refutation often arrives after the suspicion has expired.
    fn probe_suspects(&mut self, now: Uptime) {
        let mut suspects = self.domain_members(|state| state == MemberState::Suspect);
        suspects.shuffle(&mut self.rng);
        for suspect in suspects.into_iter().take(SUSPECTS_PER_PERIOD) {
            let sequence = self.probe.allocate_sequence(&suspect, now);
            let digest = self.digest_for(&suspect, now);
            self.counters.asked += 1;
            self.send(&suspect, MemberMessage::Probe { sequence, digest });
        }
    }

    fn start_probe(&mut self, target: VmId, now: Uptime) {
        let sequence = self.probe.allocate_sequence(&target, now);
        let digest = self.digest_for(&target, now);
        self.counters.probes += 1;
        self.send(&target, MemberMessage::Probe { sequence, digest });
        self.probe.pending = Some(PendingProbe {
            target,
            sequence,
            sent_at: now,
            indirect: false,
        });
    }

    /// Requests indirect probes of the pending target if it has not acknowledged within the timeout.
    fn request_indirect_probes(&mut self, now: Uptime) {
        let Some(pending) = &mut self.probe.pending else {
            return;
        };
        if pending.indirect || now.saturating_sub(pending.sent_at) < self.timing.ack_timeout {
            return;
        }
        pending.indirect = true;
        let (target, sequence) = (pending.target.clone(), pending.sequence);
        self.counters.indirect += 1;
        let mut helpers = self.domain_members(|state| state == MemberState::Live);
        helpers.retain(|id| *id != target);
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBE_FANOUT) {
            let target = target.clone();
            self.send(&helper, MemberMessage::ProbeVia { sequence, target });
        }
    }

    /// Returns the next member of a random round over the domain, or periodically a dead one that may be reachable
    /// again.
    fn next_target(&mut self) -> Option<VmId> {
        if self.counters.probes % PROBES_PER_DEAD_PROBE == PROBES_PER_DEAD_PROBE - 1 {
            let dead = self.domain_members(|state| state == MemberState::Dead);
            if let Some(id) = self.pick_random(&dead) {
                return Some(id);
            }
        }
        let alive = |state| state != MemberState::Dead;
        let is_target = |table: &MemberTable, id: &VmId| {
            let entry = table.roster.get(id);
            entry.is_some_and(|entry| alive(entry.record.member.state))
        };
        while let Some(id) = self.probe.round.pop() {
            if is_target(self, &id) {
                return Some(id);
            }
        }
        let mut round = self.domain_members(alive);
        round.shuffle(&mut self.rng);
        self.probe.round = round;
        self.probe.round.pop()
    }

    /// Returns the members of the own domain whose state satisfies `wanted`.
    fn domain_members(&self, wanted: impl Fn(MemberState) -> bool) -> Vec<VmId> {
        let domain = &self.own.member.peer.domain;
        self.roster
            .in_domain(domain)
            .filter(|entry| wanted(entry.record.member.state))
            .map(|entry| entry.record.member.peer.id.clone())
            .collect()
    }

    pub(crate) fn pick_random(&mut self, ids: &[VmId]) -> Option<VmId> {
        if ids.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..ids.len());
        ids.get(index).cloned()
    }

    /// Picks a relay of a random other domain, or with a probability of 1/4 any member of it that is not dead, in case
    /// both relays have failed.
    pub(crate) fn pick_relay(&mut self) -> Option<VmId> {
        let mut domains: Vec<_> = self.domains().into_iter().collect();
        domains.retain(|domain| *domain != self.own.member.peer.domain);
        let domain = self.pick_random(&domains)?;
        if !self.rng.random_ratio(1, 4) {
            let relays = self.relays_of(&domain);
            return self.pick_random(&relays);
        }
        let members: Vec<VmId> = self
            .roster
            .in_domain(&domain)
            .filter(|entry| entry.record.member.state != MemberState::Dead)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        self.pick_random(&members)
    }

    /// Matches an acknowledgement to its probe or summary and returns when that was sent.
    pub(crate) fn handle_ack(&mut self, from: &VmId, sequence: u64) -> Option<Uptime> {
        let (target, sent_at) = self.probe.sent.get(&sequence)?.clone();
        if target != *from {
            return None;
        }
        self.probe.sent.remove(&sequence);
        let matches = |pending: &PendingProbe| pending.sequence == sequence;
        if self.probe.pending.as_ref().is_some_and(matches) {
            self.probe.pending = None;
        }
        if let Some(request) = self.probe.indirect_requests.remove(&sequence) {
            let report = MemberMessage::AckVia {
                sequence: request.sequence,
                target: from.clone(),
            };
            self.send(&request.requester, report);
        }
        Some(sent_at)
    }

    pub(crate) fn handle_ack_via(&mut self, sequence: u64, target: &VmId) {
        let matches =
            |pending: &PendingProbe| pending.sequence == sequence && pending.target == *target;
        if self.probe.pending.as_ref().is_some_and(matches) {
            self.probe.pending = None;
        }
    }

    pub(crate) fn probe_on_behalf(
        &mut self,
        requester: &VmId,
        sequence: u64,
        target: &VmId,
        now: Uptime,
    ) {
        if self.roster.get(target).is_none() {
            return;
        }
        let probe_sequence = self.probe.allocate_sequence(target, now);
        let request = IndirectRequest {
            requester: requester.clone(),
            sequence,
        };
        self.probe.indirect_requests.insert(probe_sequence, request);
        while self.probe.indirect_requests.len() > INDIRECT_REQUEST_LIMIT {
            self.probe.indirect_requests.pop_first();
        }
        let digest = self.digest_for(target, now);
        let probe = MemberMessage::Probe {
            sequence: probe_sequence,
            digest,
        };
        self.send(target, probe);
    }

    fn suspect(&mut self, id: &VmId, now: Uptime) {
        let Some(entry) = self.roster.get(id) else {
            return;
        };
        let mut record = entry.record.clone();
        match record.member.state {
            MemberState::Live => {
                self.counters.suspected += 1;
                record.member.state = MemberState::Suspect;
            }
            // A leaving VM that no longer answers has stopped.
            MemberState::Leaving => {
                self.counters.died += 1;
                record.member.state = MemberState::Dead;
            }
            MemberState::Suspect | MemberState::Dead => return,
        }
        self.changed |= self.roster.merge(&record, now);
    }

    pub(crate) fn expire_suspects(&mut self, now: Uptime) {
        let limit: Duration = self.timing.suspicion_timeout;
        let domain = &self.own.member.peer.domain;
        let expired: Vec<_> = self
            .roster
            .in_domain(domain)
            .filter(|entry| entry.record.member.state == MemberState::Suspect)
            .filter(|entry| now.saturating_sub(entry.state_since) >= limit)
            .map(|entry| entry.record.clone())
            .collect();
        for mut record in expired {
            self.counters.died += 1;
            record.member.state = MemberState::Dead;
            self.changed |= self.roster.merge(&record, now);
        }
    }
}
