//! The member table of one VM: a state machine without I/O or clocks.

use crate::message::{MemberDigest, MemberMessage, MemberRecord};
use crate::options::{MemberTiming, RELAYS};
use crate::probe::ProbeState;
use crate::roster::{MemberRoster, choose_by_rendezvous};
use crate::view::{Member, MemberState};
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::VmEntry;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use std::time::Duration;

/// What a member table is told.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time has passed.
    Tick,
    /// A message came.
    Received {
        /// Sender.
        from: VmId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Message.
        message: MemberMessage,
    },
    /// The VM list was read.
    Listed {
        /// Its entries.
        entries: Vec<VmEntry>,
    },
    /// The configuration of this VM changed or was confirmed.
    Version {
        /// Version in force.
        version: u64,
        /// When it was last known to be current.
        checked_at: Option<Uptime>,
    },
    /// This VM is stopping.
    Leave,
}

/// What a member table wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberOutput {
    /// Send a message.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: MemberMessage,
    },
    /// The members changed.
    Changed,
    /// Read the VM list.
    ReadList,
    /// A member reported its configuration.
    PeerVersion(PeerVersion),
}

/// Configuration of a member, as its digest told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerVersion {
    /// Member.
    pub from: VmId,
    /// Its version.
    pub version: u64,
    /// A time by this VM's clock at or after which the member knew that version to be current. It counts from
    /// the sending of this VM's probe, so that a delayed answer never looks fresher than it is.
    pub checked_at: Option<Uptime>,
}

/// Events counted by a member table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct MemberCounters {
    /// Probes sent.
    pub probes: u64,
    /// Probes without a direct answer in time, repeated through other members.
    pub indirect: u64,
    /// Probes that told a suspect of its suspicion.
    pub asked: u64,
    /// Members that became suspect here.
    pub suspected: u64,
    /// Members that became dead here.
    pub died: u64,
    /// Suspicions of this VM that it refuted.
    pub refuted: u64,
    /// Members seen in a later incarnation.
    pub rejoined: u64,
    /// Members pruned after the VM list dropped them.
    pub pruned: u64,
    /// Pauses of this VM.
    pub pauses: u64,
    /// Exchanges of domain tables that differed.
    pub syncs: u64,
    /// Empty VM lists, which are ignored.
    pub empty_lists: u64,
    /// Records of this VM in a later incarnation: two VMs use one id, or the clock went back.
    pub superseded: u64,
}

/// The member table of one VM.
pub struct MemberTable {
    pub(crate) own: MemberRecord,
    pub(crate) timing: MemberTiming,
    pub(crate) roster: MemberRoster,
    pub(crate) probe: ProbeState,
    pub(crate) counters: MemberCounters,
    pub(crate) rng: SmallRng,
    pub(crate) outputs: Vec<MemberOutput>,
    pub(crate) changed: bool,
    version: u64,
    checked_at: Option<Uptime>,
    last_tick: Option<Uptime>,
    pub(crate) last_sync: Option<Uptime>,
    pub(crate) last_list: Option<Uptime>,
    pub(crate) last_relay: Option<Uptime>,
    pub(crate) last_prune: Option<Uptime>,
}

impl MemberTable {
    /// A table that knows only this VM. `seed` drives its random choices.
    #[must_use]
    pub fn new(
        own: MeshPeer,
        incarnation: Incarnation,
        timing: MemberTiming,
        seed: u64,
    ) -> MemberTable {
        let own = MemberRecord {
            member: Member {
                peer: own,
                incarnation,
                state: MemberState::Live,
            },
            refutations: 0,
        };
        let mut roster = MemberRoster::default();
        roster.spread(&own.member.peer.id);
        MemberTable {
            own,
            timing,
            roster,
            probe: ProbeState::default(),
            counters: MemberCounters::default(),
            rng: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
            changed: false,
            version: 0,
            checked_at: None,
            last_tick: None,
            last_sync: None,
            last_list: None,
            last_relay: None,
            last_prune: None,
        }
    }

    /// Takes an input and returns what is to be done.
    pub fn handle(&mut self, input: MemberInput, now: Uptime) -> Vec<MemberOutput> {
        match input {
            MemberInput::Tick => self.tick(now),
            MemberInput::Received {
                from,
                incarnation,
                message,
            } => self.receive(&from, incarnation, message, now),
            MemberInput::Listed { entries } => self.take_list(&entries, now),
            MemberInput::Version {
                version,
                checked_at,
            } => {
                self.version = version;
                self.checked_at = checked_at;
            }
            MemberInput::Leave => self.leave(),
        }
        if std::mem::take(&mut self.changed) {
            self.outputs.push(MemberOutput::Changed);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Members other than this VM.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.roster.members()
    }

    /// Events counted so far.
    #[must_use]
    pub fn counters(&self) -> MemberCounters {
        self.counters
    }

    /// This VM's own record.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Relays of `domain` by this VM's view.
    #[must_use]
    pub fn relays_of(&self, domain: &str) -> Vec<VmId> {
        let own = &self.own.member;
        let own_id = Some(&own.peer.id)
            .filter(|_| own.peer.domain == domain && own.state == MemberState::Live);
        let live = self
            .roster
            .in_domain(domain)
            .filter(|entry| entry.record.member.state == MemberState::Live)
            .map(|entry| &entry.record.member.peer.id);
        choose_by_rendezvous(domain, live.chain(own_id), RELAYS)
    }

    /// Says whether this VM is a relay of its domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        let own = &self.own.member.peer;
        self.relays_of(&own.domain).contains(&own.id)
    }

    pub(crate) fn send(&mut self, to: &VmId, message: MemberMessage) {
        self.outputs.push(MemberOutput::Send {
            to: to.clone(),
            message,
        });
    }

    /// The digest for a message to `to`, with what this VM holds against it, so that it can refute.
    pub(crate) fn digest_for(&mut self, to: &VmId, now: Uptime) -> MemberDigest {
        let mut updates = self.roster.take_updates(&self.own);
        let accused = self
            .roster
            .get(to)
            .map(|entry| &entry.record)
            .filter(|record| {
                matches!(
                    record.member.state,
                    MemberState::Dead | MemberState::Suspect
                )
            });
        if let Some(record) = accused
            && !updates.contains(record)
        {
            updates.push(record.clone());
        }
        let age = self.checked_at.map(|at| now.saturating_sub(at));
        MemberDigest {
            version: self.version,
            checked_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            domain_hash: self
                .roster
                .domain_hash(&self.own.member.peer.domain, &self.own),
            updates,
        }
    }

    fn tick(&mut self, now: Uptime) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        if now.saturating_sub(last) > self.timing.pause_limit {
            self.resume(now);
        }
        self.advance_probe(now);
        self.bury_suspects(now);
        self.run_relay(now);
        self.prune_dead(now);
        self.request_list(now);
    }

    /// After a pause, missing answers say nothing about others: waits start again.
    fn resume(&mut self, now: Uptime) {
        self.counters.pauses += 1;
        self.probe.forget();
        let suspects: Vec<VmId> = self
            .roster
            .entries()
            .filter(|entry| entry.record.member.state == MemberState::Suspect)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        for id in suspects {
            if let Some(entry) = self.roster.get_mut(&id) {
                entry.since = now;
            }
        }
        self.last_list = None;
    }

    fn receive(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        message: MemberMessage,
        now: Uptime,
    ) {
        self.note_incarnation(from, incarnation, now);
        match message {
            MemberMessage::Probe { sequence, digest } => {
                self.take_digest(from, &digest, None, now);
                self.acknowledge(from, sequence, now);
            }
            MemberMessage::Ack { sequence, digest } => {
                let sent_at = self.take_ack(from, sequence);
                self.take_digest(from, &digest, sent_at, now);
            }
            MemberMessage::ProbeVia { sequence, target } => {
                self.probe_for(from, sequence, &target, now);
            }
            MemberMessage::AckVia { sequence, target } => self.take_ack_via(sequence, &target),
            MemberMessage::Summary {
                sequence,
                digest,
                domains,
            } => {
                self.take_digest(from, &digest, None, now);
                self.acknowledge(from, sequence, now);
                self.answer_summary(from, &domains);
            }
            MemberMessage::Records { records, answer } => {
                self.take_records(from, &records, answer, now);
            }
        }
    }

    fn acknowledge(&mut self, to: &VmId, sequence: u64, now: Uptime) {
        let digest = self.digest_for(to, now);
        self.send(to, MemberMessage::Ack { sequence, digest });
    }

    /// A frame of a later incarnation is proof of a replaced VM at the same id.
    fn note_incarnation(&mut self, from: &VmId, incarnation: Incarnation, now: Uptime) {
        let Some(entry) = self.roster.get(from) else {
            return;
        };
        if entry.record.member.incarnation >= incarnation {
            return;
        }
        if entry.record.member.incarnation > 0 {
            self.counters.rejoined += 1;
        }
        let mut record = entry.record.clone();
        record.member.incarnation = incarnation;
        record.member.state = MemberState::Live;
        record.refutations = 0;
        self.changed |= self.roster.merge(&record, now);
    }

    fn take_digest(
        &mut self,
        from: &VmId,
        digest: &MemberDigest,
        sent_at: Option<Uptime>,
        now: Uptime,
    ) {
        for record in &digest.updates {
            self.take_record(record, now);
        }
        let age = digest.checked_age_ms.map(Duration::from_millis);
        let checked_at = sent_at.zip(age).and_then(|(at, age)| at.checked_sub(age));
        self.outputs.push(MemberOutput::PeerVersion(PeerVersion {
            from: from.clone(),
            version: digest.version,
            checked_at,
        }));
        self.sync_domain(from, digest.domain_hash, now);
    }

    pub(crate) fn take_record(&mut self, record: &MemberRecord, now: Uptime) {
        if record.member.peer.id == self.own.member.peer.id {
            self.refute(record);
            return;
        }
        self.changed |= self.roster.merge(record, now);
    }

    fn refute(&mut self, record: &MemberRecord) {
        let own_incarnation = self.own.member.incarnation;
        if record.member.incarnation > own_incarnation {
            self.counters.superseded += 1;
            return;
        }
        if record.member.incarnation < own_incarnation || record.rank() <= self.own.rank() {
            return;
        }
        self.own.refutations = record.refutations + 1;
        self.counters.refuted += 1;
        let id = self.own.member.peer.id.clone();
        self.roster.spread(&id);
    }

    fn leave(&mut self) {
        self.own.member.state = MemberState::Leaving;
        let id = self.own.member.peer.id.clone();
        self.roster.spread(&id);
        let domain = &self.own.member.peer.domain;
        let neighbours: Vec<VmId> = self
            .roster
            .in_domain(domain)
            .filter(|entry| entry.record.member.state != MemberState::Dead)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        let record = self.own.clone();
        for neighbour in neighbours {
            self.send(
                &neighbour,
                MemberMessage::Records {
                    records: vec![record.clone()],
                    answer: false,
                },
            );
        }
    }
}
