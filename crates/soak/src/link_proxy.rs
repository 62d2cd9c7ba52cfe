//! A loopback proxy for one link, with the faults of a network.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Largest part passed on at once, in bytes.
const PART_BYTES: usize = 16 << 10;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes everything on after a delay.
    Slow(Duration),
    /// Resets all connections, open and new ones.
    Reset,
    /// Holds back what callers send.
    HoldCalls,
    /// Holds back what comes as an answer.
    HoldAnswers,
    /// Holds back everything.
    Silent,
}

impl LinkMode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            LinkMode::Silent => true,
            LinkMode::HoldCalls => direction == Direction::Call,
            LinkMode::HoldAnswers => direction == Direction::Answer,
            LinkMode::Open | LinkMode::Slow(_) | LinkMode::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Call,
    Answer,
}

/// A proxy in front of one address.
pub struct LinkProxy {
    /// Where to connect instead.
    pub address: SocketAddr,
    mode: Rc<watch::Sender<LinkMode>>,
}

impl LinkProxy {
    /// Starts a proxy to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(upstream: SocketAddr) -> io::Result<LinkProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = LinkProxy {
            address: listener.local_addr()?,
            mode: Rc::new(watch::Sender::new(LinkMode::Open)),
        };
        let mode = Rc::clone(&proxy.mode);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(relay(stream, upstream, mode.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Sets what the link does from now on, also on open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(mut caller: TcpStream, upstream: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let passable = wait_passable(&mut mode.clone(), Direction::Call).await;
    let Ok(mut target) = passable.and(TcpStream::connect(upstream).await) else {
        reset(&caller);
        return;
    };
    for stream in [&caller, &target] {
        if let Err(error) = stream.set_nodelay(true) {
            eprintln!("a link is not as fast as it should be: {error}");
        }
    }
    let mut resets = mode.clone();
    let end = {
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        tokio::select! {
            // Both ends close when either direction ends: nothing here uses half-closed connections.
            end = pump(caller_read, target_write, mode.clone(), Direction::Call) => end,
            end = pump(target_read, caller_write, mode, Direction::Answer) => end,
            _ = resets.wait_for(|mode| *mode == LinkMode::Reset) => {
                Err(io::ErrorKind::ConnectionReset.into())
            }
        }
    };
    // An end that is no clean one may not look like one at the other side.
    if end.is_err() {
        reset(&caller);
        reset(&target);
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        eprintln!("a link cannot be reset: {error}");
    }
}

/// Passes on what `from` sends until it ends. A reset gives an error.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<()> {
    let mut part = vec![0; PART_BYTES];
    loop {
        let size = from.read(&mut part).await?;
        let delay = wait_passable(&mut mode, direction).await?;
        sleep(delay).await;
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&part[..size]).await?;
    }
}

/// Waits until the link passes something on, and gives its delay.
async fn wait_passable(
    mode: &mut watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<Duration> {
    let passable = mode.wait_for(|mode| !mode.holds(direction)).await;
    match passable.map(|mode| *mode) {
        Ok(LinkMode::Reset) | Err(_) => Err(io::ErrorKind::ConnectionReset.into()),
        Ok(LinkMode::Slow(delay)) => Ok(delay),
        Ok(_) => Ok(Duration::ZERO),
    }
}
