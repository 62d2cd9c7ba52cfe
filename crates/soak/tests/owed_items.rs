//! The check of items that wait beside a free target, on records with and without a stated wait.

use plantainmill_soak::records::{
    ExecutionRecord, FleetSample, JobRecord, OwedReport, ResultsRead, RunRecords,
};
use plantainmill_soak::{SoakProfile, check_guarantees, parse_owed_report};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const LINE: &str = "beside a free one";

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn sample(at: Instant) -> FleetSample {
    FleetSample {
        at,
        running: Vec::new(),
        free_targets: vec!["i-1".to_owned()],
        sound_vms: vec![0],
    }
}

fn report(at: Instant, state: &str, free_targets: Option<u64>) -> OwedReport {
    OwedReport {
        at,
        vm: "vm-0".to_owned(),
        job: "j1".to_owned(),
        item: Some("e1".to_owned()),
        state: state.to_owned(),
        idle_ms: Some(4_000),
        free_targets,
    }
}

/// An item that nobody runs for 6 s, beside a free target, with reads that do not list it.
fn waiting_item(start: Instant) -> RunRecords {
    let job = JobRecord {
        items: vec!["e1".to_owned()],
        accepted_at: Some(start),
        reads: vec![ResultsRead {
            sent_at: start + seconds(6.0),
            next: 0,
        }],
        ..JobRecord::default()
    };
    let samples = (0..=24).map(|step| sample(start + seconds(0.25) * step));
    RunRecords {
        jobs: [("j1".to_owned(), job)].into(),
        samples: samples.collect(),
        ..RunRecords::default()
    }
}

fn has_violation(records: &RunRecords) -> bool {
    let violations = check_guarantees(records, SoakProfile::Troubled);
    violations.iter().any(|line| line.contains(LINE))
}

type RecordChange = fn(&mut RunRecords, Instant);

/// Guards against an item without a runner, or beside a free target, that the soak test passes over.
#[rstest]
#[case::nothing_reported(|_: &mut RunRecords, _: Instant| {})]
#[case::no_runner(|records: &mut RunRecords, start: Instant| {
    let line = OwedReport { item: None, ..report(start + seconds(4.5), "runner", None) };
    records.owed_reports = vec![line];
})]
#[case::free_slot(|records: &mut RunRecords, start: Instant| records.owed_reports = vec![report(start + seconds(4.5), "slot", Some(1))])]
#[case::other_item(|records: &mut RunRecords, start: Instant| {
    let line = OwedReport { item: Some("e2".to_owned()), ..report(start + seconds(4.5), "load", None) };
    records.owed_reports = vec![line];
})]
#[case::old_report(|records: &mut RunRecords, start: Instant| records.owed_reports = vec![report(start, "load", None)])]
#[case::refused(|records: &mut RunRecords, start: Instant| records.executions = vec![execution(start + seconds(2.0), false)])]
fn unstated_waits(#[case] change: RecordChange) {
    let start = Instant::now() + seconds(10.0);
    let mut records = waiting_item(start);
    change(&mut records, start);
    assert!(has_violation(&records));
}

fn execution(seen_at: Instant, executed: bool) -> ExecutionRecord {
    ExecutionRecord {
        id: "e1".to_owned(),
        may_repeat: true,
        organisation: "ward".to_owned(),
        target: "i-1".to_owned(),
        region: "north",
        version: "v1".to_owned(),
        resumed_after: 0,
        seen_at,
        executed,
    }
}

/// Guards against violations that are none: a stated wait, an item at a target or listed, no free target, no sound VM.
#[rstest]
#[case::stated(|records: &mut RunRecords, start: Instant| records.owed_reports = vec![report(start + seconds(4.5), "load", None)])]
#[case::busy_slots(|records: &mut RunRecords, start: Instant| records.owed_reports = vec![report(start + seconds(4.5), "slot", Some(0))])]
#[case::executed(|records: &mut RunRecords, start: Instant| records.executions = vec![execution(start + seconds(2.0), true)])]
#[case::still_running(|records: &mut RunRecords, start: Instant| {
    let _ = start;
    records.samples[10].running = vec!["e1".to_owned()];
})]
#[case::not_known_unlisted(|records: &mut RunRecords, start: Instant| {
    for job in records.jobs.values_mut() {
        job.reads[0].sent_at = start + seconds(4.0);
    }
})]
#[case::busy_for_a_moment(|records: &mut RunRecords, start: Instant| {
    let _ = start;
    records.samples[10].free_targets.clear();
})]
#[case::no_sound_vm(|records: &mut RunRecords, start: Instant| {
    let _ = start;
    records.samples[10].sound_vms.clear();
})]
fn allowed_waits(#[case] change: RecordChange) {
    let start = Instant::now() + seconds(10.0);
    let mut records = waiting_item(start);
    change(&mut records, start);
    assert!(!has_violation(&records));
}

/// Guards against reports that are not found in the logs of the VMs, with fields at the top or below.
#[rstest]
#[case::flat(r#"{"timestamp":"t","level":"INFO","event":"item_owed","job":"j1","item":"e1","state":"slot","idle_ms":"4001","free_targets":2}"#)]
#[case::nested(r#"{"timestamp":"t","fields":{"event":"item_owed","job":"j1","item":"e1","state":"slot","idle_ms":4001,"free_targets":2}}"#)]
fn parsed_line(#[case] line: &str) {
    let at = Instant::now();
    let report = parse_owed_report(line, "vm-0", at).expect("a report");
    assert_eq!((report.job.as_str(), report.state.as_str()), ("j1", "slot"));
    assert_eq!(report.item.as_deref(), Some("e1"));
    assert_eq!(
        (report.idle_ms, report.free_targets),
        (Some(4_001), Some(2))
    );
    assert!(parse_owed_report("{\"event\":\"started\"}", "vm-0", at).is_none());
}
