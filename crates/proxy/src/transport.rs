//! Per-thread HTTP client whose connections report truncation as an error.

use crate::connect_phase::ConnectPhase;
use crate::head_filter::HeadFilter;
use crate::limits::CONNECT_TIMEOUT;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Time that an idle connection to a target is kept, below the 75 s after which servers usually close it.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of one read while a head is awaited. Heads are a few hundred bytes.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// A connection that reports its end as an error.
///
/// `awc` treats the end of a connection as the end of the body, even for a chunked body without a last chunk. Therefore
/// the end is always reported as an error, and a reader of a body without a length treats that error as its end.
#[derive(Debug)]
pub(crate) struct StrictStream {
    inner: TcpStream,
    head: HeadFilter,
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
        self.head.observe_write(buffer);
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
    static CLIENT: awc::Client = strict_client();
}

/// Client of this thread. Connections are pooled per thread because `awc` clients are not `Send`.
pub(crate) fn client() -> awc::Client {
    CLIENT.with(Clone::clone)
}

/// Creates a client that fails a response with an error when its connection ends.
#[must_use]
pub fn strict_client() -> awc::Client {
    let connect = fn_service(connect);
    let connector = awc::Connector::new()
        .connector(connect)
        .timeout(CONNECT_TIMEOUT)
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

async fn connect(info: ConnectInfo<Uri>) -> Result<Connection<Uri, StrictStream>, ConnectError> {
    let address = info.addrs().next().ok_or(ConnectError::NoRecords)?;
    let inner = ConnectPhase::record_connect(TcpStream::connect(address)).await;
    let inner = inner.map_err(ConnectError::Io)?;
    inner.set_nodelay(true).map_err(ConnectError::Io)?;
    let stream = StrictStream {
        inner,
        head: HeadFilter::default(),
    };
    Ok(Connection::new(info.request().clone(), stream))
}
