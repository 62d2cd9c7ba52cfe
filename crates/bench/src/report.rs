//! Results of a run: the four measures as a table, JSON and HTML, and the comparison of two runs.

use crate::html;
use crate::online::OnlineCounts;
use crate::scenario::OnlineLoad;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// Requests of one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationReport {
    /// Requests offered.
    pub offered: u64,
    /// Served whole.
    pub served: u64,
    /// Refused over the rate.
    pub limited: u64,
    /// Refused over the rate though within it.
    pub wrongful: u64,
    /// Failed or refused for another reason.
    pub failed: u64,
    /// Served against what was offered within the rate.
    pub share: f64,
}

/// Results of one phase.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PhaseReport {
    /// Time from scheduled arrival to first token, over all organisations.
    pub first_token: TimeSummary,
    /// Time between tokens, over all organisations.
    pub gap: TimeSummary,
    /// By organisation.
    pub organisations: BTreeMap<CompactString, OrganisationReport>,
    /// Batch items completed per second.
    pub batch_items_per_s: f64,
    /// Length of the measured part in seconds.
    pub seconds: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BenchReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Phase without batch work.
    pub online_only: PhaseReport,
    /// Phase with batch work.
    pub with_batch: Option<PhaseReport>,
    /// The four measures, by name.
    pub measures: BTreeMap<String, f64>,
}

impl PhaseReport {
    /// Sums up the counts of a phase.
    #[must_use]
    pub fn new(
        counts: &BTreeMap<CompactString, OnlineCounts>,
        loads: &[OnlineLoad],
        items: u64,
        seconds: f64,
    ) -> PhaseReport {
        let mut all = OnlineCounts::new();
        for each in counts.values() {
            // Adding histograms of the same bounds cannot fail.
            let _ = all.first_token_us.add(&each.first_token_us);
            let _ = all.gap_us.add(&each.gap_us);
        }
        let organisations = loads.iter().filter_map(|load| {
            let found = counts.get(&load.name)?;
            let entry = organisation_report(found, load, seconds);
            Some((load.name.clone(), entry))
        });
        PhaseReport {
            first_token: summary(&all.first_token_us),
            gap: summary(&all.gap_us),
            organisations: organisations.collect(),
            batch_items_per_s: as_f64(items) / seconds,
            seconds,
        }
    }

    /// Smallest share of any organisation.
    fn worst_share(&self) -> f64 {
        let shares = self.organisations.values().map(|each| each.share);
        shares.fold(1.0, f64::min)
    }

    /// Wrongful refusals against requests offered.
    fn wrongful_share(&self) -> f64 {
        let wrongful: u64 = self.organisations.values().map(|each| each.wrongful).sum();
        let offered: u64 = self.organisations.values().map(|each| each.offered).sum();
        as_f64(wrongful) / as_f64(offered.max(1))
    }
}

impl BenchReport {
    /// Works out the four measures.
    #[must_use]
    pub fn new(
        scenario: &str,
        online_only: PhaseReport,
        with_batch: Option<PhaseReport>,
        idle_items_per_s: Option<f64>,
    ) -> BenchReport {
        let last = with_batch.as_ref().unwrap_or(&online_only);
        let mut measures = BTreeMap::new();
        let mut set = |name: &str, value: f64| measures.insert(name.to_owned(), value);
        set("batch_items_per_s", last.batch_items_per_s);
        if let Some(idle) = idle_items_per_s {
            set("batch_share_of_idle", last.batch_items_per_s / idle);
        }
        set("online_first_token_p95_ms", last.first_token.p95_ms);
        if with_batch.is_some() {
            let harm = last.first_token.p95_ms / online_only.first_token.p95_ms;
            set("online_p95_harm_ratio", harm);
        }
        set("worst_organisation_share", last.worst_share());
        set("wrongful_refusals_share", last.wrongful_share());
        BenchReport {
            scenario: scenario.to_owned(),
            online_only,
            with_batch,
            measures,
        }
    }

    /// The report as text.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!("scenario {}\n", self.scenario);
        for (name, value) in &self.measures {
            let _ = writeln!(text, "{name:32} {value:12.4}");
        }
        let phases = [
            ("online only", Some(&self.online_only)),
            ("with batch", self.with_batch.as_ref()),
        ];
        for (name, phase) in phases {
            if let Some(phase) = phase {
                write_phase(&mut text, name, phase);
            }
        }
        text
    }

    /// The report as a self-contained HTML page.
    #[must_use]
    pub fn html(&self) -> String {
        html::page(self)
    }
}

/// The measures of two runs side by side.
#[must_use]
pub fn compare(before: &BenchReport, after: &BenchReport) -> String {
    let mut text = format!(
        "{:32} {:>12} {:>12} {:>8}\n",
        "measure", "before", "after", "ratio"
    );
    for (name, old) in &before.measures {
        if let Some(new) = after.measures.get(name) {
            let ratio = new / old;
            let _ = writeln!(text, "{name:32} {old:12.4} {new:12.4} {ratio:8.3}");
        }
    }
    text
}

fn write_phase(text: &mut String, name: &str, phase: &PhaseReport) {
    let first = phase.first_token;
    let gap = phase.gap;
    let _ = writeln!(
        text,
        "{name}: first token p50 {:.1} p95 {:.1} p99 {:.1} ms; gap p95 {:.1} ms; {:.1} items/s; {:.1} s",
        first.p50_ms,
        first.p95_ms,
        first.p99_ms,
        gap.p95_ms,
        phase.batch_items_per_s,
        phase.seconds
    );
    for (organisation, each) in &phase.organisations {
        let _ = writeln!(
            text,
            "  {organisation:16} offered {:6} served {:6} limited {:6} wrongful {:4} failed {:4} share {:.3}",
            each.offered, each.served, each.limited, each.wrongful, each.failed, each.share
        );
    }
}

fn organisation_report(
    counts: &OnlineCounts,
    load: &OnlineLoad,
    seconds: f64,
) -> OrganisationReport {
    // An organisation over its rate has used up its burst before the measured part starts.
    let contract = load.rate_per_s * seconds;
    let due = as_f64(counts.offered).min(contract).max(1.0);
    OrganisationReport {
        offered: counts.offered,
        served: counts.served,
        limited: counts.limited,
        wrongful: counts.wrongful(),
        failed: counts.failed,
        share: as_f64(counts.served) / due,
    }
}

fn summary(histogram: &Histogram<u64>) -> TimeSummary {
    let at = |quantile: f64| as_f64(histogram.value_at_quantile(quantile)) / 1_000.0;
    TimeSummary {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: as_f64(histogram.max()) / 1_000.0,
    }
}

/// Counts and microseconds of a run are far below 2^52, where `f64` is exact.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn as_f64(number: u64) -> f64 {
    number as f64
}
