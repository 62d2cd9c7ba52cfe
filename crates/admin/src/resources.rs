//! Services, targets, organisations, exceptions and defaults: list, read, write, delete.

use crate::operator::{authenticate, expected_version};
use crate::receipt::{propose, receipt_response, versioned_response};
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use plantainmill_config::{ConfigEdit, FleetConfig, ProposeChange, ResourceKind, edit_from_body};
use plantainmill_core::{Problem, ResultCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// Body of a `DELETE` request.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DeleteBody {
    pub(crate) reason: Option<String>,
}

pub(crate) async fn list(
    request: HttpRequest,
    path_params: web::Path<String>,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let section = path_params.into_inner();
    let kind = section_kind(&section)?;
    let config = state.view.load();
    let entries = section_entries(&config, kind)?;
    Ok(versioned_response(
        config.version,
        &json!({ section: entries }),
    ))
}

pub(crate) async fn get(
    request: HttpRequest,
    path_params: web::Path<(String, String)>,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let (section, id) = path_params.into_inner();
    let config = state.view.load();
    let entries = section_entries(&config, section_kind(&section)?)?;
    let entry = entries
        .get(&id)
        .ok_or_else(|| unknown_resource(&section, &id))?;
    Ok(versioned_response(config.version, entry))
}

pub(crate) async fn put(
    request: HttpRequest,
    path_params: web::Path<(String, String)>,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let (section, id) = path_params.into_inner();
    let kind = section_kind(&section)?;
    let mut body: Value = parse_body(&payload)?;
    // The reason stays in the body of an exception, because it is stored with the exception.
    let reason = match kind {
        ResourceKind::Exception => body["reason"].as_str().map(str::to_owned),
        _ => take_reason(&mut body),
    };
    let edit = edit_from_body(kind, &id, body)?;
    propose_edit(&request, &state, author, edit, reason).await
}

pub(crate) async fn delete(
    request: HttpRequest,
    path_params: web::Path<(String, String)>,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let (section, id) = path_params.into_inner();
    let kind = section_kind(&section)?;
    if !section_entries(&state.view.load(), kind)?.contains_key(&id) {
        return Err(unknown_resource(&section, &id));
    }
    let body: DeleteBody = parse_body(&payload)?;
    let edit = ConfigEdit::Delete {
        kind,
        id: id.into(),
    };
    propose_edit(&request, &state, author, edit, body.reason).await
}

pub(crate) async fn get_defaults(
    request: HttpRequest,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let config = state.view.load();
    Ok(versioned_response(
        config.version,
        &json!(config.defaults.as_ref()),
    ))
}

pub(crate) async fn put_defaults(
    request: HttpRequest,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let mut body: Value = parse_body(&payload)?;
    let reason = take_reason(&mut body);
    let edit = plantainmill_config::defaults_from_body(body)?;
    propose_edit(&request, &state, author, edit, reason).await
}

async fn propose_edit(
    request: &HttpRequest,
    state: &AdminState,
    author: CompactString,
    edit: ConfigEdit,
    reason: Option<String>,
) -> Result<HttpResponse, Problem> {
    let change = ProposeChange {
        edits: vec![edit],
        author,
        reason: read_reason(reason)?,
        expected_version: expected_version(request)?,
        dry_run: false,
    };
    let receipt = propose(state, change).await?;
    Ok(receipt_response(&receipt, Value::Null))
}

/// Decodes a JSON body. An empty body is decoded as an empty object.
pub(crate) fn parse_body<T: DeserializeOwned>(payload: &[u8]) -> Result<T, Problem> {
    let content = if payload.is_empty() { b"{}" } else { payload };
    serde_json::from_slice(content)
        .map_err(|error| Problem::new(ResultCode::BadRequest, error.to_string()).with_field("body"))
}

/// The reason of a change. Fails when it is missing or blank.
pub(crate) fn read_reason(reason: Option<String>) -> Result<String, Problem> {
    reason
        .filter(|text| !text.trim().is_empty())
        .ok_or_else(|| {
            Problem::new(ResultCode::ReasonMissing, "a change needs a reason").with_field("reason")
        })
}

fn take_reason(body: &mut Value) -> Option<String> {
    let removed = body.as_object_mut()?.remove("reason")?;
    removed.as_str().map(str::to_owned)
}

fn section_kind(section: &str) -> Result<ResourceKind, Problem> {
    match section {
        "exceptions" => Ok(ResourceKind::Exception),
        "organisations" => Ok(ResourceKind::Organisation),
        "services" => Ok(ResourceKind::Service),
        "targets" => Ok(ResourceKind::Target),
        _ => {
            let reason = format!("there is no section {section:?}");
            Err(Problem::new(ResultCode::UnknownResource, reason))
        }
    }
}

fn section_entries(
    config: &FleetConfig,
    kind: ResourceKind,
) -> Result<Map<String, Value>, Problem> {
    let encoded = match kind {
        ResourceKind::Exception => serde_json::to_value(config.exceptions.as_ref()),
        ResourceKind::Key => serde_json::to_value(config.keys.as_ref()),
        ResourceKind::Organisation => serde_json::to_value(config.organisations.as_ref()),
        ResourceKind::Service => serde_json::to_value(config.services.as_ref()),
        ResourceKind::Target => serde_json::to_value(config.targets.as_ref()),
    };
    match encoded {
        Ok(Value::Object(entries)) => Ok(entries),
        Ok(_) => Ok(Map::new()),
        Err(error) => Err(Problem::new(ResultCode::Internal, error.to_string())),
    }
}

fn unknown_resource(section: &str, id: &str) -> Problem {
    let reason = format!("{section} has no {id:?}");
    Problem::new(ResultCode::UnknownResource, reason)
}
