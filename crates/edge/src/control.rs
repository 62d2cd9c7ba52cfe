//! Control listener: document, targets and store access for other VMs; state and metrics for operators.

use crate::forwarding;
use crate::state::EdgeState;
use crate::target_list::TargetListAnswer;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_core::{RegionSet, encode_cbor};
use plantainmill_dispatch::Dispatcher as _;
use plantainmill_proxy::relay::{FORWARD_HEADER, MAX_FORWARD_BYTES};
use serde::Serialize;
use std::rc::Rc;

/// Path of the document in force.
pub(crate) const DOCUMENT_PATH: &str = "/document";
/// Path of the whole list of targets, for VMs of older releases.
pub(crate) const TARGETS_PATH: &str = "/targets";
/// Path of the changes of the targets since a list that the query names, or the whole list.
pub(crate) const TARGET_CHANGES_PATH: &str = "/targets/changes";
/// Query parameter of [`TARGET_CHANGES_PATH`]: fingerprint of the list that the caller has.
pub(crate) const BASE_PARAMETER: &str = "base";
/// Path of store calls on behalf of a peer that cannot reach the store.
pub(crate) const ROWS_PATH: &str = "/rows";
/// Path of the state dump, in JSON.
const STATE_PATH: &str = "/state";
/// Path of the metrics, as Prometheus text.
const METRICS_PATH: &str = "/metrics";
/// Largest request body in bytes. A forwarded store call fits: the store accepts changes of up to 1 MB.
pub(crate) const REQUEST_LIMIT_BYTES: usize = MAX_FORWARD_BYTES;

/// Handles a request of another VM or an operator.
pub(crate) async fn handle(
    request: HttpRequest,
    body: web::Bytes,
    state: web::Data<Rc<EdgeState>>,
) -> HttpResponse {
    let target = request.headers().get(FORWARD_HEADER);
    if let Some(target) = target.and_then(|target| target.to_str().ok()) {
        return forwarding::forward(&state, &request, target.into(), body).await;
    }
    match request.path() {
        ROWS_PATH => match ciborium::from_reader(body.as_ref()) {
            Ok(call) => cbor_response(&state.rows.serve_peer(call).await),
            Err(_) => HttpResponse::BadRequest().finish(),
        },
        DOCUMENT_PATH => document(&state),
        TARGETS_PATH => targets(&state),
        TARGET_CHANGES_PATH => target_changes(&state, request.query_string()),
        STATE_PATH => HttpResponse::Ok().json(dump(&state).await),
        METRICS_PATH => metrics(state).await,
        _ => HttpResponse::NotFound().finish(),
    }
}

/// Returns all metrics as Prometheus text.
pub(crate) async fn metrics(state: web::Data<Rc<EdgeState>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(state.metrics.text())
}

fn document(state: &EdgeState) -> HttpResponse {
    let (Some(document), Some(age)) = (state.view.load(), state.document_age()) else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    cbor_response(&(document.as_ref(), age))
}

fn targets(state: &EdgeState) -> HttpResponse {
    let Some(age) = state.targets_age() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let content = encode_cbor(&(state.targets.borrow().entries(), age));
    state.metrics.count_target_list("former", content.len());
    HttpResponse::Ok().body(content)
}

fn target_changes(state: &EdgeState, query: &str) -> HttpResponse {
    let Some(age) = state.targets_age() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let base = query.split_once('=');
    let base = base.filter(|(name, _)| *name == BASE_PARAMETER);
    let base = base.and_then(|(_, base)| base.parse().ok());
    let (targets, history) = (state.targets.borrow(), state.target_history.borrow());
    let answer = TargetListAnswer::new(&targets, &history, base, age);
    let kind = if answer.is_whole() {
        "whole"
    } else {
        "changes"
    };
    let content = encode_cbor(&answer);
    state.metrics.count_target_list(kind, content.len());
    HttpResponse::Ok().body(content)
}

fn cbor_response(value: &impl Serialize) -> HttpResponse {
    HttpResponse::Ok().body(encode_cbor(value))
}

async fn dump(state: &EdgeState) -> serde_json::Value {
    serde_json::json!({
        "vm": state.settings.vm.id,
        "incarnation": state.incarnation,
        "ready": state.is_ready(),
        "leaving": state.is_stopping.get(),
        "in_flight": state.requests_in_flight.in_flight(),
        "document_version": state.view.version(),
        "document_age_ms": state.document_age().map(|age| age.as_millis()),
        "evacuated_domains": state.view.evacuated_domains(),
        "dispatch": state.dispatcher.dump().await,
        "quarantine": state.quarantine.dump(),
        "versions": state.streams.dump(),
        "limits": state.limits.dump(),
        "paths": {
            "is_isolated": state.paths.is_isolated(),
            "is_unreachable": state.paths.is_unreachable(&RegionSet::Everywhere),
            "lost": state.paths.lost_count(),
        },
        "pools": state.limiter.dump(),
        "usage": state.usage.report(),
        "jobs_running": state.jobs.running(),
    })
}

/// Answers the balancer's readiness probe: 200 if ready, otherwise 503.
pub(crate) async fn readiness(state: web::Data<Rc<EdgeState>>) -> HttpResponse {
    if state.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
