//! Starts and stops one VM.

use crate::listeners::{Listeners, NodeAddresses};
use crate::services::NodeServices;
use actix_web::dev::ServerHandle;
use anyhow::Context as _;
use plantainmill_core::{Clock, SystemClock, Uptime};
use plantainmill_gateway::DrainState;
use plantainmill_settings::{LimitSettings, NodeSettings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval at which a start polls readiness and a stop polls the requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running VM.
pub struct Node {
    addresses: NodeAddresses,
    services: NodeServices,
    callers: ServerHandle,
    operators: ServerHandle,
    drain: DrainState,
    stop: Arc<Notify>,
    limits: LimitSettings,
}

/// Outcome of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Number of requests that were still in flight when the drain timeout ended. Their connections were closed.
    pub aborted_requests: usize,
}

impl Node {
    /// Starts a VM on the current actix system. It becomes ready once it has loaded a configuration.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, or when a server or service cannot be started.
    pub fn start(settings: NodeSettings) -> anyhow::Result<Node> {
        let limits = settings.limits;
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses();
        let drain = DrainState::default();
        let stop = Arc::new(Notify::new());
        let services = NodeServices::start(settings, &listeners, &drain)?;
        let admin = services.admin_state(&stop);
        let gateway = services.gateway_parts();
        let batch = services.batch_handle();
        let callers = listeners
            .serve_callers(gateway, batch, &limits)
            .context("cannot serve callers")?;
        let operators = listeners
            .serve_operators(admin)
            .context("cannot serve operators")?;
        actix_rt::spawn(services.watch_readiness());
        Ok(Node {
            addresses,
            services,
            callers,
            operators,
            drain,
            stop,
            limits,
        })
    }

    /// Addresses that the VM listens on, with the actual port where the settings have port 0.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Number of requests in flight on the callers' listener.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.drain.in_flight()
    }

    /// Waits until the VM is ready, which means that the balancer may send requests.
    pub async fn wait_ready(&self) {
        while !self.drain.is_ready() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Completes when an operator requests a graceful stop.
    pub async fn stop_requested(&self) {
        self.stop.notified().await;
    }

    /// Stops gracefully. The VM reports not ready, waits for the balancer to notice, and then refuses new requests. It
    /// finishes batch items and requests within the drain timeout, releases its leases and closes its listeners.
    pub async fn stop(&self) -> StopReport {
        self.drain.start_leaving();
        self.services.announce_leaving().await;
        actix_rt::time::sleep(self.limits.balancer_wait).await;
        self.drain.start_refusing();
        let deadline = SystemClock.uptime() + self.limits.drain;
        self.services.stop_batch(self.limits.drain).await;
        let aborted_requests = self.wait_idle(deadline).await;
        self.services.stop_services().await;
        self.callers.stop(aborted_requests == 0).await;
        self.operators.stop(false).await;
        StopReport { aborted_requests }
    }

    /// Closes the HTTP listeners at once and releases no leases, as in a crash of the VM. The caller has to stop the
    /// arbiter that the VM runs on.
    pub async fn abort(&self) {
        self.callers.stop(false).await;
        self.operators.stop(false).await;
    }

    /// Waits until no request is in flight or `deadline` has passed. Returns the number of requests still in flight.
    async fn wait_idle(&self, deadline: Uptime) -> usize {
        while self.drain.in_flight() > 0 && SystemClock.uptime() < deadline {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.drain.in_flight()
    }
}
