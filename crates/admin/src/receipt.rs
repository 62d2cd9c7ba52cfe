//! Proposes changes to the configuration service and builds responses.

use crate::state::AdminState;
use actix_web::HttpResponse;
use actix_web::http::header::ETAG;
use plantainmill_config::{ChangeReceipt, ProposeChange};
use plantainmill_core::{Problem, ResultCode};
use serde_json::{Map, Value, json};

/// Proposes a change and waits until it is durable or refused.
pub(crate) async fn propose(
    state: &AdminState,
    change: ProposeChange,
) -> Result<ChangeReceipt, Problem> {
    let result = state.config.send(change).await;
    result.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))?
}

/// Response to an accepted change: its version, the VMs that have confirmed it and those that have not, and the fields
/// of `extra`.
pub(crate) fn receipt_response(receipt: &ChangeReceipt, extra: Value) -> HttpResponse {
    let mut body = Map::new();
    body.insert("version".to_owned(), json!(receipt.version));
    body.insert("confirmed".to_owned(), json!(receipt.confirmed));
    body.insert("unconfirmed".to_owned(), json!(receipt.unconfirmed));
    if let Value::Object(fields) = extra {
        body.extend(fields);
    }
    HttpResponse::Ok()
        .insert_header((ETAG, format!("\"{}\"", receipt.version)))
        .json(Value::Object(body))
}

/// Response to a read, with the configuration version as its `ETag`.
pub(crate) fn versioned_response(version: u64, body: &Value) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((ETAG, format!("\"{version}\"")))
        .json(body)
}
