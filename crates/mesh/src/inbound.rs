//! Incoming connections from peers.

use crate::counters::{DropReason, MeshCounters};
use crate::outbound::socket_config;
use crate::service::{ContentReceived, MeshService};
use actix::Addr;
use futures_util::StreamExt as _;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::{Error, Message};

/// Concurrent incoming connections: 350 VMs, with room for connections of replaced VMs that have not timed out.
const CONNECTION_LIMIT: usize = 1_024;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which an incoming connection is closed. Peers close idle connections earlier, after
/// [`IDLE_LIMIT`](crate::service::IDLE_LIMIT) by default.
const READ_IDLE_TIMEOUT: Duration = Duration::from_mins(5);
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the task is aborted.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    service: Addr<MeshService>,
    counters: MeshCounters,
) {
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            counters.count_refused();
            continue;
        };
        let service = service.clone();
        let counters = counters.clone();
        actix_rt::spawn(async move {
            serve_connection(stream, service, counters).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, service: Addr<MeshService>, counters: MeshCounters) {
    let _ = stream.set_nodelay(true);
    let handshake = accept_async_with_config(stream, Some(socket_config()));
    let Ok(Ok(mut socket)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        counters.count_refused();
        return;
    };
    counters.count_accepted();
    while let Ok(Some(message)) = timeout(READ_IDLE_TIMEOUT, socket.next()).await {
        match message {
            Ok(Message::Binary(content)) => {
                counters.count_received(content.len());
                // Waiting for the actor applies backpressure to the sender instead of buffering without bound.
                if service.send(ContentReceived { content }).await.is_err() {
                    return;
                }
            }
            Ok(Message::Text(_)) => {
                counters.count_dropped(DropReason::Malformed);
            }
            Ok(Message::Close(_)) => return,
            Ok(_) => {}
            Err(Error::Capacity(_)) => {
                counters.count_dropped(DropReason::TooLong);
                return;
            }
            Err(_) => return,
        }
    }
}
