//! Calls of the own interface, and so the items of its batch jobs, whose engines send bytes that belong to no event.

mod support;

use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_fakes::{EngineFault, FaultKind};
use rstest::rstest;
use support::{CallMode, TOKENS, TestFleet, TestResult, service_spec};

/// Guards against foreign bytes in a stream that is read to its end before it is passed on, as the output of an item.
#[rstest]
#[actix_rt::test]
async fn buffered_stream(
    #[values(true, false)] is_repeatable: bool,
    #[values((FaultKind::Foreign, 0), (FaultKind::Foreign, 2), (FaultKind::Foreign, TOKENS), (FaultKind::ForeignEnd, 0))]
    fault: (FaultKind, u32),
) -> TestResult {
    let fleet = TestFleet::start(service_spec(ServiceKind::Model, is_repeatable), 2)?;
    let (kind, after) = fault;
    for engine in &fleet.engines {
        engine.set_fault(EngineFault {
            kind,
            after,
            times: Some(1),
            ..EngineFault::default()
        });
    }
    let end = fleet
        .run(
            fleet.request("foreign", CallMode::Streaming),
            CallMode::Buffered,
        )
        .await;
    let problem = end.problem.as_ref();
    let found = problem.map(|problem| (problem.code, problem.executed));
    assert_eq!(found, Some((ResultCode::AnswerInvalid, Executed::Yes)));
    let runs = if is_repeatable { 2 } else { 1 };
    assert_eq!(fleet.recorded("foreign").len(), runs);
    if is_repeatable {
        let end = fleet
            .run(
                fleet.request("foreign", CallMode::Streaming),
                CallMode::Buffered,
            )
            .await;
        let body = String::from_utf8(end.body)?;
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
        assert!(!body.contains("q7#x0f"), "{body}");
    }
    fleet.stop().await;
    Ok(())
}
