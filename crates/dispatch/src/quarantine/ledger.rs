//! State machine of the quarantine: what this VM knows about prompt parts and requests, and which requests it rejects.

use super::evidence::{LOSS_RETENTION, LossRecord, PartEvidence, REPORT_DELAY};
use super::message::{QuarantineEntry, QuarantineKind};
use super::state::{
    CallParts, PartState, QuarantineChanges, QuarantineEvent, QuarantineRejection, SoundRecord,
};
use crate::dispatcher::TrafficClass;
use crate::rendezvous::{key_of, score};
use plantainmill_core::{PartId, RequestHash, Uptime, VmId};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Losses one after the other by which a part is quarantined.
const LOSSES_TO_QUARANTINE: usize = 4;
/// Different requests that must have been lost under the part. Those of one request say nothing about its parts.
const REQUESTS_TO_QUARANTINE: usize = 2;
/// Losses one after the other by which a single request is quarantined. Fewer callers are affected than by a part.
const REQUEST_LOSSES_TO_QUARANTINE: usize = 3;
/// Calls of the service without the part that must have begun an answer meanwhile. While nothing is answered, the part
/// is not the cause.
const OTHERS_TO_QUARANTINE: u32 = 1;
/// Duration of the first quarantine of a part; each further one lasts twice as long as the one before.
const FIRST_QUARANTINE: Duration = Duration::from_mins(2);
/// Delay of the first attempt of an item under which targets were lost, or one part of which is quarantined; each further one
/// is twice as long.
const FIRST_ITEM_DELAY: Duration = Duration::from_secs(1);
/// Further delay of an item with a quarantined part that has cost a target itself. Others are more likely to be sound.
const SUSPECT_ITEM_DELAY: Duration = Duration::from_secs(4);
/// Longest quarantine.
pub(super) const MAX_QUARANTINE: Duration = Duration::from_mins(32);
/// The ends of a quarantine at the VMs are spread over this fraction of its duration, so that the first VM whose call
/// loses a target warns the others before they try.
const SPREAD_DIVISOR: u32 = 4;
/// Time after the end of a quarantine in which one loss starts the next one.
const PROBATION: Duration = Duration::from_mins(10);
/// Longest time for which the one call with a part on probation keeps others from being sent.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after which a request may be repeated that found such a call under way.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest number of parts and requests with losses.
const MAX_SUSPECTS: usize = 128;
/// Largest number of parts and requests that are quarantined or on probation.
const MAX_QUARANTINED: usize = 32;
/// Largest number of parts and requests that are known to be sound.
const MAX_SOUND: usize = 64;
/// Largest number of decisions that wait for the store.
const MAX_CHANGES: usize = 64;

/// What one VM knows about prompt parts and requests.
#[derive(Debug)]
pub struct PartLedger {
    pub(super) vm_key: u64,
    pub(super) suspects: HashMap<PartId, PartEvidence>,
    pub(super) quarantined: HashMap<PartId, PartState>,
    pub(super) sound: HashMap<PartId, SoundRecord>,
    /// Parts and requests whose quarantine has begun or ended by a decision of this VM that is not stored yet.
    changed: HashSet<PartId>,
}

impl PartLedger {
    /// An empty ledger of `vm`.
    #[must_use]
    pub fn new(vm: &VmId) -> PartLedger {
        PartLedger {
            vm_key: key_of(vm),
            suspects: HashMap::new(),
            quarantined: HashMap::new(),
            sound: HashMap::new(),
            changed: HashSet::new(),
        }
    }

    /// Checks whether a request with `parts` and the hash `fingerprint` may be sent. Single batch items may be sent before the
    /// quarantine of a part ends.
    ///
    /// # Errors
    ///
    /// Returns the part or request that is quarantined, and the time after which the request may be sent.
    pub fn check(
        &self,
        parts: &[PartId],
        fingerprint: Option<RequestHash>,
        class: TrafficClass,
        now: Uptime,
    ) -> Result<(), QuarantineRejection> {
        let has_losses = fingerprint.is_some_and(|key| self.suspects.contains_key(&key));
        let mut keys = parts.iter().chain(&fingerprint);
        let rejection = keys.find_map(|part| {
            let state = self.quarantined.get(part)?;
            let mut open_from = state.open_from(class);
            if has_losses && open_from < state.own_until {
                open_from += SUSPECT_ITEM_DELAY;
            }
            let retry_after = if now < open_from {
                open_from.saturating_sub(now)
            } else {
                let since = state.trial_since?;
                (now < since + TRIAL_TIMEOUT).then_some(TRIAL_RETRY_AFTER)?
            };
            Some(QuarantineRejection {
                part: *part,
                kind: state.kind,
                retry_after,
            })
        });
        rejection.map_or(Ok(()), Err)
    }

    /// Records that a call which passed [`PartLedger::check`] is sent.
    pub fn record_send(&mut self, parts: &[PartId], fingerprint: Option<RequestHash>, now: Uptime) {
        for part in parts.iter().chain(&fingerprint) {
            if let Some(state) = self.quarantined.get_mut(part) {
                state.trial_since = Some(now);
            }
        }
    }

    /// Records that a call ended without showing anything about its parts.
    pub fn record_end(&mut self, call: &CallParts) {
        for part in call.parts.iter().chain(&call.fingerprint) {
            if let Some(state) = self.quarantined.get_mut(part)
                && state.trial_since == Some(call.sent_at)
            {
                state.trial_since = None;
            }
        }
    }

    /// Records that a call has begun an answer: its parts are sound. Its request may still crash the target later on.
    pub fn record_start(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        let service = key_of(&call.service);
        let others = self.suspects.iter_mut();
        let others =
            others.filter(|(part, evidence)| evidence.service == service && !call.contains(**part));
        for (_, evidence) in others {
            evidence.others_started = evidence.others_started.saturating_add(1);
        }
        let mut events = Vec::new();
        for part in &call.parts {
            events.extend(self.acquit(*part, call.sent_at, now));
        }
        events
    }

    /// Records that a call had a complete response: its parts and its request are sound.
    pub fn record_completion(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        let mut events = self.record_start(call, now);
        if let Some(fingerprint) = call.fingerprint {
            events.extend(self.acquit(fingerprint, call.sent_at, now));
        }
        events
    }

    /// Ends the suspicion and the quarantine of a part or request that proved sound in a call sent at `sent_at`.
    fn acquit(&mut self, part: PartId, sent_at: Uptime, now: Uptime) -> Option<QuarantineEvent> {
        let is_known = self.clear_suspicion(part, sent_at);
        let is_lifted = self.lift(part, sent_at, Duration::ZERO);
        if is_lifted {
            self.note_change(part);
        }
        let is_news = is_known || is_lifted;
        if is_news || self.sound.contains_key(&part) {
            self.record_sound(
                part,
                SoundRecord {
                    sent_at,
                    recorded_at: now,
                    is_own: true,
                    is_news,
                },
            );
        }
        is_lifted.then_some(QuarantineEvent::Lifted { part })
    }

    /// Records that the connection of a call was lost before it began an answer.
    pub fn record_loss(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        self.record_loss_under(&call.parts, call, now)
    }

    /// Records that the connection of a call was lost after it began an answer, which its parts have not prevented.
    pub fn record_stream_loss(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        self.record_loss_under(&[], call, now)
    }

    /// Records the loss of a call under `parts` and under its request.
    fn record_loss_under(
        &mut self,
        parts: &[PartId],
        call: &CallParts,
        now: Uptime,
    ) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        let is_explained = self.repeat_quarantine(parts, call, now, &mut events);
        let is_quarantined = |key: &RequestHash| self.quarantined.contains_key(key);
        let is_item = call.class == TrafficClass::Batch;
        if is_explained && (!is_item || call.fingerprint.iter().all(is_quarantined)) {
            return events;
        }
        let loss = LossRecord {
            target: key_of(&call.target),
            reporter: self.vm_key,
            request: call.fingerprint.unwrap_or(0),
            sent_at: call.sent_at,
            lost_at: now,
            recorded_at: now,
            is_known: false,
        };
        // An item that was sent in spite of the quarantine of a part may be what crashes targets.
        let parts = if is_explained { &[] } else { parts };
        let parts = parts.iter().map(|part| (*part, QuarantineKind::Part));
        let request = call.fingerprint.map(|key| (key, call.request_kind()));
        for suspect in parts.chain(request) {
            self.add_loss(suspect, key_of(&call.service), loss, now);
        }
        self.decide(now, &mut events);
        events
    }

    /// Handles the loss of a call with a part that is quarantined or on probation, or of such a request, which explains the
    /// loss. Returns false if there is none.
    fn repeat_quarantine(
        &mut self,
        parts: &[PartId],
        call: &CallParts,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) -> bool {
        let mut is_explained = false;
        for part in parts.iter().chain(&call.fingerprint) {
            let Some(state) = self.quarantined.get_mut(part) else {
                continue;
            };
            is_explained = true;
            state.last_sent = state.last_sent.max(call.sent_at);
            // Calls that were sent before the quarantine may be lost in it.
            if call.sent_at >= state.own_until {
                let (kind, level, last_sent) = (state.kind, state.level + 1, state.last_sent);
                self.quarantine((*part, kind), level, last_sent, now, events);
            } else if call.sent_at >= state.open_from(call.class) {
                let lost_items = state.lost_items + 1;
                self.postpone_items(*part, lost_items, now);
            }
        }
        is_explained
    }

    pub(super) fn add_loss(
        &mut self,
        (part, kind): (PartId, QuarantineKind),
        service: u64,
        loss: LossRecord,
        now: Uptime,
    ) {
        if !self.suspects.contains_key(&part) && self.suspects.len() >= MAX_SUSPECTS {
            // Parts of single requests have one loss each.
            let weakest = self.suspects.iter().min_by_key(|(part, evidence)| {
                (evidence.losses().len(), evidence.last_recorded(), **part)
            });
            if let Some(weakest) = weakest.map(|(part, _)| *part) {
                self.suspects.remove(&weakest);
            }
        }
        let evidence = self
            .suspects
            .entry(part)
            .or_insert_with(|| PartEvidence::new(kind, service));
        evidence.retain(|_| true, now);
        evidence.add(loss);
    }

    /// Quarantines the requests and parts with enough evidence, and removes the losses that they explain from others.
    pub(super) fn decide(&mut self, now: Uptime, events: &mut Vec<QuarantineEvent>) {
        self.decide_among(|kind| kind != QuarantineKind::Part, now, events);
        self.decide_among(|kind| kind == QuarantineKind::Part, now, events);
    }

    fn decide_among(
        &mut self,
        includes: impl Fn(QuarantineKind) -> bool,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) {
        let convicted = self
            .suspects
            .iter()
            .filter(|(_, evidence)| includes(evidence.kind) && is_sufficient(evidence));
        let convicted: Vec<PartId> = convicted.map(|(part, _)| *part).collect();
        for part in convicted {
            let Some(evidence) = self.suspects.remove(&part) else {
                continue;
            };
            let last_sent = evidence.last_sent();
            self.quarantine((part, evidence.kind), 0, last_sent, now, events);
            let explained = |loss: &LossRecord| {
                let mut losses = evidence.losses().iter();
                // The losses of a request remain evidence against its parts, which other requests may share.
                let is_own = evidence.kind != QuarantineKind::Part && loss.request == part;
                !is_own
                    && losses.any(|other| {
                        other.target == loss.target
                            && loss.lost_at.abs_diff(other.lost_at) < REPORT_DELAY
                    })
            };
            for other in self.suspects.values_mut() {
                other.retain(|loss| !explained(loss), now);
            }
            self.suspects
                .retain(|_, evidence| !evidence.losses().is_empty());
        }
    }

    fn quarantine(
        &mut self,
        (part, kind): (PartId, QuarantineKind),
        level: u32,
        last_sent: Uptime,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) {
        let until = now + duration_of(kind, level);
        let state = PartState::new(kind, level, until, last_sent, now);
        self.insert_state(part, state, now, events);
        self.note_change(part);
    }

    pub(super) fn insert_state(
        &mut self,
        part: PartId,
        mut state: PartState,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) {
        if !self.quarantined.contains_key(&part) && self.quarantined.len() >= MAX_QUARANTINED {
            let first = self
                .quarantined
                .iter()
                .min_by_key(|(part, state)| (state.until, **part));
            if let Some(first) = first.map(|(part, _)| *part) {
                self.quarantined.remove(&first);
                self.note_change(first);
            }
        }
        let duration = duration_of(state.kind, state.level);
        state.own_until = state.until + self.own_delay(part, duration);
        state.items_from = now + self.item_delay(part, state.lost_items);
        events.push(QuarantineEvent::Started {
            part,
            kind: state.kind,
            level: state.level,
            duration: state.own_until.saturating_sub(now),
            is_adopted: state.is_adopted,
        });
        self.suspects.remove(&part);
        self.quarantined.insert(part, state);
    }

    /// Delays the next item with a quarantined part, after so many of them have cost a target.
    pub(super) fn postpone_items(&mut self, part: PartId, lost_items: u32, now: Uptime) {
        let items_from = now + self.item_delay(part, lost_items);
        if let Some(state) = self.quarantined.get_mut(&part) {
            state.lost_items = lost_items;
            state.items_from = items_from;
            state.recorded_at = now;
        }
    }

    /// Delay of the next item with a quarantined part after so many of them have cost a target.
    fn item_delay(&self, part: PartId, lost_items: u32) -> Duration {
        let delay = duration_of(QuarantineKind::Item, lost_items);
        delay + self.own_delay(part, delay)
    }

    /// Time by which a wait of this `duration` ends later at this VM than at the first one.
    fn own_delay(&self, part: PartId, duration: Duration) -> Duration {
        let share = score(&self.vm_key.to_string(), part) % 1_000;
        let share = u32::try_from(share).unwrap_or(0);
        duration / SPREAD_DIVISOR * share / 1_000
    }

    fn note_change(&mut self, part: PartId) {
        if self.changed.len() < MAX_CHANGES {
            self.changed.insert(part);
        }
    }

    /// Takes the decisions of this VM since the last call, to store them. After a failure they have to be given back with
    /// [`PartLedger::restore_changes`].
    pub fn take_changes(&mut self, now: Uptime) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        for part in std::mem::take(&mut self.changed) {
            match self.quarantined.get(&part) {
                Some(state) => changes.started.push(state.entry(part, now)),
                None => changes.ended.push(part),
            }
        }
        changes
    }

    /// Gives back decisions that could not be stored.
    pub fn restore_changes(&mut self, changes: &QuarantineChanges) {
        let started = changes.started.iter().map(|entry| entry.part);
        for part in started.chain(changes.ended.iter().copied()) {
            self.note_change(part);
        }
    }

    /// Takes up a quarantine from the store that was decided before this VM started. One that has ended continues as
    /// probation.
    pub fn restore(&mut self, entry: QuarantineEntry, now: Uptime) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        if self.quarantined.contains_key(&entry.part) || self.sound.contains_key(&entry.part) {
            return events;
        }
        let remaining = Duration::from_millis(entry.remaining_ms).min(MAX_QUARANTINE);
        let last_sent = now.saturating_sub(Duration::from_millis(entry.sent_age_ms));
        let state = PartState {
            is_adopted: true,
            lost_items: entry.lost_items,
            ..PartState::new(entry.kind, entry.level, now + remaining, last_sent, now)
        };
        self.insert_state(entry.part, state, now, &mut events);
        events
    }

    /// Removes the losses that a call which was sent at `sent_at` refutes. Returns whether other VMs know of them.
    pub(super) fn clear_suspicion(&mut self, part: PartId, sent_at: Uptime) -> bool {
        let Some(evidence) = self.suspects.get_mut(&part) else {
            return false;
        };
        let is_known = evidence.clear_until(sent_at);
        if evidence.losses().is_empty() {
            self.suspects.remove(&part);
        }
        is_known
    }

    /// Ends the quarantine of a part of which a call that was sent at `sent_at` has begun an answer, unless a later call
    /// was lost. `margin` is the uncertainty of that time. Returns whether there was one.
    pub(super) fn lift(&mut self, part: PartId, sent_at: Uptime, margin: Duration) -> bool {
        let is_refuted = self
            .quarantined
            .get(&part)
            .is_some_and(|state| sent_at >= state.last_sent + margin);
        if is_refuted {
            self.quarantined.remove(&part);
        }
        is_refuted
    }

    pub(super) fn record_sound(&mut self, part: PartId, record: SoundRecord) {
        if !self.sound.contains_key(&part) && self.sound.len() >= MAX_SOUND {
            let oldest = self
                .sound
                .iter()
                .min_by_key(|(part, record)| (record.recorded_at, **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.sound.remove(&oldest);
            }
        }
        let known = self.sound.entry(part).or_insert(record);
        if record.sent_at > known.sent_at {
            // A part that goes on beginning answers is reported only when it is suspected again.
            let recorded_at = if record.is_news {
                record.recorded_at
            } else {
                known.recorded_at
            };
            *known = SoundRecord {
                recorded_at,
                is_news: record.is_news || known.is_news,
                ..record
            };
        }
    }

    /// Ends what has lasted long enough.
    pub fn tick(&mut self, now: Uptime) -> Vec<QuarantineEvent> {
        for evidence in self.suspects.values_mut() {
            evidence.retain(|_| true, now);
        }
        self.suspects
            .retain(|_, evidence| !evidence.losses().is_empty());
        self.sound
            .retain(|_, record| now.saturating_sub(record.recorded_at) < LOSS_RETENTION);
        let ended = self
            .quarantined
            .iter()
            .filter(|(_, state)| now >= state.own_until + PROBATION);
        let ended: Vec<(PartId, bool)> = ended
            .map(|(part, state)| (*part, state.is_adopted))
            .collect();
        for (part, is_adopted) in ended {
            self.quarantined.remove(&part);
            if !is_adopted {
                self.note_change(part);
            }
        }
        let mut events = Vec::new();
        for (part, state) in &mut self.quarantined {
            if now >= state.own_until && !state.has_expired {
                state.has_expired = true;
                events.push(QuarantineEvent::Expired { part: *part });
            }
        }
        events
    }

    /// Number of parts, or of requests and items, that are rejected at `now`.
    #[must_use]
    pub fn quarantined_count(&self, counts_parts: bool, now: Uptime) -> usize {
        let states = self.quarantined.values();
        let counted = states.filter(|state| {
            now < state.own_until && (state.kind == QuarantineKind::Part) == counts_parts
        });
        counted.count()
    }

    /// Parts and requests with losses, and those in quarantine or on probation with their level and the time until the end.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> serde_json::Value {
        let suspects = self.suspects.iter().map(|(part, evidence)| {
            serde_json::json!({
                "part": format!("{part:016x}"), "kind": evidence.kind, "losses": evidence.losses().len(),
                "sequence": evidence.sequence_length(), "others_started": evidence.others_started,
            })
        });
        let quarantined = self.quarantined.iter().map(|(part, state)| {
            serde_json::json!({
                "part": format!("{part:016x}"), "kind": state.kind, "level": state.level, "adopted": state.is_adopted,
                "left_s": state.own_until.saturating_sub(now).as_secs(),
            })
        });
        serde_json::json!({
            "suspects": suspects.collect::<Vec<_>>(),
            "quarantined": quarantined.collect::<Vec<_>>(),
        })
    }
}

fn is_sufficient(evidence: &PartEvidence) -> bool {
    let has_enough_losses = match evidence.kind {
        QuarantineKind::Part => {
            evidence.sequence_length() >= LOSSES_TO_QUARANTINE
                && evidence.request_count() >= REQUESTS_TO_QUARANTINE
        }
        QuarantineKind::Request | QuarantineKind::Item => {
            evidence.sequence_length() >= REQUEST_LOSSES_TO_QUARANTINE
        }
    };
    evidence.others_started >= OTHERS_TO_QUARANTINE && has_enough_losses
}

fn duration_of(kind: QuarantineKind, level: u32) -> Duration {
    let first = match kind {
        QuarantineKind::Part | QuarantineKind::Request => FIRST_QUARANTINE,
        QuarantineKind::Item => FIRST_ITEM_DELAY,
    };
    let factor = 2_u32.saturating_pow(level.min(16));
    (first * factor).min(MAX_QUARANTINE)
}
