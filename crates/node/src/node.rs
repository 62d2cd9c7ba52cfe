//! Starts and stops one VM.

use crate::listeners::{Listeners, NodeAddresses};
use crate::parts::NodeParts;
use actix_web::dev::ServerHandle;
use anyhow::Context as _;
use plantainmill_core::{Clock, SystemClock, Uptime};
use plantainmill_gateway::DrainState;
use plantainmill_settings::{LimitSettings, NodeSettings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time between looks at the requests in flight during a stop, and at readiness during a start.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running VM.
pub struct Node {
    addresses: NodeAddresses,
    parts: NodeParts,
    callers: ServerHandle,
    operators: ServerHandle,
    drain: DrainState,
    stop: Arc<Notify>,
    limits: LimitSettings,
}

/// How a stop went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were still in flight at the time limit.
    pub aborted_requests: usize,
}

impl Node {
    /// Starts a VM on the current actix system. It is not ready before it holds a configuration.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened.
    pub fn start(settings: NodeSettings) -> anyhow::Result<Node> {
        let limits = settings.limits;
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses();
        let drain = DrainState::default();
        let stop = Arc::new(Notify::new());
        let parts = NodeParts::start(settings, &listeners, &drain)?;
        let admin = parts.admin_state(&stop);
        let gateway = parts.gateway_parts();
        let batch = parts.batch_handle();
        let callers = listeners
            .serve_callers(gateway, batch, &limits)
            .context("cannot serve callers")?;
        let operators = listeners
            .serve_operators(admin)
            .context("cannot serve operators")?;
        actix_rt::spawn(parts.watch_readiness());
        Ok(Node {
            addresses,
            parts,
            callers,
            operators,
            drain,
            stop,
            limits,
        })
    }

    /// Addresses it listens on.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Requests being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.drain.in_flight()
    }

    /// Waits until the balancer may send requests.
    pub async fn wait_ready(&self) {
        while !self.drain.is_ready() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends when an operator asks for a graceful stop.
    pub async fn stop_requested(&self) {
        self.stop.notified().await;
    }

    /// Stops gracefully: not ready, wait for the balancer, finish, hand over, close.
    pub async fn stop(&self) -> StopReport {
        self.drain.start_leaving();
        self.parts.announce_leaving().await;
        actix_rt::time::sleep(self.limits.balancer_wait).await;
        self.drain.start_refusing();
        let deadline = SystemClock.uptime() + self.limits.drain;
        self.parts.stop_batch(self.limits.drain).await;
        let aborted_requests = self.wait_idle(deadline).await;
        self.parts.stop_services().await;
        self.callers.stop(aborted_requests == 0).await;
        self.operators.stop(false).await;
        StopReport { aborted_requests }
    }

    /// Closes the HTTP listeners at once and releases nothing, as the loss of the VM would. The caller then
    /// stops the arbiter that the VM runs on.
    pub async fn abort(&self) {
        self.callers.stop(false).await;
        self.operators.stop(false).await;
    }

    /// Waits for the requests in flight and gives the number left at `deadline`.
    async fn wait_idle(&self, deadline: Uptime) -> usize {
        while self.drain.in_flight() > 0 && SystemClock.uptime() < deadline {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.drain.in_flight()
    }
}
