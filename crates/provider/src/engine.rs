//! The control interface of model engines: load reports and orders.

use crate::PlatformFuture;
use compact_str::CompactString;
use std::net::SocketAddr;

/// The load that an engine reports. It lags behind the engine's actual state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of requests that are being decoded.
    pub running: u32,
    /// Number of requests that wait in the engine's queue.
    pub waiting: u32,
    /// Number of requests that the engine can decode concurrently without missing its latency target.
    pub capacity: u32,
    /// Models that are loaded.
    pub models: Vec<CompactString>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
}

/// An order to an engine to load or unload a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Loads the model if true, otherwise unloads it.
    pub load: bool,
    /// Model to load or unload.
    pub model: CompactString,
    /// Fencing token: the epoch of the controller's lease. Some engines reject an older epoch, others ignore it.
    pub fencing: u64,
}

/// Client of the engines' control interface.
pub trait TargetEngine: Send + Sync {
    /// Reads the load report of the engine at `address`.
    fn load_report(&self, address: SocketAddr) -> PlatformFuture<'_, LoadReport>;
    /// Sends an order; returns `false` if the engine rejected it.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> PlatformFuture<'_, bool>;
}
