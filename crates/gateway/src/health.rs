//! Health of the VM, for the platform's balancer.

use crate::state::GatewayState;
use actix_web::{HttpResponse, web};
use serde_json::json;

/// The process is alive.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().json(json!({"status": "ok"}))
}

/// The VM may be sent requests; 503 while it starts or stops.
pub async fn readyz(state: web::Data<GatewayState>) -> HttpResponse {
    if state.parts.drain.is_ready() {
        HttpResponse::Ok().json(json!({"status": "ready"}))
    } else {
        HttpResponse::ServiceUnavailable().json(json!({"status": "not ready"}))
    }
}
