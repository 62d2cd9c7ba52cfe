//! The control interface of model engines: load reports and orders.

use crate::PlatformFuture;
use compact_str::CompactString;
use std::net::SocketAddr;

/// An engine's report of its load. It lags behind the engine's state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u32,
    /// Requests admitted and not yet decoded.
    pub waiting: u32,
    /// Requests decoded together without slowing each other beyond the engine's target.
    pub capacity: u32,
    /// Models that are loaded.
    pub models: Vec<CompactString>,
    /// The engine is about to stop.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Load the model if true, unload it otherwise.
    pub load: bool,
    /// Model to load or unload.
    pub model: CompactString,
    /// Epoch of the controller's lease. Some engines refuse an older one, others ignore it.
    pub fencing: u64,
}

/// The control interface of the engines.
pub trait TargetEngine: Send + Sync {
    /// Reads the load report of the engine at `address`.
    fn load_report(&self, address: SocketAddr) -> PlatformFuture<'_, LoadReport>;
    /// Sends an order; `false` when the engine refused it.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> PlatformFuture<'_, bool>;
}
