//! A model engine or a plain service on loopback.
//!
//! It decodes answers of a set length with a set pace, records every request it ran, and brings about faults
//! on request. Its work ends when the client disconnects.

mod answer;
mod control;
mod fault;
mod model;
mod plain;
mod state;

pub use fault::{EngineFault, FaultKind};
pub use state::{EngineCounts, RecordedRequest, RunOutcome};

use crate::listener::ServerTask;
use actix_web::web::{self, Data, ServiceConfig};
use compact_str::CompactString;
use state::EngineState;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};

/// Largest request body read, in bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// What the stand-in serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineKind {
    /// A model engine with the `OpenAI` interface.
    Model,
    /// A plain service that answers any path.
    Plain,
}

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 picks a free one.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: EngineKind,
    /// Models loaded at the start.
    pub models: Vec<CompactString>,
    /// Prefill time per token of the prompt.
    pub prefill_per_token: Duration,
    /// Decode time per token of a request that is alone.
    pub decode_per_token: Duration,
    /// Requests decoded together as the load report states them.
    pub capacity: u32,
    /// Share by which a decode step is longer at `capacity` than alone; it grows linearly with the width.
    pub width_slope: f64,
    /// Length of an answer without `max_tokens`.
    pub default_tokens: u32,
    /// Age of what the load report states.
    pub load_lag: Duration,
    /// Orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            kind: EngineKind::Model,
            models: Vec::new(),
            prefill_per_token: Duration::ZERO,
            decode_per_token: Duration::ZERO,
            capacity: 16,
            width_slope: 0.0,
            default_tokens: 16,
            load_lag: Duration::ZERO,
            checks_fencing: true,
        }
    }
}

/// Serves a model engine or a plain service over HTTP.
pub struct EngineServer;

impl EngineServer {
    /// Starts the server in the actix runtime of the caller.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(options: EngineOptions) -> anyhow::Result<RunningEngine> {
        let address = options.address;
        let kind = options.kind;
        let (crashes, crash_orders) = mpsc::unbounded_channel();
        let state = Arc::new(EngineState::new(options, crashes));
        let shared = Data::from(Arc::clone(&state));
        let task = ServerTask::start(address, move |config| {
            configure(config, kind, shared.clone());
        })?;
        let address = task.address();
        let server = Arc::new(Mutex::new(Some(task)));
        let watcher = actix_web::rt::spawn(crash_on_order(Arc::clone(&server), crash_orders));
        Ok(RunningEngine {
            address,
            state,
            server,
            watcher,
        })
    }
}

/// Crashes the server whenever a fault asks for it, and restarts it after the fault's delay if it has one.
async fn crash_on_order(
    server: Arc<Mutex<Option<ServerTask>>>,
    mut orders: mpsc::UnboundedReceiver<Duration>,
) {
    while let Some(delay) = orders.recv().await {
        if let Some(task) = server.lock().await.as_mut() {
            task.crash().await;
        }
        if delay.is_zero() {
            continue;
        }
        actix_web::rt::time::sleep(delay).await;
        let restarted = server.lock().await.as_mut().map(ServerTask::listen);
        if let Some(Err(error)) = restarted {
            tracing::warn!(%error, "stand-in engine could not restart");
        }
    }
}

fn configure(config: &mut ServiceConfig, kind: EngineKind, state: Data<EngineState>) {
    config
        .app_data(state)
        .app_data(web::PayloadConfig::new(BODY_LIMIT_BYTES))
        .configure(control::configure);
    match kind {
        EngineKind::Model => model::configure(config),
        EngineKind::Plain => plain::configure(config),
    }
}

/// A running engine.
pub struct RunningEngine {
    address: SocketAddr,
    state: Arc<EngineState>,
    server: Arc<Mutex<Option<ServerTask>>>,
    watcher: actix_web::rt::task::JoinHandle<()>,
}

impl RunningEngine {
    /// Address it listens on; stays the same over restarts.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Brings about `fault` from the next request on.
    pub fn set_fault(&self, fault: EngineFault) {
        self.state.set_fault(fault);
    }

    /// Requests it ran, oldest first.
    #[must_use]
    pub fn recorded(&self) -> Vec<RecordedRequest> {
        self.state.recorded()
    }

    /// What it counted since its start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.state.counts()
    }

    /// Says in the load report that the engine is about to stop.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.set_leaving(leaving);
    }

    /// Cuts all connections and refuses new ones until [`RunningEngine::restart`].
    pub async fn crash(&self) {
        if let Some(task) = self.server.lock().await.as_mut() {
            task.crash().await;
        }
    }

    /// Listens again at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn restart(&self) -> anyhow::Result<()> {
        match self.server.lock().await.as_mut() {
            Some(task) => task.listen(),
            None => Ok(()),
        }
    }

    /// Stops the server after the running requests, or a second later.
    pub async fn stop(self) {
        self.watcher.abort();
        let task = self.server.lock().await.take();
        if let Some(task) = task {
            task.stop().await;
        }
    }
}
