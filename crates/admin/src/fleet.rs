//! Routes for the VM and the fleet: state dump, members, drain, batch jobs, metrics and the complete configuration.

use crate::operator::authenticate;
use crate::receipt::versioned_response;
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_core::{Problem, ResultCode};
use serde_json::{Value, json};

pub(crate) async fn metrics(state: web::Data<AdminState>) -> Result<HttpResponse, Problem> {
    let text = state
        .metrics
        .render()
        .map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))?;
    Ok(HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(text))
}

pub(crate) async fn openapi() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(crate::OPENAPI_DOCUMENT)
}

pub(crate) async fn dump(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let mut body = state.dump.dump().await;
    body["counters"] = state.metrics.snapshot();
    Ok(HttpResponse::Ok().json(body))
}

pub(crate) async fn vms(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let members = state.members.load();
    let body = json!({"vm": state.vm, "members": members.as_ref()});
    Ok(HttpResponse::Ok().json(body))
}

pub(crate) async fn drain(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let operator = authenticate(&request, &state)?;
    tracing::info!(%operator, "operator requested a graceful stop");
    state.stop.notify_one();
    Ok(HttpResponse::Accepted().json(json!({"vm": state.vm, "stopping": true})))
}

pub(crate) async fn batches(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let jobs = state.dump.batches().await?;
    Ok(HttpResponse::Ok().json(jobs))
}

pub(crate) async fn config(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let config = state.view.load();
    let mut body = serde_json::to_value(config.as_ref())
        .map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))?;
    remove_key_hashes(&mut body);
    Ok(versioned_response(config.version, &body))
}

/// Removes the hashes of keys, which operators do not need.
fn remove_key_hashes(body: &mut Value) {
    let Some(keys) = body["keys"].as_object_mut() else {
        return;
    };
    for key in keys.values_mut() {
        if let Some(fields) = key.as_object_mut() {
            fields.remove("hash");
        }
    }
}
