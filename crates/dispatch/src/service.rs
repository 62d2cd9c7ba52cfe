//! Actor of the ticketed policy: mesh frames, ticks and load reports.

use crate::handle::{DispatchHandle, DuePoll};
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

/// What the service is built from.
pub struct DispatchParts {
    /// Who and where this VM is.
    pub identity: NodeIdentity,
    /// Configuration in force.
    pub config: ConfigView,
    /// Other VMs.
    pub members: MemberView,
    /// Where frames to other VMs go.
    pub mesh: Recipient<SendFrame>,
    /// Where the service registers for frames from other VMs.
    pub channels: Recipient<RegisterChannel>,
    /// Where the service subscribes to ticks.
    pub timer: Recipient<Subscribe>,
    /// Load reports of the engines.
    pub engine: Arc<dyn TargetEngine>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where counters are registered.
    pub meter: Meter,
}

/// The actor.
pub struct DispatchService {
    handle: DispatchHandle,
    channels: Recipient<RegisterChannel>,
    timer: Recipient<Subscribe>,
    engine: Arc<dyn TargetEngine>,
    polling: HashSet<TargetId>,
}

impl DispatchService {
    /// A service that is not started yet. Its handle works already, but waits need the started service.
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

    fn poll(&mut self, poll: DuePoll, context: &mut Context<DispatchService>) {
        // A slow engine is asked again only after its answer or timeout.
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
