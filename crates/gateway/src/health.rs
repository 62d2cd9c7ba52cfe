//! Health checks for the platform's balancer.

use crate::state::GatewayState;
use actix_web::{HttpResponse, web};
use serde_json::json;

/// Liveness: 200 while the process serves requests.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().json(json!({"status": "ok"}))
}

/// Readiness: 200 when the VM may be sent requests, 503 while it starts or stops.
pub async fn readyz(state: web::Data<GatewayState>) -> HttpResponse {
    if state.parts.drain.is_ready() {
        HttpResponse::Ok().json(json!({"status": "ready"}))
    } else {
        HttpResponse::ServiceUnavailable().json(json!({"status": "not ready"}))
    }
}
