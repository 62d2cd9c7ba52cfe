//! Every target fault at every step of a call, checked against the requests that the targets recorded.

mod support;

use plantainmill_config::{ServiceKind, ServiceSpec};
use plantainmill_core::{Executed, ResultCode};
use plantainmill_fakes::{EngineFault, FaultKind};
use rstest::rstest;
use support::{CallMode, TOKENS, TestFleet, TestResult, check_call, service_spec};

/// A step of a call at which a fault occurs.
#[derive(Clone, Copy, Debug)]
enum FaultStep {
    /// The target does not listen.
    Connect,
    /// The target has the fault while it receives the request or responds to it.
    Engine(EngineFault),
}

const STEPS: &[FaultStep] = &[
    FaultStep::Connect,
    engine(FaultKind::None, 0),
    engine(FaultKind::Refuse, 0),
    engine(FaultKind::CutRequest, 0),
    engine(FaultKind::CutBefore, 0),
    engine(FaultKind::Hang, 0),
    engine(FaultKind::Hang, 1),
    engine(FaultKind::Hang, TOKENS),
    engine(FaultKind::CutStream, 0),
    engine(FaultKind::CutStream, 1),
    engine(FaultKind::CutStream, TOKENS),
    engine(FaultKind::NoEnd, 0),
    engine(FaultKind::Late, 0),
    engine(FaultKind::Slow, 0),
    engine(FaultKind::Crossed, 0),
    engine(FaultKind::Malformed, 0),
    engine(FaultKind::Malformed, 2),
    engine(FaultKind::Foreign, 0),
    engine(FaultKind::Foreign, 2),
    engine(FaultKind::Foreign, TOKENS),
    engine(FaultKind::ForeignEnd, 0),
    engine(FaultKind::Oversized, 1),
    engine(FaultKind::Crash, 0),
];

/// Delay of late and slow responses. A late one exceeds the first-event time-out, a slow one exceeds no time-out.
const fn engine(kind: FaultKind, after: u32) -> FaultStep {
    let delay_ms = match kind {
        FaultKind::Late => 3_000,
        FaultKind::Slow => 20,
        _ => 0,
    };
    FaultStep::Engine(EngineFault {
        kind,
        times: None,
        delay_ms,
        after,
    })
}

/// How a call ends if its target has the fault.
struct Expected {
    code: ResultCode,
    executed: Executed,
    /// No other target can be tried: a part of the response was passed on, or the time is used up.
    is_final: bool,
}

/// Effect of a fault on a call; `None` if the response is complete despite the fault.
fn expected(step: FaultStep, kind: ServiceKind, mode: CallMode) -> Option<Expected> {
    let is_stream = mode == CallMode::Streaming;
    let is_model = kind == ServiceKind::Model;
    let fault = match step {
        FaultStep::Connect => EngineFault::default(),
        FaultStep::Engine(fault) => fault,
    };
    let has_partial_events = is_stream && is_model && fault.after > 0;
    let failed = ResultCode::TargetFailed;
    let invalid = ResultCode::AnswerInvalid;
    let timeout = ResultCode::TargetTimeout;
    let (code, executed, is_final) = match fault.kind {
        FaultKind::None if matches!(step, FaultStep::Connect) => (failed, Executed::No, false),
        FaultKind::Refuse => (ResultCode::TargetRefused, Executed::No, false),
        FaultKind::CutRequest | FaultKind::CutBefore | FaultKind::Crash => {
            (failed, Executed::Unknown, false)
        }
        FaultKind::Hang if fault.after == 0 => (timeout, Executed::Unknown, !is_stream),
        FaultKind::Hang if has_partial_events => (timeout, Executed::Yes, true),
        FaultKind::Late if is_stream => (timeout, Executed::Unknown, false),
        FaultKind::Crossed => (invalid, Executed::Unknown, false),
        // Half of the body of a plain service is passed on immediately.
        FaultKind::CutStream if is_stream && !is_model => (invalid, Executed::Yes, true),
        FaultKind::CutStream | FaultKind::Oversized => (invalid, Executed::Yes, has_partial_events),
        FaultKind::Malformed | FaultKind::Foreign if is_model => {
            (invalid, Executed::Yes, has_partial_events)
        }
        FaultKind::NoEnd if is_stream && is_model => (invalid, Executed::Yes, true),
        // What follows the last event of a stream is not passed on. Slow responses are complete, buffered ones have no events, and bodies of plain services are not validated.
        _ => return None,
    };
    Some(Expected {
        code,
        executed,
        is_final,
    })
}

/// How the call ends if `faulty` of two targets have the fault.
fn expected_end(
    step: FaultStep,
    service: &ServiceSpec,
    mode: CallMode,
    faulty: usize,
) -> Option<(ResultCode, Executed)> {
    let expected = expected(step, service.kind, mode)?;
    let may_retry = service.repeatable || expected.executed == Executed::No;
    let succeeds_elsewhere = faulty == 1 && may_retry && !expected.is_final;
    (!succeeds_elsewhere).then_some((expected.code, expected.executed))
}

/// Whether the fault can be detected. A malformed body of a plain service, with the right length, is a valid response.
fn is_detectable(step: FaultStep, kind: ServiceKind) -> bool {
    let is_malformed = matches!(
        step,
        FaultStep::Engine(fault) if matches!(fault.kind, FaultKind::Malformed | FaultKind::Foreign)
    );
    kind == ServiceKind::Model || !is_malformed
}

async fn inject_fault(fleet: &TestFleet, step: FaultStep, targets: usize) {
    for engine in fleet.engines.iter().take(targets) {
        match step {
            FaultStep::Connect => engine.crash().await,
            FaultStep::Engine(fault) => engine.set_fault(fault),
        }
    }
}

/// Guards against duplicate executions, wrong `executed` values, leaked credentials, and responses that are truncated
/// or belong to another request.
#[rstest]
#[actix_rt::test]
async fn every_step(
    #[values(ServiceKind::Model, ServiceKind::Plain)] kind: ServiceKind,
    #[values(true, false)] repeatable: bool,
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
    #[values(1, 2)] faulty: usize,
) -> TestResult {
    for step in STEPS.iter().filter(|step| is_detectable(**step, kind)) {
        let mut service = service_spec(kind, repeatable);
        // A hung buffered call ends with the service's time-out; all others end long before it.
        let hangs = matches!(step, FaultStep::Engine(fault) if fault.kind == FaultKind::Hang);
        if hangs && mode == CallMode::Buffered {
            service.timeout_ms = 2_000;
        }
        let fleet = TestFleet::start(service, 2)?;
        inject_fault(&fleet, *step, faulty).await;
        let request = fleet.request("matrix", mode);
        let end = fleet.run(request, mode).await;
        check_call(&fleet, "matrix", mode, &end);
        let problem = end.problem.as_ref();
        let found = problem.map(|problem| (problem.code, problem.executed));
        let expected = expected_end(*step, &fleet.service, mode, faulty);
        assert_eq!(found, expected, "{step:?}: {problem:?}");
        fleet.stop().await;
    }
    Ok(())
}
