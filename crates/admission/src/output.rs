//! What the decision code asks its actor to do.

use crate::limiter::RateVerdict;
use crate::message::{AdmissionMessage, VmStart};
use crate::split::SlotId;
use plantainmill_core::VmId;
use plantainmill_provider::TableWrite;

/// Which part a commit belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitTag {
    /// The row with the layout.
    Layout,
    /// Write number of a slot's lease.
    Slot(SlotId, u64),
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a request that was told to wait.
    Answer {
        /// Number of the wait.
        wait: u64,
        /// Decision.
        verdict: RateVerdict,
    },
    /// Write to the table.
    Commit {
        /// Comes back with the outcome.
        tag: CommitTag,
        /// Write.
        write: TableWrite,
    },
    /// Ask the witness of a slot for consent to a takeover.
    Consent {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder to replace.
        epoch: u64,
        /// Witness as the row names it.
        witness: VmStart,
        /// Number of the request.
        request: u64,
    },
    /// Read the rows of the layout and of all slots.
    ReadRows {
        /// Comes back with the rows. Zero until the read is issued.
        read: u64,
    },
    /// Read the VM list.
    ReadVms,
    /// Ask the witness of a slot to renew its lease.
    Renew {
        /// Slot.
        slot: SlotId,
        /// Epoch of the holder.
        epoch: u64,
        /// Witness as the row names it.
        witness: VmStart,
        /// Number of the request.
        request: u64,
    },
    /// Tell the VMs of the domain that slot rows have changed.
    RowsChanged,
    /// Send a message.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: AdmissionMessage,
    },
}
