//! State of the VM for the dump, one member per part.

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

/// Batch jobs that the list of all organisations' jobs gives at most.
const BATCHES_LISTED: u32 = 200;

/// Asks every part for its state.
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
                "mesh": ask(&self.mesh, DumpMesh).await,
                "membership": ask(&self.membership, DumpMembers).await,
                "config": ask(&self.config, DumpConfig).await,
                "admission": self.rates.dump().await,
                "keys": self.keys.dump(),
                "dispatch": self.dispatch.dump().await,
                "batch": ask(self.batch.service(), DumpBatch).await,
                "placement": ask(&self.placement, DumpPlacement).await,
            })
        }
        .boxed_local()
    }

    fn batches(&self) -> LocalBoxFuture<'_, Result<Value, Problem>> {
        async move {
            let jobs = self.batch.store.list_all(BATCHES_LISTED).await?;
            let encoded = serde_json::to_value(jobs);
            encoded.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))
        }
        .boxed_local()
    }
}

/// State of one part; an error text when its actor has stopped.
async fn ask<A, M>(part: &Addr<A>, message: M) -> Value
where
    A: Handler<M>,
    A::Context: ToEnvelope<A, M>,
    M: Message + Send + 'static,
    M::Result: Send + Serialize,
{
    match part.send(message).await {
        Ok(state) => serde_json::to_value(state).unwrap_or_default(),
        Err(error) => json!({"error": error.to_string()}),
    }
}
