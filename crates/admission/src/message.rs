//! Messages between VMs on the mesh channel `Admission`, and rows of the table.

use crate::split::SlotId;
use bytes::Bytes;
use plantainmill_core::{Incarnation, OrganisationId, VmId};
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// One VM at one start.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmStart {
    /// The VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// Row of a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRow {
    /// VM that holds the slot; none once it was released.
    pub holder: Option<VmStart>,
    /// Raised by every claim.
    pub epoch: u64,
    /// VM that may renew the lease when the holder cannot reach the table.
    pub witness: Option<VmStart>,
    /// Digest of the split that the holder applies.
    pub split: u64,
}

/// Outcome of a loan for the lender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoanReport {
    /// Number of the request.
    pub loan: u64,
    /// Tokens that come back unspent; the others were spent.
    pub returned: u32,
}

/// A message between VMs. Each may be lost, repeated or late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionMessage {
    /// Asks for tokens.
    Borrow {
        /// Number of the request, unique within the borrower's incarnation.
        loan: u64,
        /// Organisation that needs them.
        organisation: OrganisationId,
        /// Tokens that would help.
        tokens: u32,
        /// Earlier loans of the same lender that are resolved.
        reports: Vec<LoanReport>,
    },
    /// Answers [`AdmissionMessage::Borrow`].
    Grant {
        /// Number of the request.
        loan: u64,
        /// Organisation.
        organisation: OrganisationId,
        /// Tokens lent; zero is a refusal.
        tokens: u32,
        /// Lifetime of the loan, counted by the borrower from its request.
        lifetime_ms: u32,
        /// Time until the lender expects to have a token again.
        wait_ms: u32,
        /// The lender holds a slot of the organisation.
        holder: bool,
    },
    /// Resolves loans.
    Report {
        /// Resolved loans.
        reports: Vec<LoanReport>,
    },
    /// The holder of a slot asks its witness to renew the lease.
    Renew {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder.
        epoch: u64,
        /// Incarnation of the witness as the row names it.
        witness: Incarnation,
        /// Number of the request.
        request: u64,
    },
    /// Answers [`AdmissionMessage::Renew`].
    Renewed {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder.
        epoch: u64,
        /// Number of the request.
        request: u64,
        /// The lease holds for its duration from the request on.
        granted: bool,
    },
    /// Asks the witness to renew the lease no more.
    Consent {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder that is to be replaced.
        epoch: u64,
        /// Incarnation of the witness as the row names it.
        witness: Incarnation,
        /// Number of the request.
        request: u64,
    },
    /// Answers [`AdmissionMessage::Consent`].
    Consented {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder that is to be replaced.
        epoch: u64,
        /// Number of the request.
        request: u64,
        /// The witness renews this epoch no more.
        granted: bool,
    },
    /// Slot rows have changed; the receiver reads them again.
    RowsChanged,
}

impl AdmissionMessage {
    /// Encodes the message as CBOR.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        encode_body(self)
    }

    /// Decodes a message, or gives none when it is malformed.
    #[must_use]
    pub fn decode(body: &[u8]) -> Option<AdmissionMessage> {
        decode_body(body)
    }
}
