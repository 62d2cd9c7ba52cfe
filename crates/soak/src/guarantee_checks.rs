//! Checks of the guarantees of the system on the records of a run.

use crate::cut_responses::check_cuts;
use crate::fault_plan::SoakProfile;
use crate::owed_items::check_owed_items;
use crate::records::{ExecutionRecord, RequestKind, RequestOutcome, RequestRecord, RunRecords};
use crate::soak_fleet::KEY_WITHDRAWAL_TIME;
use crate::target_fleet::{EVENTS_PER_STREAM, ONCE_REGION};
use plantainmill_stand_in::JobResult;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which requests may still reach a target after its entry was marked as draining.
const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Window over which the rate limit is checked.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Rate limit of the limited organisation in requests per second, and its burst in requests.
pub const RATE_PER_S: u32 = 20;
/// The organisation that has a rate limit.
pub const LIMITED_ORGANISATION: &str = "small";

/// Returns one line for each violated guarantee.
#[must_use]
pub fn check_guarantees(records: &RunRecords, profile: SoakProfile) -> Vec<String> {
    let mut executions: HashMap<&str, Vec<&ExecutionRecord>> = HashMap::new();
    for execution in records
        .executions
        .iter()
        .filter(|execution| execution.executed)
    {
        executions.entry(&execution.id).or_default().push(execution);
    }
    let requests = records.requests.iter();
    let requests = requests.flat_map(|request| {
        let executions = executions
            .get(request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        [
            check_refused(request, executions),
            check_stream(request),
            check_key(request, executions, records),
        ]
    });
    let mut violations: Vec<String> = requests.flatten().collect();
    violations.extend(check_single_executions(records, &executions));
    violations.extend(check_cuts(records, &executions, profile));
    violations.extend(records.violations.iter().cloned());
    violations.extend(check_versions(records));
    violations.extend(check_rate(records));
    violations.extend(check_regions(records));
    violations.extend(check_jobs(records));
    violations.extend(check_owed_items(records));
    if profile.forbids_cuts() {
        violations.extend(check_drain(records));
    }
    violations
}

/// No request of the route that is limited to a region reached a target of another one, executed or not.
fn check_regions(records: &RunRecords) -> impl Iterator<Item = String> + '_ {
    let limited = records.executions.iter().filter(|seen| !seen.may_repeat);
    let outside = limited.filter(|seen| seen.region != ONCE_REGION);
    outside.map(|seen| format!("{}: reached {} in {}", seen.id, seen.target, seen.region))
}

/// A refused request was not executed.
fn check_refused(request: &RequestRecord, executions: &[&ExecutionRecord]) -> Option<String> {
    let (is_refused, outcome) = match &request.outcome {
        RequestOutcome::Completed {
            status,
            reports_not_executed,
            ..
        } => {
            let is_refusal = matches!(status, 401 | 403 | 404 | 408 | 413 | 421 | 429 | 503);
            let is_refused = *reports_not_executed || is_refusal;
            (is_refused, format!("status {status}"))
        }
        RequestOutcome::Failed(reason) => (false, format!("an incomplete response, {reason}")),
    };
    let is_executed = !executions.is_empty();
    (is_executed && (is_refused || request.has_promise)).then(|| {
        format!(
            "{}: refused with {outcome}, but executed at {}",
            request.id, executions[0].target
        )
    })
}

/// A request that is not idempotent was executed at most once, whether or not its caller knows how it ended.
fn check_single_executions(
    records: &RunRecords,
    executions: &HashMap<&str, Vec<&ExecutionRecord>>,
) -> Vec<String> {
    let requests = records.requests.iter();
    let once = requests.filter(|request| request.kind == RequestKind::NonIdempotent);
    let once: HashSet<&str> = once.map(|request| request.id.as_str()).collect();
    let repeated = executions.iter().filter(|(id, executions)| {
        let may_repeat = executions.iter().all(|execution| execution.may_repeat);
        executions.len() > 1 && (!may_repeat || once.contains(*id))
    });
    let violations = repeated.map(|(id, executions)| {
        let targets: Vec<&str> = executions
            .iter()
            .map(|execution| execution.target.as_str())
            .collect();
        format!("{id}: executed at {}", targets.join(" and "))
    });
    violations.collect()
}

/// A stream that ended cleanly has each event once and in order.
fn check_stream(request: &RequestRecord) -> Option<String> {
    let RequestOutcome::Completed {
        status: 200, body, ..
    } = &request.outcome
    else {
        return None;
    };
    let events =
        (1..=EVENTS_PER_STREAM).map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
    let expected = events.collect::<Vec<String>>().concat();
    (request.kind == RequestKind::Stream && *body != expected).then(|| {
        format!(
            "{}: wrong events in a stream that ended cleanly: {body:?}",
            request.id
        )
    })
}

/// A stream goes on only at the software version that began it, in one response or when it is taken up.
fn check_versions(records: &RunRecords) -> Vec<String> {
    let resumed_by = records
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request.resumes.as_deref()));
    let resumed_by: HashMap<&str, Option<&str>> = resumed_by.collect();
    let mut streams: HashMap<&str, StreamVersions<'_>> = HashMap::new();
    for execution in records
        .executions
        .iter()
        .filter(|execution| execution.executed)
    {
        // Items are listed elsewhere.
        let Some(resumes) = resumed_by.get(execution.id.as_str()) else {
            continue;
        };
        let versions = streams.entry(resumes.unwrap_or(&execution.id)).or_default();
        let version = execution.version.as_str();
        if execution.resumed_after == 0 {
            versions.begun.insert(version);
        } else {
            versions.continued.insert(version);
        }
    }
    let joined = streams.into_iter().filter(|(_, versions)| {
        versions.continued.len() > 1 || !versions.continued.is_subset(&versions.begun)
    });
    let joined = joined.map(|(id, versions)| {
        format!(
            "{id}: joined from versions, begun at {:?}, continued at {:?}",
            versions.begun, versions.continued
        )
    });
    joined.collect()
}

/// Software versions at which one stream ran.
#[derive(Default)]
struct StreamVersions<'a> {
    /// From the first event on; several if targets failed before their first event.
    begun: BTreeSet<&'a str>,
    /// After an event that the caller has.
    continued: BTreeSet<&'a str>,
}

/// A withdrawn key is no longer accepted.
fn check_key(
    request: &RequestRecord,
    executions: &[&ExecutionRecord],
    records: &RunRecords,
) -> Option<String> {
    let withdrawn_at = *records.withdrawn_keys.get(&request.key)?;
    let is_late = request.sent_at > withdrawn_at + KEY_WITHDRAWAL_TIME;
    (is_late && !executions.is_empty()).then(|| {
        let delay = request.sent_at - withdrawn_at;
        format!(
            "{}: VM {} accepted a key {delay:?} after its withdrawal",
            request.id, request.vm
        )
    })
}

/// Requests no longer reach a draining target after `DRAIN_NOTICE_TIME`.
fn check_drain(records: &RunRecords) -> impl Iterator<Item = String> {
    records.executions.iter().filter_map(|execution| {
        let drained_from = *records.draining_targets.get(&execution.target)?;
        let is_late = execution.executed && execution.seen_at > drained_from + DRAIN_NOTICE_TIME;
        is_late.then(|| {
            let delay = execution.seen_at - drained_from;
            format!(
                "{}: reached {} {delay:?} after it was marked as draining",
                execution.id, execution.target
            )
        })
    })
}

/// The online requests of an organisation stay within its rate limit over all VMs together.
fn check_rate(records: &RunRecords) -> Option<String> {
    let limited = |execution: &&ExecutionRecord| {
        execution.executed && execution.organisation == LIMITED_ORGANISATION
    };
    let online: HashSet<&str> = records
        .requests
        .iter()
        .map(|request| request.id.as_str())
        .collect();
    let executions = records.executions.iter().filter(limited);
    let mut times: Vec<Instant> = executions
        .filter(|execution| online.contains(execution.id.as_str()))
        .map(|execution| execution.seen_at)
        .collect();
    times.sort();
    let window = u32::try_from(RATE_WINDOW.as_secs()).unwrap_or(u32::MAX);
    // Rate and burst plus a tenth, and twenty requests in flight.
    let limit = (RATE_PER_S * window + RATE_PER_S) * 11 / 10 + 20;
    let counts = times.iter().enumerate().map(|(position, start)| {
        let within = times[position..]
            .iter()
            .take_while(|time| **time < *start + RATE_WINDOW);
        u32::try_from(within.count()).unwrap_or(u32::MAX)
    });
    let count = counts.max().unwrap_or(0);
    (count > limit).then(|| {
        format!("{count} requests of {LIMITED_ORGANISATION} executed in one window, limit {limit}")
    })
}

/// Accepted jobs list each item once, with its complete output.
fn check_jobs(records: &RunRecords) -> Vec<String> {
    let expected: Vec<String> = (1..=EVENTS_PER_STREAM)
        .map(|number| format!("piece {number}"))
        .collect();
    let expected = expected.join("\n");
    let mut violations = Vec::new();
    let accepted = records
        .jobs
        .iter()
        .filter(|(_, job)| job.accepted_at.is_some());
    for (id, job) in accepted {
        let listed_items: HashSet<&str> = job
            .results
            .values()
            .map(|result| result.item.as_str())
            .collect();
        if listed_items.len() != job.results.len() {
            violations.push(format!("job {id}: an item is listed at two positions"));
        }
        let missing: Vec<&String> = job
            .items
            .iter()
            .filter(|item| !listed_items.contains(item.as_str()))
            .collect();
        if !missing.is_empty() {
            violations.push(format!("job {id}: items without a result: {missing:?}"));
        }
        for result in job.results.values() {
            if !result.succeeded || result.output != expected {
                let JobResult {
                    item,
                    succeeded,
                    output,
                } = result;
                violations.push(format!(
                    "job {id}: item {item} ended with {output:?}, succeeded: {succeeded}"
                ));
            }
        }
    }
    violations
}
