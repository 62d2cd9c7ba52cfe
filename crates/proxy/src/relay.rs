//! Relays routed requests: streams the response to the caller and fails over to another target where that is allowed.

mod call;
mod events;
mod exchange;
mod open;
mod recorder;
mod stream;

pub use crate::connect_phase::ConnectPhase;
pub use call::{HeaderNames, RelayCall, RelayLimits};
pub use events::{EventSplitter, StreamEvent, check_order};
pub use exchange::{SendFailure, TargetResponse};
pub use open::{RelayCaller, RelayResponse};
pub use recorder::StreamRecorder;
