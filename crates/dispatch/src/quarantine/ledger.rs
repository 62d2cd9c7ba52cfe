//! State machine of the quarantine: what this VM knows about prompt parts, and which requests it rejects.

use super::evidence::{LOSS_RETENTION, LossRecord, PartEvidence, REPORT_DELAY};
use crate::rendezvous::{key_of, score};
use plantainmill_core::{PartId, RequestHash, ServiceName, TargetId, Uptime, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Losses one after the other by which a part is quarantined.
const LOSSES_TO_QUARANTINE: usize = 4;
/// Calls of the service without the part that must have begun an answer meanwhile. While nothing is answered, the part
/// is not the cause.
const OTHERS_TO_QUARANTINE: u32 = 1;
/// Duration of the first quarantine of a part; each further one lasts twice as long as the one before.
const FIRST_QUARANTINE: Duration = Duration::from_mins(2);
/// Longest quarantine of a part.
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
/// Largest number of parts with losses.
const MAX_SUSPECTS: usize = 64;
/// Largest number of parts that are quarantined or on probation.
const MAX_QUARANTINED: usize = 32;
/// Largest number of parts that are known to be sound.
const MAX_SOUND: usize = 64;

/// A call and the parts of its prompt.
#[derive(Clone, Debug)]
pub struct CallParts {
    /// Parts of the prompt.
    pub parts: Vec<PartId>,
    /// Hash of the whole request.
    pub fingerprint: Option<RequestHash>,
    /// Service that the call is for.
    pub service: ServiceName,
    /// Target that the call was sent to.
    pub target: TargetId,
    /// When it was sent.
    pub sent_at: Uptime,
}

/// A change of state, for the log and the counters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// Requests with the part are rejected from now on.
    Started {
        /// Quarantined part.
        part: PartId,
        /// Number of quarantines of the part before this one.
        level: u32,
        /// Time until the end at this VM.
        duration: Duration,
        /// Another VM has decided this.
        is_adopted: bool,
    },
    /// A call with the part began an answer, so the part is sound.
    Lifted {
        /// Part that is no longer quarantined.
        part: PartId,
    },
    /// The quarantine has ended. Single calls with the part are sent again.
    Expired {
        /// Part that is on probation.
        part: PartId,
    },
}

#[derive(Clone, Debug)]
pub(super) struct PartState {
    pub level: u32,
    /// End for the whole fleet; this VM adds its own delay.
    pub until: Uptime,
    /// End at this VM.
    pub own_until: Uptime,
    /// When the last lost call was sent.
    pub last_sent: Uptime,
    /// When this VM learned of the quarantine.
    pub recorded_at: Uptime,
    pub is_adopted: bool,
    /// The end has been reported as an event.
    pub has_expired: bool,
    /// Start of the one call with the part that is under way on probation.
    pub trial_since: Option<Uptime>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct SoundRecord {
    pub sent_at: Uptime,
    pub recorded_at: Uptime,
    pub is_own: bool,
    /// Others suspect the part, so they have to be told.
    pub is_news: bool,
}

/// What one VM knows about prompt parts.
#[derive(Debug)]
pub struct PartLedger {
    pub(super) vm_key: u64,
    pub(super) suspects: HashMap<PartId, PartEvidence>,
    pub(super) quarantined: HashMap<PartId, PartState>,
    pub(super) sound: HashMap<PartId, SoundRecord>,
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
        }
    }

    /// Checks whether a request with `parts` may be sent.
    ///
    /// # Errors
    ///
    /// Returns the rejecting part and the time after which a request with it may be sent.
    pub fn check(&self, parts: &[PartId], now: Uptime) -> Result<(), (PartId, Duration)> {
        let rejection = parts.iter().find_map(|part| {
            let state = self.quarantined.get(part)?;
            if now < state.own_until {
                return Some((*part, state.own_until.saturating_sub(now)));
            }
            let since = state.trial_since?;
            (now < since + TRIAL_TIMEOUT).then_some((*part, TRIAL_RETRY_AFTER))
        });
        rejection.map_or(Ok(()), Err)
    }

    /// Records that a call with `parts`, which passed [`PartLedger::check`], is sent.
    pub fn record_send(&mut self, parts: &[PartId], now: Uptime) {
        for part in parts {
            if let Some(state) = self.quarantined.get_mut(part) {
                state.trial_since = Some(now);
            }
        }
    }

    /// Records that a call ended without showing anything about its parts.
    pub fn record_end(&mut self, call: &CallParts) {
        for part in &call.parts {
            if let Some(state) = self.quarantined.get_mut(part)
                && state.trial_since == Some(call.sent_at)
            {
                state.trial_since = None;
            }
        }
    }

    /// Records that a call has begun an answer: its parts are sound.
    pub fn record_start(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        let service = key_of(&call.service);
        let others = self.suspects.iter_mut();
        let others = others
            .filter(|(part, evidence)| evidence.service == service && !call.parts.contains(part));
        for (_, evidence) in others {
            evidence.others_started = evidence.others_started.saturating_add(1);
        }
        let mut events = Vec::new();
        for part in &call.parts {
            let is_known = self.clear_suspicion(*part, call.sent_at);
            let is_lifted = self.lift(*part, call.sent_at, Duration::ZERO);
            if is_lifted {
                events.push(QuarantineEvent::Lifted { part: *part });
            }
            let is_news = is_known || is_lifted;
            if is_news || self.sound.contains_key(part) {
                self.record_sound(
                    *part,
                    SoundRecord {
                        sent_at: call.sent_at,
                        recorded_at: now,
                        is_own: true,
                        is_news,
                    },
                );
            }
        }
        events
    }

    /// Records that the connection of a call was lost before it began an answer.
    pub fn record_loss(&mut self, call: &CallParts, now: Uptime) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        if self.repeat_quarantine(call, now, &mut events) {
            return events;
        }
        let loss = LossRecord {
            target: key_of(&call.target),
            reporter: self.vm_key,
            sent_at: call.sent_at,
            lost_at: now,
            recorded_at: now,
            is_known: false,
        };
        for part in &call.parts {
            self.add_loss(*part, key_of(&call.service), loss, now);
        }
        self.decide(now, &mut events);
        events
    }

    /// Handles the loss of a call with a part that is quarantined or on probation, which explains the loss. Returns false
    /// if there is no such part.
    fn repeat_quarantine(
        &mut self,
        call: &CallParts,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) -> bool {
        let mut is_explained = false;
        for part in &call.parts {
            let Some(state) = self.quarantined.get_mut(part) else {
                continue;
            };
            is_explained = true;
            state.last_sent = state.last_sent.max(call.sent_at);
            // Calls that were sent before the quarantine may be lost in it.
            if call.sent_at >= state.own_until {
                let level = state.level + 1;
                let last_sent = state.last_sent;
                self.quarantine(*part, level, last_sent, now, events);
            }
        }
        is_explained
    }

    pub(super) fn add_loss(&mut self, part: PartId, service: u64, loss: LossRecord, now: Uptime) {
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
            .or_insert_with(|| PartEvidence::new(service));
        evidence.retain(|_| true, now);
        evidence.add(loss);
    }

    /// Quarantines the parts with enough evidence, and removes the losses that they explain from other parts.
    pub(super) fn decide(&mut self, now: Uptime, events: &mut Vec<QuarantineEvent>) {
        let convicted = self.suspects.iter().filter(|(_, evidence)| {
            evidence.others_started >= OTHERS_TO_QUARANTINE
                && evidence.sequence_length() >= LOSSES_TO_QUARANTINE
        });
        let convicted: Vec<PartId> = convicted.map(|(part, _)| *part).collect();
        for part in convicted {
            let Some(evidence) = self.suspects.remove(&part) else {
                continue;
            };
            self.quarantine(part, 0, evidence.last_sent(), now, events);
            let explained = |loss: &LossRecord| {
                let mut losses = evidence.losses().iter();
                losses.any(|other| {
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
        part: PartId,
        level: u32,
        last_sent: Uptime,
        now: Uptime,
        events: &mut Vec<QuarantineEvent>,
    ) {
        let duration = duration_of(level);
        self.insert_state(part, level, now + duration, last_sent, false, now, events);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one state")]
    pub(super) fn insert_state(
        &mut self,
        part: PartId,
        level: u32,
        until: Uptime,
        last_sent: Uptime,
        is_adopted: bool,
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
            }
        }
        let own_until = until + self.own_delay(part, level);
        let state = PartState {
            level,
            until,
            own_until,
            last_sent,
            recorded_at: now,
            is_adopted,
            has_expired: false,
            trial_since: None,
        };
        self.suspects.remove(&part);
        self.quarantined.insert(part, state);
        events.push(QuarantineEvent::Started {
            part,
            level,
            duration: own_until.saturating_sub(now),
            is_adopted,
        });
    }

    /// Delay by which the quarantine ends later at this VM than at the first one.
    fn own_delay(&self, part: PartId, level: u32) -> Duration {
        let share = score(&self.vm_key.to_string(), part) % 1_000;
        let share = u32::try_from(share).unwrap_or(0);
        duration_of(level) / SPREAD_DIVISOR * share / 1_000
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
        self.quarantined
            .retain(|_, state| now < state.own_until + PROBATION);
        let mut events = Vec::new();
        for (part, state) in &mut self.quarantined {
            if now >= state.own_until && !state.has_expired {
                state.has_expired = true;
                events.push(QuarantineEvent::Expired { part: *part });
            }
        }
        events
    }

    /// Number of parts whose requests are rejected at `now`.
    #[must_use]
    pub fn quarantined_count(&self, now: Uptime) -> usize {
        let states = self.quarantined.values();
        states.filter(|state| now < state.own_until).count()
    }

    /// Parts with losses, and parts in quarantine or on probation with their level and the time until the end.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> serde_json::Value {
        let suspects = self.suspects.iter().map(|(part, evidence)| {
            serde_json::json!({
                "part": format!("{part:016x}"), "losses": evidence.losses().len(),
                "sequence": evidence.sequence_length(), "others_started": evidence.others_started,
            })
        });
        let quarantined = self.quarantined.iter().map(|(part, state)| {
            serde_json::json!({
                "part": format!("{part:016x}"), "level": state.level, "adopted": state.is_adopted,
                "left_s": state.own_until.saturating_sub(now).as_secs(),
            })
        });
        serde_json::json!({
            "suspects": suspects.collect::<Vec<_>>(),
            "quarantined": quarantined.collect::<Vec<_>>(),
        })
    }
}

fn duration_of(level: u32) -> Duration {
    let factor = 2_u32.saturating_pow(level.min(8));
    (FIRST_QUARANTINE * factor).min(MAX_QUARANTINE)
}
