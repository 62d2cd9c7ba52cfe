//! Relays routed requests: streams the response to the caller and fails over to another target where that is allowed.

mod attempt;
mod buffered;
mod call;
mod ending;
mod event_order;
mod events;
mod exchange;
mod forward;
mod hedge;
mod hedge_policy;
mod open;
mod progress;
mod recorder;
mod regions;
mod send;
mod stream;
mod stream_end;

pub use crate::connection_log::{ConnectionId, ConnectionUse};
pub use crate::send_trace::SendTrace;
pub use call::{HeaderNames, RelayCall, RelayLimits};
pub use event_order::{check_order, read_events};
pub use events::{EventSplitter, StreamEvent};
pub use exchange::{CallSend, SendFailure, TargetResponse, broken_body_outcome};
pub use forward::{
    FORWARD_HEADER, ForwardAnswer, ForwardRequest, ForwardVerdict, MAX_FORWARD_BYTES, REPEAT_HEADER,
};
pub use hedge_policy::{HedgePolicy, HedgeSettings};
pub use open::{RelayCaller, RelayResponse};
pub use recorder::StreamRecorder;
pub use regions::CallRegions;
