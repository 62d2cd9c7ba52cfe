//! Target choice, tickets, classes, windows and retries.

pub mod dispatcher;

pub use dispatcher::{
    CallOutcome, Dispatcher, PreemptSignal, TargetTicket, TicketRequest, TrafficClass,
};
