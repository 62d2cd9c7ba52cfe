//! What the caller routes work with.

use crate::drain::DrainState;
use plantainmill_admission::{AddressLimiter, KeyAuthenticator, RateLimiter};
use plantainmill_config::ConfigView;
use plantainmill_core::Clock;
use plantainmill_proxy::TargetCaller;
use std::rc::Rc;
use std::sync::Arc;

/// Makes the code that calls targets, once per worker thread, because its connections stay on their thread.
pub type CallerFactory = Arc<dyn Fn() -> Rc<dyn TargetCaller> + Send + Sync>;

/// Parts shared by all worker threads.
#[derive(Clone)]
pub struct GatewayParts {
    /// Configuration in force.
    pub view: ConfigView,
    /// Checks keys.
    pub keys: Arc<KeyAuthenticator>,
    /// Rates of organisations.
    pub limiter: Arc<dyn RateLimiter>,
    /// Rates of client addresses on open routes.
    pub addresses: Arc<AddressLimiter>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Requests in flight and stop.
    pub drain: DrainState,
    /// Largest body of an online request, in bytes.
    pub body_limit_bytes: usize,
    /// Makes the code that calls targets.
    pub caller_factory: CallerFactory,
}

/// State of one worker thread.
pub struct GatewayState {
    /// Parts shared by all worker threads.
    pub parts: GatewayParts,
    /// Calls targets.
    pub caller: Rc<dyn TargetCaller>,
}

impl GatewayState {
    /// The state of a new worker thread.
    #[must_use]
    pub fn new(parts: GatewayParts) -> GatewayState {
        let caller = (parts.caller_factory)();
        GatewayState { parts, caller }
    }
}
