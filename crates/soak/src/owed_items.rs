//! Checks that an item which no target has, beside a free target, waits for something that a VM has stated.

use crate::records::{FleetSample, JobRecord, OwedReport, RunRecords};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a target after which an item must have a stated wait.
const OWED_TIME: Duration = Duration::from_secs(5);
/// Time from the moment at which a VM has to state a wait until the line is read: the interval between looks at the items,
/// and that between reads of the logs.
const REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// Reads the report of an item from a line of a VM's log; `None` for other lines.
#[must_use]
pub fn parse_owed_report(line: &str, vm: &str, at: Instant) -> Option<OwedReport> {
    if !line.contains("item_owed") {
        return None;
    }
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    // Numbers of 128 bits are logged as text.
    let number = |name: &str| {
        let value = fields.get(name)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    };
    if text("event")? != "item_owed" {
        return None;
    }
    Some(OwedReport {
        at,
        vm: vm.to_owned(),
        job: text("job")?,
        item: text("item"),
        state: text("state")?,
        idle_ms: number("idle_ms"),
        free_targets: number("free_targets"),
    })
}

/// Returns one line for each item that waited beside a free target without a stated reason.
pub(crate) fn check_owed_items(records: &RunRecords) -> Vec<String> {
    let mut contacts: HashMap<&str, Vec<Instant>> = HashMap::new();
    for execution in &records.executions {
        if execution.executed {
            let times = contacts.entry(&execution.id).or_default();
            times.push(execution.seen_at);
        }
    }
    for sample in &records.samples {
        for id in &sample.running {
            contacts.entry(id).or_default().push(sample.at);
        }
    }
    let idle_ends: Vec<Instant> = (0..records.samples.len())
        .filter(|end| has_capacity(&records.samples[..=*end]))
        .map(|end| records.samples[end].at)
        .collect();
    let mut violations = Vec::new();
    for (id, job) in &records.jobs {
        let reports: Vec<&OwedReport> = records
            .owed_reports
            .iter()
            .filter(|report| report.job == *id)
            .collect();
        for item in &job.items {
            let contacts = contacts.get(item.as_str()).map_or(&[][..], Vec::as_slice);
            let owed = OwedSpan {
                job,
                item,
                contacts,
            };
            let unstated = idle_ends
                .iter()
                .copied()
                .filter(|end| owed.is_owed_at(*end) && !is_stated(&reports, item, *end));
            let unstated: Vec<Instant> = unstated.collect();
            if let (Some(first), Some(accepted_at)) = (unstated.first(), job.accepted_at) {
                let age = *first - accepted_at;
                let count = unstated.len();
                let last = last_report(&reports, item, *first);
                violations.push(format!(
                    "job {id}: item {item} was at no target for {OWED_TIME:?}, beside a free one, {age:?} after the job was \
                     accepted ({count} samples); last report: {last}"
                ));
            }
        }
    }
    violations
}

/// Whether one target was free, and one VM was up with a sound link to the store, at all samples of the time up to the last
/// one.
fn has_capacity(samples: &[FleetSample]) -> bool {
    let Some(last) = samples.last() else {
        return false;
    };
    let Some(start) = last.at.checked_sub(OWED_TIME) else {
        return false;
    };
    let Some(first) = samples.iter().rposition(|sample| sample.at <= start) else {
        return false;
    };
    let window = &samples[first..];
    let is_in_all = |has: &dyn Fn(&FleetSample) -> bool| window.iter().all(has);
    let has_target = last
        .free_targets
        .iter()
        .any(|target| is_in_all(&|sample| sample.free_targets.contains(target)));
    let has_vm = last
        .sound_vms
        .iter()
        .any(|vm| is_in_all(&|sample| sample.sound_vms.contains(vm)));
    has_target && has_vm
}

/// An item of an accepted job, with the times at which a target had it.
struct OwedSpan<'a> {
    job: &'a JobRecord,
    item: &'a str,
    contacts: &'a [Instant],
}

impl OwedSpan<'_> {
    /// Whether the item was neither listed nor at a target in the time up to `end`.
    fn is_owed_at(&self, end: Instant) -> bool {
        let is_accepted = self
            .job
            .accepted_at
            .is_some_and(|accepted_at| accepted_at + OWED_TIME <= end);
        let has_contact = self
            .contacts
            .iter()
            .any(|contact| *contact <= end && *contact + OWED_TIME > end);
        is_accepted && !has_contact && self.is_unlisted_at(end)
    }

    /// Whether a later read of the job's results did not have the item yet.
    fn is_unlisted_at(&self, end: Instant) -> bool {
        let mut listed = self.job.results.iter();
        let position = listed
            .find(|(_, result)| result.item == self.item)
            .map_or(usize::MAX, |(position, _)| *position);
        let mut reads = self.job.reads.iter();
        reads.any(|read| read.sent_at >= end && read.next <= position)
    }
}

fn concerns(report: &OwedReport, item: &str) -> bool {
    report.item.as_deref().is_none_or(|owed| owed == item)
}

/// Whether a VM stated, in the time up to `end`, a wait of the item for something other than a runner or a free target.
fn is_stated(reports: &[&OwedReport], item: &str, end: Instant) -> bool {
    let mut recent = reports
        .iter()
        .filter(|report| concerns(report, item))
        .filter(|report| report.at + OWED_TIME >= end && report.at <= end + REPORT_DELAY);
    recent.any(|report| {
        let has_free_target = report.free_targets.is_some_and(|count| count > 0);
        !(report.state == "runner" || report.state == "slot" && has_free_target)
    })
}

/// Describes what was last reported about the item.
fn last_report(reports: &[&OwedReport], item: &str, end: Instant) -> String {
    let last = reports
        .iter()
        .rfind(|report| concerns(report, item) && report.at <= end + REPORT_DELAY);
    last.map_or_else(
        || "none".to_owned(),
        |report| {
            format!(
                "{} at {}, idle for {:?} ms, free targets {:?}, {:?} before",
                report.state,
                report.vm,
                report.idle_ms,
                report.free_targets,
                end.saturating_duration_since(report.at)
            )
        },
    )
}
