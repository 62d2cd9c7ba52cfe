//! Timer service that other parts subscribe to.
//!
//! One actor owns all timers of a process. Parts subscribe with an interval and get a [`Tick`] with the time,
//! so that decision code never reads a clock and tests can send ticks of their own.

use actix::prelude::*;
use plantainmill_core::{Clock, Uptime};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Tells a subscriber that its interval has passed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Tick {
    /// Time of the tick.
    pub uptime: Uptime,
}

/// Asks for a [`Tick`] at every interval.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Subscribe {
    /// Time between ticks.
    pub interval: Duration,
    /// Who gets them. A subscriber whose mailbox is full misses the tick; one that has stopped is dropped.
    pub recipient: Recipient<Tick>,
}

/// The timer service of one process.
pub struct TimerService {
    clock: Arc<dyn Clock>,
}

impl TimerService {
    /// A service that reads `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> TimerService {
        TimerService { clock }
    }
}

impl Actor for TimerService {
    type Context = Context<Self>;
}

impl Handler<Subscribe> for TimerService {
    type Result = ();

    fn handle(&mut self, message: Subscribe, context: &mut Self::Context) {
        let Subscribe {
            interval,
            recipient,
        } = message;
        let handle = Arc::new(OnceLock::new());
        let own_handle = Arc::clone(&handle);
        let spawned = context.run_interval(interval, move |service, context| {
            let tick = Tick {
                uptime: service.clock.uptime(),
            };
            let closed = matches!(recipient.try_send(tick), Err(SendError::Closed(_)));
            if closed && let Some(handle) = own_handle.get() {
                context.cancel_future(*handle);
            }
        });
        let _ = handle.set(spawned);
    }
}
