//! Fleet configuration: its model, validation, change log and propagation between VMs.

pub mod bodies;
pub mod change;
pub mod diff;
pub mod entry;
pub mod events;
pub mod fleet_file;
mod handlers;
pub mod log;
pub mod message;
pub mod model;
pub mod pieces;
pub mod propose;
pub mod receipt;
mod references;
pub mod replica;
pub mod service;
pub mod validate;
pub mod view;
pub mod wire;

pub use bodies::{defaults_from_body, edit_from_body};
pub use change::{ConfigChange, ConfigEdit, ResourceKind};
pub use diff::{describe_edits, edits_between};
pub use entry::{ConfigSnapshot, LogEntry, LogHead};
pub use events::{ConfigInput, ConfigOutput, ReplicaCounters, StoreState};
pub use fleet_file::{FileError, FleetFile, parse_fleet_file};
pub use log::{AppendOutcome, ConfigLog, HeadRow};
pub use message::{
    DumpConfig, ListHistory, ProposeChange, ReadyReport, ReadySource, ReadyState, RollbackTo,
};
pub use model::{
    DefaultsSpec, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, ServiceKind, ServiceSpec,
    Subject, TargetSpec,
};
pub use propose::{AcceptedChange, ChangeOutcome, ChangeProposal, ChangeRequest};
pub use receipt::ChangeReceipt;
pub use replica::ConfigReplica;
pub use service::{ConfigOptions, ConfigService, start};
pub use validate::{join_problems, validate_edits};
pub use view::ConfigView;
pub use wire::ConfigMessage;
