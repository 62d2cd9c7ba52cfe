//! `ANY /services/{service}/{path}`: plain services.

use crate::online::{admit_call, read_body};
use crate::response;
use crate::state::GatewayState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::ServiceKind;
use plantainmill_core::{Problem, ResultCode};

/// Handles a call of a plain service.
pub(crate) async fn call(
    request: HttpRequest,
    path_params: web::Path<(String, String)>,
    payload: web::Payload,
    state: web::Data<GatewayState>,
) -> Result<HttpResponse, Problem> {
    let (name, path) = path_params.into_inner();
    let body = read_body(payload, state.parts.body_limit_bytes).await?;
    let call = admit_call(&request, &state, &name).await?;
    if call.service.kind != ServiceKind::Plain {
        let reason = format!("{name:?} is not a plain service");
        return Err(Problem::new(ResultCode::UnknownService, reason).with_field("service"));
    }
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let target_request = call.target_request(&name, &request, path, body);
    let buffered = state.caller.call(target_request).await?;
    response::buffered(buffered)
}
