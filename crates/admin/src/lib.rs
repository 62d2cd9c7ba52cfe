//! HTTP interface for operators: the routes under `/admin/v1`, and `/metrics`.

pub mod metrics;
pub mod state;

mod apply;
mod fleet;
mod history;
mod keys;
mod operator;
mod receipt;
mod resources;

pub use metrics::NodeMetrics;
pub use state::{AdminState, StateDump};

use actix_web::web;

/// `OpenAPI` document of this interface, as served at `/admin/v1/openapi.json`.
pub const OPENAPI_DOCUMENT: &str = include_str!("../openapi.json");

/// Adds the operator routes to an application. Its data must hold an [`AdminState`].
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/metrics", web::get().to(fleet::metrics))
        .service(web::scope("/admin/v1").configure(configure_scope));
}

fn configure_scope(config: &mut web::ServiceConfig) {
    config
        .route("/openapi.json", web::get().to(fleet::openapi))
        .route("/state", web::get().to(fleet::dump))
        .route("/vms", web::get().to(fleet::vms))
        .route("/drain", web::post().to(fleet::drain))
        .route("/batches", web::get().to(fleet::batches))
        .route("/config", web::get().to(fleet::config))
        .route("/apply", web::post().to(apply::apply))
        .route("/history", web::get().to(history::list))
        .route("/rollback", web::post().to(history::rollback))
        .route("/defaults", web::get().to(resources::get_defaults))
        .route("/defaults", web::put().to(resources::put_defaults))
        .route("/organisations/{id}/keys", web::get().to(keys::list))
        .route("/organisations/{id}/keys", web::post().to(keys::issue))
        .route(
            "/organisations/{id}/keys/{key}",
            web::delete().to(keys::withdraw),
        )
        .route("/{section}", web::get().to(resources::list))
        .route("/{section}/{id}", web::get().to(resources::get))
        .route("/{section}/{id}", web::put().to(resources::put))
        .route("/{section}/{id}", web::delete().to(resources::delete));
}
