//! Messages between the member tables of different VMs.

use crate::view::{Member, MemberState};
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId};
use plantainmill_mesh::MeshPeer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A record as sent: an array without field names, since a message may carry 128 records.
#[derive(Deserialize, Serialize)]
struct WireRecord(
    VmId,
    DomainName,
    RegionName,
    SocketAddr,
    Incarnation,
    WireState,
    u32,
);

/// A state as sent, in one character.
#[derive(Deserialize, Serialize)]
enum WireState {
    #[serde(rename = "l")]
    Live,
    #[serde(rename = "s")]
    Suspect,
    #[serde(rename = "g")]
    Leaving,
    #[serde(rename = "d")]
    Dead,
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> WireState {
        match state {
            MemberState::Live => WireState::Live,
            MemberState::Suspect => WireState::Suspect,
            MemberState::Leaving => WireState::Leaving,
            MemberState::Dead => WireState::Dead,
        }
    }
}

impl From<WireState> for MemberState {
    fn from(state: WireState) -> MemberState {
        match state {
            WireState::Live => MemberState::Live,
            WireState::Suspect => MemberState::Suspect,
            WireState::Leaving => MemberState::Leaving,
            WireState::Dead => MemberState::Dead,
        }
    }
}

impl From<MemberRecord> for WireRecord {
    fn from(record: MemberRecord) -> WireRecord {
        let Member {
            peer,
            incarnation,
            state,
        } = record.member;
        WireRecord(
            peer.id,
            peer.domain,
            peer.region,
            peer.address,
            incarnation,
            state.into(),
            record.refutations,
        )
    }
}

impl From<WireRecord> for MemberRecord {
    fn from(record: WireRecord) -> MemberRecord {
        let WireRecord(id, domain, region, address, incarnation, state, refutations) = record;
        let peer = MeshPeer {
            id,
            domain,
            region,
            address,
        };
        let member = Member {
            peer,
            incarnation,
            state: state.into(),
        };
        MemberRecord {
            member,
            refutations,
        }
    }
}

/// What a VM knows of a member. Of two records the one with the greater [`MemberRecord::rank`] holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireRecord", into = "WireRecord")]
pub struct MemberRecord {
    /// Address, place, incarnation and state.
    pub member: Member,
    /// Times the member has refuted a suspicion in this incarnation.
    pub refutations: u32,
}

impl MemberRecord {
    /// Order of records of the same member: later incarnation, then later refutation, then the graver state.
    #[must_use]
    pub fn rank(&self) -> (u64, u32, MemberState) {
        (self.member.incarnation, self.refutations, self.member.state)
    }
}

/// State that rides on every probe and its answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigest {
    /// Version of the sender's configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds since the sender knew that version to be current; absent if it never did.
    #[serde(rename = "c")]
    pub checked_age_ms: Option<u64>,
    /// Hash of the sender's records of its own domain.
    #[serde(rename = "h")]
    pub domain_hash: u64,
    /// Recent changes of members.
    #[serde(rename = "u")]
    pub updates: Vec<MemberRecord>,
}

/// Hash of the records of one domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainSummary {
    /// Domain.
    pub domain: DomainName,
    /// Hash of the sender's records.
    pub hash: u64,
}

/// One message of the membership channel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Asks for an [`MemberMessage::Ack`].
    Probe {
        /// Number of the probe.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
    },
    /// Answers a probe.
    Ack {
        /// Number of the probe.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
    },
    /// Asks the receiver to probe `target` for the sender.
    ProbeVia {
        /// Number of the sender's probe.
        sequence: u64,
        /// Who to probe.
        target: VmId,
    },
    /// Reports that `target` answered.
    AckVia {
        /// Number of the probe that was asked for.
        sequence: u64,
        /// Who answered.
        target: VmId,
    },
    /// Sent between relays of different domains; the answer is an [`MemberMessage::Ack`] and the records that differ.
    Summary {
        /// Number, as of a probe.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
        /// Hashes of all domains the sender knows.
        domains: Vec<DomainSummary>,
    },
    /// Records that the receiver may lack.
    Records {
        /// The records.
        records: Vec<MemberRecord>,
        /// The receiver answers with its own records where they are newer.
        answer: bool,
    },
}
