//! Definitions shared by all crates: identifiers, result codes, errors, clocks, secrets, CBOR encoding, and signals and
//! counters for a graceful shutdown.

pub mod clock;
pub mod code;
pub mod encoding;
pub mod flight;
pub mod id;
pub mod problem;
pub mod region;
pub mod response;
pub mod retry;
pub mod secret;
pub mod signal;

pub use clock::{Clock, ManualClock, SystemClock, Uptime, incarnation_at};
pub use code::ResultCode;
pub use encoding::encode_cbor;
pub use flight::{InFlightCounter, InFlightGuard};
pub use id::{
    DomainName, Incarnation, ItemId, JobId, KeyId, OrganisationId, PartId, PartList, RegionName,
    RequestHash, ServiceName, TargetId, VersionName, VmId,
};
pub use problem::{Executed, Problem};
pub use region::{RegionInputs, RegionSet, RegionSource};
pub use retry::RetryDelay;
pub use signal::wait_until_set;
