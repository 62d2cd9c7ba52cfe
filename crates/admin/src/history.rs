//! History of the configuration, and rollback to an earlier version.

use crate::operator::{authenticate, expected_version};
use crate::receipt::receipt_response;
use crate::resources::{parse_body, read_reason};
use crate::state::AdminState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::{ListHistory, RollbackTo};
use plantainmill_core::{Problem, ResultCode};
use serde::Deserialize;
use serde_json::json;

/// Number of changes that are returned when the request has no `limit`.
const DEFAULT_HISTORY_LIMIT: u32 = 50;

#[derive(Deserialize)]
pub(crate) struct HistoryQuery {
    limit: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackBody {
    version: u64,
    reason: Option<String>,
    #[serde(default)]
    dry_run: bool,
}

pub(crate) async fn list(
    request: HttpRequest,
    query: web::Query<HistoryQuery>,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    authenticate(&request, &state)?;
    let limit = query.limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let changes = state.config.send(ListHistory { limit }).await;
    let changes =
        changes.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))??;
    Ok(HttpResponse::Ok().json(json!({ "changes": changes })))
}

pub(crate) async fn rollback(
    request: HttpRequest,
    payload: web::Bytes,
    state: web::Data<AdminState>,
) -> Result<HttpResponse, Problem> {
    let author = authenticate(&request, &state)?;
    let body: RollbackBody = parse_body(&payload)?;
    let message = RollbackTo {
        version: body.version,
        author,
        reason: read_reason(body.reason)?,
        expected_version: expected_version(&request)?,
        dry_run: body.dry_run,
    };
    let result = state.config.send(message).await;
    let receipt =
        result.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))??;
    Ok(receipt_response(&receipt, json!({"diff": receipt.diff})))
}
