//! State of the caller routes.

use crate::drain::DrainState;
use plantainmill_admission::{AddressLimiter, KeyAuthenticator, RateLimiter};
use plantainmill_config::ConfigView;
use plantainmill_core::Clock;
use plantainmill_proxy::TargetCaller;
use std::rc::Rc;
use std::sync::Arc;

/// Creates the target caller of a worker thread. Each thread has its own, because connections cannot move to another
/// thread.
pub type CallerFactory = Arc<dyn Fn() -> Rc<dyn TargetCaller> + Send + Sync>;

/// Parts shared by all worker threads.
#[derive(Clone)]
pub struct GatewayParts {
    /// Current configuration.
    pub view: ConfigView,
    /// Authenticates callers by their keys.
    pub keys: Arc<KeyAuthenticator>,
    /// Rate limits of organisations.
    pub limiter: Arc<dyn RateLimiter>,
    /// Rate limits of client addresses on open routes.
    pub addresses: Arc<AddressLimiter>,
    /// Source of the time for deadlines and rates.
    pub clock: Arc<dyn Clock>,
    /// Readiness, stop state and requests in flight.
    pub drain: DrainState,
    /// Largest body of an online request, in bytes.
    pub body_limit_bytes: usize,
    /// Creates the target caller of each worker thread.
    pub caller_factory: CallerFactory,
}

/// State of one worker thread.
pub struct GatewayState {
    /// Parts shared by all worker threads.
    pub parts: GatewayParts,
    /// Sends requests to targets.
    pub caller: Rc<dyn TargetCaller>,
}

impl GatewayState {
    /// Creates the state of a worker thread, with a target caller of its own.
    #[must_use]
    pub fn new(parts: GatewayParts) -> GatewayState {
        let caller = (parts.caller_factory)();
        GatewayState { parts, caller }
    }
}
