//! HTTP interface for callers: OpenAI-compatible routes, plain services and health checks.

pub mod batches;
pub mod drain;
pub mod health;
pub mod identity;
pub mod models;
pub mod online;
pub mod response;
pub mod state;

mod completions;
mod services;

pub use drain::DrainState;
pub use state::{CallerFactory, GatewayParts, GatewayState};

use actix_web::web;

/// Adds the caller routes to an application. Its data must hold a [`GatewayState`].
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health::healthz))
        .route("/readyz", web::get().to(health::readyz))
        .route("/v1/models", web::get().to(models::list))
        .route("/v1/chat/completions", web::post().to(completions::call))
        .route("/v1/completions", web::post().to(completions::call))
        .route(
            "/services/{service}/{path:.*}",
            web::route().to(services::call),
        );
}
