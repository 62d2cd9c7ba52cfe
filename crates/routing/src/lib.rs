//! Routes, organisations and targets from an external source, and the age of the local copy.
//!
//! The source assigns the versions. A VM never returns to an older version, and it tracks how long ago its version was
//! last known to be the latest one.

pub mod document;
pub mod evacuation;
pub mod follower;
pub mod history;
pub mod regions;
pub mod registry;
pub mod source;
pub mod versions;
pub mod view;

pub use document::{
    CallerLimits, FleetDocument, JobRule, OrganisationRule, RouteKind, RouteRule, ServiceRule,
    ServiceShare,
};
pub use evacuation::{EvacuationEvent, EvacuationLedger, EvacuationReport, EvacuationState};
pub use follower::{FollowerStep, RegistryFollower, TargetRow, TargetRows, proof_interval};
pub use history::TargetHistory;
pub use regions::DocumentRegions;
pub use registry::{ColdLeft, TargetChanges, TargetEntry, TargetRegistry};
pub use source::{
    DocumentRead, DocumentRevision, DocumentSource, FleetRead, TargetFeed, TargetSource,
};
pub use versions::VersionLedger;
pub use view::DocumentView;
