//! Fleet configuration: model, validation, log and propagation.

pub mod change;
pub mod model;
pub mod view;

pub use change::{ConfigChange, ConfigEdit, ResourceKind};
pub use model::{
    DefaultsSpec, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, ServiceKind, ServiceSpec,
    Subject, TargetSpec,
};
pub use view::ConfigView;
