//! Identifiers, result codes, errors and clocks shared by all crates.

pub mod clock;
pub mod code;
pub mod id;
pub mod problem;
pub mod response;
pub mod secret;

pub use clock::{Clock, ManualClock, SystemClock, Uptime};
pub use code::ResultCode;
pub use id::{
    DomainName, Incarnation, ItemId, JobId, KeyId, OrganisationId, RegionName, ServiceName,
    TargetId, VmId,
};
pub use problem::{Executed, Problem};
