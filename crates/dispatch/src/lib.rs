//! Target choice, tickets, classes, windows and retries.

pub mod dispatcher;
pub mod local;
pub mod local_dispatcher;
pub mod retry;
pub mod window;

pub use dispatcher::{
    CallOutcome, Dispatcher, PreemptSignal, TargetTicket, TicketRequest, TrafficClass,
};
pub use local_dispatcher::LocalDispatcher;
