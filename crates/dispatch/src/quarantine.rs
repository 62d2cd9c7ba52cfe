//! Quarantine of prompt parts and requests under which targets crash.
//!
//! A request that crashes the target which answers it would crash the next one too, on each retry and at each VM. VMs
//! therefore record the parts of the prompts of calls whose connection was lost before the first event, report these
//! losses to each other, and reject requests with a part under which several targets were lost one after the other,
//! while no call with that part began an answer. A request that crashes targets whatever its parts are is recognised by its
//! hash, and rejected by itself.

mod dispatcher;
mod evidence;
mod exchange;
mod keeper;
mod ledger;
mod message;
mod state;

pub use dispatcher::{PartQuarantine, QuarantineDispatcher};
pub use keeper::{
    PartitionQuarantines, QUARANTINE_TABLE, QuarantineStore, StoredQuarantine, TableQuarantines,
    keep_quarantines,
};
pub use ledger::PartLedger;
pub use message::{LossEntry, PartReport, QuarantineEntry, QuarantineKind, SoundEntry};
pub use state::{CallParts, QuarantineChanges, QuarantineEvent, QuarantineRejection};
