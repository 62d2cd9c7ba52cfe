//! Quarantine of prompt parts under which targets crash.
//!
//! A request that crashes the target which answers it would crash the next one too, on each retry and at each VM. VMs
//! therefore record the parts of the prompts of calls whose connection was lost before the first event, report these
//! losses to each other, and reject requests with a part under which several targets were lost one after the other,
//! while no call with that part began an answer.

mod dispatcher;
mod evidence;
mod exchange;
mod ledger;
mod message;

pub use dispatcher::{PartQuarantine, QuarantineDispatcher};
pub use ledger::{CallParts, PartLedger, QuarantineEvent};
pub use message::{LossEntry, PartReport, QuarantineEntry, SoundEntry};
