//! Listeners of a VM: callers, operators, mesh.

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

/// Largest body of an operator call, in bytes; a fleet file of 23,000 organisations has about 3 MB.
const OPERATOR_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Addresses of a running VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Other VMs.
    pub mesh: SocketAddr,
}

/// Listeners that are bound and not yet served.
pub struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    mesh: TcpListener,
    addresses: NodeAddresses,
    workers: usize,
}

impl Listeners {
    /// Binds all three, so that a port in use is reported before anything is started.
    ///
    /// # Errors
    ///
    /// Names the listener that cannot be opened, and why.
    pub fn bind(settings: &NodeSettings) -> anyhow::Result<Listeners> {
        let callers = bind_one("listen.callers", settings.listen.callers)?;
        let operators = bind_one("listen.operators", settings.listen.operators)?;
        let mesh = bind_one("listen.mesh", settings.listen.mesh)?;
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

    /// Addresses that were bound.
    #[must_use]
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The mesh listener, for the mesh service.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no further handle.
    pub fn mesh(&self) -> anyhow::Result<TcpListener> {
        self.mesh
            .try_clone()
            .context("cannot share the mesh listener")
    }

    /// Starts the callers' server.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no further handle.
    pub fn serve_callers(
        &self,
        parts: GatewayParts,
        batch: BatchHandle,
        limits: &LimitSettings,
    ) -> anyhow::Result<ServerHandle> {
        let server = HttpServer::new(move || {
            let routes = web::scope("")
                .wrap(from_fn(plantainmill_gateway::batches::authenticate))
                .configure(plantainmill_batch::routes::configure);
            App::new()
                .wrap(DefaultHeaders::new().add(("server", "plantainmill")))
                .app_data(web::Data::new(GatewayState::new(parts.clone())))
                .app_data(web::Data::new(batch.clone()))
                .configure(plantainmill_gateway::configure)
                .service(routes)
                .default_service(web::route().to(unknown_route))
        })
        .workers(self.workers)
        .max_connections(limits.connections)
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        .disable_signals()
        .listen_auto_h2c(self.callers.try_clone()?)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }

    /// Starts the operators' server.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no further handle.
    pub fn serve_operators(&self, state: AdminState) -> anyhow::Result<ServerHandle> {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(OPERATOR_BODY_BYTES))
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

fn bind_one(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
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
