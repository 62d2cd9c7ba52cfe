//! Datagrams between VMs, in CBOR.

use plantainmill_admission::UsageEntry;
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId};
use plantainmill_dispatch::shared::PeerLoad;
use plantainmill_jobs::{HeadUpdate, JobOwner};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The row by which VMs find each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRow {
    /// VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address for datagrams.
    pub peers: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Part of a core that the VM has, in percent.
    pub processor_percent: u32,
}

/// What a VM tells its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerReport {
    /// The VM.
    pub row: VmRow,
    /// Rises with each report of one start.
    pub sequence: u64,
    /// Its calls.
    pub load: PeerLoad,
    /// What it admitted.
    pub usage: Vec<UsageEntry>,
}

/// What a failure domain tells the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// VM that sums up for the domain.
    pub aggregator: VmRow,
    /// VMs of the domain.
    pub members: Vec<JobOwner>,
    /// Calls of all of them.
    pub load: PeerLoad,
    /// What all of them admitted; left out of most reports, since it changes little.
    pub usage: Option<Vec<UsageEntry>>,
    /// It was passed on within the domain that it is for.
    pub passed_on: bool,
}

/// A datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// A report.
    Report(PeerReport),
    /// The VM has finished all its calls and stops.
    Leaving {
        /// VM.
        vm: VmId,
        /// Its start.
        incarnation: Incarnation,
    },
    /// A report of another failure domain, from it or passed on within the own one.
    Domain(DomainReport),
    /// Heads of jobs that a reader of the domain has read.
    Jobs(Vec<HeadUpdate>),
    /// Asks how old the peer's document is.
    AskAge {
        /// Ties the answer to the question.
        nonce: u64,
    },
    /// The document of `version` was the newest one `age` ago.
    Age {
        /// Of the question; zero if the peer says so unasked, because something changed.
        nonce: u64,
        /// Version.
        version: u64,
        /// Age.
        age: Duration,
        /// Changes with the targets.
        targets_stamp: u64,
        /// The targets were the registered ones this long ago.
        targets_age: Duration,
        /// The peer reads the store for its domain, and its last call had an answer.
        reaches_store: bool,
        /// Where to read the document.
        control: SocketAddr,
    },
}

impl PeerMessage {
    /// Encodes the message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        plantainmill_core::encode_cbor(self)
    }

    /// Decodes a datagram; none if it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<PeerMessage> {
        ciborium::from_reader(content).ok()
    }
}
