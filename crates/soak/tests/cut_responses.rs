//! Requests that end early: the lines that state them, and the check of their causes.

use plantainmill_soak::records::{
    CutReport, ExecutionRecord, RequestKind, RequestOutcome, RequestRecord, RunRecords,
};
use plantainmill_soak::{SoakProfile, check_guarantees, parse_cut_report};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Guards against lines that are not recognised, or taken for those of a cut.
#[rstest]
#[case::cut(r#"{"event":"response_cut","request":"a1","ended_by":"vm","cause":"queue_full","target":"i-1"}"#, Some("a1 vm queue_full i-1"))]
#[case::nested(r#"{"fields":{"event":"response_cut","request":"a1","ended_by":"target","cause":"connection_lost","target":"i-1"}}"#, Some("a1 target connection_lost i-1"))]
#[case::unanswered(
    r#"{"event":"request_unanswered","request":"a2","ended_by":"caller"}"#,
    Some("a2 caller - -")
)]
#[case::other_line(
    r#"{"event":"request_ended","request":"a1","reason":"response_cut"}"#,
    None
)]
#[case::no_json("response_cut", None)]
fn cut_lines(#[case] line: &str, #[case] expected: Option<&str>) {
    let report = parse_cut_report(line, "vm-1").map(|report| {
        let text = |field: Option<String>| field.unwrap_or_else(|| "-".to_owned());
        let (cause, target) = (text(report.cause), text(report.target));
        format!("{} {} {cause} {target}", report.request, report.ended_by)
    });
    assert_eq!(report.as_deref(), expected);
}

/// Guards against a check that takes the time of a body in chunks for a cut, and against one that passes over what its VM states.
#[rstest]
#[case::crossed(400, false, None)]
#[case::stated(400, true, Some("queue_full"))]
#[case::too_long(700, false, Some("no line of the VM"))]
fn slow_bodies(#[case] elapsed_ms: u64, #[case] is_stated: bool, #[case] line: Option<&str>) {
    let mut records = cut_run(None, elapsed_ms, is_stated);
    records.requests[0].body_time = Duration::from_millis(240);
    records.executions.clear();
    let violations = check_guarantees(&records, SoakProfile::Silent);
    assert_eq!(violations.len(), usize::from(line.is_some()));
    assert!(line.is_none_or(|line| violations[0].contains(line)));
}

fn cut_run(status: Option<u16>, elapsed_ms: u64, is_stated: bool) -> RunRecords {
    let start = Instant::now();
    let outcome = match status {
        Some(status) => RequestOutcome::Completed {
            status,
            reports_not_executed: false,
            body: String::new(),
        },
        None => RequestOutcome::Failed("closed".to_owned()),
    };
    let report = CutReport {
        vm: "vm-0".to_owned(),
        request: "a1".to_owned(),
        ended_by: "vm".to_owned(),
        cause: Some("queue_full".to_owned()),
        target: Some("i-1".to_owned()),
    };
    RunRecords {
        requests: vec![RequestRecord {
            id: "a1".to_owned(),
            kind: RequestKind::Stream,
            key: "k1".to_owned(),
            vm: 0,
            sent_at: start,
            ended_at: start + Duration::from_millis(elapsed_ms),
            body_time: Duration::ZERO,
            resumes: None,
            has_promise: false,
            outcome,
        }],
        executions: vec![ExecutionRecord {
            region: "north",
            id: "a1".to_owned(),
            may_repeat: true,
            organisation: "ward".to_owned(),
            target: "i-1".to_owned(),
            version: "v1".to_owned(),
            resumed_after: 0,
            seen_at: start,
            executed: true,
        }],
        cut_reports: if is_stated { vec![report] } else { Vec::new() },
        ..RunRecords::default()
    }
}

/// Guards against a check that passes over responses that were cut early, or without a line, or that takes a passed deadline for
/// such a cut.
#[rstest]
#[case::early(
    SoakProfile::Silent,
    None,
    900,
    true,
    Some("ended by vm, queue_full, i-1")
)]
#[case::unstated(SoakProfile::Silent, None, 4_900, false, Some("no line of the VM"))]
#[case::at_deadline(SoakProfile::Silent, None, 4_900, true, None)]
#[case::planned_work(SoakProfile::Planned, None, 4_900, true, Some("queue_full"))]
#[case::failed_answer(SoakProfile::Silent, Some(502), 900, false, Some("failed at VM"))]
#[case::failures_injected(SoakProfile::Troubled, None, 900, false, None)]
fn cut_causes(
    #[case] profile: SoakProfile,
    #[case] status: Option<u16>,
    #[case] elapsed_ms: u64,
    #[case] is_stated: bool,
    #[case] line: Option<&str>,
) {
    let violations = check_guarantees(&cut_run(status, elapsed_ms, is_stated), profile);
    match line {
        Some(line) => assert!(
            violations.iter().any(|violation| violation.contains(line)),
            "{violations:?}"
        ),
        None => assert_eq!(violations, Vec::<String>::new()),
    }
}
