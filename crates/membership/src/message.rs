//! Messages between the member tables of different VMs.

use crate::view::{Member, MemberState};
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId};
use plantainmill_mesh::MeshPeer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Wire form of a record: an array without field names, because a message may carry 128 records.
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

/// Wire form of a state: one character.
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

/// What a VM knows of a member. Of two records of a member, the one with the greater [`MemberRecord::rank`] wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "WireRecord", into = "WireRecord")]
pub struct MemberRecord {
    /// Address, location, incarnation and state.
    pub member: Member,
    /// Number of suspicions that the member has refuted in this incarnation.
    pub refutations: u32,
}

impl MemberRecord {
    /// Precedence among records of the same member: the later incarnation wins, then more refutations, then the state
    /// later in the order of [`MemberState`].
    #[must_use]
    pub fn rank(&self) -> (u64, u32, MemberState) {
        (self.member.incarnation, self.refutations, self.member.state)
    }
}

/// State piggybacked on every probe, summary and acknowledgement.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigest {
    /// Configuration version in force at the sender.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds since the sender last knew that version to be current; absent if it never did.
    #[serde(rename = "c")]
    pub checked_age_ms: Option<u64>,
    /// Hash of the sender's records of its own domain, without dead members.
    #[serde(rename = "h")]
    pub domain_hash: u64,
    /// Recently changed records, and the record of a receiver that the sender holds suspect or dead.
    #[serde(rename = "u")]
    pub updates: Vec<MemberRecord>,
}

/// Hash of the records of one domain, compared to detect differences between domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainSummary {
    /// Domain that the records belong to.
    pub domain: DomainName,
    /// Hash of the sender's records, without dead members.
    pub hash: u64,
}

/// Message on the membership channel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Requests a [`MemberMessage::Ack`].
    Probe {
        /// Sequence number of the sender, echoed in the acknowledgement.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
    },
    /// Acknowledges a probe or summary.
    Ack {
        /// Sequence number of the acknowledged message.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
    },
    /// Requests an indirect probe: the receiver probes `target` on behalf of the sender.
    ProbeVia {
        /// Sequence number of the sender's unanswered probe.
        sequence: u64,
        /// Member to probe.
        target: VmId,
    },
    /// Reports to the requester of an indirect probe that `target` answered.
    AckVia {
        /// Sequence number from the request.
        sequence: u64,
        /// Member that answered.
        target: VmId,
    },
    /// Sent by a relay to a member of another domain. The receiver replies with a [`MemberMessage::Ack`] and its
    /// records of the domains whose hashes differ.
    Summary {
        /// Sequence number, from the same sequence as probes.
        sequence: u64,
        /// State of the sender.
        digest: MemberDigest,
        /// Hashes of all domains known to the sender.
        domains: Vec<DomainSummary>,
    },
    /// Records that the receiver may lack or hold in an older state.
    Records {
        /// Records to merge; those past the message limit are ignored.
        records: Vec<MemberRecord>,
        /// Whether the receiver replies with its newer records of the same domains.
        answer: bool,
    },
}
