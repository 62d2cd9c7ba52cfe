//! The listeners of a VM for callers, operators and the mesh, and the HTTP servers on them.

use crate::problem_log::log_problems;
use actix_web::dev::ServerHandle;
use actix_web::middleware::{DefaultHeaders, from_fn};
use actix_web::{App, HttpServer, web};
use anyhow::Context as _;
use plantainmill_admin::AdminState;
use plantainmill_batch::BatchHandle;
use plantainmill_core::{Problem, ResultCode};
use plantainmill_gateway::{GatewayParts, GatewayState};
use plantainmill_settings::{LimitSettings, NodeSettings};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Largest body of an operator request; a fleet file with 23,000 organisations has about 3 MB.
const MAX_OPERATOR_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Time limit for a caller to send the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a connection of a caller is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Addresses that a running VM listens on. Port 0 in the settings is replaced by the port that was bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// Online, file and batch requests of callers, and health checks.
    pub callers: SocketAddr,
    /// Administration requests of operators, and metrics.
    pub operators: SocketAddr,
    /// Mesh connections of other VMs.
    pub mesh: SocketAddr,
}

/// Bound listeners, from which the servers are started.
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    mesh: TcpListener,
    addresses: NodeAddresses,
    workers: usize,
}

impl Listeners {
    /// Binds all three listeners, so that a port in use is reported before any service starts.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound; the error names the field of the settings and the reason.
    pub fn bind(settings: &NodeSettings) -> anyhow::Result<Listeners> {
        let callers = bind_listener("listen.callers", settings.listen.callers)?;
        let operators = bind_listener("listen.operators", settings.listen.operators)?;
        let mesh = bind_listener("listen.mesh", settings.listen.mesh)?;
        let addresses = NodeAddresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            mesh: mesh.local_addr()?,
        };
        Ok(Listeners {
            callers,
            operators,
            mesh,
            addresses,
            workers: settings.limits.workers,
        })
    }

    /// Addresses that the listeners are bound to, with the actual port where the settings have port 0.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Another handle to the mesh listener, for the mesh service.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot duplicate the socket handle.
    pub fn mesh(&self) -> anyhow::Result<TcpListener> {
        self.mesh
            .try_clone()
            .context("cannot share the mesh listener")
    }

    /// Starts the HTTP server for callers on `workers` threads.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot duplicate the socket handle.
    pub fn serve_callers(
        &self,
        parts: GatewayParts,
        batch: BatchHandle,
        limits: &LimitSettings,
    ) -> anyhow::Result<ServerHandle> {
        let server = HttpServer::new(move || {
            let batch_routes = web::scope("")
                .wrap(from_fn(plantainmill_gateway::batches::authenticate))
                .configure(plantainmill_batch::routes::configure);
            App::new()
                .wrap(from_fn(log_problems))
                .wrap(DefaultHeaders::new().add(("server", "plantainmill")))
                .app_data(web::Data::new(GatewayState::new(parts.clone())))
                .app_data(web::Data::new(batch.clone()))
                .configure(plantainmill_gateway::configure)
                .service(batch_routes)
                .default_service(web::route().to(unknown_route))
        })
        .workers(self.workers)
        .max_connections(limits.connections)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .disable_signals()
        .listen_auto_h2c(self.callers.try_clone()?)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }

    /// Starts the HTTP server for operators on one thread.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot duplicate the socket handle.
    pub fn serve_operators(&self, state: AdminState) -> anyhow::Result<ServerHandle> {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(MAX_OPERATOR_BODY_BYTES))
                .configure(plantainmill_admin::configure)
                .default_service(web::route().to(unknown_route))
        })
        .workers(1)
        .disable_signals()
        .listen(self.operators.try_clone()?)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }
}

fn bind_listener(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address);
    let listener = bound.map_err(|error| {
        let reason = format!("cannot listen on {address}: {error}");
        Problem::new(ResultCode::ListenFailed, reason).with_field(field)
    })?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn unknown_route(
    request: actix_web::HttpRequest,
) -> Result<actix_web::HttpResponse, Problem> {
    let reason = format!("no route {} {}", request.method(), request.path());
    Err(Problem::new(ResultCode::UnknownRoute, reason))
}
