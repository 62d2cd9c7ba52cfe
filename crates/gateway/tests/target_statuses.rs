//! Statuses of targets at the border to callers.

use futures_util::StreamExt as _;
use plantainmill_config::ConfigView;
use plantainmill_core::code::promises_no_run;
use plantainmill_core::{Executed, InFlightCounter, Problem, ResultCode};
use plantainmill_gateway::response::{buffered, streaming};
use plantainmill_proxy::{BufferedResponse, StreamingResponse};
use std::time::Duration;

/// Guards against a target's 408, 421, 429 or 503 that reaches the caller, although the target has run the request.
#[test]
fn promising_statuses() {
    for status in 200..600 {
        let whole = BufferedResponse {
            status,
            headers: Vec::new(),
            body: "any".into(),
            target: None,
            first_byte: Duration::ZERO,
        };
        let stream = StreamingResponse {
            status,
            headers: Vec::new(),
            target: "t1".into(),
            chunks: futures_util::stream::empty().boxed_local(),
        };
        let in_flight = InFlightCounter::default().enter();
        let stream = streaming(stream, None, ConfigView::default(), in_flight);
        for response in [buffered(whole), stream] {
            match response {
                Ok(response) => assert!(!promises_no_run(response.status().as_u16())),
                Err(Problem { code, executed, .. }) => {
                    assert!(promises_no_run(status), "{status}");
                    assert_eq!((code, executed), (ResultCode::TargetFailed, Executed::Yes));
                }
            }
        }
    }
}
