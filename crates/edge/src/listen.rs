//! HTTP listeners on the VM's single thread.

use crate::control::REQUEST_LIMIT_BYTES;
use crate::state::EdgeState;
use actix_http::{HttpService, KeepAlive};
use actix_service::{
    IntoServiceFactory as _, Service as _, ServiceFactory as _, ServiceFactoryExt as _, map_config,
};
use actix_web::dev::AppConfig;
use actix_web::{App, FromRequest, Handler, Responder, web};
use anyhow::{Context as _, anyhow};
use plantainmill_core::wait_until_set;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Idle timeout of a connection. Callers close idle connections earlier, at the limit given in the document.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Timeout for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Signals for the two phases of a planned stop.
#[derive(Clone)]
pub(crate) struct StopSignals {
    /// Connections close as soon as they have no request in flight.
    pub drain: watch::Receiver<bool>,
    /// No further connections are accepted.
    pub close: watch::Receiver<bool>,
}

/// Serves requests on `address` with `handler` until the VM stops.
pub(crate) async fn serve<F, Args>(
    address: SocketAddr,
    state: Rc<EdgeState>,
    stop: StopSignals,
    handler: F,
) -> anyhow::Result<()>
where
    F: Handler<Args>,
    F::Output: Responder + 'static,
    Args: FromRequest + 'static,
{
    let app = App::new()
        .app_data(web::Data::new(state))
        .app_data(web::PayloadConfig::new(REQUEST_LIMIT_BYTES))
        .default_service(web::to(handler));
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    let app = app.into_factory().map_err(|error| error.error_response());
    let StopSignals { drain, mut close } = stop;
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
        .client_request_timeout(HEADER_TIMEOUT)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        // Closing idle connections moves callers to other VMs; otherwise their next request could hit a closing
        // connection.
        .graceful_shutdown_signal(move || {
            let mut drain = drain.clone();
            async move { wait_until_set(&mut drain).await }
        })
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| anyhow!("the service on {address} cannot start"))?;
    let service = Rc::new(service);
    actix_rt::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_until_set(&mut close) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let service = Rc::clone(&service);
                    actix_rt::spawn(async move {
                        // An error affects only its own connection.
                        if let Err(error) = service.call(stream).await {
                            tracing::debug!(event = "connection_ended", %error);
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %address, %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}
