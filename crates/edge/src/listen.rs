//! HTTP listeners on the VM's one thread.

use crate::control::CALL_LIMIT_BYTES;
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

/// Time that a connection of a caller may stay idle. Callers close first: they keep to the document's limit.
const IDLE_TIME: Duration = Duration::from_mins(2);
/// Time for the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How the listeners learn of a planned stop.
#[derive(Clone)]
pub(crate) struct StopSignals {
    /// Connections close as soon as they have no request.
    pub drain: watch::Receiver<bool>,
    /// No more connections are accepted.
    pub close: watch::Receiver<bool>,
}

/// Answers requests on `address` with `handler` until the VM stops.
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
        .app_data(web::PayloadConfig::new(CALL_LIMIT_BYTES))
        .default_service(web::to(handler));
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    let app = app.into_factory().map_err(|error| error.error_response());
    let StopSignals { drain, mut close } = stop;
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIME))
        .client_request_timeout(HEAD_TIME)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        // A caller with an idle connection uses another VM then, instead of one that ends under its next request.
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
                        // A connection that ends with an error concerns nobody else.
                        if let Err(error) = service.call(stream).await {
                            tracing::debug!(event = "connection_ended", %error);
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %address, %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}
