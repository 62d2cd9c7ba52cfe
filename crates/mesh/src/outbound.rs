//! Outgoing connections: one queue and one task per peer with recent traffic.

use crate::counters::{DropReason, MeshCounters};
use crate::frame::FRAME_LIMIT_BYTES;
use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

/// Capacity of the queue to one peer, in frames.
const QUEUE_LIMIT_FRAMES: usize = 256;
/// Bytes queued to all peers together: a quarter of the 64 MB available to control traffic.
const QUEUE_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Limit for connecting, including the WebSocket handshake. A round trip between regions is 40 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for one write, so that a peer that stops reading does not block its queue.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a connection attempt that failed before its timeout. Frames queued meanwhile are dropped without
/// another attempt.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Byte budget shared by all queues of a mesh.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueBudget {
    used: Arc<AtomicUsize>,
}

impl QueueBudget {
    fn reserve(&self, bytes: usize) -> bool {
        let taken = self.used.fetch_add(bytes, Ordering::Relaxed);
        if taken + bytes > QUEUE_LIMIT_BYTES {
            self.release(bytes);
            return false;
        }
        true
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Queue to one peer. Dropping it closes the connection once the queued frames have been sent.
pub(crate) struct PeerQueue {
    sender: mpsc::Sender<Bytes>,
    budget: QueueBudget,
    counters: MeshCounters,
}

impl PeerQueue {
    /// Spawns the task that sends to `address`. It connects on the first frame.
    pub(crate) fn start(address: SocketAddr, budget: QueueBudget, counters: MeshCounters) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT_FRAMES);
        let task = SendTask {
            address,
            budget: budget.clone(),
            counters: counters.clone(),
            socket: None,
        };
        actix_rt::spawn(task.run(receiver));
        PeerQueue {
            sender,
            budget,
            counters,
        }
    }

    /// Enqueues a sealed frame, or drops it if the queue or the byte budget is exhausted.
    pub(crate) fn push(&self, content: Bytes) {
        let bytes = content.len();
        if !self.budget.reserve(bytes) {
            self.counters.count_dropped(DropReason::QueueFull);
            return;
        }
        if self.sender.try_send(content).is_err() {
            self.budget.release(bytes);
            self.counters.count_dropped(DropReason::QueueFull);
        }
    }
}

struct SendTask {
    address: SocketAddr,
    budget: QueueBudget,
    counters: MeshCounters,
    socket: Option<WebSocketStream<TcpStream>>,
}

impl SendTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<Bytes>) {
        while let Some(content) = receiver.recv().await {
            let bytes = content.len();
            let sent = self.send(content).await;
            self.budget.release(bytes);
            if sent {
                self.counters.count_sent(bytes);
                continue;
            }
            self.counters.count_dropped(DropReason::Unreachable);
            self.drop_queued(&mut receiver);
        }
        if let Some(mut socket) = self.socket.take() {
            let _ = timeout(WRITE_TIMEOUT, socket.close(None)).await;
        }
    }

    /// Sends over the open connection and reconnects at most once if that connection turns out to be broken.
    async fn send(&mut self, content: Bytes) -> bool {
        if self.is_closed_by_peer() {
            self.socket = None;
        }
        if self.socket.is_some() && self.write(content.clone()).await {
            return true;
        }
        if !self.connect().await {
            return false;
        }
        self.write(content).await
    }

    /// Whether the peer has closed the connection since the last frame.
    fn is_closed_by_peer(&mut self) -> bool {
        use futures_util::FutureExt as _;
        let Some(socket) = &mut self.socket else {
            return false;
        };
        match socket.next().now_or_never() {
            None | Some(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => false,
            Some(_) => true,
        }
    }

    async fn write(&mut self, content: Bytes) -> bool {
        let Some(socket) = &mut self.socket else {
            return false;
        };
        let written = timeout(WRITE_TIMEOUT, socket.send(Message::Binary(content))).await;
        if matches!(written, Ok(Ok(()))) {
            return true;
        }
        self.socket = None;
        false
    }

    async fn connect(&mut self) -> bool {
        match timeout(CONNECT_TIMEOUT, open_socket(self.address)).await {
            Ok(Ok(socket)) => {
                self.counters.count_opened();
                self.socket = Some(socket);
                true
            }
            Ok(Err(_)) => {
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
                false
            }
            Err(_) => false,
        }
    }

    /// Drops the frames queued while the peer was unreachable: they are stale, and every subsystem recovers from loss.
    fn drop_queued(&self, receiver: &mut mpsc::Receiver<Bytes>) {
        while let Ok(content) = receiver.try_recv() {
            self.budget.release(content.len());
            self.counters.count_dropped(DropReason::Unreachable);
        }
    }
}

async fn open_socket(address: SocketAddr) -> anyhow::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/mesh");
    let (socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    Ok(socket)
}

/// WebSocket limits, used for incoming and outgoing connections.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT_BYTES))
        .max_frame_size(Some(FRAME_LIMIT_BYTES))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}
