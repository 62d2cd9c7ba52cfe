//! Actor of the ticketed policy, which handles mesh frames, ticks and load reports.

use crate::handle::{DispatchHandle, LoadPoll};
use crate::metrics::register_metrics;
use crate::node::{NodeIdentity, TICK_INTERVAL};
use actix::prelude::*;
use opentelemetry::metrics::Meter;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, TargetId};
use plantainmill_membership::MemberView;
use plantainmill_mesh::{Channel, FrameReceived, RegisterChannel, SendFrame};
use plantainmill_provider::TargetEngine;
use plantainmill_timer::{Subscribe, Tick};
use std::collections::HashSet;
use std::sync::Arc;

/// Dependencies of a [`DispatchService`].
pub struct DispatchParts {
    /// Identity and location of this VM.
    pub identity: NodeIdentity,
    /// Current configuration of the fleet.
    pub config: ConfigView,
    /// Current member view, which decides on the owners of targets.
    pub members: MemberView,
    /// Recipient of frames to other VMs.
    pub mesh: Recipient<SendFrame>,
    /// Recipient of the registration for frames from other VMs.
    pub channels: Recipient<RegisterChannel>,
    /// Recipient of the subscription to ticks.
    pub timer: Recipient<Subscribe>,
    /// Client that reads the load reports of the engines.
    pub engine: Arc<dyn TargetEngine>,
    /// Clock of all timeouts and expiries.
    pub clock: Arc<dyn Clock>,
    /// Meter at which the event counters are registered.
    pub meter: Meter,
}

/// Actor that drives the state machine of the ticketed policy.
pub struct DispatchService {
    handle: DispatchHandle,
    channels: Recipient<RegisterChannel>,
    timer: Recipient<Subscribe>,
    engine: Arc<dyn TargetEngine>,
    polling: HashSet<TargetId>,
}

impl DispatchService {
    /// A service that is not yet started. Its handle works already, but requests that have to wait need the started
    /// service.
    #[must_use]
    pub fn new(parts: DispatchParts) -> DispatchService {
        let handle = DispatchHandle::new(
            parts.identity,
            parts.config,
            parts.members,
            parts.mesh,
            parts.clock,
        );
        register_metrics(&parts.meter, &handle);
        DispatchService {
            handle,
            channels: parts.channels,
            timer: parts.timer,
            engine: parts.engine,
            polling: HashSet::new(),
        }
    }

    /// The handle that implements [`crate::Dispatcher`].
    #[must_use]
    pub fn handle(&self) -> DispatchHandle {
        self.handle.clone()
    }

    fn poll(&mut self, poll: LoadPoll, context: &mut Context<DispatchService>) {
        // A slow engine is polled again only after its response or a timeout.
        if !self.polling.insert(poll.target.clone()) {
            return;
        }
        let engine = Arc::clone(&self.engine);
        let future = async move { engine.load_report(poll.address).await };
        let future = future.into_actor(self).map(move |result, service, _| {
            service.polling.remove(&poll.target);
            service.handle.report(&poll.target, result.ok().as_ref());
        });
        context.spawn(future);
    }
}

impl Actor for DispatchService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.channels.do_send(RegisterChannel {
            channel: Channel::Dispatch,
            recipient: context.address().recipient(),
        });
        self.timer.do_send(Subscribe {
            interval: TICK_INTERVAL,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<FrameReceived> for DispatchService {
    type Result = ();

    fn handle(&mut self, frame: FrameReceived, _: &mut Self::Context) {
        self.handle.receive(&frame.from, &frame.body);
    }
}

impl Handler<Tick> for DispatchService {
    type Result = ();

    fn handle(&mut self, _: Tick, context: &mut Self::Context) {
        for poll in self.handle.tick() {
            self.poll(poll, context);
        }
    }
}
