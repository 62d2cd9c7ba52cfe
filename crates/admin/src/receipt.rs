//! Sends changes to the configuration service and words its answer.

use crate::state::AdminState;
use actix_web::HttpResponse;
use actix_web::http::header::ETAG;
use plantainmill_config::{ChangeReceipt, ProposeChange};
use plantainmill_core::{Problem, ResultCode};
use serde_json::{Map, Value, json};

/// Proposes a change and waits until it is durable.
pub(crate) async fn propose(
    state: &AdminState,
    change: ProposeChange,
) -> Result<ChangeReceipt, Problem> {
    let answered = state.config.send(change).await;
    answered.map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))?
}

/// The answer to an accepted change: its version, who confirmed it, and `extra` fields.
pub(crate) fn answer(receipt: &ChangeReceipt, extra: Value) -> HttpResponse {
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

/// An answer to a read, tagged with the version it was read at.
pub(crate) fn tagged(version: u64, body: &Value) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((ETAG, format!("\"{version}\"")))
        .json(body)
}
