//! Each check of the soak test reports a violation of its guarantee, and nothing on records without one.

use plantainmill_soak::records::{
    ExecutionRecord, JobRecord, RequestKind, RequestOutcome, RequestRecord, RunRecords,
};
use plantainmill_soak::{JobResult, SoakProfile, check_guarantees, parse_repeated_id};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const COMPLETE_STREAM: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n\
    id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\nid: 7\ndata: piece 7\n\nid: 8\ndata: piece 8\n\n";
const COMPLETE_OUTPUT: &str =
    "piece 1\npiece 2\npiece 3\npiece 4\npiece 5\npiece 6\npiece 7\npiece 8";

fn completed(status: u16, body: &str) -> RequestOutcome {
    RequestOutcome::Completed {
        status,
        reports_not_executed: status == 503,
        body: body.to_owned(),
    }
}

fn request(start: Instant, outcome: RequestOutcome) -> RequestRecord {
    RequestRecord {
        id: "a1".to_owned(),
        kind: RequestKind::Stream,
        key: "k1".to_owned(),
        vm: 0,
        sent_at: start,
        ended_at: start + Duration::from_millis(300),
        body_time: Duration::ZERO,
        resumes: None,
        has_promise: false,
        outcome,
    }
}

fn execution_at(target: &str, seen_at: Instant) -> ExecutionRecord {
    ExecutionRecord {
        id: "a1".to_owned(),
        may_repeat: true,
        organisation: "small".to_owned(),
        target: target.to_owned(),
        region: "north",
        version: "v1".to_owned(),
        resumed_after: 0,
        seen_at,
        executed: true,
    }
}

fn job(start: Instant, items: &[&str], output: &str) -> JobRecord {
    let results = items.iter().map(|item| JobResult {
        item: (*item).to_owned(),
        succeeded: true,
        output: output.to_owned(),
    });
    JobRecord {
        items: vec!["e1".to_owned(), "e2".to_owned()],
        accepted_at: Some(start),
        results: (0..).zip(results).collect(),
        ..JobRecord::default()
    }
}

fn correct_run(start: Instant) -> RunRecords {
    RunRecords {
        requests: vec![request(start, completed(200, COMPLETE_STREAM))],
        executions: vec![execution_at("i-1", start)],
        jobs: [("j1".to_owned(), job(start, &["e1", "e2"], COMPLETE_OUTPUT))].into(),
        ..RunRecords::default()
    }
}

/// Turns the records of a correct run into those of a violation.
type RecordChange = fn(&mut RunRecords, Instant);

/// Guards against checks that never report a violation.
#[rstest]
#[case::refused_and_executed(|records: &mut RunRecords, start: Instant| records.requests = vec![request(start, completed(503, ""))], "refused")]
#[case::executed_twice(|records: &mut RunRecords, start: Instant| {
    records.requests[0].kind = RequestKind::NonIdempotent;
    records.executions.push(execution_at("i-2", start));
}, "executed at i-1 and i-2")]
#[case::refused_by_timeout(|records: &mut RunRecords, start: Instant| records.requests = vec![request(start, completed(408, ""))], "refused with status 408")]
#[case::refused_as_misdirected(|records: &mut RunRecords, start: Instant| records.requests = vec![request(start, completed(421, ""))], "refused with status 421")]
#[case::refused_incompletely(|records: &mut RunRecords, start: Instant| {
    records.requests = vec![RequestRecord {
        has_promise: true,
        ..request(start, RequestOutcome::Failed("closed".to_owned()))
    }];
}, "refused with an incomplete response")]
#[case::refused_before_execution(|records: &mut RunRecords, start: Instant| {
    records.requests = vec![request(start, completed(503, ""))];
    records.executions = vec![execution_at("i-1", start + Duration::from_secs(2))];
}, "refused")]
#[case::executed_without_record(|records: &mut RunRecords, start: Instant| {
    let execution = |target| ExecutionRecord {
        id: "a2".to_owned(),
        may_repeat: false,
        ..execution_at(target, start)
    };
    records.executions.extend([execution("i-1"), execution("i-2")]);
}, "a2: executed at i-1 and i-2")]
#[case::reached_other_region(|records: &mut RunRecords, start: Instant| {
    records.executions.push(ExecutionRecord {
        id: "a3".to_owned(),
        may_repeat: false,
        region: "south",
        executed: false,
        ..execution_at("i-2", start)
    });
}, "a3: reached i-2 in south")]
#[case::joined_inside(|records: &mut RunRecords, start: Instant| {
    records.executions.push(ExecutionRecord {
        version: "v2".to_owned(),
        resumed_after: 3,
        ..execution_at("i-2", start)
    });
}, "joined from versions")]
#[case::joined_by_take_up(|records: &mut RunRecords, start: Instant| {
    records.requests.push(RequestRecord {
        id: "a2".to_owned(),
        resumes: Some("a1".to_owned()),
        ..request(start, completed(200, COMPLETE_STREAM))
    });
    records.executions.push(ExecutionRecord {
        id: "a2".to_owned(),
        version: "v2".to_owned(),
        resumed_after: 3,
        ..execution_at("i-2", start)
    });
}, "joined from versions")]
#[case::truncated_stream(|records: &mut RunRecords, start: Instant| {
    records.requests = vec![request(start, completed(200, "id: 1\ndata: piece 1\n\n"))];
}, "ended cleanly")]
#[case::withdrawn_key(|records: &mut RunRecords, start: Instant| {
    records.withdrawn_keys.insert("k1".to_owned(), start);
    records.requests[0].sent_at = start + Duration::from_secs(4);
}, "after its withdrawal")]
#[case::failed_in_planned_work(|records: &mut RunRecords, start: Instant| {
    records.requests = vec![request(start, RequestOutcome::Failed("closed".to_owned()))];
}, "failed at VM")]
#[case::rate_exceeded(|records: &mut RunRecords, start: Instant| records.executions = vec![execution_at("i-1", start); 200], "requests of small")]
#[case::duplicate_item(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1", "e2", "e1"], COMPLETE_OUTPUT));
}, "at two positions")]
#[case::item_missing(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1"], COMPLETE_OUTPUT));
}, "without a result")]
#[case::wrong_output(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1", "e2"], "piece 1"));
}, "ended with")]
#[case::late_for_drain(|records: &mut RunRecords, start: Instant| {
    records.draining_targets.insert("i-1".to_owned(), start);
    records.executions[0].seen_at = start + Duration::from_secs(3);
}, "marked as draining")]
#[case::recorded_violation(|records: &mut RunRecords, _: Instant| records.violations.push("vm-1 exited unexpectedly".to_owned()), "exited unexpectedly")]
fn reported_violations(#[case] change: RecordChange, #[case] line: &str) {
    let start = Instant::now();
    let mut records = correct_run(start);
    let profile = SoakProfile::Planned;
    assert_eq!(check_guarantees(&records, profile), Vec::<String>::new());
    change(&mut records, start);
    let violations = check_guarantees(&records, profile);
    assert!(
        violations.iter().any(|violation| violation.contains(line)),
        "{violations:?}"
    );
}

/// Guards against a check of the logs that finds no line, or takes the usual one for a violation.
#[rstest]
#[case::once("1", false)]
#[case::twice("2", true)]
#[case::unsent("null", false)]
fn repeated_ids(#[case] id_sends: &str, #[case] is_violation: bool) {
    let line = format!(r#"{{"event":"send_failed","request":"a1","id_sends":{id_sends}}}"#);
    assert_eq!(parse_repeated_id(&line, "vm-1").is_some(), is_violation);
}
