//! `POST /v1/chat/completions` and `POST /v1/completions`.

use crate::online::{admit_call, read_body};
use crate::response;
use crate::state::GatewayState;
use actix_web::{HttpRequest, HttpResponse, web};
use plantainmill_config::ServiceKind;
use plantainmill_core::{Problem, ResultCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prompt prefix that is hashed for prefix affinity. Engines cache the instructions that prompts share at
/// their start.
const PREFIX_BYTES: usize = 512;

/// The fields of a completion request that the gateway reads. The body is forwarded unchanged.
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
    /// Hash of the first [`PREFIX_BYTES`] of the encoded messages or prompt; `None` without either.
    fn prefix_hash(&self) -> Option<u64> {
        let prompt = self.messages.or(self.prompt)?.get().as_bytes();
        let prefix = prompt.get(..PREFIX_BYTES).unwrap_or(prompt);
        Some(xxh3_64(prefix))
    }
}

/// Handles a completion request. The response is buffered, or streamed if the caller asks for it.
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
        let streaming = state.caller.stream(target_request).await?;
        let view = state.parts.view.clone();
        return response::streaming(streaming, call.key_owner, view, call.in_flight);
    }
    let buffered = state.caller.call(target_request).await?;
    response::buffered(buffered)
}

fn parse_fields(body: &[u8]) -> Result<CompletionFields<'_>, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| Problem::new(ResultCode::BadRequest, error.to_string()).with_field("body"))
}
