//! Running of an HTTP server that can be stopped, crashed and restarted at the same address.

use actix_web::dev::{Extensions, ServerHandle};
use actix_web::rt::net::TcpStream;
use actix_web::rt::task::JoinHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use anyhow::Context as _;
use socket2::{Domain, Socket, Type};
use std::any::Any;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd as _;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Time that an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A second handle of an open connection, to cut it at once.
struct OpenConnection {
    stream: std::net::TcpStream,
}

/// The open connections of one server. Clones share the same state.
#[derive(Clone, Default)]
pub struct ConnectionList {
    open: Arc<Mutex<Vec<Weak<OpenConnection>>>>,
}

impl ConnectionList {
    fn record(&self, connection: &dyn Any, extensions: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TcpStream>() else {
            return;
        };
        // Small events would wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.as_fd().try_clone_to_owned() else {
            return;
        };
        let stream = std::net::TcpStream::from(handle);
        let opened = Arc::new(OpenConnection { stream });
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|each| each.strong_count() > 0);
        open.push(Arc::downgrade(&opened));
        extensions.insert(opened);
    }

    /// Cuts every open connection.
    pub fn cut_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in open.drain(..).filter_map(|each| each.upgrade()) {
            // The peer may have closed it first, which is as good.
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }
}

/// A server on loopback with one worker thread.
pub struct ServerTask {
    address: SocketAddr,
    connections: ConnectionList,
    configure: Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>,
    running: Option<(ServerHandle, JoinHandle<()>)>,
    /// Holds the port of a crashed server without listening: connections are refused, and no other server can get
    /// the port meanwhile and answer in its place.
    reserved: Option<Socket>,
}

impl ServerTask {
    /// Binds `address` and serves the routes that `configure` adds.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        configure: impl Fn(&mut ServiceConfig) + Send + Sync + 'static,
    ) -> anyhow::Result<ServerTask> {
        let mut task = ServerTask {
            address,
            connections: ConnectionList::default(),
            configure: Arc::new(configure),
            running: None,
            reserved: None,
        };
        task.listen()?;
        Ok(task)
    }

    /// Address it listens on; stays the same over restarts.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens again after [`ServerTask::crash`].
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn listen(&mut self) -> anyhow::Result<()> {
        if self.running.is_some() {
            return Ok(());
        }
        self.reserved = None;
        let configure = Arc::clone(&self.configure);
        let connections = self.connections.clone();
        let server = HttpServer::new(move || {
            let configure = Arc::clone(&configure);
            App::new().configure(move |config| configure(config))
        })
        .workers(1)
        .disable_signals()
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .on_connect(move |connection, extensions| connections.record(connection, extensions))
        .shutdown_timeout(1)
        .bind(self.address)
        .with_context(|| format!("listen on {}", self.address))?;
        self.address = server
            .addrs()
            .first()
            .copied()
            .context("no address bound")?;
        let server = server.run();
        let handle = server.handle();
        let task = actix_web::rt::spawn(async move {
            if let Err(error) = server.await {
                tracing::warn!(%error, "stand-in server failed");
            }
        });
        self.running = Some((handle, task));
        Ok(())
    }

    /// Stops listening and cuts all connections.
    pub async fn crash(&mut self) {
        let Some((handle, task)) = self.running.take() else {
            return;
        };
        self.connections.cut_all();
        handle.stop(false).await;
        self.connections.cut_all();
        // The listener is closed once the server's task has ended.
        let _ = task.await;
        self.reserved = reserve_port(self.address).ok();
    }

    /// Stops listening and lets running requests end for up to a second.
    pub async fn stop(mut self) {
        if let Some((handle, task)) = self.running.take() {
            handle.stop(true).await;
            let _ = task.await;
        }
    }
}

/// Binds `address` without listening on it.
fn reserve_port(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    // Reuse is needed to bind beside connections that are still closing; with it on, others could bind as well.
    socket.set_reuse_address(false)?;
    Ok(socket)
}
