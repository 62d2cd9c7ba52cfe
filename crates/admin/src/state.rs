//! State of the operator routes.

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

/// Source of the VM's state for operators.
pub trait StateDump: Send + Sync {
    /// State of the VM as a JSON object with one member per service.
    fn dump(&self) -> LocalBoxFuture<'_, Value>;
    /// Batch jobs of all organisations as a JSON array, limited in number. Fails when the store cannot be read.
    fn batches(&self) -> LocalBoxFuture<'_, Result<Value, Problem>>;
}

/// State shared by all worker threads of the operators' server.
#[derive(Clone)]
pub struct AdminState {
    /// Identifier of this VM.
    pub vm: VmId,
    /// Names of the operators and the hashes of their keys.
    pub operators: Arc<Vec<OperatorKey>>,
    /// Current configuration.
    pub view: ConfigView,
    /// Service that accepts changes to the configuration and returns its history.
    pub config: Addr<ConfigService>,
    /// Members of the fleet as this VM sees them.
    pub members: MemberView,
    /// Metrics of this VM.
    pub metrics: NodeMetrics,
    /// Source of the state dump and the list of batch jobs.
    pub dump: Arc<dyn StateDump>,
    /// Notified when an operator requests a graceful stop.
    pub stop: Arc<Notify>,
}
