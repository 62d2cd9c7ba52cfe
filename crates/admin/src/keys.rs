//! Keys of organisations: issue, list, withdraw.

use crate::operator::{authenticate, expected_version};
use crate::receipt::{propose, receipt_response, versioned_response};
use crate::resources::{DeleteBody, parse_body, read_reason};
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::{ConfigEdit, KeySpec, ProposeChange, ResourceKind};
use plantainmill_core::secret::{hash_secret, new_id, new_secret};
use plantainmill_core::{Problem, ResultCode};
use plantainmill_schema::admin::KeyCreate;
use serde_json::{Value, json};

/// Prefix of the secret of every key, so that tools can search for leaked keys.
const SECRET_PREFIX: &str = "pm-";
const KEY_ID_PREFIX: &str = "key-";

pub(crate) async fn list(
    request: HttpRequest,
    path_params: web::Path<String>,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let organisation = path_params.into_inner();
    let config = state.view.load();
    let keys = config
        .keys
        .iter()
        .filter(|(_, key)| key.organisation == organisation);
    let entries: Vec<Value> = keys
        .map(|(id, key)| json!({"id": id, "label": key.label, "expires_at": key.expires_at}))
        .collect();
    Ok(versioned_response(
        config.version,
        &json!({ "keys": entries }),
    ))
}

/// Issues a key. The response is the only place where its secret appears; only the hash is stored.
pub(crate) async fn issue(
    request: HttpRequest,
    path_params: web::Path<String>,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let body: KeyCreate = parse_body(&payload)?;
    let id = new_id(KEY_ID_PREFIX);
    let secret = new_secret(SECRET_PREFIX);
    let spec = KeySpec {
        organisation: path_params.into_inner().into(),
        hash: hash_secret(&secret),
        label: body.label.into(),
        expires_at: body.expires_at,
    };
    let change = ProposeChange {
        edits: vec![ConfigEdit::PutKey {
            id: id.clone(),
            spec,
        }],
        author,
        reason: read_reason(Some(body.reason))?,
        // A new key cannot overwrite a concurrent change, so it needs no condition on the version.
        expected_version: None,
        dry_run: false,
    };
    let receipt = propose(&state, change).await?;
    Ok(receipt_response(
        &receipt,
        json!({"id": id, "secret": secret}),
    ))
}

pub(crate) async fn withdraw(
    request: HttpRequest,
    path_params: web::Path<(String, String)>,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let expected_version = expected_version(&request)?;
    let (organisation, key) = path_params.into_inner();
    let config = state.view.load();
    let belongs = config
        .keys
        .get(key.as_str())
        .is_some_and(|spec| spec.organisation == organisation);
    if !belongs {
        let reason = format!("{organisation} has no key {key}");
        return Err(Problem::new(ResultCode::UnknownResource, reason));
    }
    let body: DeleteBody = parse_body(&payload)?;
    let change = ProposeChange {
        edits: vec![ConfigEdit::Delete {
            kind: ResourceKind::Key,
            id: key.into(),
        }],
        author,
        reason: read_reason(body.reason)?,
        expected_version,
        dry_run: false,
    };
    let receipt = propose(&state, change).await?;
    Ok(receipt_response(&receipt, Value::Null))
}
