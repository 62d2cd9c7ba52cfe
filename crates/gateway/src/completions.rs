//! `POST /v1/chat/completions` and `POST /v1/completions`.

use crate::answer;
use crate::online::{admit_call, read_body};
use crate::state::GatewayState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::ServiceKind;
use plantainmill_core::{Problem, ResultCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the prompt's start that decide about prefix affinity. Shared instructions at the start of a
/// prompt are what engines cache.
const PREFIX_BYTES: usize = 512;

/// The fields of a completion request that the system reads; the rest is passed on as it came.
#[derive(Deserialize)]
struct CompletionFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl CompletionFields<'_> {
    /// Hash of the start of the prompt.
    fn prefix_hash(&self) -> Option<u64> {
        let prompt = self.messages.or(self.prompt)?.get().as_bytes();
        let start = prompt.get(..PREFIX_BYTES).unwrap_or(prompt);
        Some(xxh3_64(start))
    }
}

/// Answers a completion, whole or as a stream.
pub(crate) async fn call(
    request: HttpRequest,
    payload: web::Payload,
    state: web::Data<GatewayState>,
) -> Result<HttpResponse, Problem> {
    let body = read_body(payload, state.parts.body_limit_bytes).await?;
    let fields = parse_fields(&body)?;
    let call = admit_call(&request, &state, &fields.model).await?;
    if call.service.kind != ServiceKind::Model {
        let reason = format!("{:?} is not a model", fields.model);
        return Err(Problem::new(ResultCode::UnknownService, reason).with_field("model"));
    }
    let path = request.path().to_owned();
    let mut target_request = call.target_request(&fields.model, &request, path, body.clone());
    target_request.prefix_hash = fields.prefix_hash();
    if fields.stream {
        let streamed = state.caller.stream(target_request).await?;
        let view = state.parts.view.clone();
        return Ok(answer::streamed(streamed, call.identity, view, call.flight));
    }
    let whole = state.caller.call(target_request).await?;
    Ok(answer::whole(whole))
}

fn parse_fields(body: &[u8]) -> Result<CompletionFields<'_>, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::new(ResultCode::BadRequest, error.to_string()).with_field("body"))
}
