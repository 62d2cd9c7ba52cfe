//! Stand-ins for the platform and the engines, with injectable faults.
//!
//! [`MemoryPlatform`] implements the platform's interfaces in memory, for tests in virtual time. The HTTP
//! servers serve the same state over loopback.

pub mod memory;

pub use memory::{MemoryPlatform, PlatformFault, StoreCounts};
