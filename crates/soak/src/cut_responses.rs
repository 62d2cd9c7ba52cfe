//! Checks that no response is cut where nothing breaks off, and that each cut has a line in the log of its VM.

use crate::fault_plan::SoakProfile;
use crate::records::{CutReport, ExecutionRecord, RequestOutcome, RequestRecord, RunRecords};
use std::collections::HashMap;
use std::time::Duration;

/// Time within which a connection may fail during planned work, if its request reached no target.
const CONNECT_FAILURE_TIME: Duration = Duration::from_millis(200);
/// Time from which a request that is cut is close to its deadline of five seconds.
const LATE_TIME: Duration = Duration::from_millis(3_500);
/// Status of an answer after a target failed.
const FAILED_STATUS: u16 = 502;

/// Reads the report of a request that ended early from a line of a VM's log; `None` for other lines.
#[must_use]
pub fn parse_cut_report(line: &str, vm: &str) -> Option<CutReport> {
    if !line.contains("response_cut") && !line.contains("request_unanswered") {
        return None;
    }
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    if !matches!(
        text("event")?.as_str(),
        "response_cut" | "request_unanswered"
    ) {
        return None;
    }
    Some(CutReport {
        vm: vm.to_owned(),
        request: text("request")?,
        ended_by: text("ended_by")?,
        cause: text("cause"),
        target: text("target"),
    })
}

/// Returns one line for each request that was cut although no target broke off, or that was cut without a line.
pub(crate) fn check_cuts(
    records: &RunRecords,
    executions: &HashMap<&str, Vec<&ExecutionRecord>>,
    profile: SoakProfile,
) -> Vec<String> {
    if !profile.forbids_cuts() {
        return Vec::new();
    }
    let reports = records.cut_reports.iter();
    let reports: HashMap<&str, &CutReport> = reports
        .map(|report| (report.request.as_str(), report))
        .collect();
    let violations = records.requests.iter().filter_map(|request| {
        let count = executions.get(request.id.as_str()).map_or(0, Vec::len);
        let report = reports.get(request.id.as_str()).copied();
        check_request(request, count, report, profile)
    });
    violations.collect()
}

fn check_request(
    request: &RequestRecord,
    executions: usize,
    report: Option<&CutReport>,
    profile: SoakProfile,
) -> Option<String> {
    let elapsed = request.ended_at - request.sent_at;
    let reason = match &request.outcome {
        RequestOutcome::Failed(reason) => reason.clone(),
        RequestOutcome::Completed {
            status: FAILED_STATUS,
            body,
            ..
        } if profile == SoakProfile::Silent => body.clone(),
        RequestOutcome::Completed { .. } => return None,
    };
    let is_cut =
        executions > 0 || report.is_some() || elapsed > request.body_time + CONNECT_FAILURE_TIME;
    if !is_cut {
        return None;
    }
    let is_failed = matches!(request.outcome, RequestOutcome::Failed(_));
    let stated = report.map_or_else(
        || "no line of the VM".to_owned(),
        |report| {
            let cause = report.cause.as_deref().unwrap_or("no answer yet");
            let target = report.target.as_deref().unwrap_or("no target");
            format!("ended by {}, {cause}, {target}", report.ended_by)
        },
    );
    // Silence may take up the time of a request.
    let is_late = profile == SoakProfile::Silent && elapsed >= LATE_TIME;
    let is_unstated = is_failed && executions > 0 && report.is_none();
    (is_unstated || !is_late).then(|| {
        format!(
            "{}: failed at VM {} after {elapsed:?}, executed {executions} times: {reason} ({stated})",
            request.id, request.vm
        )
    })
}
