//! What the operator routes work with.

use crate::metrics::NodeMetrics;
use actix::Addr;
use futures_util::future::LocalBoxFuture;
use plantainmill_config::{ConfigService, ConfigView};
use plantainmill_core::{Problem, VmId};
use plantainmill_membership::MemberView;
use plantainmill_settings::OperatorKey;
use serde_json::Value;
use std::sync::Arc;
use tokio::sync::Notify;

/// Gives the state of every part of the VM.
pub trait StateDump: Send + Sync {
    /// The state as JSON, one member per part.
    fn dump(&self) -> LocalBoxFuture<'_, Value>;
    /// Batch jobs of all organisations.
    fn batches(&self) -> LocalBoxFuture<'_, Result<Value, Problem>>;
}

/// Parts shared by all worker threads of the operator listener.
#[derive(Clone)]
pub struct AdminState {
    /// This VM.
    pub vm: VmId,
    /// Operators and the hashes of their keys.
    pub operators: Arc<Vec<OperatorKey>>,
    /// Configuration in force.
    pub view: ConfigView,
    /// Accepts changes.
    pub config: Addr<ConfigService>,
    /// Other VMs.
    pub members: MemberView,
    /// Counters.
    pub metrics: NodeMetrics,
    /// State of the VM.
    pub dump: Arc<dyn StateDump>,
    /// Notified when an operator asks for a graceful stop.
    pub stop: Arc<Notify>,
}
