//! State dump of a VM: a JSON object with one member per service.

use actix::{Addr, Handler, Message, dev::ToEnvelope};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_admin::StateDump;
use plantainmill_admission::{KeyAuthenticator, RateLimiter};
use plantainmill_batch::BatchHandle;
use plantainmill_batch::service::DumpBatch;
use plantainmill_config::{ConfigService, DumpConfig};
use plantainmill_core::{Incarnation, Problem, ResultCode};
use plantainmill_dispatch::Dispatcher;
use plantainmill_gateway::DrainState;
use plantainmill_membership::{DumpMembers, MembershipService};
use plantainmill_mesh::{DumpMesh, MeshService};
use plantainmill_placement::{DumpPlacement, PlacementService};
use plantainmill_settings::VmSettings;
use serde::Serialize;
use serde_json::{Value, json};
use std::sync::Arc;

/// Maximum number of batch jobs in the list of the jobs of all organisations.
const MAX_LISTED_JOBS: u32 = 200;

/// Queries all services of the VM for their state.
pub(crate) struct NodeDump {
    pub(crate) vm: VmSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) drain: DrainState,
    pub(crate) mesh: Addr<MeshService>,
    pub(crate) membership: Addr<MembershipService>,
    pub(crate) config: Addr<ConfigService>,
    pub(crate) rates: Arc<dyn RateLimiter>,
    pub(crate) dispatch: Arc<dyn Dispatcher>,
    pub(crate) batch: BatchHandle,
    pub(crate) placement: Addr<PlacementService>,
    pub(crate) keys: Arc<KeyAuthenticator>,
}

impl StateDump for NodeDump {
    fn dump(&self) -> LocalBoxFuture<'_, Value> {
        async move {
            json!({
                "vm": {
                    "id": self.vm.id, "region": self.vm.region, "domain": self.vm.domain,
                    "incarnation": self.incarnation, "ready": self.drain.is_ready(),
                    "leaving": self.drain.is_leaving(), "in_flight": self.drain.in_flight(),
                },
                "mesh": query_state(&self.mesh, DumpMesh).await,
                "membership": query_state(&self.membership, DumpMembers).await,
                "config": query_state(&self.config, DumpConfig).await,
                "admission": self.rates.dump().await,
                "keys": self.keys.dump(),
                "dispatch": self.dispatch.dump().await,
                "batch": query_state(self.batch.service(), DumpBatch).await,
                "placement": query_state(&self.placement, DumpPlacement).await,
            })
        }
        .boxed_local()
    }

    fn batches(&self) -> LocalBoxFuture<'_, Result<Value, Problem>> {
        async move {
            let jobs = self.batch.store.list_all(MAX_LISTED_JOBS).await?;
            let encoded = serde_json::to_value(jobs);
            encoded.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))
        }
        .boxed_local()
    }
}

/// State of one service, or an object with the member `error` when its actor does not reply.
async fn query_state<A, M>(service: &Addr<A>, message: M) -> Value
where
    A: Handler<M>,
    A::Context: ToEnvelope<A, M>,
    M: Message + Send + 'static,
    M::Result: Send + Serialize,
{
    match service.send(message).await {
        Ok(state) => serde_json::to_value(state).unwrap_or_default(),
        Err(error) => json!({"error": error.to_string()}),
    }
}
