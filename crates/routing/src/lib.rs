//! Routes, organisations and targets from an external source, and the age of the local copy.
//!
//! The source assigns the versions. A VM never returns to an older version, and it tracks how long ago its version was
//! last known to be the latest one.

pub mod document;
pub mod regions;
pub mod registry;
pub mod source;
pub mod versions;
pub mod view;

pub use document::{
    CallerLimits, FleetDocument, JobRule, OrganisationRule, RouteKind, RouteRule, ServiceShare,
};
pub use regions::DocumentRegions;
pub use registry::{TargetEntry, TargetRegistry};
pub use source::{DocumentRead, DocumentRevision, DocumentSource, TargetSource};
pub use versions::VersionLedger;
pub use view::DocumentView;
