//! The member table of one VM: a state machine without I/O or clock access.

use crate::message::{MemberDigest, MemberMessage, MemberRecord};
use crate::options::{MemberTiming, RELAYS_PER_DOMAIN};
use crate::probe::ProbeState;
use crate::roster::{MemberRoster, choose_by_rendezvous};
use crate::view::{Member, MemberState};
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::VmEntry;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Input of a member table.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Periodic tick, every [`TICK_PERIOD`](crate::options::TICK_PERIOD).
    Tick,
    /// A message was received from another member.
    Received {
        /// Member that sent the message.
        from: VmId,
        /// Incarnation of the sender, as authenticated by the mesh.
        incarnation: Incarnation,
        /// Decoded message.
        message: MemberMessage,
    },
    /// The VM list was read.
    Listed {
        /// All entries of the list. An empty list is ignored.
        entries: Vec<VmEntry>,
    },
    /// The configuration of this VM changed or was confirmed as current.
    Version {
        /// Version in force at this VM.
        version: u64,
        /// When it was last known to be current; `None` if never.
        checked_at: Option<Uptime>,
    },
    /// This VM is stopping.
    Leave,
}

/// Action that a member table requests from its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberOutput {
    /// Send a message to a member.
    Send {
        /// Member to send to.
        to: VmId,
        /// Message to encode and send.
        message: MemberMessage,
    },
    /// Publish the members, which have changed.
    Changed,
    /// Read the VM list and pass it back as [`MemberInput::Listed`].
    ReadList,
    /// Pass on the configuration version that a member reported.
    PeerVersion(PeerVersion),
}

/// Configuration version that a member reported in a digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerVersion {
    /// Member that sent the digest.
    pub from: VmId,
    /// Version in force at the member.
    pub version: u64,
    /// A time on this VM's clock at or after which the member knew that version to be current; `None` unless the digest
    /// acknowledges a message of this VM. It is computed from the time at which that message was sent, so that a
    /// delayed acknowledgement never looks fresher than it is.
    pub checked_at: Option<Uptime>,
}

/// Event counters of a member table, all since the start of this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct MemberCounters {
    /// Periodic probes sent, without probes of suspects and indirect probes.
    pub probes: u64,
    /// Probes that were not acknowledged in time and led to requests for indirect probes.
    pub indirect: u64,
    /// Probes sent to suspects to inform them of the suspicion.
    pub asked: u64,
    /// Members that this VM itself found suspect.
    pub suspected: u64,
    /// Members that this VM itself declared dead.
    pub died: u64,
    /// Suspicions about this VM that it refuted.
    pub refuted: u64,
    /// Members that rejoined in a later incarnation.
    pub rejoined: u64,
    /// Members pruned because they are no longer in the VM list.
    pub pruned: u64,
    /// Pauses of this VM detected from gaps between ticks.
    pub pauses: u64,
    /// Exchanges of records that this VM started because domain hashes differed.
    pub syncs: u64,
    /// Empty VM lists, which are ignored as a fault of the platform.
    pub empty_lists: u64,
    /// Records of this VM with a later incarnation than its own: two VMs use the same id, or the clock went back.
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
    /// Creates a table that knows only this VM. `seed` initializes the random number generator.
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
        roster.queue_update(&own.member.peer.id);
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

    /// Processes an input and returns the resulting actions in order.
    pub fn handle(&mut self, input: MemberInput, now: Uptime) -> Vec<MemberOutput> {
        match input {
            MemberInput::Tick => self.tick(now),
            MemberInput::Received {
                from,
                incarnation,
                message,
            } => self.receive(&from, incarnation, message, now),
            MemberInput::Listed { entries } => self.apply_list(&entries, now),
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

    /// Returns the members other than this VM, including dead ones that are not yet pruned.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.roster.members()
    }

    /// Returns the event counters.
    #[must_use]
    pub fn counters(&self) -> MemberCounters {
        self.counters
    }

    /// Returns the record that this VM disseminates about itself.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the relays of `domain` in the view of this VM, chosen among live members by rendezvous hashing.
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
        choose_by_rendezvous(domain, live.chain(own_id), RELAYS_PER_DOMAIN)
    }

    /// Returns whether this VM is a relay of its domain, in its own view.
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

    /// Builds the digest for a message to `to`. If this VM holds `to` suspect or dead, the digest includes that record,
    /// so that `to` can refute it.
    pub(crate) fn digest_for(&mut self, to: &VmId, now: Uptime) -> MemberDigest {
        let mut updates = self.roster.take_updates(&self.own);
        let suspicion = self
            .roster
            .get(to)
            .map(|entry| &entry.record)
            .filter(|record| {
                matches!(
                    record.member.state,
                    MemberState::Dead | MemberState::Suspect
                )
            });
        if let Some(record) = suspicion
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
        if now.saturating_sub(last) > self.timing.pause_threshold {
            self.resume(now);
        }
        self.advance_probe(now);
        self.expire_suspects(now);
        self.send_summary(now);
        self.prune_dead(now);
        self.request_list(now);
    }

    /// Restarts timeouts after a pause of this VM, because missing acknowledgements then say nothing about other
    /// members.
    fn resume(&mut self, now: Uptime) {
        self.counters.pauses += 1;
        self.probe.reset();
        let suspects: Vec<VmId> = self
            .roster
            .entries()
            .filter(|entry| entry.record.member.state == MemberState::Suspect)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        for id in suspects {
            if let Some(entry) = self.roster.get_mut(&id) {
                entry.state_since = now;
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
        self.observe_incarnation(from, incarnation, now);
        match message {
            MemberMessage::Probe { sequence, digest } => {
                self.apply_digest(from, &digest, None, now);
                self.acknowledge(from, sequence, now);
            }
            MemberMessage::Ack { sequence, digest } => {
                let sent_at = self.handle_ack(from, sequence);
                self.apply_digest(from, &digest, sent_at, now);
            }
            MemberMessage::ProbeVia { sequence, target } => {
                self.probe_on_behalf(from, sequence, &target, now);
            }
            MemberMessage::AckVia { sequence, target } => self.handle_ack_via(sequence, &target),
            MemberMessage::Summary {
                sequence,
                digest,
                domains,
            } => {
                self.apply_digest(from, &digest, None, now);
                self.acknowledge(from, sequence, now);
                self.respond_to_summary(from, &domains);
            }
            MemberMessage::Records { records, answer } => {
                self.apply_records(from, &records, answer, now);
            }
        }
    }

    fn acknowledge(&mut self, to: &VmId, sequence: u64, now: Uptime) {
        let digest = self.digest_for(to, now);
        self.send(to, MemberMessage::Ack { sequence, digest });
    }

    /// Marks `from` live in `incarnation` if that is later than the known one: the VM was replaced under the same id.
    fn observe_incarnation(&mut self, from: &VmId, incarnation: Incarnation, now: Uptime) {
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

    fn apply_digest(
        &mut self,
        from: &VmId,
        digest: &MemberDigest,
        sent_at: Option<Uptime>,
        now: Uptime,
    ) {
        for record in &digest.updates {
            self.apply_record(record, now);
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

    pub(crate) fn apply_record(&mut self, record: &MemberRecord, now: Uptime) {
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
        self.roster.queue_update(&id);
    }

    fn leave(&mut self) {
        self.own.member.state = MemberState::Leaving;
        let id = self.own.member.peer.id.clone();
        self.roster.queue_update(&id);
        let domain = &self.own.member.peer.domain;
        let domain_members: Vec<VmId> = self
            .roster
            .in_domain(domain)
            .filter(|entry| entry.record.member.state != MemberState::Dead)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        let record = self.own.clone();
        for receiver in domain_members {
            self.send(
                &receiver,
                MemberMessage::Records {
                    records: vec![record.clone()],
                    answer: false,
                },
            );
        }
    }
}
