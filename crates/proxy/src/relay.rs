//! Relays routed requests: an answer that is passed on while it arrives, and goes on at another target where it may.

mod call;
mod events;
mod exchange;
mod open;
mod stream;

pub use call::{HeaderNames, RelayCall, RelayLimits};
pub use events::{EventSplitter, StreamEvent, check_order};
pub use exchange::{SendFailure, TargetResponse, send_once};
pub use open::{RelayCaller, RelayResponse};
