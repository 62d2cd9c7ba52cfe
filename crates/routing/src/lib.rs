//! Routes, organisations and targets as an outside source gives them, and how old that knowledge is.
//!
//! The source owns the versions. A VM only ever moves forward, and it can say how long ago the version it holds was
//! certainly the newest one.

pub mod document;
pub mod registry;
pub mod source;
pub mod view;

pub use document::{
    CallerLimits, FleetDocument, JobRule, OrganisationRule, RouteKind, RouteRule, ServiceShare,
};
pub use registry::{TargetEntry, TargetRegistry};
pub use source::{DocumentRead, DocumentRevision, DocumentSource, TargetSource};
pub use view::DocumentView;
