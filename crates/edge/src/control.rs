//! The control listener: documents for other VMs; state and metrics for operators.

use crate::state::EdgeState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_admission::RateLimiter as _;
use plantainmill_core::encode_cbor;
use plantainmill_dispatch::Dispatcher as _;
use serde::Serialize;
use std::rc::Rc;

/// Path of the document in force.
pub(crate) const DOCUMENT_PATH: &str = "/document";
/// Path of the targets.
pub(crate) const TARGETS_PATH: &str = "/targets";
/// Path of calls of the rows for a peer that the store rejects.
pub(crate) const ROWS_PATH: &str = "/rows";
/// Path of the state dump.
const STATE_PATH: &str = "/state";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Largest call of the rows, in bytes: the store takes changes of 1 MB.
pub(crate) const CALL_LIMIT_BYTES: usize = 4 << 20;

/// Answers other VMs and operators.
pub(crate) async fn handle(
    request: HttpRequest,
    body: web::Bytes,
    state: web::Data<Rc<EdgeState>>,
) -> HttpResponse {
    match request.path() {
        ROWS_PATH => match ciborium::from_reader(body.as_ref()) {
            Ok(call) => encoded(&state.rows.serve_peer(call).await),
            Err(_) => HttpResponse::BadRequest().finish(),
        },
        DOCUMENT_PATH => document(&state),
        TARGETS_PATH => targets(&state),
        STATE_PATH => HttpResponse::Ok().json(dump(&state).await),
        METRICS_PATH => metrics(state).await,
        _ => HttpResponse::NotFound().finish(),
    }
}

/// All metrics as Prometheus text.
pub(crate) async fn metrics(state: web::Data<Rc<EdgeState>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(state.meters.text())
}

fn document(state: &EdgeState) -> HttpResponse {
    let (Some(document), Some(age)) = (state.view.load(), state.document_age()) else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    encoded(&(document.as_ref(), age))
}

fn targets(state: &EdgeState) -> HttpResponse {
    let Some(age) = state.targets_age() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    encoded(&(state.targets.borrow().entries(), age))
}

fn encoded(value: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok().body(encode_cbor(value))
}

async fn dump(state: &EdgeState) -> serde_json::Value {
    serde_json::json!({
        "vm": state.settings.vm.id,
        "incarnation": state.incarnation,
        "ready": state.is_ready(),
        "leaving": state.leaving.get(),
        "in_flight": state.flights.in_flight(),
        "document_version": state.view.version(),
        "document_age_ms": state.document_age().map(|age| age.as_millis()),
        "dispatch": state.dispatcher.dump().await,
        "usage": state.limiter.dump().await,
        "jobs_running": state.jobs.running(),
    })
}

/// Answers the balancer.
pub(crate) async fn readiness(state: web::Data<Rc<EdgeState>>) -> HttpResponse {
    if state.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
