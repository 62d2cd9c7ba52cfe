//! Control routes of an engine: load, orders, faults, counts and recorded requests.

use super::fault::EngineFault;
use super::state::EngineState;
use actix_web::HttpResponse;
use actix_web::web::{self, Data, Json, ServiceConfig};
use plantainmill_provider::EngineOrder;
use plantainmill_schema::platform as wire;

pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().content_type_required(false))
        .route("/control/load", web::get().to(read_load))
        .route("/control/order", web::post().to(take_order))
        .route("/faults", web::post().to(set_fault))
        .route("/counts", web::get().to(read_counts))
        .route("/recorded", web::get().to(read_recorded));
}

async fn read_load(state: Data<EngineState>) -> HttpResponse {
    let report = state.load_report();
    HttpResponse::Ok().json(wire::LoadBody {
        running: report.running,
        waiting: report.waiting,
        capacity: report.capacity,
        models: report.models.into_iter().map(Into::into).collect(),
        leaving: report.leaving,
    })
}

async fn take_order(state: Data<EngineState>, body: Json<wire::OrderBody>) -> HttpResponse {
    let body = body.into_inner();
    let accepted = state.take_order(EngineOrder {
        load: body.kind == wire::OrderKind::Load,
        model: body.model.into(),
        fencing: body.fencing,
    });
    let reason = (!accepted).then(|| "the fencing number is old".to_owned());
    HttpResponse::Ok().json(wire::OrderAnswer { accepted, reason })
}

async fn set_fault(state: Data<EngineState>, body: Json<EngineFault>) -> HttpResponse {
    state.set_fault(body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn read_counts(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.counts())
}

async fn read_recorded(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.recorded())
}
