//! What the system promises, checked on what was seen.

use crate::fault_plan::SoakProfile;
use crate::records::{AskEnd, AskKind, AskRecord, RunRecord, RunRecords};
use crate::soak_fleet::KEY_TIME;
use crate::target_fleet::EVENTS;
use plantainmill_stand_in::JobResult;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after the entry of a target said that it stops in which requests may still reach it.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after which an unanswered request may not end with its connection during planned work.
const LOSS_TIME: Duration = Duration::from_millis(200);
/// Window in which a rate has to hold.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Requests a second of the limited organisation, and its burst.
pub const RATE_PER_S: u32 = 20;
/// Organisation with a rate.
pub const LIMITED_ORGANISATION: &str = "small";

/// Gives a line for each promise that was broken.
#[must_use]
pub fn check_promises(records: &RunRecords, profile: SoakProfile) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in records.runs.iter().filter(|run| run.ran) {
        runs.entry(&run.id).or_default().push(run);
    }
    let asks = records.asks.iter();
    let asks = asks.flat_map(|ask| {
        let runs = runs.get(ask.id.as_str()).map_or(&[][..], Vec::as_slice);
        [
            check_refusal(ask, runs),
            check_once(ask, runs),
            check_answer(ask),
            check_key(ask, runs, records),
            check_loss(ask, runs, profile),
        ]
    });
    let mut broken: Vec<String> = asks.flatten().collect();
    broken.extend(records.broken.iter().cloned());
    broken.extend(check_rate(records));
    broken.extend(check_jobs(records));
    if profile == SoakProfile::Planned {
        broken.extend(check_drain(records));
    }
    broken
}

/// A request that is refused has not run.
fn check_refusal(ask: &AskRecord, runs: &[&RunRecord]) -> Option<String> {
    let AskEnd::Answered {
        status,
        says_not_run,
        ..
    } = &ask.end
    else {
        return None;
    };
    let is_refused = *says_not_run || matches!(status, 401 | 403 | 404 | 413 | 429 | 503);
    (is_refused && !runs.is_empty()).then(|| {
        format!(
            "{}: refused with {status}, and ran at {}",
            ask.id, runs[0].target
        )
    })
}

/// A request that must not run twice does not.
fn check_once(ask: &AskRecord, runs: &[&RunRecord]) -> Option<String> {
    (ask.kind == AskKind::Once && runs.len() > 1).then(|| {
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        format!("{}: ran at {}", ask.id, targets.join(" and "))
    })
}

/// A stream that ends as whole has each event once and in order.
fn check_answer(ask: &AskRecord) -> Option<String> {
    let AskEnd::Answered {
        status: 200, body, ..
    } = &ask.end
    else {
        return None;
    };
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
    let whole = events.collect::<Vec<String>>().concat();
    (ask.kind == AskKind::Stream && *body != whole)
        .then(|| format!("{}: the stream is not whole: {body:?}", ask.id))
}

/// A withdrawn key is not used.
fn check_key(ask: &AskRecord, runs: &[&RunRecord], records: &RunRecords) -> Option<String> {
    let withdrawn_at = *records.withdrawn.get(&ask.key)?;
    let is_late = ask.sent_at > withdrawn_at + KEY_TIME;
    (is_late && !runs.is_empty()).then(|| {
        let late = ask.sent_at - withdrawn_at;
        format!(
            "{}: VM {} used a key {late:?} after its withdrawal",
            ask.id, ask.vm
        )
    })
}

/// Planned work does not cut requests.
fn check_loss(ask: &AskRecord, runs: &[&RunRecord], profile: SoakProfile) -> Option<String> {
    let AskEnd::Broken(reason) = &ask.end else {
        return None;
    };
    let time = ask.ended_at - ask.sent_at;
    let is_lost = !runs.is_empty() || time > LOSS_TIME;
    (profile == SoakProfile::Planned && is_lost).then(|| {
        let sends = runs.len();
        format!(
            "{}: cut at VM {} after {time:?} and {sends} sends: {reason}",
            ask.id, ask.vm
        )
    })
}

/// Requests do not reach a target long after it said that it stops.
fn check_drain(records: &RunRecords) -> impl Iterator<Item = String> {
    records.runs.iter().filter_map(|run| {
        let draining_at = *records.draining.get(&run.target)?;
        let is_late = run.ran && run.at > draining_at + DRAIN_TIME;
        is_late.then(|| {
            let late = run.at - draining_at;
            format!(
                "{}: reached {} {late:?} after it said that it stops",
                run.id, run.target
            )
        })
    })
}

/// An organisation does not get more than its rate over all VMs.
fn check_rate(records: &RunRecords) -> Option<String> {
    let limited = |run: &&RunRecord| run.ran && run.organisation == LIMITED_ORGANISATION;
    let online: HashSet<&str> = records.asks.iter().map(|ask| ask.id.as_str()).collect();
    let runs = records.runs.iter().filter(limited);
    let mut times: Vec<Instant> = runs
        .filter(|run| online.contains(run.id.as_str()))
        .map(|run| run.at)
        .collect();
    times.sort();
    let window = u32::try_from(RATE_WINDOW.as_secs()).unwrap_or(u32::MAX);
    // Rate and burst with a tenth more, and twenty requests on the way.
    let most = (RATE_PER_S * window + RATE_PER_S) * 11 / 10 + 20;
    let counts = times.iter().enumerate().map(|(position, start)| {
        let within = times[position..]
            .iter()
            .take_while(|time| **time < *start + RATE_WINDOW);
        u32::try_from(within.count()).unwrap_or(u32::MAX)
    });
    let count = counts.max().unwrap_or(0);
    (count > most).then(|| format!("{count} requests of {LIMITED_ORGANISATION} ran, {most} may"))
}

/// Accepted jobs have each item once, with its whole output.
fn check_jobs(records: &RunRecords) -> Vec<String> {
    let whole: Vec<String> = (1..=EVENTS)
        .map(|number| format!("piece {number}"))
        .collect();
    let whole = whole.join("\n");
    let mut broken = Vec::new();
    let accepted = records
        .jobs
        .iter()
        .filter(|(_, job)| job.accepted_at.is_some());
    for (id, job) in accepted {
        let listed: HashSet<&str> = job
            .results
            .values()
            .map(|result| result.item.as_str())
            .collect();
        if listed.len() != job.results.len() {
            broken.push(format!("job {id}: an item stands at two positions"));
        }
        let missing: Vec<&String> = job
            .items
            .iter()
            .filter(|item| !listed.contains(item.as_str()))
            .collect();
        if !missing.is_empty() {
            broken.push(format!("job {id}: items without a result: {missing:?}"));
        }
        for result in job.results.values() {
            if !result.succeeded || result.output != whole {
                let JobResult {
                    item,
                    succeeded,
                    output,
                } = result;
                broken.push(format!(
                    "job {id}: item {item} ended with {output:?}, succeeded: {succeeded}"
                ));
            }
        }
    }
    broken
}
