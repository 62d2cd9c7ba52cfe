//! Each check of the soak fails on a record of the promise being broken, and passes without.

use plantainmill_soak::records::{AskEnd, AskKind, AskRecord, JobRecord, RunRecord, RunRecords};
use plantainmill_soak::{JobResult, SoakProfile, check_promises};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const WHOLE: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n\
    id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\nid: 7\ndata: piece 7\n\nid: 8\ndata: piece 8\n\n";
const OUTPUT: &str = "piece 1\npiece 2\npiece 3\npiece 4\npiece 5\npiece 6\npiece 7\npiece 8";

fn answered(status: u16, body: &str) -> AskEnd {
    AskEnd::Answered {
        status,
        says_not_run: status == 503,
        body: body.to_owned(),
    }
}

fn ask(start: Instant, end: AskEnd) -> AskRecord {
    AskRecord {
        id: "a1".to_owned(),
        kind: AskKind::Stream,
        key: "k1".to_owned(),
        vm: 0,
        sent_at: start,
        ended_at: start + Duration::from_millis(300),
        end,
    }
}

fn run_at(target: &str, at: Instant) -> RunRecord {
    RunRecord {
        id: "a1".to_owned(),
        organisation: "small".to_owned(),
        target: target.to_owned(),
        at,
        ran: true,
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
    }
}

fn served(start: Instant) -> RunRecords {
    RunRecords {
        asks: vec![ask(start, answered(200, WHOLE))],
        runs: vec![run_at("i-1", start)],
        jobs: [("j1".to_owned(), job(start, &["e1", "e2"], OUTPUT))].into(),
        ..RunRecords::default()
    }
}

/// Changes the records of a run without a broken promise.
type RecordChange = fn(&mut RunRecords, Instant);

/// Guards against checks that cannot fail.
#[rstest]
#[case::refused_and_run(|records: &mut RunRecords, start: Instant| records.asks = vec![ask(start, answered(503, ""))], "refused")]
#[case::ran_twice(|records: &mut RunRecords, start: Instant| {
    records.asks[0].kind = AskKind::Once;
    records.runs.push(run_at("i-2", start));
}, "ran at i-1 and i-2")]
#[case::shortened(|records: &mut RunRecords, start: Instant| {
    records.asks = vec![ask(start, answered(200, "id: 1\ndata: piece 1\n\n"))];
}, "not whole")]
#[case::withdrawn_key(|records: &mut RunRecords, start: Instant| {
    records.withdrawn.insert("k1".to_owned(), start);
    records.asks[0].sent_at = start + Duration::from_secs(4);
}, "after its withdrawal")]
#[case::cut_by_planned_work(|records: &mut RunRecords, start: Instant| {
    records.asks = vec![ask(start, AskEnd::Broken("closed".to_owned()))];
}, "cut at VM")]
#[case::over_the_rate(|records: &mut RunRecords, start: Instant| records.runs = vec![run_at("i-1", start); 200], "requests of small")]
#[case::item_twice(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1", "e2", "e1"], OUTPUT));
}, "at two positions")]
#[case::item_missing(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1"], OUTPUT));
}, "without a result")]
#[case::wrong_output(|records: &mut RunRecords, start: Instant| {
    records.jobs.insert("j1".to_owned(), job(start, &["e1", "e2"], "piece 1"));
}, "ended with")]
#[case::after_the_drain(|records: &mut RunRecords, start: Instant| {
    records.draining.insert("i-1".to_owned(), start);
    records.runs[0].at = start + Duration::from_secs(3);
}, "after it said that it stops")]
#[case::noted(|records: &mut RunRecords, _: Instant| records.broken.push("vm-1 ended by itself".to_owned()), "ended by itself")]
fn noticed(#[case] change: RecordChange, #[case] line: &str) {
    let start = Instant::now();
    let mut records = served(start);
    let profile = SoakProfile::Planned;
    assert_eq!(check_promises(&records, profile), Vec::<String>::new());
    change(&mut records, start);
    let broken = check_promises(&records, profile);
    assert!(
        broken.iter().any(|broken| broken.contains(line)),
        "{broken:?}"
    );
}
