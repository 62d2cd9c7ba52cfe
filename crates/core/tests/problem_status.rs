//! HTTP statuses of problems.

use actix_web::ResponseError as _;
use actix_web::http::header::RETRY_AFTER;
use plantainmill_core::code::promises_no_run;
use plantainmill_core::{Executed, Problem, ResultCode};
use std::time::Duration;

/// Guards against a status that promises that a request has not run, although it may have.
#[test]
fn no_promise() {
    let run_states = [Executed::Yes, Executed::Unknown];
    let problems = run_states.map(|executed| {
        let codes = ResultCode::ALL.iter();
        codes.map(move |code| Problem::new(*code, "any").with_executed(executed))
    });
    for problem in problems.into_iter().flatten() {
        let code = problem.code;
        let response = problem
            .with_retry_after(Duration::from_secs(1))
            .error_response();
        let status = response.status().as_u16();
        assert!(!promises_no_run(status), "{code:?}: {status}");
        let is_replaced = status != code.http_status();
        assert_eq!(is_replaced, promises_no_run(code.http_status()), "{code:?}");
        assert!(!is_replaced || status == 502, "{code:?}: {status}");
        let has_delay = response.headers().contains_key(RETRY_AFTER);
        assert_eq!(has_delay, !is_replaced, "{code:?}");
    }
}

/// Guards against a request that has not run and whose caller is not told.
#[test]
fn kept_promise() {
    for code in ResultCode::ALL {
        let response = Problem::new(*code, "any").error_response();
        assert_eq!(response.status().as_u16(), code.http_status(), "{code:?}");
    }
}
