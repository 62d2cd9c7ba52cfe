//! Stand-ins for the platform and the engines, with injectable faults.
//!
//! [`MemoryPlatform`] implements the platform's interfaces in memory, for tests in virtual time. The HTTP
//! servers serve the same wire formats over loopback: [`PlatformServer`] for the platform, [`EngineServer`]
//! for model engines and plain services.

pub mod engine;
pub mod foreign_bytes;
pub mod head_cut;
pub mod listener;
pub mod memory;
mod other_events;
pub mod platform_server;
pub mod refusal_copies;
pub mod rows;
mod run_guard;
pub mod seen_request;
pub mod stream_target;
pub mod target_act;

pub use engine::{
    EngineCounts, EngineFault, EngineKind, EngineOptions, EngineServer, FaultKind, RecordedRequest,
    RunOutcome, RunningEngine,
};
pub use head_cut::HeadCut;
pub use memory::{MemoryPlatform, PlatformFault, StoreCounts};
pub use platform_server::{PlatformOptions, PlatformServer, RunningPlatform};
pub use refusal_copies::{CopyTiming, RefusalCopy, RefusalMode};
pub use rows::{MemoryRows, RowsFault};
pub use seen_request::SeenRequest;
pub use stream_target::{StreamTarget, TargetNames};
pub use target_act::TargetAct;
