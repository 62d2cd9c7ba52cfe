//! What targets state about their own load in their responses, and what VMs tell each other about it.
//!
//! A statement is advice: it makes a target more or less preferred for about a second, and excludes none. What it can
//! change is bounded, so that a false one costs little.

use plantainmill_core::{TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a statement no longer counts. Its weight falls evenly until then: targets change their pace every few
/// hundred milliseconds.
const STATED_TIME: Duration = Duration::from_secs(1);
/// Time for which the requests that a target states correct what load reports say, which is about two report intervals.
const USED_TIME: Duration = Duration::from_millis(250);
/// Requests that a target may state beyond those in load reports before they count: as many start and end within the time
/// that reports take. Without the margin, fewer first events are in time than without statements.
const UNSEEN_MARGIN: u32 = 4;
/// Time for which own statements are repeated in reports, so that one falls into the longest interval between two reports.
const SHARE_TIME: Duration = Duration::from_millis(400);
/// Time for which a relay repeats the statements of others, which is two of its batches.
const RELAY_TIME: Duration = Duration::from_millis(100);
/// Two statements of one target whose times differ by less are the same one: the time in transit is not counted in ages.
const SAME_STATEMENT: Duration = Duration::from_millis(20);
/// Largest number of targets whose statements are kept.
const MAX_STATED: usize = 8_192;
/// Largest number of statements in one report, some 30 bytes each. The newest ones go first, which is a fair sample.
const MAX_SHARED: usize = 64;
/// Bounds of the pace that counts, in percent of the usual time; figures beyond them count as the bound.
const PACE_BOUNDS: (u32, u32) = (50, 400);
/// Pace in percent from which a target counts as slow in the gauge.
const SLOW_PACE: u32 = 150;
/// Largest accepted figure in a statement. Greater ones are malformed.
const MAX_FIGURE: u32 = 1_000_000;

/// What one response says about the load of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetStatement {
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Slots of the target.
    pub slots: u32,
    /// How long work takes at the target now, in percent of the usual time; `None` if the target does not state it.
    pub pace: Option<u32>,
}

impl TargetStatement {
    /// Parses `running,waiting,slots` or `running,waiting,slots,pace`. Returns `None` if any figure is malformed.
    #[must_use]
    pub fn parse(value: &str) -> Option<TargetStatement> {
        let figures: Option<Vec<u32>> = value.split(',').take(5).map(parse_figure).collect();
        let (running, waiting, slots, pace) = match figures?.as_slice() {
            [running, waiting, slots] => (*running, *waiting, *slots, None),
            [running, waiting, slots, pace] if *pace > 0 => {
                (*running, *waiting, *slots, Some(*pace))
            }
            _ => return None,
        };
        (slots > 0).then_some(TargetStatement {
            running,
            waiting,
            slots,
            pace,
        })
    }
}

fn parse_figure(text: &str) -> Option<u32> {
    let figure = text.trim().parse().ok()?;
    (figure <= MAX_FIGURE).then_some(figure)
}

/// A statement in a report: target, running and waiting requests, pace in percent (zero if not stated), age in
/// milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatedEntry(pub TargetId, pub u32, pub u32, pub u32);

/// How a VM has learned of a statement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StatedSource {
    /// By a response to this VM.
    Own,
    /// From a VM of the same failure domain.
    Near,
    /// From another failure domain.
    Far,
}

/// Receivers of a report of statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatedScope {
    /// VMs of the own failure domain, or its relays: what responses to this VM said.
    Own,
    /// VMs of the own failure domain, to which this VM relays what it has heard.
    Relay,
    /// Other failure domains: what responses to VMs of the own one said.
    Domain,
}

#[derive(Clone, Copy, Debug)]
struct StatedMark {
    used: u32,
    pace: Option<u32>,
    stated_at: Uptime,
    received_at: Uptime,
    source: StatedSource,
    /// It came from a relay, so that the VMs of the domain have it.
    is_relayed: bool,
}

impl StatedMark {
    fn age(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.stated_at)
    }

    fn weight(&self, now: Uptime) -> f64 {
        1.0 - (self.age(now).as_secs_f64() / STATED_TIME.as_secs_f64()).min(1.0)
    }

    fn is_shared(&self, scope: StatedScope, now: Uptime) -> bool {
        let since = now.saturating_sub(self.received_at);
        match scope {
            StatedScope::Own => self.source == StatedSource::Own && since < SHARE_TIME,
            StatedScope::Relay => !self.is_relayed && since < RELAY_TIME,
            StatedScope::Domain => self.source <= StatedSource::Near && since < SHARE_TIME,
        }
    }
}

/// The latest statement of each target.
#[derive(Debug, Default)]
pub struct StatedLoads {
    marks: BTreeMap<TargetId, StatedMark>,
}

impl StatedLoads {
    /// Records what a response to this VM says about `target`. Returns whether the other VMs should know soon, because the
    /// target has become slow or is no longer slow.
    pub fn record_response(
        &mut self,
        target: &TargetId,
        statement: TargetStatement,
        now: Uptime,
    ) -> bool {
        let mark = StatedMark {
            used: statement.running + statement.waiting,
            pace: statement.pace,
            stated_at: now,
            received_at: now,
            source: StatedSource::Own,
            is_relayed: false,
        };
        let was_slow = self.marks.get(target).is_some_and(is_slow);
        self.record(target, mark) && was_slow != is_slow(&mark)
    }

    /// Records what another VM has heard. `is_relayed` states that it came through a relay of the own failure domain.
    pub fn record_entries(
        &mut self,
        entries: &[StatedEntry],
        source: StatedSource,
        is_relayed: bool,
        now: Uptime,
    ) {
        for StatedEntry(target, used, pace, age_ms) in entries {
            let age = Duration::from_millis(u64::from(*age_ms));
            if age >= STATED_TIME {
                continue;
            }
            let mark = StatedMark {
                used: *used,
                pace: (*pace > 0).then_some(*pace),
                stated_at: now.saturating_sub(age),
                received_at: now,
                source,
                is_relayed,
            };
            self.record(target, mark);
        }
    }

    fn record(&mut self, target: &TargetId, mark: StatedMark) -> bool {
        let Some(known) = self.marks.get_mut(target) else {
            if self.marks.len() >= MAX_STATED {
                return false;
            }
            self.marks.insert(target.clone(), mark);
            return true;
        };
        let is_newer = mark.source == StatedSource::Own && mark.stated_at >= known.stated_at
            || mark.stated_at > known.stated_at + SAME_STATEMENT;
        if is_newer {
            *known = mark;
        } else {
            // A relay need not repeat what another one has sent.
            known.is_relayed |= mark.is_relayed;
        }
        is_newer
    }

    /// Removes the statements that no longer count.
    pub fn expire(&mut self, now: Uptime) {
        self.marks.retain(|_, mark| mark.age(now) < STATED_TIME);
    }

    /// Requests at `target` by its own statement, at most `limit`, less a margin, while that is recent. Load reports miss
    /// the calls of VMs that are lost or cut off.
    #[must_use]
    pub fn used(&self, target: &TargetId, limit: u32, now: Uptime) -> Option<u32> {
        let mark = self.marks.get(target)?;
        let used = mark.used.min(limit).saturating_sub(UNSEEN_MARGIN);
        (mark.age(now) < USED_TIME).then_some(used)
    }

    /// The pace of most of `targets`, by which each of them is judged; `None` if none states one. If all are equally slow,
    /// none counts as slow.
    #[must_use]
    pub fn usual_pace<'a>(
        &self,
        targets: impl Iterator<Item = &'a TargetId>,
        now: Uptime,
    ) -> Option<u32> {
        if self.marks.is_empty() {
            return None;
        }
        let marks = targets.filter_map(|target| self.marks.get(target));
        let fresh = marks.filter(|mark| mark.age(now) < STATED_TIME);
        let mut paces: Vec<u32> = fresh.filter_map(bounded_pace).collect();
        paces.sort_unstable();
        paces.get(paces.len().saturating_sub(1) / 2).copied()
    }

    /// How much longer than at targets of the `usual` pace work takes at `target`, as a multiple of the usual time, weighted
    /// by the age of its statement. Zero if it is not slower or states nothing; at most 7.
    #[must_use]
    pub fn delay(&self, target: &TargetId, usual: Option<u32>, now: Uptime) -> f64 {
        let mark = self.marks.get(target);
        let pace = mark.and_then(bounded_pace).map(f64::from);
        let (Some(mark), Some(pace), Some(usual)) = (mark, pace, usual) else {
            return 0.0;
        };
        (pace / f64::from(usual) - 1.0).max(0.0) * mark.weight(now)
    }

    /// The report for the receivers in `scope`, the newest statements first.
    #[must_use]
    pub fn report(&self, scope: StatedScope, now: Uptime) -> Vec<StatedEntry> {
        let shared = self.marks.iter();
        let shared =
            shared.filter(|(_, mark)| mark.is_shared(scope, now) && mark.age(now) < STATED_TIME);
        let mut shared: Vec<_> = shared.collect();
        shared.sort_by_key(|(_, mark)| Reverse(mark.stated_at));
        let entries = shared.into_iter().take(MAX_SHARED);
        entries
            .map(|(target, mark)| {
                let age_ms = u32::try_from(mark.age(now).as_millis()).unwrap_or(u32::MAX);
                StatedEntry(target.clone(), mark.used, mark.pace.unwrap_or(0), age_ms)
            })
            .collect()
    }

    /// Number of targets that say that they are slow.
    #[must_use]
    pub fn slow_count(&self, now: Uptime) -> usize {
        let marks = self.marks.values();
        let fresh = marks.filter(|mark| mark.age(now) < STATED_TIME);
        fresh.filter(|mark| is_slow(mark)).count()
    }

    /// All statements that count, for the diagnostic dump.
    pub fn entries(&self, now: Uptime) -> impl Iterator<Item = StatedEntry> {
        let fresh = self.marks.iter();
        let fresh = fresh.filter(move |(_, mark)| mark.age(now) < STATED_TIME);
        fresh.map(move |(target, mark)| {
            let age_ms = u32::try_from(mark.age(now).as_millis()).unwrap_or(u32::MAX);
            StatedEntry(target.clone(), mark.used, mark.pace.unwrap_or(0), age_ms)
        })
    }
}

fn is_slow(mark: &StatedMark) -> bool {
    mark.pace.is_some_and(|pace| pace >= SLOW_PACE)
}

fn bounded_pace(mark: &StatedMark) -> Option<u32> {
    let (least, most) = PACE_BOUNDS;
    mark.pace.map(|pace| pace.clamp(least, most))
}
