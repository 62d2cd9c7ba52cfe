//! Per-thread HTTP client whose connections report truncation as an error.

use crate::connection_log::ConnectionLog;
use crate::head_filter::HeadFilter;
use crate::limits::CONNECT_TIMEOUT;
use crate::send_trace::SendTrace;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Time that an idle connection to a target is kept, below the 75 s after which servers usually close it.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the first keep-alive probe of a connection without traffic, and between probes.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// Number of keep-alive probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time without an acknowledgement of sent data that ends a connection. Paths that are lost for less go on.
#[cfg(target_os = "linux")]
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Size of one read while a head is awaited. Heads are a few hundred bytes.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// Opens connections to targets.
pub trait TargetDialer {
    /// Opens a connection to the target at `address`.
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens connections over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

/// Ends a connection whose other side acknowledges nothing, also while neither side sends. A target that is silent is not
/// affected, because its system acknowledges.
fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_DELAY)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    // With a user timeout, the number of unanswered probes no longer matters.
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))?;
    Ok(())
}

impl TargetDialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            detect_dead_peer(&stream)?;
            Ok(stream)
        }
        .boxed_local()
    }
}

/// A connection that reports its end as an error, and that carries the id of a request once.
///
/// `awc` treats the end of a connection as the end of the body, even for a chunked body without a last chunk. Therefore
/// the end is always reported as an error, and a reader of a body without a length treats that error as its end.
#[derive(Debug)]
pub(crate) struct StrictStream {
    inner: TcpStream,
    head: HeadFilter,
    log: Rc<ConnectionLog>,
    /// Requests are written only within an observed send, which has them recorded.
    is_observed: bool,
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The pool reads from an idle connection before it gives it to a send, and drops it on an error.
        if SendTrace::unsent_request().is_some_and(|key| !self.log.may_carry(key)) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        loop {
            if let Some(taken) = self.head.take(buffer.remaining()) {
                buffer.put_slice(&taken);
                return Poll::Ready(Ok(()));
            }
            if !self.head.is_buffering() {
                break;
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut self.inner).poll_read(context, &mut chunk))?;
            if chunk.filled().is_empty() {
                self.head.release();
            } else {
                self.head.push(chunk.filled());
            }
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == filled && buffer.remaining() > 0;
        if is_end {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.head.observe_write(buffer)
            && !SendTrace::record_write(&self.log)
            && self.is_observed
        {
            let reason = "a request outside of an observed send";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.inner, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.inner, context)
    }
}

thread_local! {
    static CLIENT: awc::Client = client_with_dialer(Rc::new(TcpDialer), CONNECT_TIMEOUT);
}

/// Client of this thread. Connections are pooled per thread because `awc` clients are not `Send`.
pub(crate) fn client() -> awc::Client {
    CLIENT.with(Clone::clone)
}

/// Creates a client that fails a response with an error when its connection ends. It does not know what its connections have
/// carried.
#[must_use]
pub fn strict_client() -> awc::Client {
    build_client(Rc::new(TcpDialer), CONNECT_TIMEOUT, false)
}

/// Creates a client as [`strict_client`] does, with connections from `dialer` in a pool of its own. They carry an id once, and
/// fail a request that is not sent within [`SendTrace::observe`].
#[must_use]
pub(crate) fn client_with_dialer(
    dialer: Rc<dyn TargetDialer>,
    connect_timeout: Duration,
) -> awc::Client {
    build_client(dialer, connect_timeout, true)
}

fn build_client(
    dialer: Rc<dyn TargetDialer>,
    connect_timeout: Duration,
    is_observed: bool,
) -> awc::Client {
    let connect = fn_service(move |info| connect(info, Rc::clone(&dialer), is_observed));
    let connector = awc::Connector::new()
        .connector(connect)
        .timeout(connect_timeout)
        .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
        // The dispatcher limits the requests in flight.
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

async fn connect(
    info: ConnectInfo<Uri>,
    dialer: Rc<dyn TargetDialer>,
    is_observed: bool,
) -> Result<Connection<Uri, StrictStream>, ConnectError> {
    let address = info.addrs().next().ok_or(ConnectError::NoRecords)?;
    let inner = SendTrace::record_connect(dialer.dial(address)).await;
    let stream = StrictStream {
        inner: inner.map_err(ConnectError::Io)?,
        head: HeadFilter::default(),
        log: Rc::new(ConnectionLog::new()),
        is_observed,
    };
    Ok(Connection::new(info.request().clone(), stream))
}
