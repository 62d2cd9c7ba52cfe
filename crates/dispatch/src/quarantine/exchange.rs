//! Reports of the quarantine: what a VM tells others, and what it takes from their reports.

use super::evidence::{LossRecord, PartEvidence, REPORT_DELAY};
use super::ledger::{MAX_QUARANTINE, PartLedger};
use super::message::{LossEntry, PartReport, QuarantineEntry, SoundEntry};
use super::state::{PartState, QuarantineEvent, SoundRecord};
use crate::notice::ReportScope;
use plantainmill_core::{PartId, Uptime};
use std::cmp::Reverse;
use std::time::Duration;

/// Time for which news are repeated in reports, since single datagrams are lost.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Interval at which a VM repeats its own decisions, for VMs that were out of touch with it.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Largest number of losses in one report: those of the most suspected parts and requests, the latest first.
const MAX_REPORTED_LOSSES: usize = 48;

impl PartLedger {
    /// Records a report of another VM.
    pub fn record_report(&mut self, report: &PartReport, now: Uptime) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        let time_of = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        for entry in &report.sound {
            let sent_at = time_of(entry.sent_age_ms);
            let record = SoundRecord {
                sent_at,
                recorded_at: now,
                is_own: false,
                is_news: true,
            };
            let is_new = self
                .sound
                .get(&entry.part)
                .is_none_or(|known| sent_at > known.sent_at + REPORT_DELAY);
            if is_new {
                self.record_sound(entry.part, record);
            }
            self.clear_suspicion(entry.part, sent_at);
            if self.lift(entry.part, sent_at, Duration::ZERO) {
                events.push(QuarantineEvent::Lifted { part: entry.part });
            }
        }
        for entry in &report.losses {
            if entry.reporter == self.vm_key || self.quarantined.contains_key(&entry.part) {
                continue;
            }
            let loss = LossRecord {
                target: entry.target,
                reporter: entry.reporter,
                request: entry.request,
                sent_at: time_of(entry.sent_age_ms),
                lost_at: time_of(entry.lost_age_ms),
                recorded_at: now,
                is_known: true,
            };
            if !self.is_refuted(entry.part, loss.sent_at) {
                self.add_loss((entry.part, entry.kind), entry.service, loss, now);
            }
        }
        for entry in &report.quarantined {
            self.adopt(*entry, now, &mut events);
        }
        self.decide(now, &mut events);
        events
    }

    /// Whether a call with the part that was sent later than `sent_at`, at another VM, began an answer.
    fn is_refuted(&self, part: PartId, sent_at: Uptime) -> bool {
        let sound = self.sound.get(&part);
        sound.is_some_and(|sound| sent_at <= sound.sent_at + REPORT_DELAY)
    }

    fn adopt(&mut self, entry: QuarantineEntry, now: Uptime, events: &mut Vec<QuarantineEvent>) {
        let last_sent = now.saturating_sub(Duration::from_millis(entry.sent_age_ms));
        let remaining = Duration::from_millis(entry.remaining_ms).min(MAX_QUARANTINE);
        let known = self.quarantined.get(&entry.part);
        let known = known.filter(|known| known.level >= entry.level);
        let is_known = known.is_some();
        if known
            .is_some_and(|known| known.level == entry.level && known.lost_items < entry.lost_items)
        {
            self.postpone_items(entry.part, entry.lost_items, now);
        }
        if is_known || remaining.is_zero() || self.is_refuted(entry.part, last_sent) {
            return;
        }
        let state = PartState {
            is_adopted: true,
            lost_items: entry.lost_items,
            ..PartState::new(entry.kind, entry.level, now + remaining, last_sent, now)
        };
        self.insert_state(entry.part, state, now, events);
    }

    /// Whether there are news that a report of this scope should repeat.
    #[must_use]
    pub fn has_news(&self, scope: ReportScope, now: Uptime) -> bool {
        let is_fresh = |recorded_at: Uptime| now.saturating_sub(recorded_at) < NEWS_TIME;
        let mut losses = self.suspects.values().flat_map(PartEvidence::losses);
        losses.any(|loss| is_fresh(loss.recorded_at) && self.covers(scope, loss.reporter))
            || self.sound.values().any(|record| {
                record.is_news
                    && is_fresh(record.recorded_at)
                    && (record.is_own || scope == ReportScope::All)
            })
            || self.quarantined.values().any(|state| {
                let is_due = now.saturating_sub(state.reported_at) >= REPEAT_TIME;
                let is_unheard = is_due && !state.is_adopted && now < state.until;
                let is_covered = !state.is_adopted || scope == ReportScope::All;
                is_unheard || (is_fresh(state.recorded_at) && is_covered)
            })
    }

    fn covers(&self, scope: ReportScope, reporter: u64) -> bool {
        scope == ReportScope::All || reporter == self.vm_key
    }

    /// The report to other VMs: news, and all parts in quarantine.
    pub fn report(&mut self, scope: ReportScope, now: Uptime) -> PartReport {
        let age_ms = |time: Uptime| u64::try_from(now.saturating_sub(time).as_millis());
        let age_ms = |time: Uptime| age_ms(time).unwrap_or(u64::MAX);
        let is_fresh = |recorded_at: Uptime| now.saturating_sub(recorded_at) < NEWS_TIME;
        let vm_key = self.vm_key;
        let mut losses: Vec<(Reverse<usize>, Reverse<Uptime>, LossEntry)> = Vec::new();
        for (part, evidence) in &mut self.suspects {
            let (kind, service) = (evidence.kind, evidence.service);
            let weight = evidence.losses().len();
            let reported = evidence.losses_mut().filter(|loss| {
                is_fresh(loss.recorded_at) && (scope == ReportScope::All || loss.reporter == vm_key)
            });
            for loss in reported {
                loss.is_known = true;
                let entry = LossEntry {
                    part: *part,
                    kind,
                    request: loss.request,
                    service,
                    target: loss.target,
                    reporter: loss.reporter,
                    sent_age_ms: age_ms(loss.sent_at),
                    lost_age_ms: age_ms(loss.lost_at),
                };
                losses.push((Reverse(weight), Reverse(loss.recorded_at), entry));
            }
        }
        for state in self.quarantined.values_mut() {
            state.reported_at = now;
        }
        losses.sort_by_key(|(weight, recorded_at, entry)| (*weight, *recorded_at, entry.part));
        losses.truncate(MAX_REPORTED_LOSSES);
        let sound = self.sound.iter().filter(|(_, record)| {
            record.is_news
                && is_fresh(record.recorded_at)
                && (record.is_own || scope == ReportScope::All)
        });
        let quarantined = self
            .quarantined
            .iter()
            .filter(|(_, state)| now < state.until);
        PartReport {
            losses: losses.into_iter().map(|(_, _, entry)| entry).collect(),
            sound: sound
                .map(|(part, record)| SoundEntry {
                    part: *part,
                    sent_age_ms: age_ms(record.sent_at),
                })
                .collect(),
            quarantined: quarantined
                .map(|(part, state)| state.entry(*part, now))
                .collect(),
        }
    }
}
