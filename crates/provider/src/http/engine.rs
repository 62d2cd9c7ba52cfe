//! Control interface of the engines over HTTP.

use super::client::{ClientSettings, get_json, post_json};
use crate::{EngineOrder, LoadReport, PlatformFuture, TargetEngine};
use futures_util::FutureExt as _;
use plantainmill_schema::platform as wire;
use std::net::SocketAddr;
use std::time::Duration;

/// Time until the answer of an engine's control interface.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer of an engine's control interface.
const CONTROL_ANSWER_BYTES: usize = 64 * 1024;

/// Client of the engines' control interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngine;

const SETTINGS: ClientSettings = ClientSettings {
    timeout: CONTROL_TIMEOUT,
    answer_limit_bytes: CONTROL_ANSWER_BYTES,
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
            let answer: wire::OrderAnswer = post_json(&url, &body, SETTINGS).await?;
            Ok(answer.accepted)
        }
        .boxed_local()
    }
}
