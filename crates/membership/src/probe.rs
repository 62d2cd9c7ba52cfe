//! Probes of the member table: direct, through others, and what follows from silence.

use crate::message::MemberMessage;
use crate::options::{DEAD_PROBE_EVERY, INDIRECT_PROBES, SUSPECTS_ASKED};
use crate::table::MemberTable;
use crate::view::MemberState;
use plantainmill_core::{Uptime, VmId};
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sent probes and summaries that are remembered, so that late answers can still be matched.
const SENT_LIMIT: usize = 64;
/// Probes on behalf of others that are remembered.
const ERRAND_LIMIT: usize = 64;

/// A probe this VM waits for.
#[derive(Clone, Debug)]
struct PendingProbe {
    target: VmId,
    sequence: u64,
    sent_at: Uptime,
    indirect: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
struct ProbeErrand {
    asker: VmId,
    sequence: u64,
}

/// Probes in flight and the order of the next ones.
#[derive(Debug, Default)]
pub(crate) struct ProbeState {
    pending: Option<PendingProbe>,
    last_probe: Option<Uptime>,
    sequence: u64,
    /// Members still to be probed in this round, in random order.
    round: Vec<VmId>,
    sent: BTreeMap<u64, (VmId, Uptime)>,
    errands: BTreeMap<u64, ProbeErrand>,
}

impl ProbeState {
    /// Draws the number of a probe or summary that is sent now.
    pub(crate) fn number(&mut self, to: &VmId, now: Uptime) -> u64 {
        self.sequence += 1;
        self.sent.insert(self.sequence, (to.clone(), now));
        while self.sent.len() > SENT_LIMIT {
            self.sent.pop_first();
        }
        self.sequence
    }

    /// Drops the probe in flight.
    pub(crate) fn forget(&mut self) {
        self.pending = None;
        self.last_probe = None;
    }
}

impl MemberTable {
    pub(crate) fn advance_probe(&mut self, now: Uptime) {
        self.ask_others(now);
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
        self.ask_suspects(now);
        if let Some(target) = self.next_target() {
            self.start_probe(target, now);
        }
    }

    /// Tells suspects what they are suspected of and asks for a sign of life, once per period. Without this a
    /// refutation has to find its way by random probes and often comes after the suspicion has expired.
    fn ask_suspects(&mut self, now: Uptime) {
        let mut suspects = self.neighbours(|state| state == MemberState::Suspect);
        suspects.shuffle(&mut self.rng);
        for suspect in suspects.into_iter().take(SUSPECTS_ASKED) {
            let sequence = self.probe.number(&suspect, now);
            let digest = self.digest_for(&suspect, now);
            self.counters.asked += 1;
            self.send(&suspect, MemberMessage::Probe { sequence, digest });
        }
    }

    fn start_probe(&mut self, target: VmId, now: Uptime) {
        let sequence = self.probe.number(&target, now);
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

    /// Asks other members to probe a member that has not answered.
    fn ask_others(&mut self, now: Uptime) {
        let Some(pending) = &mut self.probe.pending else {
            return;
        };
        if pending.indirect || now.saturating_sub(pending.sent_at) < self.timing.direct_wait {
            return;
        }
        pending.indirect = true;
        let (target, sequence) = (pending.target.clone(), pending.sequence);
        self.counters.indirect += 1;
        let mut others = self.neighbours(|state| state == MemberState::Live);
        others.retain(|id| *id != target);
        others.shuffle(&mut self.rng);
        for other in others.into_iter().take(INDIRECT_PROBES) {
            let target = target.clone();
            self.send(&other, MemberMessage::ProbeVia { sequence, target });
        }
    }

    /// Next member of a random round over the domain; now and then a dead one that may have come back.
    fn next_target(&mut self) -> Option<VmId> {
        if self.counters.probes % DEAD_PROBE_EVERY == DEAD_PROBE_EVERY - 1 {
            let dead = self.neighbours(|state| state == MemberState::Dead);
            if let Some(id) = self.pick(&dead) {
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
        let mut round = self.neighbours(alive);
        round.shuffle(&mut self.rng);
        self.probe.round = round;
        self.probe.round.pop()
    }

    /// Members of the own domain whose state passes `wanted`.
    fn neighbours(&self, wanted: impl Fn(MemberState) -> bool) -> Vec<VmId> {
        let domain = &self.own.member.peer.domain;
        self.roster
            .in_domain(domain)
            .filter(|entry| wanted(entry.record.member.state))
            .map(|entry| entry.record.member.peer.id.clone())
            .collect()
    }

    pub(crate) fn pick(&mut self, ids: &[VmId]) -> Option<VmId> {
        if ids.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..ids.len());
        ids.get(index).cloned()
    }

    /// A relay of a random other domain; every fourth time any member, in case both relays are gone.
    pub(crate) fn pick_relay(&mut self) -> Option<VmId> {
        let mut domains: Vec<_> = self.domains().into_iter().collect();
        domains.retain(|domain| *domain != self.own.member.peer.domain);
        let domain = self.pick(&domains)?;
        if !self.rng.random_ratio(1, 4) {
            let relays = self.relays_of(&domain);
            return self.pick(&relays);
        }
        let members: Vec<VmId> = self
            .roster
            .in_domain(&domain)
            .filter(|entry| entry.record.member.state != MemberState::Dead)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        self.pick(&members)
    }

    /// Matches an answer and returns when its probe was sent.
    pub(crate) fn take_ack(&mut self, from: &VmId, sequence: u64) -> Option<Uptime> {
        let (target, sent_at) = self.probe.sent.get(&sequence)?.clone();
        if target != *from {
            return None;
        }
        self.probe.sent.remove(&sequence);
        let matches = |pending: &PendingProbe| pending.sequence == sequence;
        if self.probe.pending.as_ref().is_some_and(matches) {
            self.probe.pending = None;
        }
        if let Some(errand) = self.probe.errands.remove(&sequence) {
            let answer = MemberMessage::AckVia {
                sequence: errand.sequence,
                target: from.clone(),
            };
            self.send(&errand.asker, answer);
        }
        Some(sent_at)
    }

    pub(crate) fn take_ack_via(&mut self, sequence: u64, target: &VmId) {
        let matches =
            |pending: &PendingProbe| pending.sequence == sequence && pending.target == *target;
        if self.probe.pending.as_ref().is_some_and(matches) {
            self.probe.pending = None;
        }
    }

    pub(crate) fn probe_for(&mut self, asker: &VmId, sequence: u64, target: &VmId, now: Uptime) {
        if self.roster.get(target).is_none() {
            return;
        }
        let number = self.probe.number(target, now);
        let errand = ProbeErrand {
            asker: asker.clone(),
            sequence,
        };
        self.probe.errands.insert(number, errand);
        while self.probe.errands.len() > ERRAND_LIMIT {
            self.probe.errands.pop_first();
        }
        let digest = self.digest_for(target, now);
        let probe = MemberMessage::Probe {
            sequence: number,
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
            // A stopping VM that no longer answers has stopped.
            MemberState::Leaving => {
                self.counters.died += 1;
                record.member.state = MemberState::Dead;
            }
            MemberState::Suspect | MemberState::Dead => return,
        }
        self.changed |= self.roster.merge(&record, now);
    }

    pub(crate) fn bury_suspects(&mut self, now: Uptime) {
        let limit: Duration = self.timing.suspect_limit;
        let domain = &self.own.member.peer.domain;
        let expired: Vec<_> = self
            .roster
            .in_domain(domain)
            .filter(|entry| entry.record.member.state == MemberState::Suspect)
            .filter(|entry| now.saturating_sub(entry.since) >= limit)
            .map(|entry| entry.record.clone())
            .collect();
        for mut record in expired {
            self.counters.died += 1;
            record.member.state = MemberState::Dead;
            self.changed |= self.roster.merge(&record, now);
        }
    }
}
