//! Targets whose responses say that they leave, and what VMs tell each other about them.

use crate::notice::ReportScope;
use plantainmill_core::{TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a target that is still registered, and has not been heard to leave again, gets requests again.
const LEAVING_TIME: Duration = Duration::from_mins(10);
/// Time for which news are repeated in reports, since single datagrams are lost.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Largest number of targets that are remembered.
const MAX_LEAVING: usize = 1_024;
/// Largest number of entries in one report, which fits into a datagram.
const MAX_REPORTED: usize = 256;

/// A target that leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingEntry {
    /// Target whose response said so.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Start of that target, in milliseconds since the Unix epoch; zero if unknown. A later start does not leave.
    #[serde(rename = "b")]
    pub born: u64,
    /// Time since the last response that said so, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What a VM reports about targets that leave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingReport {
    /// At most one entry of each target.
    #[serde(default, rename = "l")]
    pub entries: Vec<LeavingEntry>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    born: u64,
    said_at: Uptime,
    /// When this VM learned of it.
    news_at: Uptime,
    /// A response to this VM said so.
    is_own: bool,
}

/// The targets that leave, by their responses.
#[derive(Debug, Default)]
pub struct LeavingLedger {
    marks: BTreeMap<TargetId, LeavingMark>,
}

impl LeavingLedger {
    /// Records that a response of `target`, which started at `born`, said that it leaves. Returns whether this is news.
    pub fn record_response(&mut self, target: &TargetId, born: u64, now: Uptime) -> bool {
        let mark = LeavingMark {
            born,
            said_at: now,
            news_at: now,
            is_own: true,
        };
        self.record(target, mark)
    }

    fn record(&mut self, target: &TargetId, mark: LeavingMark) -> bool {
        let Some(known) = self.marks.get_mut(target) else {
            if self.marks.len() >= MAX_LEAVING {
                return false;
            }
            self.marks.insert(target.clone(), mark);
            return true;
        };
        if mark.born < known.born {
            return false;
        }
        let is_news = mark.born > known.born;
        let news_at = if is_news { mark.news_at } else { known.news_at };
        *known = LeavingMark {
            said_at: mark.said_at.max(known.said_at),
            news_at,
            is_own: mark.is_own || known.is_own && !is_news,
            ..mark
        };
        is_news
    }

    /// Whether `target`, which started at `born`, leaves.
    #[must_use]
    pub fn is_leaving(&self, target: &TargetId, born: u64) -> bool {
        let mark = self.marks.get(target);
        mark.is_some_and(|mark| mark.born == 0 || born <= mark.born)
    }

    /// Records a report of another VM. Returns the targets that are news.
    pub fn record_report(&mut self, report: &LeavingReport, now: Uptime) -> Vec<TargetId> {
        let entries = report.entries.iter().filter_map(|entry| {
            let age = Duration::from_millis(entry.age_ms);
            let mark = LeavingMark {
                born: entry.born,
                said_at: now.saturating_sub(age),
                news_at: now,
                is_own: false,
            };
            let is_news = age < LEAVING_TIME && self.record(&entry.target, mark);
            is_news.then(|| entry.target.clone())
        });
        entries.collect()
    }

    /// Ends what has lasted long enough. Returns whether anything ended.
    pub fn tick(&mut self, now: Uptime) -> bool {
        let count = self.marks.len();
        self.marks
            .retain(|_, mark| now.saturating_sub(mark.said_at) < LEAVING_TIME);
        self.marks.len() != count
    }

    /// Whether there are news that a report of this scope should repeat.
    #[must_use]
    pub fn has_news(&self, scope: ReportScope, now: Uptime) -> bool {
        let mut marks = self.marks.values();
        marks.any(|mark| now.saturating_sub(mark.news_at) < NEWS_TIME && covers(scope, mark))
    }

    /// The report to other VMs, the latest news first.
    #[must_use]
    pub fn report(&self, scope: ReportScope, now: Uptime) -> LeavingReport {
        let covered = self.marks.iter().filter(|(_, mark)| covers(scope, mark));
        let mut covered: Vec<_> = covered.collect();
        covered.sort_by_key(|(_, mark)| Reverse(mark.news_at));
        let entries = covered.into_iter().take(MAX_REPORTED);
        LeavingReport {
            entries: entries
                .map(|(target, mark)| LeavingEntry {
                    target: target.clone(),
                    born: mark.born,
                    age_ms: u64::try_from(now.saturating_sub(mark.said_at).as_millis())
                        .unwrap_or(u64::MAX),
                })
                .collect(),
        }
    }

    /// Number of targets that leave.
    #[must_use]
    pub fn count(&self) -> usize {
        self.marks.len()
    }
}

fn covers(scope: ReportScope, mark: &LeavingMark) -> bool {
    scope == ReportScope::All || mark.is_own
}
