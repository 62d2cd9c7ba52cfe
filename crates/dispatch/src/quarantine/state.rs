//! Calls, events and states of the quarantine.

use super::message::{QuarantineEntry, QuarantineKind};
use crate::dispatcher::TrafficClass;
use plantainmill_core::{PartId, RequestHash, ServiceName, TargetId, Uptime};
use std::time::Duration;

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
    /// Traffic class. Items are owed, so they only wait.
    pub class: TrafficClass,
}

impl CallParts {
    pub(super) fn request_kind(&self) -> QuarantineKind {
        match self.class {
            TrafficClass::Online => QuarantineKind::Request,
            TrafficClass::Batch => QuarantineKind::Item,
        }
    }

    /// Whether `key` is one of the parts or the hash of the request.
    pub(super) fn contains(&self, key: PartId) -> bool {
        self.parts.contains(&key) || self.fingerprint == Some(key)
    }
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineRejection {
    /// The quarantined part, or the hash of the request.
    pub part: PartId,
    /// Which of them it is.
    pub kind: QuarantineKind,
    /// Time after which the request may be sent.
    pub retry_after: Duration,
}

/// Decisions of this VM that are not stored yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChanges {
    /// Quarantines that have begun.
    pub started: Vec<QuarantineEntry>,
    /// Parts and requests that are no longer quarantined.
    pub ended: Vec<PartId>,
}

/// A change of state, for the log and the counters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// Requests with the part, or the request, are rejected from now on.
    Started {
        /// Quarantined part, or the hash of the request.
        part: PartId,
        /// Which of them it is.
        kind: QuarantineKind,
        /// Number of quarantines of the part before this one.
        level: u32,
        /// Time until the end at this VM.
        duration: Duration,
        /// Another VM has decided this.
        is_adopted: bool,
    },
    /// A call with the part began an answer, or the request had a complete response, so it is sound.
    Lifted {
        /// Part or request that is no longer quarantined.
        part: PartId,
    },
    /// The quarantine has ended. Single calls are sent again.
    Expired {
        /// Part or request that is on probation.
        part: PartId,
    },
}

#[derive(Clone, Debug)]
pub(super) struct PartState {
    pub kind: QuarantineKind,
    pub level: u32,
    /// End for the whole fleet; this VM adds its own delay.
    pub until: Uptime,
    /// End at this VM.
    pub own_until: Uptime,
    /// From when on this VM sends single items with the part.
    pub items_from: Uptime,
    /// Items with the part that cost a target in spite of the quarantine, as far as this VM knows.
    pub lost_items: u32,
    /// When the last lost call was sent.
    pub last_sent: Uptime,
    /// When this VM learned of the quarantine, or of the last such item.
    pub recorded_at: Uptime,
    pub is_adopted: bool,
    /// When this VM last reported a decision of its own.
    pub reported_at: Uptime,
    /// The end has been reported as an event.
    pub has_expired: bool,
    /// Start of the one call with the part that is under way on probation.
    pub trial_since: Option<Uptime>,
}

impl PartState {
    pub fn new(
        kind: QuarantineKind,
        level: u32,
        until: Uptime,
        last_sent: Uptime,
        now: Uptime,
    ) -> PartState {
        PartState {
            kind,
            level,
            until,
            own_until: until,
            items_from: until,
            lost_items: 0,
            last_sent,
            recorded_at: now,
            is_adopted: false,
            reported_at: now,
            has_expired: false,
            trial_since: None,
        }
    }

    /// From when on this VM sends single calls of `class`. Items are owed, and one that is sound shows that the part is.
    pub fn open_from(&self, class: TrafficClass) -> Uptime {
        match (self.kind, class) {
            (QuarantineKind::Part, TrafficClass::Batch) => self.items_from.min(self.own_until),
            _ => self.own_until,
        }
    }

    pub fn entry(&self, part: PartId, now: Uptime) -> QuarantineEntry {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        QuarantineEntry {
            part,
            kind: self.kind,
            level: self.level,
            remaining_ms: millis(self.until.saturating_sub(now)),
            sent_age_ms: millis(now.saturating_sub(self.last_sent)),
            lost_items: self.lost_items,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct SoundRecord {
    pub sent_at: Uptime,
    pub recorded_at: Uptime,
    pub is_own: bool,
    /// Others suspect the part, so they have to be told.
    pub is_news: bool,
}
