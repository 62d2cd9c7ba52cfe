//! Dispatch of requests to targets: target selection, admission by tickets, traffic classes, concurrency windows and
//! retry budgets.
//!
//! [`QuarantineDispatcher`] and [`LimitDispatcher`] stand in front of any policy: one rejects requests under which targets
//! crash, the other keeps to the limits that targets name.
//!
//! Three policies implement [`Dispatcher`]. [`LocalDispatcher`] decides on the state of its own VM alone. The ticketed
//! policy ([`DispatchHandle`], [`DispatchService`]) gives each target an owner VM that queues requests and grants
//! tickets. [`SharedDispatcher`] has no owners: VMs exchange load reports, and each one decides on them.

pub mod counts;
pub mod dispatcher;
pub mod fair_queue;
pub mod handle;
pub mod health;
pub mod holding;
pub mod limits;
pub mod link;
pub mod local;
pub mod local_dispatcher;
pub mod message;
pub mod metrics;
pub mod node;
pub mod notice;
pub mod quarantine;
pub mod rendezvous;
pub mod retry;
pub mod selector;
pub mod service;
pub mod shared;
pub mod target_view;
pub mod ticket_queue;
pub mod window;

pub use dispatcher::{
    CallObserver, CallOutcome, Dispatcher, PreemptSignal, TargetNeed, TargetTicket, TicketRequest,
    TrafficClass,
};
pub use handle::DispatchHandle;
pub use limits::{LimitDispatcher, TargetLimits};
pub use local_dispatcher::LocalDispatcher;
pub use quarantine::{PartQuarantine, QuarantineDispatcher};
pub use service::{DispatchParts, DispatchService};
pub use shared::SharedDispatcher;
