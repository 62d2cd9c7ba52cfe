//! The actor that sends and receives the frames of one VM.

use crate::counters::{DropReason, MeshCounters, MeshTotals};
use crate::frame::{FRAME_VERSION, FleetSecret, MeshFrame};
use crate::guard::FrameGuard;
use crate::inbound::accept_connections;
use crate::message::{Channel, FrameReceived, MeshPeer, RegisterChannel, SendFrame, UpdatePeers};
use crate::outbound::{PeerQueue, QueueBudget};
use actix::prelude::*;
use anyhow::Context as _;
use bytes::Bytes;
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_timer::{Subscribe, Tick, TimerService};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Mailbox capacity of the actor, in messages.
const MAILBOX_CAPACITY: usize = 1_024;
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Default of [`MeshOptions::idle_limit`]. In a domain of 23 VMs each pair exchanges a probe about every 23 s, so
/// connections inside a domain stay open.
pub const IDLE_LIMIT: Duration = Duration::from_mins(2);

/// Parameters of [`start`].
pub struct MeshOptions {
    /// Identifier of this VM; frames addressed to other VMs are dropped.
    pub own: VmId,
    /// Incarnation of this VM, higher than in any earlier start under the same identifier. Peers drop frames of
    /// incarnations lower than the latest one they know.
    pub incarnation: Incarnation,
    /// Shared secrets that authenticate frames.
    pub secret: FleetSecret,
    /// Listener for incoming connections, already bound.
    pub listener: std::net::TcpListener,
    /// Outgoing connections on which no frame was sent for this long are closed.
    pub idle_limit: Duration,
    /// Timer service that drives idle checks. Tests pass `None` and send [`Tick`] themselves.
    pub timer: Option<Addr<TimerService>>,
}

/// Stops the mesh: closes the listener, and closes the connections once their queued frames have been sent.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct StopMesh;

/// Replaces the secrets of the fleet during a rotation.
#[derive(Clone, Message)]
#[rtype(result = "()")]
pub struct UpdateSecret {
    /// New secrets. The first one signs, all of them verify.
    pub secret: FleetSecret,
}

/// Requests a [`MeshReport`] for diagnostics.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "MeshReport")]
pub struct DumpMesh;

/// Diagnostic state of the mesh.
#[derive(Clone, Debug, Serialize)]
pub struct MeshReport {
    /// Counters since the mesh was started.
    pub totals: MeshTotals,
    /// Peers that frames may be sent to.
    pub peers: Vec<MeshPeer>,
    /// Peers with an outgoing queue; its connection may still be pending.
    pub connected: Vec<VmId>,
}

/// Payload of a received binary WebSocket message.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ContentReceived {
    pub(crate) content: Bytes,
}

struct OpenQueue {
    queue: PeerQueue,
    address: SocketAddr,
    last_used: Uptime,
}

/// Actor that sends and receives the frames of one VM.
pub struct MeshService {
    own: VmId,
    incarnation: Incarnation,
    secret: FleetSecret,
    idle_limit: Duration,
    guard: FrameGuard,
    counters: MeshCounters,
    budget: QueueBudget,
    peers: BTreeMap<VmId, MeshPeer>,
    queues: BTreeMap<VmId, OpenQueue>,
    routes: BTreeMap<Channel, Recipient<FrameReceived>>,
    timer: Option<Addr<TimerService>>,
    listener: Option<TcpListener>,
    acceptor: Option<JoinHandle<()>>,
    now: Uptime,
}

impl MeshService {
    /// Starts the mesh on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start_with(options: MeshOptions) -> anyhow::Result<Addr<MeshService>> {
        options
            .listener
            .set_nonblocking(true)
            .context("failed to set the mesh listener to non-blocking mode")?;
        let listener = TcpListener::from_std(options.listener)
            .context("failed to register the mesh listener with the runtime")?;
        let service = MeshService {
            guard: FrameGuard::new(options.own.clone(), options.secret.clone()),
            own: options.own,
            incarnation: options.incarnation,
            secret: options.secret,
            idle_limit: options.idle_limit,
            counters: MeshCounters::default(),
            budget: QueueBudget::default(),
            peers: BTreeMap::new(),
            queues: BTreeMap::new(),
            routes: BTreeMap::new(),
            timer: options.timer,
            listener: Some(listener),
            acceptor: None,
            now: Uptime::ZERO,
        };
        Ok(Actor::start(service))
    }

    fn queue_to(&mut self, peer: &MeshPeer) -> &OpenQueue {
        let stale = |open: &OpenQueue| open.address != peer.address;
        if self.queues.get(&peer.id).is_some_and(stale) {
            self.queues.remove(&peer.id);
        }
        let now = self.now;
        let open = self
            .queues
            .entry(peer.id.clone())
            .or_insert_with(|| OpenQueue {
                queue: PeerQueue::start(peer.address, self.budget.clone(), self.counters.clone()),
                address: peer.address,
                last_used: now,
            });
        open.last_used = now;
        open
    }

    fn seal(&self, message: SendFrame) -> Bytes {
        self.secret.seal(&MeshFrame {
            version: FRAME_VERSION,
            from: self.own.clone(),
            to: message.to,
            incarnation: self.incarnation,
            channel: message.channel,
            body: message.body,
        })
    }

    fn route(&mut self, content: &[u8]) -> Result<(), DropReason> {
        let frame = self.guard.accept(content)?;
        let recipient = self.routes.get(&frame.channel);
        let recipient = recipient.ok_or(DropReason::Unrouted)?;
        let received = FrameReceived {
            from: frame.from,
            incarnation: frame.incarnation,
            body: frame.body,
        };
        recipient
            .try_send(received)
            .map_err(|_| DropReason::MailboxFull)
    }
}

/// Starts a mesh on the current arbiter.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub fn start(options: MeshOptions) -> anyhow::Result<Addr<MeshService>> {
    MeshService::start_with(options)
}

impl Actor for MeshService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        if let Some(listener) = self.listener.take() {
            let accepting = accept_connections(listener, context.address(), self.counters.clone());
            self.acceptor = Some(actix_rt::spawn(accepting));
        }
        if let Some(timer) = &self.timer {
            timer.do_send(Subscribe {
                interval: IDLE_CHECK_INTERVAL,
                recipient: context.address().recipient(),
            });
        }
    }

    fn stopped(&mut self, _context: &mut Self::Context) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.abort();
        }
    }
}

impl Handler<SendFrame> for MeshService {
    type Result = ();

    fn handle(&mut self, message: SendFrame, _context: &mut Self::Context) {
        let Some(peer) = self.peers.get(&message.to).cloned() else {
            self.counters.count_dropped(DropReason::UnknownPeer);
            return;
        };
        let content = self.seal(message);
        if content.len() > crate::frame::FRAME_LIMIT_BYTES {
            self.counters.count_dropped(DropReason::TooLong);
            return;
        }
        self.queue_to(&peer).queue.push(content);
    }
}

impl Handler<ContentReceived> for MeshService {
    type Result = ();

    fn handle(&mut self, message: ContentReceived, _context: &mut Self::Context) {
        if let Err(reason) = self.route(&message.content) {
            self.counters.count_dropped(reason);
        }
    }
}

impl Handler<RegisterChannel> for MeshService {
    type Result = ();

    fn handle(&mut self, message: RegisterChannel, _context: &mut Self::Context) {
        self.routes.insert(message.channel, message.recipient);
    }
}

impl Handler<UpdatePeers> for MeshService {
    type Result = ();

    fn handle(&mut self, message: UpdatePeers, _context: &mut Self::Context) {
        let peers = message.peers.into_iter();
        self.peers = peers
            .filter(|peer| peer.id != self.own)
            .map(|peer| (peer.id.clone(), peer))
            .collect();
        let peers = &self.peers;
        self.queues.retain(|id, _| peers.contains_key(id));
        self.guard.prune(&self.peers);
    }
}

impl Handler<UpdateSecret> for MeshService {
    type Result = ();

    fn handle(&mut self, message: UpdateSecret, _context: &mut Self::Context) {
        self.secret = message.secret.clone();
        self.guard.set_secret(message.secret);
    }
}

impl Handler<Tick> for MeshService {
    type Result = ();

    fn handle(&mut self, message: Tick, _context: &mut Self::Context) {
        self.now = message.uptime;
        let idle_limit = self.idle_limit;
        let open = self.queues.len();
        self.queues
            .retain(|_, open| message.uptime.saturating_sub(open.last_used) < idle_limit);
        for _ in self.queues.len()..open {
            self.counters.count_idle_closed();
        }
    }
}

impl Handler<DumpMesh> for MeshService {
    type Result = MessageResult<DumpMesh>;

    fn handle(&mut self, _message: DumpMesh, _context: &mut Self::Context) -> Self::Result {
        MessageResult(MeshReport {
            totals: self.counters.totals(),
            peers: self.peers.values().cloned().collect(),
            connected: self.queues.keys().cloned().collect(),
        })
    }
}

impl Handler<StopMesh> for MeshService {
    type Result = ();

    fn handle(&mut self, _message: StopMesh, context: &mut Self::Context) {
        self.queues.clear();
        context.stop();
    }
}
