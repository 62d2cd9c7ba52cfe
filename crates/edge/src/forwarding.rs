//! Requests of VMs that have lost their paths to the targets, which this VM forwards.

use crate::response::hop_by_hop_headers;
use crate::state::EdgeState;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderName};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use futures_util::StreamExt as _;
use plantainmill_core::TargetId;
use plantainmill_proxy::relay::{FORWARD_HEADER, ForwardRequest, ForwardVerdict, REPEAT_HEADER};

/// Sends the request of another VM to `target` and passes on the response.
pub(crate) async fn forward(
    state: &EdgeState,
    request: &HttpRequest,
    target: TargetId,
    body: Bytes,
) -> HttpResponse {
    let guard = state.requests_in_flight.enter();
    let path = request.uri().path_and_query();
    let forwarded = ForwardRequest {
        target,
        method: request.method().clone(),
        path: path.map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: end_to_end_headers(request.headers()),
        body,
    };
    let target = forwarded.target.clone();
    let result = match state.dispatcher.usable_since(&target) {
        _ if state.is_stopping.get() => Err(ForwardVerdict::Declined),
        // An evacuated target may be used again later, so this VM does not state that it leaves.
        None if state.targets.borrow().is_evacuated(&target) => Err(ForwardVerdict::Declined),
        None if state.paths.address_of(&target).is_some() => Err(ForwardVerdict::Leaving),
        None => Err(ForwardVerdict::Declined),
        Some(born) => {
            let result = state.relay_caller.forward(forwarded).await;
            let name = &state.codec.names().target_leaving;
            if let Ok(answer) = &result
                && answer.speaks_for_target()
                && answer.headers.contains_key(name)
            {
                state.dispatcher.record_leaving(&target, born);
            }
            result
        }
    };
    let verdict = match &result {
        Ok(answer) => answer.verdict,
        Err(verdict) => *verdict,
    };
    state.metrics.count_forwarded(verdict.name());
    let Ok(answer) = result else {
        let mut builder = HttpResponse::ServiceUnavailable();
        builder.insert_header((FORWARD_HEADER, verdict.name()));
        if verdict == ForwardVerdict::Isolated
            && let Some(referrals) = state.relay_caller.forward_referrals()
        {
            for header in referrals {
                builder.insert_header(header);
            }
        }
        return builder.finish();
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in end_to_end_headers(&answer.headers) {
        builder.append_header((name, value));
    }
    builder.insert_header((FORWARD_HEADER, verdict.name()));
    builder.streaming(answer.body.map(move |part| {
        let _in_flight = &guard;
        part
    }))
}

/// The headers without those of the connection and of the forwarding.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let hop_by_hop = hop_by_hop_headers(headers);
    let is_kept = |name: &HeaderName| {
        !hop_by_hop.contains(name.as_str())
            && ![FORWARD_HEADER, REPEAT_HEADER].contains(&name.as_str())
    };
    let mut kept = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| is_kept(name)) {
        kept.append(name.clone(), value.clone());
    }
    kept
}
