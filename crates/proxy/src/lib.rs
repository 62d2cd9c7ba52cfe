//! Calls targets over HTTP: retries, hedging, streaming, idempotency records, and relaying with failover.
//!
//! Every failure reports whether a target executed the request (`executed`: yes, no or unknown).

pub mod caller;
pub mod events;
pub mod limits;
pub mod relay;

mod body;
mod connection_log;
mod context;
mod event_line;
mod exchange;
mod head_filter;
mod headers;
mod hedge;
mod http_caller;
mod idempotent_call;
mod meters;
mod parts;
mod records;
mod response_stream;
mod send_trace;
mod transport;

pub use caller::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
pub use events::{EventReader, error_event};
pub use http_caller::HttpCaller;
pub use limits::CallLimits;
pub use parts::{request_hash, request_parts};
pub use transport::{TargetDialer, TcpDialer, strict_client};
