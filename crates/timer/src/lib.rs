//! Timer service that other components subscribe to.
//!
//! One actor owns all timers of a process. Components subscribe with an interval and receive a [`Tick`] with the time,
//! so that decision code never reads a clock and tests can send their own ticks.

use actix::prelude::*;
use plantainmill_core::{Clock, Uptime};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Message to a subscriber that its interval has elapsed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Tick {
    /// Uptime at which the service sent the tick.
    pub uptime: Uptime,
}

/// Requests a [`Tick`] at a fixed interval; the first one after one interval.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Subscribe {
    /// Time between ticks.
    pub interval: Duration,
    /// Subscriber. It misses a tick if its mailbox is full, and is unsubscribed once it has stopped.
    pub recipient: Recipient<Tick>,
}

/// Actor that owns the timers of one process.
pub struct TimerService {
    clock: Arc<dyn Clock>,
}

impl TimerService {
    /// Creates a service that takes the time of its ticks from `clock`.
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
        let timer_handle = Arc::new(OnceLock::new());
        let handle_to_cancel = Arc::clone(&timer_handle);
        let spawn_handle = context.run_interval(interval, move |service, context| {
            let tick = Tick {
                uptime: service.clock.uptime(),
            };
            let closed = matches!(recipient.try_send(tick), Err(SendError::Closed(_)));
            if closed && let Some(handle) = handle_to_cancel.get() {
                context.cancel_future(*handle);
            }
        });
        let _ = timer_handle.set(spawn_handle);
    }
}
