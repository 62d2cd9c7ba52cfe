//! HTTP client of the engines' control interface.

use super::client::{ClientSettings, get_json, post_json};
use crate::{EngineOrder, LoadReport, PlatformFuture, TargetEngine};
use futures_util::FutureExt as _;
use plantainmill_schema::platform as wire;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time of a call to an engine's control interface.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response from an engine's control interface.
const CONTROL_RESPONSE_LIMIT_BYTES: usize = 64 * 1024;

/// HTTP client of the engines' control interface; one serves all engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngine;

const SETTINGS: ClientSettings = ClientSettings {
    timeout: CONTROL_TIMEOUT,
    response_limit_bytes: CONTROL_RESPONSE_LIMIT_BYTES,
};

impl TargetEngine for HttpEngine {
    fn load_report(&self, address: SocketAddr) -> PlatformFuture<'_, LoadReport> {
        let url = format!("http://{address}/control/load");
        async move {
            let body: wire::LoadBody = get_json(&url, SETTINGS).await?;
            Ok(LoadReport {
                running: body.running,
                waiting: body.waiting,
                capacity: body.capacity,
                models: body.models.into_iter().map(Into::into).collect(),
                leaving: body.leaving,
            })
        }
        .boxed_local()
    }

    fn order(&self, address: SocketAddr, order: EngineOrder) -> PlatformFuture<'_, bool> {
        let url = format!("http://{address}/control/order");
        let kind = if order.load {
            wire::OrderKind::Load
        } else {
            wire::OrderKind::Unload
        };
        let body = wire::OrderBody {
            kind,
            model: order.model.into(),
            fencing: order.fencing,
        };
        async move {
            let response: wire::OrderAnswer = post_json(&url, &body, SETTINGS).await?;
            Ok(response.accepted)
        }
        .boxed_local()
    }
}
