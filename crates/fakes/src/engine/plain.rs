//! A plain service: any path echoes the method, the path and the number of the execution.

use super::answer::{delay_answer, start_run, whole_answer};
use super::state::EngineState;
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};

pub(super) fn configure(config: &mut ServiceConfig) {
    config.default_service(web::to(echo_request));
}

async fn echo_request(
    state: Data<EngineState>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let state = state.into_inner();
    let started = match start_run(&state, &request) {
        Ok(started) => started,
        Err(answer) => return *answer,
    };
    let Ok(Ok(body)) = payload.to_bytes_limited(super::BODY_LIMIT_BYTES).await else {
        return HttpResponse::BadRequest().body("the body could not be read");
    };
    let started = match delay_answer(&state, started).await {
        Ok(started) => started,
        Err(answer) => return *answer,
    };
    let text = serde_json::json!({
        "id": started.id,
        "execution": started.guard.execution,
        "method": request.method().as_str(),
        "path": request.uri().to_string(),
        "bytes": body.len(),
    });
    whole_answer(started, text.to_string())
}
