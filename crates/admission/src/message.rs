//! Messages between VMs on the mesh channel `Admission`, and the row format of slots.

use crate::split::SlotId;
use bytes::Bytes;
use plantainmill_core::{Incarnation, OrganisationId, VmId};
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// A VM and its incarnation, which changes with every start.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmIncarnation {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the process. Later starts have higher numbers.
    pub incarnation: Incarnation,
}

/// Row of a slot in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRow {
    /// VM that holds the slot; `None` after a release.
    pub holder: Option<VmIncarnation>,
    /// Lease epoch, incremented by every claim.
    pub epoch: u64,
    /// VM that may renew the lease while the holder cannot reach the table.
    pub witness: Option<VmIncarnation>,
    /// Digest of the split that the holder applies, see [`SlotLayout::digest`](crate::split::SlotLayout::digest).
    pub split: u64,
}

/// Reports to the lender how a loan was used, which resolves the loan.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoanReport {
    /// Loan number that the borrower assigned.
    pub loan: u64,
    /// Tokens returned unspent; all others were spent.
    pub returned: u32,
}

/// A message between VMs. Messages may be lost, duplicated or delayed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionMessage {
    /// Requests a loan of tokens.
    Borrow {
        /// Loan number, unique within the borrower's incarnation.
        loan: u64,
        /// Organisation that the tokens are for.
        organisation: OrganisationId,
        /// Number of tokens wanted.
        tokens: u32,
        /// Reports on earlier loans from the same lender.
        reports: Vec<LoanReport>,
    },
    /// Response to [`AdmissionMessage::Borrow`].
    Grant {
        /// Loan number of the request.
        loan: u64,
        /// Organisation that the tokens are for.
        organisation: OrganisationId,
        /// Number of tokens lent; zero means that the request is refused.
        tokens: u32,
        /// Lifetime of the loan in milliseconds, which the borrower counts from the time of its request.
        lifetime_ms: u32,
        /// Time in milliseconds until the lender expects to have a token available.
        wait_ms: u32,
        /// Whether the lender holds a slot that has a share of the organisation.
        holder: bool,
    },
    /// Reports on loans without requesting another one.
    Report {
        /// One report per resolved loan.
        reports: Vec<LoanReport>,
    },
    /// Request by the holder of a slot that the witness renew the lease.
    Renew {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to renew.
        epoch: u64,
        /// Incarnation of the witness that the slot row names.
        witness: Incarnation,
        /// Request number, unique within the sender's incarnation.
        request: u64,
    },
    /// Response to [`AdmissionMessage::Renew`].
    Renewed {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to renew.
        epoch: u64,
        /// Request number of the renewal request.
        request: u64,
        /// Whether the lease is renewed. It is then valid for its full duration from the time of the request.
        granted: bool,
    },
    /// Request for consent to a takeover, after which the witness must no longer renew the lease.
    Consent {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to be taken over.
        epoch: u64,
        /// Incarnation of the witness that the slot row names.
        witness: Incarnation,
        /// Request number, unique within the sender's incarnation.
        request: u64,
    },
    /// Response to [`AdmissionMessage::Consent`].
    Consented {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to be taken over.
        epoch: u64,
        /// Request number of the consent request.
        request: u64,
        /// Whether the witness consents. It then no longer renews this epoch.
        granted: bool,
    },
    /// Notification that slot rows have changed. The receiver reads them again.
    RowsChanged,
}

impl AdmissionMessage {
    /// Encodes the message as CBOR.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        encode_body(self)
    }

    /// Decodes a message. Returns `None` when it is malformed.
    #[must_use]
    pub fn decode(body: &[u8]) -> Option<AdmissionMessage> {
        decode_body(body)
    }
}
