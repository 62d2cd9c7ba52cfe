//! Outputs of the rate limiter's state machine: the I/O that the actor which drives it has to perform.

use crate::limiter::RateVerdict;
use crate::message::{AdmissionMessage, VmIncarnation};
use crate::split::SlotId;
use plantainmill_core::VmId;
use plantainmill_provider::TableWrite;

/// Identifies the write that a commit result belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitTag {
    /// Write of the layout row.
    Layout,
    /// Write of a slot row, with the sequence number that its lease gave to the write.
    Slot(SlotId, u64),
}

/// One output to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Responds to a request that is waiting for a token.
    Respond {
        /// Wait number, as returned in [`RateDecision::Waits`](crate::state::RateDecision::Waits).
        wait: u64,
        /// Outcome for the request.
        verdict: RateVerdict,
    },
    /// Commits a conditional write to the table.
    Commit {
        /// Passed back together with the result of the commit.
        tag: CommitTag,
        /// Puts and the revisions they depend on.
        write: TableWrite,
    },
    /// Asks the witness of a slot for consent to a takeover.
    Consent {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to be taken over.
        epoch: u64,
        /// Witness that the slot row names.
        witness: VmIncarnation,
        /// Request number, unique within this VM's incarnation.
        request: u64,
    },
    /// Reads the layout row and all slot rows.
    ReadRows {
        /// Read number, passed back together with the rows. Zero until the schedule issues the read.
        read: u64,
    },
    /// Reads the platform's list of VMs.
    ReadVms,
    /// Asks the witness of a slot to renew the lease.
    Renew {
        /// Slot whose lease is concerned.
        slot: SlotId,
        /// Epoch of the lease to renew.
        epoch: u64,
        /// Witness that the slot row names.
        witness: VmIncarnation,
        /// Request number, unique within this VM's incarnation.
        request: u64,
    },
    /// Notifies the VMs of the failure domain that slot rows have changed.
    RowsChanged,
    /// Sends a message to another VM.
    Send {
        /// Receiving VM.
        to: VmId,
        /// Message to encode and send.
        message: AdmissionMessage,
    },
}
