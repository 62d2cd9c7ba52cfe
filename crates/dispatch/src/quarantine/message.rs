//! Reports about prompt parts that VMs exchange.
//!
//! Times are ages in milliseconds at the time of the report, because the clocks of VMs are not comparable. Receivers
//! may apply a report several times, late or in any order.

use plantainmill_core::PartId;
use serde::{Deserialize, Serialize};

/// Loss of a target under one part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LossEntry {
    /// Part of the prompt of the call that was lost.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Hash of the service that the call was for.
    #[serde(rename = "s")]
    pub service: u64,
    /// Hash of the lost target.
    #[serde(rename = "t")]
    pub target: u64,
    /// Hash of the VM that lost the call.
    #[serde(rename = "v")]
    pub reporter: u64,
    /// Time since the call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
    /// Time since its connection was lost, in milliseconds.
    #[serde(rename = "b")]
    pub lost_age_ms: u64,
}

/// A call with the part began an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoundEntry {
    /// Part of the prompt of the call.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Time since the call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
}

/// A part in quarantine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// Part whose requests are rejected.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Number of quarantines of the part before this one, each of which ended in another loss.
    #[serde(rename = "l")]
    pub level: u32,
    /// Time until the end of the quarantine, in milliseconds.
    #[serde(rename = "r")]
    pub remaining_ms: u64,
    /// Time since the last lost call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
}

/// What a VM reports about prompt parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Recent losses.
    #[serde(default, rename = "l")]
    pub losses: Vec<LossEntry>,
    /// Parts that were suspected and began an answer since.
    #[serde(default, rename = "s")]
    pub sound: Vec<SoundEntry>,
    /// Parts in quarantine.
    #[serde(default, rename = "q")]
    pub quarantined: Vec<QuarantineEntry>,
}

impl PartReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.sound.is_empty() && self.quarantined.is_empty()
    }
}
