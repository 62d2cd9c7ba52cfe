//! Calls of targets: retries, streams, idempotent calls, truthful outcomes.

pub mod caller;
pub mod events;
pub mod limits;
pub mod relay;

mod body;
mod context;
mod exchange;
mod head_filter;
mod headers;
mod hedge;
mod http_caller;
mod live;
mod meters;
mod recorded;
mod records;
mod transport;

pub use caller::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
pub use events::{EventReader, error_event};
pub use http_caller::HttpCaller;
pub use limits::CallLimits;
pub use transport::strict_client;
