//! A loopback TCP proxy for one link, which simulates network faults.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Behaviour of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards all data.
    #[default]
    Open,
    /// Forwards all data, each read after a delay.
    Slow(Duration),
    /// Resets all open and new connections.
    Reset,
    /// Resets all open connections, and does not accept new ones.
    Closed,
    /// Blocks data from the caller.
    HoldCalls,
    /// Blocks data to the caller.
    HoldAnswers,
    /// Blocks data in both directions.
    Silent,
}

impl LinkMode {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            LinkMode::Silent => true,
            LinkMode::HoldCalls => direction == Direction::Request,
            LinkMode::HoldAnswers => direction == Direction::Response,
            LinkMode::Open | LinkMode::Slow(_) | LinkMode::Reset | LinkMode::Closed => false,
        }
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Request,
    Response,
}

/// Proxy of one upstream address.
pub struct LinkProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    mode: Rc<watch::Sender<LinkMode>>,
}

impl LinkProxy {
    /// Starts a proxy that forwards to `upstream`, with the mode `Open`.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<LinkProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = LinkProxy {
            address: listener.local_addr()?,
            mode: Rc::new(watch::Sender::new(LinkMode::Open)),
        };
        let mode = Rc::clone(&proxy.mode);
        actix_rt::spawn(async move {
            if let Err(error) = accept_connections(listener, upstream, &mode).await {
                eprintln!("a link has ended: {error}");
            }
        });
        Ok(proxy)
    }

    /// Sets the mode of the link, which takes effect on open connections as well.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Whether the link forwards all data at once.
    #[must_use]
    pub fn is_open(&self) -> bool {
        *self.mode.borrow() == LinkMode::Open
    }
}

async fn accept_connections(
    mut listener: TcpListener,
    upstream: SocketAddr,
    mode: &watch::Sender<LinkMode>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut changes = mode.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                actix_rt::spawn(relay_connection(stream, upstream, mode.subscribe()));
                continue;
            }
            _ = changes.wait_for(|mode| *mode == LinkMode::Closed) => {}
        }
        drop(listener);
        // Bound without listening: connections are refused, and no other socket gets the port.
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        if changes
            .wait_for(|mode| *mode != LinkMode::Closed)
            .await
            .is_err()
        {
            return Ok(());
        }
        listener = socket.listen(BACKLOG)?;
    }
}

async fn relay_connection(
    mut caller: TcpStream,
    upstream: SocketAddr,
    mode: watch::Receiver<LinkMode>,
) {
    let unblocked = wait_unblocked(&mut mode.clone(), Direction::Request).await;
    let Ok(mut target) = unblocked.and(TcpStream::connect(upstream).await) else {
        reset_on_drop(&caller);
        return;
    };
    for stream in [&caller, &target] {
        if let Err(error) = stream.set_nodelay(true) {
            eprintln!("cannot set TCP_NODELAY on a link: {error}");
        }
    }
    let mut reset_mode = mode.clone();
    let outcome = {
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        tokio::select! {
            // The connection closes when either direction ends: no client or server here uses half-closed connections.
            outcome = copy_data(caller_read, target_write, mode.clone(), Direction::Request) => outcome,
            outcome = copy_data(target_read, caller_write, mode, Direction::Response) => outcome,
            _ = reset_mode.wait_for(|mode| matches!(mode, LinkMode::Reset | LinkMode::Closed)) => {
                Err(io::ErrorKind::ConnectionReset.into())
            }
        }
    };
    // A reset must reach the other side as a reset, not as a clean end.
    if outcome.is_err() {
        reset_on_drop(&caller);
        reset_on_drop(&target);
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        eprintln!("cannot reset a link: {error}");
    }
}

/// Copies data in one direction until the sender closes it. A reset is an error.
async fn copy_data(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let size = from.read(&mut buffer).await?;
        let delay = wait_unblocked(&mut mode, direction).await?;
        sleep(delay).await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}

/// Waits until the link forwards data in `direction` and returns its delay. A reset is an error.
async fn wait_unblocked(
    mode: &mut watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<Duration> {
    let unblocked = mode.wait_for(|mode| !mode.blocks(direction)).await;
    match unblocked.map(|mode| *mode) {
        Ok(LinkMode::Reset | LinkMode::Closed) | Err(_) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
        Ok(LinkMode::Slow(delay)) => Ok(delay),
        Ok(_) => Ok(Duration::ZERO),
    }
}
