//! `GET /v1/models`: the list of model services.

use crate::identity::identify;
use crate::state::GatewayState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::ServiceKind;
use plantainmill_core::Problem;
use plantainmill_schema::openai::{ModelList, ModelObject};

/// Lists the services of kind [`ServiceKind::Model`] in the current configuration.
///
/// # Errors
///
/// Refuses callers without a valid key.
pub async fn list(
    request: HttpRequest,
    state: web::Data<GatewayState>,
) -> Result<HttpResponse, Problem> {
    identify(&request, &state.parts)?;
    let config = state.parts.view.load();
    let models = config
        .services
        .iter()
        .filter(|(_, service)| service.kind == ServiceKind::Model);
    let data = models.map(|(name, _)| ModelObject {
        id: name.to_string(),
        object: "model".to_owned(),
        created: None,
        owned_by: "plantainmill".to_owned(),
    });
    Ok(HttpResponse::Ok().json(ModelList {
        object: "list".to_owned(),
        data: data.collect(),
    }))
}
