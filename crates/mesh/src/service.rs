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

/// Frames and messages that wait for the actor.
const MAILBOX_LIMIT: usize = 1_024;
/// Time between checks for idle connections.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// Default of [`MeshOptions::idle_limit`]: a domain of 23 VMs probes each pair about every 23 s, so
/// connections inside a domain stay open.
pub const IDLE_LIMIT: Duration = Duration::from_mins(2);

/// What a mesh needs to start.
pub struct MeshOptions {
    /// Identifier of this VM.
    pub own: VmId,
    /// Start of this VM.
    pub incarnation: Incarnation,
    /// Secrets of the fleet.
    pub secret: FleetSecret,
    /// Listener bound by the caller.
    pub listener: std::net::TcpListener,
    /// Connections without a sent frame for this long are closed.
    pub idle_limit: Duration,
    /// Timer service; without one, tests send the ticks.
    pub timer: Option<Addr<TimerService>>,
}

/// Stops the mesh: closes the listener and, after the waiting frames were sent, the connections.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct StopMesh;

/// Replaces the secrets of the fleet, for a rotation.
#[derive(Clone, Message)]
#[rtype(result = "()")]
pub struct UpdateSecret {
    /// New secrets: the first signs, all verify.
    pub secret: FleetSecret,
}

/// Asks for the state of the mesh.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "MeshReport")]
pub struct DumpMesh;

/// State of the mesh.
#[derive(Clone, Debug, Serialize)]
pub struct MeshReport {
    /// Counters since the start.
    pub totals: MeshTotals,
    /// Known peers.
    pub peers: Vec<MeshPeer>,
    /// Peers with an open queue.
    pub connected: Vec<VmId>,
}

/// The content of a binary WebSocket message.
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

/// Sends and receives the frames of one VM.
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
            .context("the mesh listener cannot be made non-blocking")?;
        let listener = TcpListener::from_std(options.listener)
            .context("the mesh listener cannot be registered")?;
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
        context.set_mailbox_capacity(MAILBOX_LIMIT);
        if let Some(listener) = self.listener.take() {
            let accepting = accept_connections(listener, context.address(), self.counters.clone());
            self.acceptor = Some(actix_rt::spawn(accepting));
        }
        if let Some(timer) = &self.timer {
            timer.do_send(Subscribe {
                interval: IDLE_CHECK,
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
