//! Datagrams between VMs, encoded as CBOR.

use crate::compact_batch::CompactBatch;
use plantainmill_admission::UsageEntry;
use plantainmill_admission::pools::{TokenKind, TokenReply};
use plantainmill_core::{DomainName, Incarnation, OrganisationId, RegionName, VmId};
use plantainmill_dispatch::limits::LimitReport;
use plantainmill_dispatch::quarantine::PartReport;
use plantainmill_dispatch::shared::{LeavingReport, PeerLoad, StatedEntry};
use plantainmill_jobs::{HeadChanges, HeadUpdate, JobOwner};
use plantainmill_provider::RowVersion;
use plantainmill_routing::EvacuationReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The row that a VM writes to the store so that other VMs discover it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRow {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM; each start has a higher one.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// UDP address for datagrams of peers.
    pub peers: SocketAddr,
    /// TCP address of the control listener.
    pub control: SocketAddr,
    /// Processor share of the VM in percent of one core, rounded down.
    pub processor_percent: u32,
    /// The VM understands report batches. One of an older release does not, and gets single reports.
    #[serde(default)]
    pub reads_batches: bool,
    /// The VM understands [`PeerMessage::JobChanges`]. One of an older release does not, and gets the heads alone.
    /// Batches leave it out; the stored row has it.
    #[serde(default)]
    pub reads_job_changes: bool,
    /// The VM may hold token pools. One of an older release does not, and is never asked for tokens. Batches leave it out;
    /// the stored row has it.
    #[serde(default)]
    pub holds_pools: bool,
}

/// A question for a token of a pool, and its later return.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenQuestion {
    /// VM that asks.
    pub asker: VmId,
    /// Nonce that the answer repeats.
    pub nonce: u64,
    /// Failure domain of the pool.
    pub domain: DomainName,
    /// Organisation that the token is for.
    pub organisation: OrganisationId,
    /// What the token is for.
    pub kind: TokenKind,
    /// Time from the question within which the token is used, in milliseconds.
    pub valid_ms: u32,
}

/// A VM that may hold pools, for VMs of other failure domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolVm {
    /// Id of the VM.
    pub vm: VmId,
    /// UDP address for datagrams of peers.
    pub address: SocketAddr,
    /// The VM may hold pools.
    pub holds_pools: bool,
}

/// Report of one VM to the other VMs of its failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerReport {
    /// Row of the reporting VM.
    pub row: VmRow,
    /// Sequence number; it increases with each report of one incarnation.
    pub sequence: u64,
    /// Load of the VM: its requests at each target.
    pub load: PeerLoad,
    /// Admission usage of the VM by organisation.
    pub usage: Vec<UsageEntry>,
}

/// Reports of VMs of the sender's failure domain, and updates on domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "CompactBatch", into = "CompactBatch")]
pub struct ReportBatch {
    /// VM that sends the batch.
    pub sender: VmRow,
    /// The sender forwards within its own domain what it has received. Otherwise it reports on itself or its domain.
    pub is_relayed: bool,
    /// Reports of VMs of the sender's domain. Their usage lists what changed since the last report of the same VM.
    pub reports: Vec<PeerReport>,
    /// Updates on the sender's domain, or relayed ones on other domains.
    pub domains: Vec<DomainUpdate>,
    /// What targets state about their load. Older releases ignore it.
    pub stated: Vec<StatedEntry>,
}

/// Aggregated report of one failure domain to the others, without what has not changed.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainUpdate {
    /// Failure domain that the update is about.
    pub domain: DomainName,
    /// VM that aggregates the domain's reports.
    pub aggregator: JobOwner,
    /// Sequence number; it increases with each update of one incarnation of the aggregator.
    pub sequence: u64,
    /// Number of VMs of the domain whose usage is up to date.
    pub member_count: usize,
    /// Live VMs of the domain. Absent from most updates.
    pub members: Option<Vec<JobOwner>>,
    /// Sum of the loads of all members.
    pub load: PeerLoad,
    /// Admission usage of all members, of the organisations for which it has changed.
    pub usage: Vec<UsageEntry>,
}

/// Aggregated report of one failure domain to VMs that do not read batches, or by such a VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// VM that aggregates the domain's reports.
    pub aggregator: VmRow,
    /// Live VMs of the domain.
    pub members: Vec<JobOwner>,
    /// Sum of the loads of all members.
    pub load: PeerLoad,
    /// Admission usage of all members by organisation. Absent from most reports, because it changes slowly.
    pub usage: Option<Vec<UsageEntry>>,
    /// The report has already been forwarded within the receiving domain.
    pub passed_on: bool,
}

/// Content of one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Report of a VM of the same failure domain.
    Report(PeerReport),
    /// The VM has finished its calls and is about to stop.
    Leaving {
        /// Id of the VM.
        vm: VmId,
        /// Incarnation of the VM; each start has a higher one.
        incarnation: Incarnation,
    },
    /// Report of another failure domain, received from its aggregator or forwarded within the own domain.
    Domain(DomainReport),
    /// Reports of several VMs or domains.
    Batch(ReportBatch),
    /// Losses under prompt parts, and parts in quarantine. Older releases ignore it.
    Parts(PartReport),
    /// Limits that targets name. Older releases ignore it.
    Limits(LimitReport),
    /// Targets whose responses say that they leave. Older releases ignore it.
    LeavingTargets(LeavingReport),
    /// Job heads that the sender has read from the store, for VMs of older releases.
    Jobs(Vec<HeadUpdate>),
    /// Changes of job heads that the sender has read from the store. Older releases ignore it.
    JobChanges(HeadChanges),
    /// Asks for a token of a pool that the receiver holds. Older releases ignore it.
    AskToken(TokenQuestion),
    /// Answers a question for a token.
    Token {
        /// Nonce of the question.
        nonce: u64,
        /// The answer.
        reply: TokenReply,
    },
    /// Returns a token that was granted and not used.
    ReturnToken(TokenQuestion),
    /// Asks a reader for the VMs of the other failure domains, with their addresses. Older releases ignore it.
    AskPoolVms,
    /// VMs of a failure domain, as read from the store.
    PoolVms {
        /// Failure domain of the VMs.
        domain: DomainName,
        /// Its VMs.
        vms: Vec<PoolVm>,
    },
    /// The sender is reading the document or the targets from the store, and will hand them over. Older releases ignore it.
    ReadingStore,
    /// Queries the age of the peer's document and targets.
    AskAge {
        /// Nonce that the response repeats.
        nonce: u64,
    },
    /// States that the document of `version` was the latest one `age` ago.
    Age {
        /// Nonce of the query; zero in an unsolicited announcement of a change.
        nonce: u64,
        /// Version of the peer's document.
        version: u64,
        /// Time since that document was known to be the latest one.
        age: Duration,
        /// Fingerprint of the peer's target set.
        targets_stamp: u64,
        /// Time since that target set was known to match the registry.
        targets_age: Duration,
        /// The peer reads the store for its domain, and the store responded to its last call.
        reaches_store: bool,
        /// Address of the peer's control listener, which serves the document and the targets.
        control: SocketAddr,
        /// Version up to which the peer has sent all changes of job heads, and the time since nothing newer was stored.
        /// Older releases leave it out.
        #[serde(default)]
        jobs: Option<(RowVersion, Duration)>,
        /// The peer answers with the changes of a list of targets that it is told. Older releases leave it out.
        #[serde(default)]
        sends_target_changes: bool,
        /// Evacuated failure domains, with an age of their own. Older releases leave it out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        evacuations: Option<EvacuationReport>,
    },
}

impl PeerMessage {
    /// Encodes the message as CBOR.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        plantainmill_core::encode_cbor(self)
    }

    /// Decodes a datagram. Returns `None` if it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<PeerMessage> {
        ciborium::from_reader(content).ok()
    }
}
